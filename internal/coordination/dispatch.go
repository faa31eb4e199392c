package coordination

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/outage"
	"reedtrack/internal/protocol"
)

// Direct sends commands straight to a worker.
type Direct func(ctx context.Context, address string, d protocol.Direct) DirectAnswer

// DirectAnswer is what came of a message sent straight to a worker.
type DirectAnswer struct {
	Outcome Outcome
	Report  *protocol.Report // of the worker after the commands, if it answered
}

// Outcome of a message sent straight to a worker.
type Outcome uint8

// Outcomes. After Unanswered it may be, and may still come to be, carried out.
const (
	Unanswered Outcome = iota
	Unsent             // it never left: no connection was made
	Done               // carried out
	Denied             // not carried out: token or session did not match
)

// directState is what is known of messages sent straight to a machine.
type directState struct {
	reported time.Time // when its newest report came
	hold     time.Time // none before this
	failed   int       // without an answer, in a row
}

// target is a machine for which commands wait.
type target struct {
	s *shard
	m *machine
}

// dispatch sends straight to the workers what should not wait for their next
// reports. What goes out so is carried by the next answer too until the worker
// tells of it, so nothing depends on it.
func (n *Node) dispatch() {
	for _, o := range n.directMessages() {
		go n.deliver(o)
	}
}

// directMessages makes up the messages that are sent now.
func (n *Node) directMessages() []outgoing {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.valid(now) {
		return nil
	}
	var machines []target
	var list []dispatch.Target
	for _, i := range n.shardNumbers() {
		s := n.shards[i]
		for _, m := range s.sorted() {
			if n.deputies.named[i][m.block.Machine] {
				continue // another answers it, or is about to: see confirmable
			}
			if t, some := m.target(now); some {
				t.Worker = len(machines)
				machines, list = append(machines, target{s, m}), append(list, t)
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	var out []outgoing
	for _, t := range n.limiter.Pick(list, n.meter.busy, now) {
		out = append(out, machines[t.Worker].message(now))
	}
	return out
}

func (n *Node) shardNumbers() []int {
	var list []int
	for i := range n.shards {
		list = append(list, i)
	}
	slices.Sort(list)
	return list
}

// target tells what waits for a machine, if something does that may be sent
// straight to it.
func (m *machine) target(now time.Time) (dispatch.Target, bool) {
	t := dispatch.Target{Rank: int(protocol.Prod), Since: now.Sub(m.direct.reported)}
	if !m.heard() || !m.settled || m.expired || m.release || m.gone || m.address == "" || m.exchange.InFlight() || now.Before(m.direct.hold) {
		return t, false
	}
	for _, x := range m.runs {
		switch {
		case x.halt && x.start.Known() && x.haltOut.IsZero():
			t.Halts = true
		case !x.halt && !x.job.ended && !m.bad && !x.start.Sent():
		default:
			continue
		}
		t.Commands++
		t.Rank = min(t.Rank, rankOf(x.job))
	}
	return t, t.Commands > 0
}

// rankOf orders what is sent: urgent work and work within a guarantee first.
func rankOf(j *job) int {
	r := int(protocol.Prod) - int(j.level)
	if j.level >= protocol.High || j.within {
		r = 0
	}
	return r
}

// outgoing is a message to a worker, and the runs whose starts it carries.
type outgoing struct {
	target
	address string
	command protocol.Direct
	message dispatch.Message
	starts  []*run
}

// message makes up a direct message. It carries halts and starts and never a
// clear: one that came late would have the worker forget an attempt whose start
// may arrive once more.
func (t target) message(now time.Time) outgoing {
	s, m := t.s, t.m
	o := outgoing{target: t, address: m.address, message: m.exchange.Send()}
	o.command = protocol.Direct{Token: s.token(m), Session: o.message.Session, Orders: s.halts(m, now)}
	for k, x := range m.runs {
		if x.halt || x.job.ended || m.bad || x.start.Sent() {
			continue
		}
		o.message.Carry(&x.start)
		x.out = now
		o.starts = append(o.starts, x)
		o.command.Orders = append(o.command.Orders, protocol.Order{Verb: protocol.VerbStart, Task: protocol.TaskName(k.job, k.task), Attempt: x.attempt})
	}
	return o
}

// deliver sends a message and notes what came of it.
func (n *Node) deliver(o outgoing) {
	a := n.direct(context.Background(), o.address, o.command)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiter.Finished(a.Outcome == Done || a.Outcome == Denied)
	s, m := o.s, o.m
	if n.shards[s.index] != s || s.machines[m.block.Machine] != m {
		return // another's by now, who has a higher token
	}
	s.finished(&o, a, n.now())
	if a.Outcome == Unanswered || a.Outcome == Unsent {
		slog.Debug("not reached straight away", "machine", m.block.Machine, "orders", len(o.command.Orders), "outcome", a.Outcome)
		m.direct.failed++
		m.direct.hold = n.now().Add(n.limiter.Limits().Backoff(m.direct.failed, rand.Float64()))
		return
	}
	m.direct.failed = 0
	if s.freed {
		s.fill(m, n.teams)
	}
	if s.news || m.unsent() {
		n.wake()
	}
}

func (m *machine) unsent() bool {
	for _, x := range m.runs {
		if !x.start.Sent() {
			return true
		}
	}
	return false
}

// finished notes what became of a message's starts.
func (s *shard) finished(o *outgoing, a DirectAnswer, now time.Time) {
	m := o.m
	listed := map[taskKey]uint64{}
	if a.Outcome == Done {
		for _, t := range a.Report.Tasks {
			listed[keyOf(t.Task)] = t.Attempt
		}
	}
	settled := a.Outcome != Unanswered
	for _, x := range o.starts {
		switch {
		case a.Outcome == Unanswered:
		case a.Outcome == Done && listed[x.key] != x.attempt:
			settled = false // answered, and yet it does not say
		default:
			o.message.Settled(&x.start)
		}
	}
	m.exchange.Finished(o.message, settled)
	if a.Outcome == Done {
		s.said(m, a.Report, now)
	}
}

// said takes in a worker's report that came as the answer to a direct message.
// It tells what is on the machine. What it does not list may be on its way in
// the answer to a report.
func (s *shard) said(m *machine, r *protocol.Report, now time.Time) {
	if m.expired || !m.exchange.DirectReport(r.Session, r.Sequence) {
		return
	}
	m.word, m.state = now, outage.Well
	m.warn(r.WarningS, now)
	listed := s.follow(m, r, now, func(taskKey, protocol.TaskReport) bool { return false })
	if s.guards&dispatch.WithoutOrder != 0 {
		for k, x := range m.runs {
			if x.start.Sent() && !listed[k] {
				s.drop(x)
			}
		}
	}
}
