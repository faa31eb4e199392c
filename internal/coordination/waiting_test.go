package coordination

import (
	"fmt"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// mostWait is how long a job may wait, once all troubles are over, while a machine
// that fits has room and its team is under its limit.
const mostWait = 90 * time.Second

// waitingJobs follows the jobs that wait beside room for them.
type waitingJobs struct {
	looked time.Time
	since  map[string]time.Time // by job: since when there is room for a task that waits
	why    []string             // how the holders see those that were left
}

// occupancy is what runs, or is about to, on all machines.
type occupancy struct {
	used  map[string]float64   // cores by team
	free  map[string]float64   // cores by machine
	tasks map[string]*worker   // by task
	zones map[string][]*worker // machines of a job's tasks
}

// occupied looks at all machines; the world's lock is held.
func (w *world) occupied() occupancy {
	o := occupancy{used: map[string]float64{}, free: map[string]float64{}, tasks: map[string]*worker{}, zones: map[string][]*worker{}}
	for _, m := range w.workers {
		free := m.breed.Cores
		for _, t := range m.tasks {
			if t.status == protocol.Ended {
				continue
			}
			free -= t.job.Cores
			o.used[t.job.Team] += t.job.Cores
			o.tasks[t.name] = m
			o.zones[t.job.ID] = append(o.zones[t.job.ID], m)
		}
		if m.session > 0 && !m.dead && m.warn == nil && !time.Now().Before(m.hung) {
			o.free[m.id] = free
		}
	}
	return o
}

// waitingTasks counts the tasks of a job that neither run nor are done.
func (w *world) waitingTasks(j *protocol.Job, o occupancy) int {
	n := 0
	for t := range j.Tasks {
		if name := protocol.TaskName(j.ID, t); !w.done[name] && o.tasks[name] == nil {
			n++
		}
	}
	return n
}

// roomFor names a machine that has room for one more task of a job, or is nil.
func (w *world) roomFor(j *protocol.Job, o occupancy) *worker {
	for _, team := range w.set.Deployment.Teams {
		if team.Name == j.Team && o.used[j.Team]+j.Cores > team.CPUsMax+1e-9 {
			return nil
		}
	}
	for id, free := range o.free {
		if m := w.workers[id]; free >= j.Cores-1e-9 && suitsModel(j, m, o.zones[j.ID]) {
			return m
		}
	}
	return nil
}

// allowedOn tells whether a job's tasks may run on a machine of that type, zone and
// kind.
func allowedOn(j *protocol.Job, m *worker) bool {
	return (j.Yard == "" || j.Yard == m.r.Zone) && (j.Spot || !m.r.Spot) && (len(j.Breeds) == 0 || slices.Contains(j.Breeds, m.r.Breed))
}

// suitsModel tells whether one more task of a job may run on a machine beside the
// job's others, room apart.
func suitsModel(j *protocol.Job, m *worker, others []*worker) bool {
	if !allowedOn(j, m) {
		return false
	}
	same := 0
	for _, o := range others {
		if o.r.Zone == m.r.Zone {
			same++
		} else if j.OneZone {
			return false
		}
	}
	return !j.Spread || same < (j.Tasks+1)/2
}

// followWaiting looks for jobs that wait though there is room; the world's lock is
// held.
func (w *world) followWaiting(now time.Time) {
	w.waiting.looked = now
	o := w.occupied()
	for id := range w.accepted {
		j := w.specs[id]
		held := slices.ContainsFunc(j.Waits, func(dep string) bool { return !w.allDone(dep) })
		var room *worker
		if !held && w.told[id] == "" && !w.cancelled(id) && w.waitingTasks(j, o) > 0 {
			room = w.roomFor(j, o)
		}
		since, waits := w.waiting.since[id]
		switch {
		case room == nil:
			delete(w.waiting.since, id)
		case !waits:
			w.waiting.since[id] = now
		case now.Sub(since) > mostWait:
			w.breakf("left waiting: %s for %v, %d of %d tasks, %g cores of %s, room on %s (%v) of %g, team uses %g", id, now.Sub(since), w.waitingTasks(j, o), j.Tasks,
				j.Cores, j.Team, room.id, room.r, o.free[room.id], o.used[j.Team])
			w.goes(func() { w.explain(id) })
			w.waiting.since[id] = now.Add(time.Hour) // said once
		}
	}
}

// explain keeps how the holder sees a job that is left waiting.
func (w *world) explain(id string) {
	why := w.whyOpen()[id]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting.why = append(w.waiting.why, id+": "+why)
}

// beginsLate names a job of at least so many tasks whose first did not run within a
// time of its acceptance, or is empty.
func (w *world) beginsLate(tasks int, within time.Duration) string {
	for id, accepted := range w.first {
		if j := w.specs[id]; j.Tasks < tasks || w.cancelled(id) {
			continue
		}
		if began := w.firstOn[id]; began.IsZero() || began.Sub(accepted) > within {
			return fmt.Sprintf("%s was accepted at %v and began at %v", id, accepted.Sub(w.begun), began.Sub(w.begun))
		}
	}
	return ""
}
