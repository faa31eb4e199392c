package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/failuredetector"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
)

// drain stops tasks on cordoned machines, and tasks that can save a checkpoint on
// machines about to be reclaimed. It returns attempts that have not been sent to
// these or to unhealthy machines to the queue.
func (p *planner) drain() {
	for _, m := range p.machines {
		mustDrain := !m.reclaimAt.IsZero() || m.cordoned
		if m.health != failuredetector.Healthy || mustDrain {
			// Attempts that have not been sent can be placed elsewhere immediately.
			p.shard.dropUnsentAttempts(m)
		}
		if !mustDrain {
			continue
		}
		for _, attempt := range m.attempts {
			if m.cordoned || p.mustCheckpointNow(attempt) {
				attempt.requestStop(attempt.job.spec.CheckpointSeconds)
			}
		}
	}
}

// mustCheckpointNow reports whether an attempt on a machine to be reclaimed has to
// be stopped now to save a checkpoint in time. The stop order is delivered with the
// answer to the next heartbeat, which may be late: hence one and a half heartbeat
// intervals.
func (p *planner) mustCheckpointNow(a *taskAttempt) bool {
	spec := &a.job.spec
	if spec.CheckpointIntervalSeconds <= 0 {
		return false
	}
	checkpointTime := time.Duration((spec.CheckpointSeconds + 1) * float64(time.Second))
	return a.machine.reclaimAt.Sub(p.now) < checkpointTime+p.input.heartbeatInterval*3/2
}

// consolidate drains the most expensive machine whose tasks can all save a
// checkpoint and fit elsewhere, if no tasks are unplaced. Otherwise, as the load
// falls, machines would be kept for one long task each.
func (p *planner) consolidate(unplaced []unplacedTasks) {
	if len(unplaced) > 0 {
		for _, m := range p.machines {
			m.draining = false
		}
		return
	}
	if p.isDrainingMachine() {
		return // one at a time
	}
	m := p.selectMachineToDrain()
	if m == nil {
		return
	}
	slog.Info("machine draining", "machine", m.lease.Machine, "tasks", len(m.attempts))
	m.draining = true
	for _, attempt := range m.attempts {
		attempt.requestStop(attempt.job.spec.CheckpointSeconds)
	}
}

// isDrainingMachine reports whether a machine that still runs tasks is being
// drained.
func (p *planner) isDrainingMachine() bool {
	for _, m := range p.machines {
		if m.draining && len(m.attempts) > 0 {
			return true
		}
	}
	return false
}

// selectMachineToDrain returns the most expensive machine that can be drained, or
// nil if there is none.
func (p *planner) selectMachineToDrain() *machine {
	var candidates []*machine
	for _, m := range p.machines {
		if m.isSchedulable() && len(m.attempts) > 0 {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int { return cmp.Compare(p.input.price(b.kind()), p.input.price(a.kind())) })
	for _, m := range candidates {
		if p.canDrain(m, candidates) {
			return m
		}
	}
	return nil
}

// reservation is what tasks that are to be moved to a machine will take of it.
type reservation struct {
	resources placement.Resources
	tasks     int
}

// canDrain reports whether every task of a machine is worth moving and fits on
// other machines in use at the same or a lower price.
func (p *planner) canDrain(m *machine, machines []*machine) bool {
	reserved := map[*machine]reservation{}
	for _, attempt := range m.attempts {
		if !p.isWorthMoving(attempt) {
			return false
		}
		other := p.selectMoveTarget(attempt, machines, reserved)
		if other == nil {
			return false
		}
		reserved[other] = reservation{reserved[other].resources.Add(attempt.job.taskResources), reserved[other].tasks + 1}
	}
	return true
}

// isWorthMoving reports whether an attempt can resume elsewhere from a checkpoint
// and has enough work left to justify the move. A task that is stopped within half
// a minute of its start does not count as started.
func (p *planner) isWorthMoving(a *taskAttempt) bool {
	const minRun = 30 * time.Second
	spec := &a.job.spec
	ran := p.now.Sub(a.startedAt)
	if spec.CheckpointIntervalSeconds <= 0 || spec.Type != "array" || a.stopRequested || a.status != protocol.Running || ran < minRun {
		return false
	}
	cost := spec.CheckpointSeconds + p.input.heartbeatInterval.Seconds() + p.input.imageFetchSeconds(a.machine.lease.MachineType, spec.ImageGB)
	return spec.EstimatedSeconds-ran.Seconds() >= 2*cost
}

// selectMoveTarget returns the best machine to move a task to, given the capacity
// reserved for other moves, or nil if none fits.
func (p *planner) selectMoveTarget(a *taskAttempt, machines []*machine, reserved map[*machine]reservation) *machine {
	j, m := a.job, a.machine
	i := p.input.params.SelectBest(len(machines), func(i int) (placement.Resources, placement.Resources, bool) {
		other := machines[i]
		free := other.freeCapacity().Sub(reserved[other].resources)
		hasSlot := slotsFor(other.freeTaskSlots()-reserved[other].tasks, other.capacity, j.taskResources) > 0
		ok := other != m && !other.draining && hasSlot && p.input.price(other.kind()) <= p.input.price(m.kind()) &&
			free.Fits(j.taskResources) && j.allowsMachine(other) && j.zoneAllows(other.lease.Zone)
		return free.Sub(j.taskResources), other.capacity, ok
	})
	if i < 0 {
		return nil
	}
	return machines[i]
}
