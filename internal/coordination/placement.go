package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

// allows reports whether the job's tasks may run on machines of a type and zone, on
// spot or on demand.
func (j *job) allows(typeName, zone string, spot bool) bool {
	return (j.machineTypes == nil || j.machineTypes[typeName]) && (j.spec.Zone == "" || j.spec.Zone == zone) && (j.spec.Spot || !spot)
}

// allowsMachine reports whether the job's tasks may run on machines of m's kind.
func (j *job) allowsMachine(m *machine) bool {
	return j.allows(m.lease.MachineType, m.lease.Zone, m.lease.Spot)
}

// zoneAllows reports whether one more task may run in a zone under the job's zone
// constraints, given the zones of its other attempts.
func (j *job) zoneAllows(zone string) bool {
	if !j.spec.OneZone && !j.spec.Spread {
		return true
	}
	sameZone := 0
	for _, attempt := range j.attempts {
		if attempt.machine.lease.Zone == zone {
			sameZone++
		} else if j.spec.OneZone {
			return false
		}
	}
	return !j.spec.Spread || sameZone < (j.spec.Tasks+1)/2
}

// canPlaceOn reports whether one more task of the job may be placed on a machine,
// regardless of free capacity.
func (j *job) canPlaceOn(m *machine) bool {
	return m.acceptsTasks() && m.hasSlotFor(j) && j.canRunOn(m) && j.hasTaskFor(m)
}

// canRunOn reports whether the constraints of the job permit one more task on a
// machine, regardless of the machine's state and free capacity.
func (j *job) canRunOn(m *machine) bool {
	return j.allowsMachine(m) && !j.failedMachines[m.lease.Machine] && j.zoneAllows(m.lease.Zone)
}

// hasTaskFor reports whether the job has a pending task that may be started on a
// machine. A task may not be started there while the start of one of its ended attempts
// may arrive, late or again: a new attempt would displace the ended one, which makes that
// harmless. Other tasks of the job may be started.
func (j *job) hasTaskFor(m *machine) bool {
	if m.exchange.CountRetained() == 0 || len(j.retry) == 0 {
		return true
	}
	blocked := 0
	for key := range m.exchange.RetainedTasks() {
		if key.job == j.id && j.isTaskPending(key.task) {
			blocked++
		}
	}
	return blocked == 0 || blocked < j.pendingTasks()
}

// takeTaskFor takes a pending task that may be started on a machine, and returns -1
// if there is none.
func (j *job) takeTaskFor(m *machine) int {
	var blocked []int
	task := j.takePendingTask()
	for task >= 0 && m.exchange.StartMayArrive(taskKey{j.id, task}) {
		blocked = append(blocked, task)
		task = j.takePendingTask()
	}
	j.retry = append(j.retry, blocked...)
	return task
}

// remainingQuota returns how many more tasks of a job its team's share allows, after
// current usage and the given capacity, which unreported tasks may use.
func (s *shard) remainingQuota(j *job, teams map[string]teamQuota, unreported storage.Resources) int {
	quota, used, share := teams[j.spec.Team], s.used[j.spec.Team], s.shares[j.spec.Team]
	if limited, ok := s.shareCaps[j.spec.Team]; ok {
		share = minAmount(share, limited)
	}
	tasks := j.spec.Tasks
	limit := func(quota, share, spent, need float64) {
		const roundingError = 1e-9
		if quota > 0 && need > 0 {
			fitting := (share-spent)/need + roundingError // of tiny tasks, more than an int can hold
			tasks = int(min(float64(tasks), max(0, fitting)))
		}
	}
	limit(quota.limit.Cores, share.Cores, used.Cores+unreported.Cores, j.taskResources[placement.Cores])
	limit(quota.limit.GPUs, share.GPUs, used.GPUs+unreported.GPUs, j.taskResources[placement.GPUs])
	return tasks
}

// placePending places pending tasks in queue order. It returns those that fit on no
// machine though their team's share allows them; their jobs stay in the queue.
func (p *planner) placePending() []unplacedTasks {
	s := p.shard
	p.unreported = s.unreportedCapacity()
	p.claimed = map[string]storage.Resources{}
	s.resetDesired()
	candidates := p.placementCandidates()
	var unplaced []unplacedTasks
	for _, j := range s.queue {
		pending := j.pendingTasks()
		j.addTaskResources(s.desired, pending)
		allowed := min(pending, s.remainingQuota(j, p.input.teams, p.unreported))
		placed := 0
		if j.spec.IsGang() {
			if allowed < pending || len(j.attempts) > 0 {
				s.recordWaitReason(j, allowed < pending, p.now)
				continue // a gang starts as a whole, and only after all tasks of its previous attempt have ended
			}
			placed = p.placeGang(j, allowed, candidates)
		} else {
			placed = len(p.placeTasks(j, allowed, candidates))
		}
		s.recordWaitReason(j, placed >= allowed, p.now)
		unplaced = p.appendUnplaced(unplaced, j, allowed-placed)
	}
	s.capacityFreed = false
	p.drainingTasks = p.collectDrainingTasks()
	s.updateSmallestTasks(p.drainingTasks)
	return unplaced
}

// appendUnplaced appends up to count tasks of a job to the unplaced tasks, limited by its
// team's quota, of which unplaced tasks of earlier jobs have claimed a part.
func (p *planner) appendUnplaced(unplaced []unplacedTasks, j *job, count int) []unplacedTasks {
	claim := p.claimed[j.spec.Team]
	reserved := storage.Resources{Cores: p.unreported.Cores + claim.Cores, GPUs: p.unreported.GPUs + claim.GPUs}
	count = min(count, p.shard.remainingQuota(j, p.input.teams, reserved))
	if count <= 0 {
		return unplaced
	}
	j.addTaskResources(p.claimed, count)
	return append(unplaced, unplacedTasks{j, count})
}

// collectDrainingTasks lists the pending tasks of draining jobs. It is called after all
// unplaced tasks have claimed their part of the quota. Tasks of draining jobs are not placed
// but still counted in the scale-out: a machine that was requested for them may arrive, and
// run them, long before the last attempt of their job has ended.
func (p *planner) collectDrainingTasks() []unplacedTasks {
	var draining []unplacedTasks
	isDraining := func(j *job) bool { return j.isDraining() && !j.migrating && !j.ended }
	for _, j := range sortedBySubmission(p.shard.jobs, isDraining) {
		pending := j.pendingTasks()
		j.addTaskResources(p.shard.desired, pending)
		draining = p.appendUnplaced(draining, j, pending)
	}
	return draining
}

// resetDesired resets each team's desired amount to its current usage.
func (s *shard) resetDesired() {
	clear(s.desired)
	for team, usage := range s.used {
		s.desired[team] = usage
	}
}

// placementCandidates lists the machines that may fit a pending task: those with the
// minimum of each resource that any task needs.
func (p *planner) placementCandidates() []*machine {
	least := minNeed(p.shard.queue)
	var candidates []*machine
	for _, m := range p.machines {
		if m.acceptsTasks() && m.freeCapacity().Fits(least) {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// updateSmallestTasks records, for each team, the minimum of each resource that one of
// its pending tasks needs, including tasks of draining jobs.
func (s *shard) updateSmallestTasks(draining []unplacedTasks) {
	clear(s.smallestTask)
	smaller := func(a, b float64) float64 { // 0: none yet
		if a == 0 || b > 0 && b < a {
			return b
		}
		return a
	}
	add := func(j *job) {
		smallest := s.smallestTask[j.spec.Team]
		s.smallestTask[j.spec.Team] = storage.Resources{
			Cores: smaller(smallest.Cores, j.taskResources[placement.Cores]),
			GPUs:  smaller(smallest.GPUs, j.taskResources[placement.GPUs]),
		}
	}
	for _, j := range s.queue {
		if j.pendingTasks() > 0 {
			add(j)
		}
	}
	for _, tasks := range draining {
		add(tasks.job)
	}
}

// fillMachine places pending tasks on a machine with freed capacity, in the queue
// order of the last plan. That plan left no task that fits on another machine, so
// no other machine has a better score; gangs wait for the next plan.
func (s *shard) fillMachine(m *machine, teams map[string]teamQuota) {
	s.capacityFreed = false
	if !m.acceptsTasks() {
		return
	}
	free := m.freeCapacity()
	var unreported storage.Resources
	known := false
	for _, j := range s.queue {
		if !free.Fits(j.taskResources) || !s.canFillWith(j, m) {
			continue
		}
		if !known { // computed only when needed: it is expensive, and most heartbeats free no capacity
			unreported, known = s.unreportedCapacity(), true
		}
		allowed := min(s.remainingQuota(j, teams, unreported), slotsFor(m.freeTaskSlots(), m.capacity, j.taskResources))
		for n := allowed; n > 0 && free.Fits(j.taskResources) && j.zoneAllows(m.lease.Zone); n-- {
			task := j.takeTaskFor(m)
			if task < 0 {
				break
			}
			s.place(j, task, m)
			free = m.freeCapacity()
		}
	}
}

// canFillWith reports whether tasks of a job from the last plan's queue may still be
// placed on a machine: the job may have changed or ended since.
func (s *shard) canFillWith(j *job, m *machine) bool {
	return s.jobs[j.id] == j && j.isStartable() && !j.spec.IsGang() && j.pendingTasks() > 0 && j.canPlaceOn(m)
}

// placeGang places all count tasks of a gang under one attempt number, or none if
// they don't all fit. It returns the number of tasks placed.
func (p *planner) placeGang(j *job, count int, machines []*machine) int {
	placed := p.placeTasks(j, count, machines)
	if len(placed) < count {
		for _, attempt := range placed {
			p.shard.dropAttempt(attempt, dropNotSent)
		}
		return 0
	}
	for _, attempt := range placed {
		attempt.number = placed[0].number
	}
	return len(placed)
}

// placeTasks places up to count tasks of a job, each on the machine with the lowest
// score after the placement.
func (p *planner) placeTasks(j *job, count int, machines []*machine) []*taskAttempt {
	if count == 0 {
		return nil
	}
	selector := p.input.params.NewSelector(j.taskResources)
	for i, m := range machines {
		if m.freeCapacity().Fits(j.taskResources) && j.canPlaceOn(m) {
			selector.Add(i, m.freeCapacity(), m.capacity, preference(j, m, p.shard.acquiredAt))
		}
	}
	var placed []*taskAttempt
	for len(placed) < count {
		i := selector.Best()
		if i < 0 {
			break
		}
		if !j.zoneAllows(machines[i].lease.Zone) {
			selector.RemoveBest()
			continue
		}
		task := j.takeTaskFor(machines[i])
		if task < 0 {
			selector.RemoveBest()
			continue
		}
		placed = append(placed, p.shard.place(j, task, machines[i]))
		if machines[i].hasSlotFor(j) {
			selector.PlaceOnBest()
		} else {
			selector.RemoveBest()
		}
		slog.Debug("task placed", "job", j.id, "task", task, "machine", machines[i].lease.Machine)
	}
	return placed
}

// preference breaks ties between equal scores: machines that have had the job's image
// come first, then spot machines, then those whose next heartbeat is due soonest, since
// orders are delivered with the answer to it.
func preference(j *job, m *machine, since time.Time) int {
	rank := 0
	if !m.images[j.spec.Image] {
		rank = 2
	}
	if !m.lease.Spot {
		rank++
	}
	const soonestRank = 1 << 32
	return rank*soonestRank + int(m.lastAnswered.Sub(since)/(100*time.Millisecond))
}

// minNeed returns the minimum of each resource over the jobs' tasks.
func minNeed(jobs []*job) placement.Resources {
	if len(jobs) == 0 {
		return placement.Resources{}
	}
	smallest := jobs[0].taskResources
	for _, j := range jobs[1:] {
		for d := range smallest {
			smallest[d] = min(smallest[d], j.taskResources[d])
		}
	}
	return smallest
}
