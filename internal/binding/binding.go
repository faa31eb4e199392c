// Package binding keeps what the starts sent to one worker may still do there:
// which of them have gone out, by which way, and whether a copy that was never
// answered may yet arrive. It is pure and knows neither clocks nor networks.
//
// A start travels in the answer to a report, or straight to the worker (/do).
// The worker has one report in flight at a time and drops an answer that comes
// late, so its next report settles what became of the first. A message sent
// straight to it may arrive minutes late, and is carried out if worker and
// message still agree on token and stint. So such a start binds its task to the
// worker until one of these is known:
//
//   - the message was answered, or never left;
//   - the worker's stint has grown, or it has seen a higher token: it refuses
//     the message from then on;
//   - the worker has the attempt: a start that it has already does nothing. To
//     have that, the next answer carries the same start again. It lasts for as
//     long as the worker is not told to forget the attempt, so it is not told
//     to while a copy may come (Late).
//
// docs/safety.md has the argument; coordination's TestStartsExplored explores
// it with the real code.
package binding

import (
	"fmt"
	"iter"
	"maps"
)

// Start is how far the start of one attempt has come. The zero value has not
// gone out.
type Start struct {
	out    bool // in the answer to a report
	known  bool // the worker has said that it has, or had, the attempt
	loose  bool // straight to the worker, and not yet known what became of that
	flight uint64
}

// Sent tells whether the start has gone out in any way, so that only word from
// the worker, or the end of its lease, can take it back.
func (s *Start) Sent() bool { return s.out || s.known || s.loose }

// Known tells whether the worker has the attempt.
func (s *Start) Known() bool { return s.known }

// Bound tells whether a message alone binds the task: it may or may not ever
// arrive.
func (s *Start) Bound() bool { return s.loose && !s.known }

// Owed tells whether the next answer has to carry the start: it has not gone
// out, or only straight to the worker.
func (s *Start) Owed() bool { return !s.out && !s.known }

// Answer notes that the start goes out in the answer to a report.
func (s *Start) Answer() { s.out = true }

// Listed notes that the worker has reported the attempt.
func (s *Start) Listed() { s.known = true }

// Unlisted tells, of an attempt that the newest report does not list, whether
// it is certainly not on the worker and can't come to be there. ahead says that
// the report shows a token above the one that the start was sent under. If it is
// not certain, the next answer owes the start again.
func (s *Start) Unlisted(ahead bool, g Guards) bool {
	if !s.Sent() {
		return false
	}
	if s.loose && !ahead && g&NoLoose == 0 {
		s.out, s.known = false, false
		return false
	}
	return true
}

// Guards are parts of the argument that a test leaves out, to see that it
// notices. In the program they are zero: all are kept.
type Guards uint8

// What may be left out.
const (
	NoLoose  Guards = 1 << iota // a start without an answer binds its task
	NoLate                      // an attempt of which a copy may come is not forgotten
	NoFirst                     // a halt of an attempt that may be unknown goes out after its start
	NoBehind                    // word that came by /do does not tell what an answer has done
)

// Order says how a message of the worker stands to those before it.
type Order uint8

const (
	Old    Order = iota // tells nothing new, and nobody waits for the answer
	Behind              // a report that is older than an answer of /do: to be answered, and tells nothing new
	Fresh               // newer than all before
)

// Line is what is known of the messages to and from one worker. K names tasks.
type Line[K comparable] struct {
	stint  uint64
	report uint64 // tally of the newest report
	newest uint64 // tally of the newest message of any kind
	heard  bool

	flights uint64       // messages sent straight to the worker so far
	flying  bool         // one is under way
	late    map[K]Copies // ended attempts of which a copy may still come
}

// Copies names an attempt and the message that carries its start.
type Copies struct {
	Try    uint64
	flight uint64
}

// Stint is the newest that the worker has told.
func (l *Line[K]) Stint() uint64 { return l.stint }

// Heard tells whether the worker has reported.
func (l *Line[K]) Heard() bool { return l.heard }

// Report takes a report's place among the messages. grown says that the worker
// has begun a new stint: all that was sent before is void.
func (l *Line[K]) Report(stint, tally uint64) (o Order, grown bool) {
	if l.heard && (stint < l.stint || stint == l.stint && tally <= l.report) {
		return Old, false
	}
	if l.heard && stint == l.stint && tally <= l.newest {
		l.report = tally
		return Behind, false
	}
	grown = l.heard && stint > l.stint
	if grown {
		l.Void()
	}
	l.stint, l.report, l.newest, l.heard = stint, tally, tally, true
	return Fresh, grown
}

// Said takes the place of a report that came as the answer to /do or /inspect:
// it tells what is on the worker, if it is newer than all before, but not what
// became of an answer that may still be on its way.
func (l *Line[K]) Said(stint, tally uint64) bool {
	if !l.heard || stint != l.stint || tally <= l.newest {
		return false
	}
	l.newest = tally
	return true
}

// Void forgets what can't come any more: the worker refuses it, or is gone.
func (l *Line[K]) Void() { clear(l.late) }

// Flying tells whether a message straight to the worker is under way.
func (l *Line[K]) Flying() bool { return l.flying }

// Flight is a message sent straight to the worker.
type Flight struct {
	Stint  uint64
	number uint64
}

// Send begins a message straight to the worker, one at a time.
func (l *Line[K]) Send() Flight {
	l.flights++
	l.flying = true
	return Flight{l.stint, l.flights}
}

// Carry notes that a start goes out in it.
func (f Flight) Carry(s *Start) { s.loose, s.flight = true, f.number }

// Landed notes that the message is not under way any more. settled says that
// what became of it is known: it was answered, or never left.
func (l *Line[K]) Landed(f Flight, settled bool) {
	if f.number == l.flights {
		l.flying = false
	}
	if settled {
		for k, c := range l.late {
			if c.flight == f.number {
				delete(l.late, k)
			}
		}
	}
}

// Settled notes, of a start that a message carried, that the message was
// answered or never left. One that was carried out is then known (Listed); one
// that was not may go out anew.
func (f Flight) Settled(s *Start) {
	if s.flight == f.number {
		s.loose = false
	}
}

// Over notes that an attempt of a worker has ended or was dropped, and is to
// be forgotten by it. While a copy of its start may come it must not be.
func (l *Line[K]) Over(k K, try uint64, s *Start) {
	if s.loose {
		if l.late == nil {
			l.late = map[K]Copies{}
		}
		l.late[k] = Copies{try, s.flight}
	}
}

// Clear tells whether the worker may be told to forget an ended attempt.
func (l *Line[K]) Clear(k K, try uint64, g Guards) bool {
	c, ok := l.late[k]
	return !ok || c.Try != try || g&NoLate != 0
}

// Late tells whether a copy of an earlier attempt's start may still come: the
// task must not be started there under another attempt, which would take the
// place of the one that makes the copy harmless.
func (l *Line[K]) Late(k K) bool {
	_, ok := l.late[k]
	return ok
}

// LateKeys lists the tasks of which a copy of a start may still come.
func (l *Line[K]) LateKeys() iter.Seq[K] { return maps.Keys(l.late) }

// Tallies are those of the newest report and of the newest message of any kind.
func (l *Line[K]) Tallies() (report, newest uint64) { return l.report, l.newest }

// State tells the rest, for a test that tells states apart.
func (l *Line[K]) State() string { return fmt.Sprint(l.flights, l.flying, l.late) }

// Doubts counts the attempts of which a copy may still come.
func (l *Line[K]) Doubts() int { return len(l.late) }
