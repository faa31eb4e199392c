package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

// allows reports whether the job's tasks may run on machines of a type, zone
// and price class.
func (j *job) allows(typeName, zone string, spot bool) bool {
	return (j.machineTypes == nil || j.machineTypes[typeName]) && (j.spec.Zone == "" || j.spec.Zone == zone) && (j.spec.Spot || !spot)
}

// allowsMachine reports whether the job's tasks may run on machines like this.
func (j *job) allowsMachine(m *machine) bool {
	return j.allows(m.lease.MachineType, m.lease.Zone, m.lease.Spot)
}

// zoneAllows reports whether one more task may run in a zone beside the job's
// others.
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

// canPlaceOn reports whether a machine may get one more task of a job, free
// capacity apart.
func (j *job) canPlaceOn(m *machine) bool {
	return m.acceptsTasks() && j.canRunOn(m) && j.hasTaskFor(m)
}

// canRunOn reports whether one more task of a job may run on a machine beside
// the job's others, whatever else is there.
func (j *job) canRunOn(m *machine) bool {
	return j.allowsMachine(m) && !j.failedOn[m.lease.Machine] && j.zoneAllows(m.lease.Zone)
}

// hasTaskFor reports whether the job has a pending task that may be started on a
// machine. A task may not while a copy of a start order of an ended attempt may
// still arrive there: another attempt would displace the ended one that makes
// the copy harmless. This concerns that very task, not the others of its job.
func (j *job) hasTaskFor(m *machine) bool {
	if m.exchange.CountUnanswered() == 0 {
		return true
	}
	kept := 0
	for key := range m.exchange.UnansweredTasks() {
		if key.job == j.id && j.isTaskPending(key.task) {
			kept++
		}
	}
	return kept == 0 || kept < j.pendingTasks()
}

// takeTaskFor returns a task to place on a machine, or -1 if there is none that
// may be started there.
func (j *job) takeTaskFor(m *machine) int {
	var kept []int
	task := j.takePendingTask()
	for task >= 0 && m.exchange.StartMayArrive(taskKey{j.id, task}) {
		kept = append(kept, task)
		task = j.takePendingTask()
	}
	j.retry = append(j.retry, kept...)
	return task
}

// remainingQuota returns how many more tasks of a job its team's share allows,
// besides what is used already and an amount that may be used unreported.
func (s *shard) remainingQuota(j *job, teams map[string]teamQuota, unreported storage.Resources) int {
	quota, used, share := teams[j.spec.Team], s.used[j.spec.Team], s.shares[j.spec.Team]
	if limited, ok := s.shareCaps[j.spec.Team]; ok {
		share = minAmount(share, limited)
	}
	tasks := j.spec.Tasks
	limit := func(quota, share, spent, need float64) {
		const roundingError = 1e-9
		if quota > 0 && need > 0 {
			tasks = min(tasks, int((share-spent)/need+roundingError))
		}
	}
	limit(quota.limit.Cores, share.Cores, used.Cores+unreported.Cores, j.need[placement.Cores])
	limit(quota.limit.GPUs, share.GPUs, used.GPUs+unreported.GPUs, j.need[placement.GPUs])
	return max(tasks, 0)
}

// placePending places what fits, in queue order, and returns what does not
// though its team's share would allow it. It leaves the jobs with pending tasks
// in the shard's queue.
func (p *planner) placePending() []unplacedTasks {
	s := p.shard
	p.unreported = s.unreportedCapacity()
	p.claimed = map[string]storage.Resources{}
	s.resetDesired()
	candidates := p.placementCandidates()
	var unplaced []unplacedTasks
	for _, j := range s.queue {
		pending := j.pendingTasks()
		j.addNeed(s.desired, pending)
		allowed := min(pending, s.remainingQuota(j, p.input.teams, p.unreported))
		placed := 0
		if j.spec.IsGang() {
			if allowed < pending || len(j.attempts) > 0 {
				s.noteUnplaced(j, allowed < pending, p.now)
				continue // a gang starts as a whole, once its last attempt has ended everywhere
			}
			placed = p.placeGang(j, allowed, candidates)
		} else {
			placed = len(p.placeTasks(j, allowed, candidates))
		}
		s.noteUnplaced(j, placed >= allowed, p.now)
		unplaced = p.appendUnplaced(unplaced, j, allowed-placed)
	}
	s.capacityFreed = false
	p.leaving = p.leavingTasks()
	s.updateSmallestTasks(p.leaving)
	return unplaced
}

// appendUnplaced appends so many tasks of a job to those that found no machine, as far as
// its team's quota allows: what is unplaced of earlier jobs has a claim on that, too.
func (p *planner) appendUnplaced(unplaced []unplacedTasks, j *job, count int) []unplacedTasks {
	claim := p.claimed[j.spec.Team]
	spoken := storage.Resources{Cores: p.unreported.Cores + claim.Cores, GPUs: p.unreported.GPUs + claim.GPUs}
	count = min(count, p.shard.remainingQuota(j, p.input.teams, spoken))
	if count <= 0 {
		return unplaced
	}
	j.addNeed(p.claimed, count)
	return append(unplaced, unplacedTasks{j, count})
}

// leavingTasks lists the pending tasks of jobs that are held back to leave the shard, after
// those that found no machine. They are placed on none. But a machine that was requested
// for them before may come, and take them, long before their job's last attempt has ended.
func (p *planner) leavingTasks() []unplacedTasks {
	var leaving []unplacedTasks
	isLeaving := func(j *job) bool { return j.isLeaving() && !j.migrating && !j.ended }
	for _, j := range sortedBySubmission(p.shard.jobs, isLeaving) {
		pending := j.pendingTasks()
		j.addNeed(p.shard.desired, pending)
		leaving = p.appendUnplaced(leaving, j, pending)
	}
	return leaving
}

// resetDesired begins to sum what the teams desire with what they use.
func (s *shard) resetDesired() {
	clear(s.desired)
	for team, usage := range s.used {
		s.desired[team] = usage
	}
}

// placementCandidates lists the machines that can take any pending task at all.
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

// updateSmallestTasks records the least that one of a team's pending tasks
// needs, of the queue and of the jobs that are held back.
func (s *shard) updateSmallestTasks(leaving []unplacedTasks) {
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
			Cores: smaller(smallest.Cores, j.need[placement.Cores]),
			GPUs:  smaller(smallest.GPUs, j.need[placement.GPUs]),
		}
	}
	for _, j := range s.queue {
		if j.pendingTasks() > 0 {
			add(j)
		}
	}
	for _, tasks := range leaving {
		add(tasks.job)
	}
}

// fillMachine places pending tasks on a machine with freed capacity, in the
// order of the last plan. That plan left no task that fits on another machine,
// so the lowest score is to be had here; gangs wait for the next plan.
func (s *shard) fillMachine(m *machine, teams map[string]teamQuota) {
	s.capacityFreed = false
	if !m.acceptsTasks() {
		return
	}
	free := m.freeCapacity()
	var unreported storage.Resources
	known := false
	for _, j := range s.queue {
		if !free.Fits(j.need) || !s.canFillWith(j, m) {
			continue
		}
		if !known { // costly, and most heartbeats free no capacity
			unreported, known = s.unreportedCapacity(), true
		}
		for n := s.remainingQuota(j, teams, unreported); n > 0 && free.Fits(j.need) && j.zoneAllows(m.lease.Zone); n-- {
			task := j.takeTaskFor(m)
			if task < 0 {
				break
			}
			s.place(j, task, m)
			free = m.freeCapacity()
		}
	}
}

// canFillWith reports whether a machine may be filled with tasks of a job that
// was in the queue of the last plan: the job may have changed since, or ended.
func (s *shard) canFillWith(j *job, m *machine) bool {
	return s.jobs[j.id] == j && j.isStartable() && !j.spec.IsGang() && j.pendingTasks() > 0 && j.canPlaceOn(m)
}

// placeGang places all tasks of a gang, so many, under one attempt number, or
// none if some find no place. It returns how many it has placed.
func (p *planner) placeGang(j *job, count int, machines []*machine) int {
	placed := p.placeTasks(j, count, machines)
	if len(placed) < count {
		for _, attempt := range placed {
			p.shard.dropAttempt(attempt)
		}
		return 0
	}
	for _, attempt := range placed {
		attempt.number = placed[0].number
	}
	return len(placed)
}

// placeTasks places up to count tasks of a job, each on the machine with the
// lowest score after it.
func (p *planner) placeTasks(j *job, count int, machines []*machine) []*taskAttempt {
	if count == 0 {
		return nil
	}
	selector := p.input.params.NewSelector(j.need)
	for i, m := range machines {
		if m.freeCapacity().Fits(j.need) && j.canPlaceOn(m) {
			selector.Add(i, m.freeCapacity(), m.size, preference(j, m, p.shard.acquiredAt))
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
		selector.PlaceOnBest()
		placed = append(placed, p.shard.place(j, task, machines[i]))
		slog.Debug("task placed", "job", j.id, "task", task, "machine", machines[i].lease.Machine)
	}
	return placed
}

// preference decides equal scores: machines that have had the job's image
// first, then spot before on demand, then those whose next heartbeat, and so
// the answer with their orders, is due soonest.
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

// minNeed returns what every one of the jobs' tasks needs at least.
func minNeed(jobs []*job) placement.Resources {
	if len(jobs) == 0 {
		return placement.Resources{}
	}
	smallest := jobs[0].need
	for _, j := range jobs[1:] {
		for d := range smallest {
			smallest[d] = min(smallest[d], j.need[d])
		}
	}
	return smallest
}
