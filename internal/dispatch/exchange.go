package dispatch

import (
	"fmt"
	"iter"
	"maps"
)

// Freshness tells how a heartbeat of a worker stands to the messages before it.
type Freshness uint8

// How fresh a heartbeat can be.
const (
	Stale     Freshness = iota // tells nothing new, and the worker does not wait for the response
	Overtaken                  // by the response to a direct message: to be responded to, but tells nothing new
	Fresh                      // newer than all before
)

// Exchange tracks the messages to and from one worker. K identifies tasks. It is
// not safe for concurrent use.
type Exchange[K comparable] struct {
	session         uint64 // the worker's newest
	newestHeartbeat uint64 // its sequence
	newestMessage   uint64 // the sequence of the newest message of any kind
	reported        bool   // a heartbeat has arrived

	messages   uint64                // direct messages so far
	inFlight   bool                  // the last of them is under way
	unanswered map[K]unansweredStart // ended attempts of which a copy may still arrive
}

// unansweredStart is an attempt with the direct message that carried its start.
type unansweredStart struct {
	attempt uint64
	message uint64
}

// Session returns the newest session that the worker has reported.
func (x *Exchange[K]) Session() uint64 { return x.session }

// HasReported reports whether the worker has sent a heartbeat.
func (x *Exchange[K]) HasReported() bool { return x.reported }

// RecordHeartbeat records a heartbeat by its place among the worker's messages.
// newSession says that the worker has begun a new session since the last one:
// all that was sent to it before is void.
func (x *Exchange[K]) RecordHeartbeat(session, sequence uint64) (f Freshness, newSession bool) {
	if x.reported {
		switch {
		case session < x.session, session == x.session && sequence <= x.newestHeartbeat:
			return Stale, false
		case session == x.session && sequence <= x.newestMessage:
			x.newestHeartbeat = sequence
			return Overtaken, false
		}
		newSession = session > x.session
	}
	if newSession {
		x.ForgetUnanswered()
	}
	x.session, x.newestHeartbeat, x.newestMessage, x.reported = session, sequence, sequence, true
	return Fresh, newSession
}

// RecordDirectStatus records a worker's status that came as the response to a
// direct message. It reports whether that is newer than all before. Such a
// status tells what is on the worker, but not what became of a response to a
// heartbeat that may still be under way.
func (x *Exchange[K]) RecordDirectStatus(session, sequence uint64) bool {
	if !x.reported || session != x.session || sequence <= x.newestMessage {
		return false
	}
	x.newestMessage = sequence
	return true
}

// ForgetUnanswered forgets the starts that can't arrive any more, since the
// worker refuses them or is gone.
func (x *Exchange[K]) ForgetUnanswered() { clear(x.unanswered) }

// InFlight reports whether a direct message is under way.
func (x *Exchange[K]) InFlight() bool { return x.inFlight }

// Message is a direct message to a worker.
type Message struct {
	Session uint64 // the worker's, under which it is sent
	number  uint64
}

// BeginMessage begins a direct message. Only one may be under way at a time.
func (x *Exchange[K]) BeginMessage() Message {
	x.messages++
	x.inFlight = true
	return Message{x.session, x.messages}
}

// AddStart records that the message carries a start.
func (m Message) AddStart(s *Start) { s.unanswered, s.message = true, m.number }

// SettleStart records, of a start that the message carried, that the message was
// responded to or never left. A start that was carried out is then known
// (Start.MarkReported); one that was not may be sent anew.
func (m Message) SettleStart(s *Start) {
	if s.message == m.number {
		s.unanswered = false
	}
}

// EndMessage records that a message is not waited for any longer. settled says
// that it is known what became of it: it was responded to, or never left.
func (x *Exchange[K]) EndMessage(m Message, settled bool) {
	if m.number == x.messages {
		x.inFlight = false
	}
	if !settled {
		return
	}
	maps.DeleteFunc(x.unanswered, func(_ K, s unansweredStart) bool { return s.message == m.number })
}

// RecordEnded records that an attempt has ended or was dropped by the worker,
// which is now to clear it. It must not while a copy of its start may arrive.
func (x *Exchange[K]) RecordEnded(task K, attempt uint64, s *Start) {
	if !s.unanswered {
		return
	}
	if x.unanswered == nil {
		x.unanswered = map[K]unansweredStart{}
	}
	x.unanswered[task] = unansweredStart{attempt, s.message}
}

// CanClear reports whether the worker may be told to forget an ended attempt.
func (x *Exchange[K]) CanClear(task K, attempt uint64, disabled DisabledGuards) bool {
	s, found := x.unanswered[task]
	return !found || s.attempt != attempt || disabled.has(WithoutDeferredClear)
}

// StartMayArrive reports whether a copy of an earlier attempt's start may still
// arrive. The task must not be started on this worker under another attempt
// then: that would replace the attempt which makes the copy harmless.
func (x *Exchange[K]) StartMayArrive(task K) bool {
	_, found := x.unanswered[task]
	return found
}

// UnansweredTasks returns the tasks for which StartMayArrive holds.
func (x *Exchange[K]) UnansweredTasks() iter.Seq[K] { return maps.Keys(x.unanswered) }

// CountUnanswered returns the number of UnansweredTasks.
func (x *Exchange[K]) CountUnanswered() int { return len(x.unanswered) }

// Sequences returns the sequence numbers of the newest heartbeat and of the
// newest message of any kind.
func (x *Exchange[K]) Sequences() (heartbeat, message uint64) {
	return x.newestHeartbeat, x.newestMessage
}

// DebugState describes what the other methods don't show, for tests that
// enumerate states.
func (x *Exchange[K]) DebugState() string { return fmt.Sprint(x.messages, x.inFlight, x.unanswered) }
