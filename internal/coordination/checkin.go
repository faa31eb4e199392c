package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/outage"
	"reedtrack/internal/protocol"
)

// report takes in a worker's report; false means that it is older than one
// taken in before, and is not to be answered.
func (s *shard) report(m *machine, r *protocol.Report, now time.Time) bool {
	first := !m.heard()
	same := !first && r.Session == m.exchange.Session()
	order, grown := m.exchange.Report(r.Session, r.Sequence)
	if order == dispatch.Old {
		return false
	}
	if grown {
		// The worker's lease ran out: whatever was started before is gone,
		// and what is still on its way there is refused.
		for _, x := range m.runs {
			if x.start.Sent() {
				s.drop(x)
			}
		}
	}
	if m.expired && same {
		// By our clock its lease is over, and it has not noticed yet. It
		// will, before it can take an answer.
		return false
	}
	m.address, m.direct.reported = r.Address, now
	m.word, m.state = now, outage.Well
	if order == dispatch.Behind {
		// What it lists was known from a newer answer of /do. The worker waits
		// for orders all the same.
		return true
	}
	if s.freed = s.freed || first || m.expired; m.expired {
		m.idle = now // back after its lease, and empty
	}
	m.expired = false
	if r.Token >= s.token(m) {
		m.settled = true
	}
	m.warn(r.WarningS, now)
	clear(m.stray)
	clear(m.cleared)
	m.odd = false
	s.uncertain[m] = true // until it is looked at: it may list what is not known
	listed := s.follow(m, r, now, func(k taskKey, t protocol.TaskReport) bool {
		s.foreign(m, k, t, now)
		return m.runs[k] != nil && m.runs[k].attempt == t.Attempt
	})
	for k, x := range m.runs {
		// The worker has one report in flight at a time: what it does not
		// list now, though an earlier answer carried the start, it has
		// dropped with that answer or forgotten.
		if !listed[k] && x.start.Missing(r.Token > s.token(m), s.guards) {
			s.drop(x)
		}
	}
	s.settle()
	return true
}

func (m *machine) warn(inS *float64, now time.Time) {
	if inS != nil && m.takenAt.IsZero() {
		m.takenAt = now.Add(time.Duration(*inS * float64(time.Second)))
		slog.Info("machine will be taken", "machine", m.block.Machine, "in_s", *inS)
	} else if inS == nil {
		m.takenAt = time.Time{}
	}
}

// follow takes in the tasks that a report lists, and returns those that are this
// holder's. Of the others it asks whether they have become so.
func (s *shard) follow(m *machine, r *protocol.Report, now time.Time, other func(taskKey, protocol.TaskReport) bool) map[taskKey]bool {
	listed := make(map[taskKey]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		k := keyOf(t.Task)
		if x := m.runs[k]; x != nil && x.attempt == t.Attempt {
			listed[k] = true
			s.update(m, x, t, now)
		} else if other(k, t) {
			listed[k] = true
		}
	}
	return listed
}

// update follows a task that this controller knows of.
func (s *shard) update(m *machine, x *run, t protocol.TaskReport, now time.Time) {
	x.start.Reported()
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
	m.exchange.Ended(x.key, t.Attempt, &x.start)
	s.drop(x)
	m.cleared[x.key] = t.Attempt
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
		m.cleared[k] = t.Attempt
		return
	}
	if j == nil || k.task >= j.spec.Tasks || j.done.Has(k.task) || j.runs[k.task] != nil || m.settled && !j.unsure {
		m.stray[k] = t.Attempt
		return
	}
	x := &run{key: k, job: j, m: m, attempt: t.Attempt, status: t.Status, began: now, adopted: true}
	x.start.Reported()
	s.attach(x)
}

// orders answers a report that has been taken in.
func (s *shard) orders(m *machine, now time.Time) []protocol.Order {
	out := []protocol.Order{}
	for k, attempt := range m.cleared {
		j := s.jobs[k.job]
		if j != nil && j.done.Has(k.task) && j.saved < j.done.Len() {
			// The worker keeps the news until the record has it.
			continue
		}
		if !m.exchange.MayClear(k, attempt, s.guards) {
			continue // a copy of its start may still come, and would start it anew
		}
		out = append(out, protocol.Order{Verb: protocol.VerbClear, Task: protocol.TaskName(k.job, k.task), Attempt: attempt})
	}
	// What is to be stopped and may still be on its way straight to the worker
	// is started first: an attempt that it has had is not started by a copy.
	for k, x := range m.runs {
		if x.halt && x.start.Bound() && s.guards&dispatch.WithoutStartHalt == 0 {
			x.start.SentInAnswer()
			out = append(out, protocol.Order{Verb: protocol.VerbStart, Task: protocol.TaskName(k.job, k.task), Attempt: x.attempt})
		}
	}
	out = append(out, s.halts(m, now)...)
	if m.settled && !m.bad && !m.release {
		out = append(out, s.starts(m, now)...)
	}
	m.answered = now
	return out
}

// starts lists the starts that a machine is owed in the answer to a report:
// those that have not gone out, and those that have gone straight to it and of
// which it has not told yet.
func (s *shard) starts(m *machine, now time.Time) []protocol.Order {
	var out []protocol.Order
	for k, x := range m.runs {
		if x.halt || x.job.ended || !x.start.Owed() {
			continue
		}
		if x.start.SentInAnswer(); x.out.IsZero() {
			x.out = now
		}
		out = append(out, protocol.Order{Verb: protocol.VerbStart, Task: protocol.TaskName(k.job, k.task), Attempt: x.attempt})
	}
	return out
}

// halts lists the halts that a machine is due.
func (s *shard) halts(m *machine, now time.Time) []protocol.Order {
	var out []protocol.Order
	zero := 0.0
	for k, attempt := range m.stray {
		out = append(out, protocol.Order{Verb: protocol.VerbHalt, Task: protocol.TaskName(k.job, k.task), Attempt: attempt, MercyS: &zero})
	}
	for k, x := range m.runs {
		if x.halt && x.start.Sent() {
			x.haltOut = now
			mercy := x.mercy
			out = append(out, protocol.Order{Verb: protocol.VerbHalt, Task: protocol.TaskName(k.job, k.task), Attempt: x.attempt, MercyS: &mercy})
		}
	}
	return out
}
