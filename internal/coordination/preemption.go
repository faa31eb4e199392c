package coordination

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/policy"
)

// freeSpace is capacity of a machine that is free or about to be freed.
type freeSpace struct {
	machine  *machine
	capacity placement.Resources
	slots    int // see freeTaskSlots
}

// hasSlotFor reports whether the machine has, or is about to have, a slot for one more task of
// a job.
func (f *freeSpace) hasSlotFor(j *job) bool {
	return slotsFor(f.slots, f.machine.capacity, j.taskResources) > 0
}

// excludeStopping leaves out tasks that will fit once stopping attempts have ended.
func (p *planner) excludeStopping(unplaced []unplacedTasks) []unplacedTasks {
	var stopping []*freeSpace
	for _, m := range p.machines {
		free, slots := m.freeCapacity(), m.freeTaskSlots()
		found := false
		for _, attempt := range m.attempts {
			if attempt.stopRequested {
				free, found = free.Add(attempt.job.taskResources), true
				slots++
			}
		}
		if found && m.isSchedulable() {
			stopping = append(stopping, &freeSpace{m, free, slots})
		}
	}
	return excludeFitting(unplaced, stopping)
}

// excludeFitting leaves out the tasks that fit into the given spaces, and subtracts
// their needs from these.
func excludeFitting(unplaced []unplacedTasks, spaces []*freeSpace) []unplacedTasks {
	if len(spaces) == 0 {
		return unplaced
	}
	var rest []unplacedTasks
	for _, tasks := range unplaced {
		j := tasks.job
		for _, space := range spaces {
			for tasks.count > 0 && space.hasSlotFor(j) && space.capacity.Fits(j.taskResources) && j.canRunOn(space.machine) {
				space.capacity = space.capacity.Sub(j.taskResources)
				space.slots--
				tasks.count--
			}
		}
		if tasks.count > 0 {
			rest = append(rest, tasks)
		}
	}
	return rest
}

// preemptionCandidate is a set of attempts on one machine that could be preempted for
// one task of a job.
type preemptionCandidate struct {
	machine  *machine
	attempts []*taskAttempt
	loss     float64 // total preemption cost, see policy.RunningTask.PreemptionCost
	lostWork float64 // in core seconds
}

// preempt stops tasks of lower priority, or of teams beyond their guarantee, for jobs
// that should preempt. It returns the tasks that remain unplaced.
func (p *planner) preempt(unplaced []unplacedTasks) []unplacedTasks {
	var rest []unplacedTasks
	for _, tasks := range unplaced {
		if preemptor := p.input.preemptor(tasks.job, p.now); preemptor.ShouldPreempt() {
			tasks.count -= p.preemptFor(tasks, preemptor)
		}
		if tasks.count > 0 {
			rest = append(rest, tasks)
		}
	}
	return rest
}

// preemptFor preempts the cheapest victims until all given tasks fit or no candidate
// is left, and returns the number of tasks that fit.
func (p *planner) preemptFor(tasks unplacedTasks, preemptor policy.Preemptor) int {
	candidates := p.preemptionCandidates(tasks.job, preemptor)
	n := 0
	for ; n < tasks.count && len(candidates) > 0; n++ {
		best := cheapestCandidate(candidates)
		p.stopVictims(candidates[best], tasks.job)
		// One preemption per machine and plan: the next plan evaluates further
		// victims there.
		candidates = slices.Delete(candidates, best, best+1)
	}
	return n
}

// preemptionCandidates lists the preemption candidates for one task of a job, one per
// machine at most.
func (p *planner) preemptionCandidates(j *job, preemptor policy.Preemptor) []preemptionCandidate {
	// Preemption must not lose more work than the task itself takes.
	maxWork := j.taskResources[placement.Cores] * max(j.spec.EstimatedSeconds, 1)
	var candidates []preemptionCandidate
	for _, m := range p.machines {
		if !m.isSchedulable() || !j.canRunOn(m) {
			continue
		}
		candidate := p.cheapestVictims(j, preemptor, m)
		if candidate.attempts != nil && preemptor.IsWorthLoss(maxWork, candidate.lostWork, candidate.loss) {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// cheapestCandidate returns the index of the first candidate with the lowest loss.
func cheapestCandidate(candidates []preemptionCandidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].loss < candidates[best].loss {
			best = i
		}
	}
	return best
}

// stopVictims preempts the attempts of a candidate for a job. An attempt whose start
// order has not been sent loses no work and is not counted as preempted.
func (p *planner) stopVictims(candidate preemptionCandidate, j *job) {
	for _, attempt := range candidate.attempts {
		victim := attempt.job
		slog.Info("task preempted", "job", attempt.key.job, "task", attempt.key.task, "class", victim.spec.Class, "preemptor", j.id, "preemptor_class", j.spec.Class, "within_guarantee", j.withinGuarantee, "machine", candidate.machine.lease.Machine)
		if p.shard.dropUnsent(attempt) {
			continue
		}
		attempt.requestStop(victim.spec.CheckpointSeconds)
		if victim.preemptions == nil {
			victim.preemptions = map[int]int{}
		}
		victim.preemptions[attempt.key.task]++
	}
}

// cheapestVictims selects the attempts to preempt on one machine for a task of a job;
// none if preemption can't make it fit.
func (p *planner) cheapestVictims(j *job, preemptor policy.Preemptor, m *machine) preemptionCandidate {
	candidate := preemptionCandidate{machine: m}
	attempts, tasks := p.shard.victims(j, preemptor, m, p.input, p.now)
	if len(attempts) == 0 {
		return candidate
	}
	victims := make([]placement.Victim, len(attempts))
	for k, attempt := range attempts {
		victims[k] = placement.Victim{Resources: attempt.job.taskResources, Cost: tasks[k].PreemptionCost()}
	}
	var chosen []int
	chosen, candidate.loss = placement.SelectVictims(m.freeCapacity(), j.taskResources, victims)
	if len(chosen) == 0 && !m.hasSlotFor(j) && m.freeCapacity().Fits(j.taskResources) {
		chosen, candidate.loss = cheapestVictim(victims) // only its slot is needed
	}
	for _, k := range chosen {
		candidate.attempts = append(candidate.attempts, attempts[k])
		candidate.lostWork += (tasks[k].LostSeconds + 1) * max(tasks[k].Cores, 0.1)
	}
	return candidate
}

// cheapestVictim returns the index of the cheapest of the victims, of which there is at least
// one, and its cost.
func cheapestVictim(victims []placement.Victim) ([]int, float64) {
	cheapest := 0
	for i, victim := range victims {
		if victim.Cost < victims[cheapest].Cost {
			cheapest = i
		}
	}
	return []int{cheapest}, victims[cheapest].Cost
}

// preemptor describes a pending job to the preemption policy.
func (p *planInput) preemptor(j *job, now time.Time) policy.Preemptor {
	preemptor := policy.Preemptor{
		Urgency:           int(j.urgency),
		WithinMinQuota:    j.withinGuarantee,
		Waited:            now.Sub(j.submittedAt).Seconds(),
		HeartbeatInterval: p.heartbeatInterval.Seconds(),
		Slack:             math.Inf(1),
	}
	for _, objective := range p.objectives {
		if objective.Kind == objectiveGuarantee {
			preemptor.StartObjective = objective.WithinS
		}
	}
	if !math.IsInf(j.deadlineMS, 1) {
		preemptor.Slack = j.secondsToDeadline(now) - j.spec.EstimatedSeconds
	}
	return preemptor
}

// victims lists the attempts that may be preempted on a machine for a job.
func (s *shard) victims(j *job, preemptor policy.Preemptor, m *machine, input *planInput, now time.Time) (attempts []*taskAttempt, tasks []policy.RunningTask) {
	for _, attempt := range m.attempts {
		if attempt.stopRequested || attempt.job.ended {
			continue
		}
		task := input.runningTask(attempt, j, now)
		if preemptor.CanPreempt(task) {
			attempts, tasks = append(attempts, attempt), append(tasks, task)
		}
	}
	return attempts, tasks
}

// runningTask describes an attempt to the preemption policy, as a possible
// victim of a job.
func (p *planInput) runningTask(a *taskAttempt, preemptor *job, now time.Time) policy.RunningTask {
	victim := a.job
	lost := a.secondsRunning(now)
	if victim.spec.CheckpointIntervalSeconds > 0 {
		lost = min(lost, victim.spec.CheckpointSeconds)
	}
	return policy.RunningTask{
		Urgency:         int(victim.urgency),
		WithinMinQuota:  victim.withinGuarantee,
		BeyondMinQuota:  victim.spec.Team != preemptor.spec.Team && p.isBeyondGuarantee(victim),
		BelowMinService: p.serviceLevels.isBelowMinimum(victim),
		Preemptions:     victim.preemptions[a.key.task],
		Cores:           victim.taskResources[placement.Cores],
		LostSeconds:     lost,
	}
}

// isBeyondGuarantee reports whether a job's team would still use its whole guarantee
// without one of the job's tasks.
func (p *planInput) isBeyondGuarantee(j *job) bool {
	usage, guarantee := p.usage[j.spec.Team], p.teams[j.spec.Team].guarantee
	return usage.Cores-j.taskResources[placement.Cores] >= guarantee.Cores && usage.GPUs-j.taskResources[placement.GPUs] >= guarantee.GPUs
}
