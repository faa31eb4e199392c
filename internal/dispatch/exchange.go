package dispatch

import (
	"fmt"
	"iter"
	"maps"
)

// Freshness classifies a heartbeat by its order among the worker's messages.
type Freshness uint8

// Values of Freshness.
const (
	Stale     Freshness = iota // contains no new information; the worker does not wait for the response
	Overtaken                  // by the response to a direct message: must be answered, but contains no new information
	Fresh                      // newer than all previous messages
)

// Exchange tracks the messages sent to and received from one worker. K identifies tasks. It is
// not safe for concurrent use.
type Exchange[K comparable] struct {
	session         uint64 // the worker's newest
	newestHeartbeat uint64 // sequence number of the newest heartbeat
	newestMessage   uint64 // sequence number of the newest message of any kind
	reported        bool   // a heartbeat has arrived

	messages   uint64                // number of direct messages so far
	inFlight   bool                  // the latest direct message is in flight
	unanswered map[K]unansweredStart // ended attempts whose start may still arrive
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

// RecordHeartbeat records a heartbeat by its session and sequence number. newSession
// reports that the worker has begun a new session since the previous heartbeat, which
// invalidates all messages sent to it before.
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

// RecordDirectStatus records a worker status received in the response to a direct message,
// and reports whether it is newer than all previous messages. Such a status lists the
// attempts on the worker, but does not determine the outcome of a response to a heartbeat,
// which may still be in flight.
func (x *Exchange[K]) RecordDirectStatus(session, sequence uint64) bool {
	if !x.reported || session != x.session || sequence <= x.newestMessage {
		return false
	}
	x.newestMessage = sequence
	return true
}

// ForgetUnanswered discards the unanswered starts. It is called when they can no
// longer have an effect, because the worker rejects them or no longer exists.
func (x *Exchange[K]) ForgetUnanswered() { clear(x.unanswered) }

// InFlight reports whether a direct message is in flight.
func (x *Exchange[K]) InFlight() bool { return x.inFlight }

// Message is a direct message to a worker.
type Message struct {
	Session uint64 // worker session for which it is sent
	number  uint64
}

// BeginMessage begins a direct message. Only one may be in flight at a time.
func (x *Exchange[K]) BeginMessage() Message {
	x.messages++
	x.inFlight = true
	return Message{x.session, x.messages}
}

// AddStart records that the message carries a start.
func (m Message) AddStart(s *Start) { s.unanswered, s.message = true, m.number }

// SettleStart records, for a start in the message, that the message was answered or never
// sent. An executed start is then known (Start.MarkReported); any other may be sent again.
func (m Message) SettleStart(s *Start) {
	if s.message == m.number {
		s.unanswered = false
	}
}

// EndMessage records that the caller no longer waits for a response to the message.
// settled reports that its outcome is known: it was answered, or never sent.
func (x *Exchange[K]) EndMessage(m Message, settled bool) {
	if m.number == x.messages {
		x.inFlight = false
	}
	if !settled {
		return
	}
	maps.DeleteFunc(x.unanswered, func(_ K, s unansweredStart) bool { return s.message == m.number })
}

// RecordEnded records that an attempt has ended or was dropped by the worker. The worker
// should then clear the attempt, but not while a copy of its start may arrive (CanClear).
func (x *Exchange[K]) RecordEnded(task K, attempt uint64, s *Start) {
	if !s.unanswered {
		return
	}
	if x.unanswered == nil {
		x.unanswered = map[K]unansweredStart{}
	}
	x.unanswered[task] = unansweredStart{attempt, s.message}
}

// CanClear reports whether the command to clear an ended attempt may be sent to the worker.
func (x *Exchange[K]) CanClear(task K, attempt uint64, disabled DisabledGuards) bool {
	s, found := x.unanswered[task]
	return !found || s.attempt != attempt || disabled.has(WithoutDeferredClear)
}

// StartMayArrive reports whether a copy of an earlier attempt's start may still arrive. The
// task must then not be started on this worker under another attempt, which would replace
// the attempt that makes the copy harmless.
func (x *Exchange[K]) StartMayArrive(task K) bool {
	_, found := x.unanswered[task]
	return found
}

// UnansweredTasks returns the tasks for which StartMayArrive is true.
func (x *Exchange[K]) UnansweredTasks() iter.Seq[K] { return maps.Keys(x.unanswered) }

// CountUnanswered returns the number of UnansweredTasks.
func (x *Exchange[K]) CountUnanswered() int { return len(x.unanswered) }

// Sequences returns the sequence numbers of the newest heartbeat and of the
// newest message of any kind.
func (x *Exchange[K]) Sequences() (heartbeat, message uint64) {
	return x.newestHeartbeat, x.newestMessage
}

// DebugState formats the internal state that other methods don't expose, for tests that
// enumerate states.
func (x *Exchange[K]) DebugState() string { return fmt.Sprint(x.messages, x.inFlight, x.unanswered) }
