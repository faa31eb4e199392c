package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/policy"
	"reedtrack/internal/protocol"
)

// orderQueue sorts the jobs with pending tasks so that as many as possible meet their
// deadlines, see package policy: first jobs of classes and teams below their minimum
// service level, then jobs within a guarantee, then by urgency.
func (s *shard) orderQueue(input *planInput, now time.Time) []*job {
	jobs := s.placeableJobs(now)
	snapshot := s.policySnapshot(jobs, input, now)
	ordered := make([]*job, 0, len(jobs))
	for _, i := range snapshot.Order().Jobs {
		ordered = append(ordered, jobs[i])
	}
	return ordered
}

// placeableJobs lists the jobs with tasks that may be placed now, in submission order,
// which breaks ties.
func (s *shard) placeableJobs(now time.Time) []*job {
	return sortedBySubmission(s.jobs, func(j *job) bool {
		return j.isStartable() && !now.Before(j.retryAfter) && j.pendingTasks() > 0
	})
}

// sortedBySubmission lists the jobs that satisfy a condition, in submission order.
func sortedBySubmission(jobs map[string]*job, condition func(*job) bool) []*job {
	var sorted []*job
	for _, j := range jobs {
		if condition(j) {
			sorted = append(sorted, j)
		}
	}
	slices.SortFunc(sorted, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submittedMS, b.submittedMS), cmp.Compare(a.id, b.id))
	})
	return sorted
}

// policySnapshot converts jobs, capacity and service levels to the input of the queue
// policy, which identifies classes and teams by index.
func (s *shard) policySnapshot(jobs []*job, input *planInput, now time.Time) policy.Snapshot {
	snapshot := policy.Snapshot{Jobs: make([]policy.Job, len(jobs))}
	s.addCapacity(&snapshot, input, now)
	classes, teams := nameIndex{}, nameIndex{}
	minCores := input.coresPerTaskSlot()
	for i, j := range jobs {
		deadlines, missed := input.deadlines(j, now)
		snapshot.Jobs[i] = policy.Job{
			Class:           classes.indexOf(j.spec.Class),
			Team:            teams.indexOf(j.spec.Team),
			Priority:        priorityClass(j),
			Work:            j.remainingWork(minCores, now),
			LastTaskSeconds: j.spec.EstimatedSeconds,
			Deadline:        deadlines[0],
			LaterDeadlines:  deadlines[1:],
			Overdue:         missed,
		}
	}
	snapshot.ClassService = make([]policy.ServiceLevel, len(classes))
	for name, number := range classes {
		snapshot.ClassService[number] = input.serviceLevels.byClass[name]
	}
	snapshot.TeamService = make([]policy.ServiceLevel, len(teams))
	limits := make([]float64, len(teams))
	for name, number := range teams {
		snapshot.TeamService[number] = input.serviceLevels.byTeam[name]
		limits[number] = input.teams[name].limit.Cores
	}
	snapshot.MaxQuota = func(team int) float64 { return limits[team] }
	return snapshot
}

// addCapacity adds the cores of the shard's machines, and those of its booting machines
// with their average remaining boot time.
func (s *shard) addCapacity(snapshot *policy.Snapshot, input *planInput, now time.Time) {
	for _, m := range s.machines {
		if m.isSchedulable() {
			snapshot.Cores += m.capacity[placement.Cores]
		}
	}
	for _, request := range s.booting {
		machineType := input.machineType(request.Kind.MachineType)
		more := float64(request.Count) * machineType.Cores
		left := s.remainingBootSeconds(request, machineType.BootSeconds, now)
		snapshot.BootSeconds = (snapshot.BootSeconds*snapshot.BootingCores + left*more) / max(snapshot.BootingCores+more, 1)
		snapshot.BootingCores += more
	}
}

// nameIndex assigns numbers to names in the order of their first use.
type nameIndex map[string]int

// indexOf returns the number of a name, and assigns the next number to a new name.
func (index nameIndex) indexOf(name string) int {
	number, ok := index[name]
	if !ok {
		number = len(index)
		index[name] = number
	}
	return number
}

// priorityClass returns the rank of a job: by urgency, with all jobs within a guarantee
// above all others.
func priorityClass(j *job) int {
	class := int(j.urgency)
	if j.withinGuarantee {
		class += int(protocol.PriorityProd) + 1
	}
	return class
}

// Kinds of service-level objectives, as named in the settings.
const (
	objectiveGuarantee = "guarantee" // work within a guarantee starts in time
	objectiveWait      = "wait"      // jobs of a class start in time
	objectiveFinished  = "finished"  // jobs of a class are finished in time
)

// deadlines returns the seconds left until each deadline of a job that can still be met,
// ascending: its own deadline and those from the objectives of its class or guarantee. A
// job that has missed them all gets a deadline of its estimated run time plus half of its
// waiting time, so that it does not starve.
func (p *planInput) deadlines(j *job, now time.Time) (deadlines []float64, missed bool) {
	waited := now.Sub(j.submittedAt).Seconds()
	found := false
	add := func(left float64) {
		found = true
		if left >= j.spec.EstimatedSeconds {
			deadlines = append(deadlines, left)
		}
	}
	if !math.IsInf(j.deadlineMS, 1) {
		add(j.secondsToDeadline(now))
	}
	for _, objective := range p.objectives {
		switch {
		case objective.Kind == objectiveGuarantee && j.withinGuarantee, objective.Kind == objectiveWait && objective.Class == j.spec.Class:
			add(objective.WithinS + j.spec.EstimatedSeconds - waited)
		case objective.Kind == objectiveFinished && objective.Class == j.spec.Class:
			add(objective.WithinS - waited)
		}
	}
	switch {
	case len(deadlines) > 0:
		slices.Sort(deadlines)
		return deadlines, false
	case found:
		return []float64{j.spec.EstimatedSeconds + waited/2}, true
	}
	return []float64{math.Inf(1)}, false
}

// secondsToDeadline returns the number of seconds until a job's deadline. It must only be
// called for a job with a deadline.
func (j *job) secondsToDeadline(now time.Time) float64 {
	return (j.deadlineMS - float64(now.UnixMilli())) / 1000
}

// coresPerTaskSlot returns the cores of the smallest machine type that belong to one of its
// task slots.
func (p *planInput) coresPerTaskSlot() float64 {
	smallest := math.Inf(1)
	for _, machineType := range p.machineTypes {
		smallest = min(smallest, machineType.Cores)
	}
	if math.IsInf(smallest, 1) {
		return 0
	}
	return smallest / protocol.MaxReportedTasks
}

// remainingWork returns the core seconds that a job still needs, by its estimated task
// duration. A task counts with minCores at least, since it takes a slot of its machine.
func (j *job) remainingWork(minCores float64, now time.Time) float64 {
	work := float64(j.pendingTasks()) * j.spec.EstimatedSeconds
	for _, attempt := range j.attempts {
		work += max(0, j.spec.EstimatedSeconds-attempt.secondsRunning(now))
	}
	return work * max(minCores, j.taskResources[placement.Cores])
}
