package coordination

import (
	"fmt"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// maxWaitDespiteCapacity is how long a job may wait, once all faults are over, while a
// suitable machine has capacity and its team is under its quota.
const maxWaitDespiteCapacity = 90 * time.Second

// waitingCheck tracks the jobs that wait although a machine has capacity for them.
type waitingCheck struct {
	checkedAt    time.Time
	since        map[string]time.Time // by job: since when a machine has had capacity for a waiting task
	explanations []string             // the holders' view of the jobs that waited too long
}

// occupancy is the use of all machines by running and starting tasks.
type occupancy struct {
	used  map[string]float64      // cores by team
	free  map[string]float64      // cores by machine
	tasks map[string]*simWorker   // by task
	zones map[string][]*simWorker // by job: the machines of its tasks
}

// occupancy returns the current use of all machines; the caller holds the world's lock.
func (w *world) occupancy() occupancy {
	o := occupancy{used: map[string]float64{}, free: map[string]float64{}, tasks: map[string]*simWorker{}, zones: map[string][]*simWorker{}}
	for _, m := range w.workers {
		free := m.machineType.Cores
		for _, t := range m.tasks {
			if t.status == protocol.Exited {
				continue
			}
			free -= t.job.Cores
			o.used[t.job.Team] += t.job.Cores
			o.tasks[t.name] = m
			o.zones[t.job.ID] = append(o.zones[t.job.ID], m)
		}
		hasSlot := len(m.tasks) < protocol.MaxReportedTasks // its heartbeats can list another task
		if m.session > 0 && !m.dead && m.warningS == nil && hasSlot && !time.Now().Before(m.hungUntil) {
			o.free[m.id] = free
		}
	}
	return o
}

// waitingTasks counts a job's tasks that are neither running nor done.
func (w *world) waitingTasks(j *protocol.Job, o occupancy) int {
	n := 0
	for t := range j.Tasks {
		if name := protocol.FormatTaskName(j.ID, t); !w.done[name] && o.tasks[name] == nil {
			n++
		}
	}
	return n
}

// machineWithCapacity returns a machine with capacity for one more task of a job, or nil.
func (w *world) machineWithCapacity(j *protocol.Job, o occupancy) *simWorker {
	for _, team := range w.settings.Deployment.Teams {
		if team.Name == j.Team && o.used[j.Team]+j.Cores > team.CPUsMax+1e-9 {
			return nil
		}
	}
	for id, free := range o.free {
		if m := w.workers[id]; free >= j.Cores-1e-9 && canRunInModel(j, m, o.zones[j.ID]) {
			return m
		}
	}
	return nil
}

// isAllowedOn reports whether a job may run on a machine by its type, zone and spot
// status.
func isAllowedOn(j *protocol.Job, m *simWorker) bool {
	return (j.Zone == "" || j.Zone == m.request.Zone) && (j.Spot || !m.request.Spot) && (len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, m.request.MachineType))
}

// canRunInModel reports whether one more task of a job may run on a machine, given the
// machines of its other tasks and regardless of free capacity.
func canRunInModel(j *protocol.Job, m *simWorker, others []*simWorker) bool {
	if !isAllowedOn(j, m) {
		return false
	}
	same := 0
	for _, o := range others {
		if o.request.Zone == m.request.Zone {
			same++
		} else if j.OneZone {
			return false
		}
	}
	return !j.Spread || same < (j.Tasks+1)/2
}

// checkWaiting looks for jobs that wait although there is capacity; the caller holds the
// world's lock.
func (w *world) checkWaiting(now time.Time) {
	w.waiting.checkedAt = now
	o := w.occupancy()
	for id := range w.accepted {
		j := w.specs[id]
		blocked := slices.ContainsFunc(j.DependsOn, func(dep string) bool { return !w.allDone(dep) })
		var candidate *simWorker
		if !blocked && w.finalStatus[id] == "" && !w.cancelled(id) && w.waitingTasks(j, o) > 0 {
			candidate = w.machineWithCapacity(j, o)
		}
		since, known := w.waiting.since[id]
		switch {
		case candidate == nil:
			delete(w.waiting.since, id)
		case !known:
			w.waiting.since[id] = now
		case now.Sub(since) > maxWaitDespiteCapacity:
			w.violationf("left waiting: %s for %v, %d of %d tasks, %g cores of %s, capacity on %s (%v) of %g, team uses %g", id, now.Sub(since), w.waitingTasks(j, o), j.Tasks,
				j.Cores, j.Team, candidate.id, candidate.request, o.free[candidate.id], o.used[j.Team])
			w.spawn(func() { w.explain(id) })
			w.waiting.since[id] = now.Add(time.Hour) // reported once
		}
	}
}

// explain records the holder's view of a job that waits too long.
func (w *world) explain(id string) {
	why := w.explainUnfinished()[id]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting.explanations = append(w.waiting.explanations, id+": "+why)
}

// lateStart describes a job with at least the given number of tasks whose first task did
// not start within the given time of the job's acceptance, or returns an empty string.
func (w *world) lateStart(tasks int, within time.Duration) string {
	for id, accepted := range w.acceptedAt {
		if j := w.specs[id]; j.Tasks < tasks || w.cancelled(id) {
			continue
		}
		if began := w.firstStartedAt[id]; began.IsZero() || began.Sub(accepted) > within {
			return fmt.Sprintf("%s was accepted at %v and started at %v", id, accepted.Sub(w.startedAt), began.Sub(w.startedAt))
		}
	}
	return ""
}
