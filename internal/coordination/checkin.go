package coordination

import (
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// report takes in a worker's report; false means that it is older than one
// taken in before, and nothing has changed.
func (s *shard) report(m *machine, r *protocol.Report, now time.Time) bool {
	if m.heard && (r.Stint < m.stint || r.Stint == m.stint && r.Tally <= m.tally) {
		return false
	}
	if m.heard && r.Stint > m.stint {
		// The worker's lease ran out: whatever was started before is gone.
		for _, x := range m.runs {
			if x.sent {
				s.drop(x)
			}
		}
	}
	if m.expired && m.heard && r.Stint == m.stint {
		// By our clock its lease is over, and it has not noticed yet. It
		// will, before it can take an answer.
		m.tally = r.Tally
		return false
	}
	m.stint, m.tally, m.address = r.Stint, r.Tally, r.Address
	if s.freed = s.freed || !m.heard || m.expired; m.expired {
		m.idle = now // back after its lease, and empty
	}
	m.heard, m.expired = true, false
	if r.Baton >= s.baton(m) {
		m.settled = true
	}
	if r.WarningS != nil && m.takenAt.IsZero() {
		m.takenAt = now.Add(time.Duration(*r.WarningS * float64(time.Second)))
		slog.Info("machine will be taken", "machine", m.block.Machine, "in_s", *r.WarningS)
	} else if r.WarningS == nil {
		m.takenAt = time.Time{}
	}
	clear(m.stray)
	clear(m.cleared)
	m.odd = false
	listed := make(map[taskKey]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		id, num, _ := protocol.SplitTask(t.Task)
		k := taskKey{id, num}
		if x := m.runs[k]; x != nil && x.try == t.Try {
			listed[k] = true
			s.update(m, x, t, now)
			continue
		}
		s.foreign(m, k, t, now)
		if m.runs[k] != nil && m.runs[k].try == t.Try {
			listed[k] = true
		}
	}
	for k, x := range m.runs {
		// The worker has one report in flight at a time: what it does not
		// list now, though an earlier answer carried the start, it has
		// dropped with that answer or forgotten.
		if x.sent && !listed[k] {
			s.drop(x)
		}
	}
	s.settle()
	return true
}

// update follows a task that this controller knows of.
func (s *shard) update(m *machine, x *run, t protocol.TaskReport, now time.Time) {
	x.sent = true
	if t.Status == protocol.Running && x.status != protocol.Running {
		x.began = now
		s.noteBegan(x)
	}
	x.status = t.Status
	if t.Status != protocol.Ended {
		return
	}
	j := x.job
	switch t.Cause {
	case protocol.CauseDone:
		if !j.spec.Standing() {
			j.finish(x.key.task)
			s.news = s.news || j.complete()
		}
		if !x.began.IsZero() && !x.adopted {
			s.noteRan(x, now)
			j.counted++
			j.took += now.Sub(x.began).Seconds()
		}
		m.errs = 0
		clear(j.errOn)
		j.backoff = 0
	case protocol.CauseError:
		s.news = true
		s.failed(m, j, now)
	}
	s.drop(x)
	m.cleared[x.key] = t.Try
}

// failed weighs a task's error: mostly the machine is at fault, but a job that
// fails on several machines without ever succeeding is.
func (s *shard) failed(m *machine, j *job, now time.Time) {
	if j.errOn == nil {
		j.errOn = map[string]bool{}
	}
	j.errOn[m.block.Machine] = true
	if len(j.errOn) >= 3 && j.done.Len() == 0 {
		j.backoff = min(max(2*j.backoff, 2*time.Second), time.Minute)
		j.notTill = now.Add(j.backoff)
		return
	}
	m.errs++
	if m.errs >= 2 && !m.bad {
		m.bad = true
		slog.Warn("machine fails its tasks, will be replaced", "machine", m.block.Machine)
	}
}

// foreign deals with a reported task that this controller did not place: its
// predecessor's, or one that should not be there.
func (s *shard) foreign(m *machine, k taskKey, t protocol.TaskReport, now time.Time) {
	j := s.jobs[k.job]
	if s.unread[k.job] {
		m.odd = true
		return
	}
	if t.Status == protocol.Ended {
		if j != nil && !j.spec.Standing() && t.Cause == protocol.CauseDone && k.task < j.spec.Tasks {
			j.finish(k.task)
			s.news = s.news || j.complete()
		}
		m.cleared[k] = t.Try
		return
	}
	if j == nil || k.task >= j.spec.Tasks || j.done.Has(k.task) || j.runs[k.task] != nil || m.settled && !j.unsure {
		m.stray[k] = t.Try
		return
	}
	x := &run{key: k, job: j, m: m, try: t.Try, sent: true, status: t.Status, began: now, adopted: true}
	s.attach(x)
}

// orders answers a report that has been taken in.
func (s *shard) orders(m *machine, now time.Time) []protocol.Order {
	out := []protocol.Order{}
	for k, try := range m.cleared {
		j := s.jobs[k.job]
		if j != nil && j.done.Has(k.task) && j.saved < j.done.Len() {
			// The worker keeps the news until the record has it.
			continue
		}
		out = append(out, protocol.Order{Verb: protocol.VerbClear, Task: protocol.TaskName(k.job, k.task), Try: try})
	}
	out = append(out, s.halts(m, now)...)
	if m.settled && !m.bad && !m.release {
		for k, x := range m.runs {
			if !x.sent && !x.halt && !x.job.ended {
				x.sent, x.out = true, now
				out = append(out, protocol.Order{Verb: protocol.VerbStart, Task: protocol.TaskName(k.job, k.task), Try: x.try})
			}
		}
	}
	m.answered = now
	slices.SortStableFunc(out, func(a, b protocol.Order) int { return rank(a.Verb) - rank(b.Verb) })
	return out
}

func rank(verb string) int {
	switch verb {
	case protocol.VerbClear:
		return 0
	case protocol.VerbHalt:
		return 1
	}
	return 2
}

// halts lists the halts that a machine is due.
func (s *shard) halts(m *machine, now time.Time) []protocol.Order {
	var out []protocol.Order
	zero := 0.0
	for k, try := range m.stray {
		out = append(out, protocol.Order{Verb: protocol.VerbHalt, Task: protocol.TaskName(k.job, k.task), Try: try, MercyS: &zero})
	}
	for k, x := range m.runs {
		if x.halt && x.sent {
			x.haltOut = now
			mercy := x.mercy
			out = append(out, protocol.Order{Verb: protocol.VerbHalt, Task: protocol.TaskName(k.job, k.task), Try: x.try, MercyS: &mercy})
		}
	}
	return out
}
