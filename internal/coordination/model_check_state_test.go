package coordination

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"reedtrack/internal/protocol"
)

// messagesInFlight lists the direct messages and copies that may still arrive.
func (x *explorer) messagesInFlight() []modelCopy {
	var all []modelCopy
	for _, d := range x.direct {
		if d.reply == nil {
			all = append(all, modelCopy{d.to, d.payload})
		}
	}
	for _, c := range x.copies {
		all = append(all, *c)
	}
	return all
}

// violation describes how this state could violate an invariant; empty if it can't.
func (x *explorer) violation() string {
	type at struct {
		worker  int
		attempt uint64
	}
	var startable []at // attempts that run, or may still be started by a message in flight
	active := 0
	for i, w := range x.workers {
		for _, t := range w.tasks {
			if t.active {
				active++
				startable = append(startable, at{i, t.attempt})
			}
		}
	}
	if active > 1 {
		return "ran_twice: on both workers"
	}
	for _, inFlight := range x.messagesInFlight() {
		w := x.workers[inFlight.to]
		if !w.accepts(inFlight.payload) {
			continue
		}
		for _, o := range inFlight.payload.Commands {
			if t, ok := w.tasks[o.Task]; o.Verb == protocol.VerbStart && (!ok || !t.active && t.attempt != o.Attempt) {
				startable = append(startable, at{inFlight.to, o.Attempt})
				if x.cancelled && w.renewedAfterCancel {
					return "ran_cancelled: a message in flight can start it although the worker's lease was renewed after the cancellation"
				}
			}
		}
	}
	for _, c := range startable {
		m := x.holder.machines[modelWorkerName(c.worker)]
		if m == nil {
			return fmt.Sprintf("attempt %d can start on machine %s, which was released", c.attempt, modelWorkerName(c.worker))
		}
		if !m.isReconciled() || len(m.orphans) > 0 {
			continue // counts as fully used, and no unconfirmed job starts
		}
		if r := m.attempts[taskKey{"wk-1", 0}]; r == nil || r.number != c.attempt {
			return fmt.Sprintf("attempt %d runs or can start on machine %s, and its holder does not track it", c.attempt, modelWorkerName(c.worker))
		}
	}
	return ""
}

// sequences lists the distinct sequence numbers in the state, in ascending order.
func (x *explorer) sequences() []uint64 {
	var all []uint64
	for i, w := range x.workers {
		all = append(all, w.sequence)
		if w.report != nil {
			all = append(all, w.report.Sequence)
		}
		if _, m := x.machineOf(i); m != nil {
			heartbeat, message := m.exchange.Sequences()
			all = append(all, heartbeat, message)
		}
	}
	for _, d := range x.direct {
		if d.reply != nil {
			all = append(all, d.reply.Report.Sequence)
		}
	}
	for _, report := range x.late {
		all = append(all, report.Sequence)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// stateKey identifies a state. Sequence numbers are replaced by their rank.
func (x *explorer) stateKey() string {
	all := x.sequences()
	rank := func(t uint64) int { return sort.Search(len(all), func(i int) bool { return all[i] >= t }) }
	var b strings.Builder
	p := func(f string, a ...any) { fmt.Fprintf(&b, f, a...) }
	rep := func(r *protocol.Heartbeat) {
		if r != nil {
			p("<%s %d %d %d %v>", r.Machine, r.Session, rank(r.Sequence), r.FencingToken, r.Tasks)
		}
	}
	p("%v%v%d%d%d%d%v|", x.cancelled, x.taskDone, x.sent, x.ends, x.expires, x.lastToken, x.bounds)
	for i, w := range x.workers {
		p("%d %d %d %v%v%v%v%v", w.token, w.session, rank(w.sequence), w.tasks, w.awaitsAnswer, w.renewed, w.renewedAfterCancel, w.answeredAfterCancel)
		rep(w.report)
		if w.answer != nil {
			p("ans%d%s", w.answer.FencingToken, formatCommands(w.answer.Commands))
		}
		s, m := x.machineOf(i)
		if m == nil {
			continue
		}
		r, n := m.exchange.Sequences()
		p("[%d %d %d %d %v %v%v%v %v %v", s.fencingToken, m.exchange.Session(), rank(r), rank(n), m.exchange.DebugState(), m.isReconciled(), m.isExpired(), m.hasReported(), m.tasksToClear, m.orphans)
		for k, r := range m.attempts {
			p("{%v %d %+v %v %v %s}", k, r.number, r.start, r.stopRequested, r.stopSentAt.IsZero(), r.status)
		}
		p("%d %d %d]", m.fenceToken, m.shardFence, s.fenceToken)
	}
	for _, d := range x.direct {
		p("D%d %d %d %v%v %v%s %v", d.to, d.payload.FencingToken, d.payload.Session, d.timedOut, d.copied, d.message.tracker, formatCommands(d.payload.Commands), d.holder == x.holder)
		if d.reply != nil {
			p("%d", d.reply.Outcome)
			rep(d.reply.Report)
		}
	}
	for _, c := range x.copies {
		p("C%d %d %d %s", c.to, c.payload.FencingToken, c.payload.Session, formatCommands(c.payload.Commands))
	}
	for _, r := range x.late {
		rep(r)
	}
	j := x.job
	p("J%v%v%d%v%d %d %v", j.unconfirmed, j.ended, j.nextTask, j.retry, x.holder.attemptCount, j.done.Len(), len(j.failedMachines))
	return b.String()
}

func formatCommands(orders []protocol.Command) string {
	var list []string
	for _, o := range orders {
		list = append(list, fmt.Sprint(o.Verb, o.Task, o.Attempt))
	}
	return strings.Join(list, ",")
}
