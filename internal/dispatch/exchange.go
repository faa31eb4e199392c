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

	messages uint64                // number of direct messages so far
	inFlight bool                  // the latest direct message is in flight
	retained map[K]retainedAttempt // ended attempts whose starts may arrive, again or for the first time
}

// retainedAttempt is an ended attempt with the direct message that carried its start. The
// worker must not forget it while it would accept the message.
type retainedAttempt struct {
	attempt uint64
	message uint64
	token   uint64 // fencing token of the message
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
		x.ReleaseAll()
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

// ReleaseAll releases all retained attempts. It is called when their starts can no
// longer have an effect, because the worker rejects them or no longer exists.
func (x *Exchange[K]) ReleaseAll() { clear(x.retained) }

// ReleaseBelow releases the retained attempts whose starts have a lower fencing token. It is
// called when every further message to the worker has at least this token. A worker that
// obeys such a message rejects the starts from then on, and one that does not receive it
// still has the attempts.
func (x *Exchange[K]) ReleaseBelow(token uint64) {
	maps.DeleteFunc(x.retained, func(_ K, r retainedAttempt) bool { return r.token < token })
}

// InFlight reports whether a direct message is in flight.
func (x *Exchange[K]) InFlight() bool { return x.inFlight }

// Message is a direct message to a worker.
type Message struct {
	Session uint64 // worker session for which it is sent
	token   uint64
	number  uint64
}

// BeginMessage begins a direct message with a fencing token. Only one may be in flight at a
// time.
func (x *Exchange[K]) BeginMessage(token uint64) Message {
	x.messages++
	x.inFlight = true
	return Message{x.session, token, x.messages}
}

// AddStart records that the message carries a start.
func (m Message) AddStart(s *Start) { s.mayArrive, s.message, s.token = true, m.number, m.token }

// SettleStart records, for a start in the message, that no copy of the message has an effect:
// it was never sent, or the worker has rejected it, as it will reject every copy. An
// executed message settles nothing, since a copy of it may be executed again.
func (m Message) SettleStart(s *Start) {
	if s.message == m.number {
		s.mayArrive = false
	}
}

// EndMessage records that the caller no longer waits for a response to the message.
// settled reports that no copy of it has an effect, see Message.SettleStart.
func (x *Exchange[K]) EndMessage(m Message, settled bool) {
	if m.number == x.messages {
		x.inFlight = false
	}
	if !settled {
		return
	}
	maps.DeleteFunc(x.retained, func(_ K, r retainedAttempt) bool { return r.message == m.number })
}

// RecordEnded records that an attempt has ended or was dropped by the worker. The worker
// should then clear the attempt, but not while its start may arrive (CanClear). token is the
// fencing token of further messages to the worker.
func (x *Exchange[K]) RecordEnded(task K, attempt uint64, s *Start, token uint64) {
	if !s.mayArrive || s.token < token {
		return
	}
	if x.retained == nil {
		x.retained = map[K]retainedAttempt{}
	}
	x.retained[task] = retainedAttempt{attempt, s.message, s.token}
}

// CanClear reports whether the command to clear an ended attempt may be sent to the worker.
func (x *Exchange[K]) CanClear(task K, attempt uint64, disabled DisabledGuards) bool {
	r, found := x.retained[task]
	return !found || r.attempt != attempt || disabled.has(WithoutDeferredClear)
}

// StartMayArrive reports whether the start of an ended attempt may arrive. The task must then
// not be started on this worker under another attempt, which would replace the attempt that
// makes the start harmless.
func (x *Exchange[K]) StartMayArrive(task K) bool {
	_, found := x.retained[task]
	return found
}

// RetainedTasks returns the tasks for which StartMayArrive is true.
func (x *Exchange[K]) RetainedTasks() iter.Seq[K] { return maps.Keys(x.retained) }

// CountRetained returns the number of RetainedTasks.
func (x *Exchange[K]) CountRetained() int { return len(x.retained) }

// Sequences returns the sequence numbers of the newest heartbeat and of the
// newest message of any kind.
func (x *Exchange[K]) Sequences() (heartbeat, message uint64) {
	return x.newestHeartbeat, x.newestMessage
}

// DebugState formats the internal state that other methods don't expose, for tests that
// enumerate states.
func (x *Exchange[K]) DebugState() string { return fmt.Sprint(x.messages, x.inFlight, x.retained) }
