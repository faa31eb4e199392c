package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Job is a job with tasks to start. Times are in seconds from now.
type Job struct {
	Class int // index into Snapshot.ClassService
	Team  int // index into Snapshot.TeamService, and argument of Snapshot.MaxQuota
	// Priority is the priority class, from its quota and urgency; higher goes first. A
	// job is deferred only in favor of jobs of equal or higher priority.
	Priority int
	// Work is the remaining work in core-seconds.
	Work float64
	// LastTaskSeconds is the run time of its last task: all tasks of the job must have
	// been started that long before the deadline.
	LastTaskSeconds float64
	// Deadline is when the job should be done; +Inf: no deadline.
	Deadline float64
	// LaterDeadlines, in ascending order, are tried in turn if the job can't meet
	// Deadline.
	LaterDeadlines []float64
	// Overdue reports that all actual deadlines of the job have passed. Deadline then
	// only prevents starvation.
	Overdue bool
}

// latestStart returns the time by which the job's last task must have been started.
func (j *Job) latestStart() float64 { return j.Deadline - j.LastTaskSeconds }

// hasDeadline reports whether the job has a deadline.
func (j *Job) hasDeadline() bool { return !math.IsInf(j.Deadline, 1) }

// canMeetDeadline reports whether the job could meet its deadline with all capacity.
func (j *Job) canMeetDeadline() bool {
	return !j.Overdue && j.hasDeadline() && j.latestStart() >= 0
}

// Snapshot is the input from which the order of jobs is computed.
type Snapshot struct {
	Jobs []Job
	// Cores is the number of cores shared by all jobs.
	Cores float64
	// BootingCores is the number of additional cores available in BootSeconds.
	BootingCores float64
	BootSeconds  float64
	// MaxQuota returns the maximum quota of a team, in cores; 0: no limit.
	MaxQuota func(team int) float64
	// ClassService and TeamService are the service levels of the classes and teams
	// referenced by Job; nil: no minimum service level is enforced for them.
	ClassService []ServiceLevel
	TeamService  []ServiceLevel
}

// minSharedCores keeps the order meaningful while no machine is up: without any
// capacity every job would be late.
const minSharedCores = 1

// capacityUntil returns the core-seconds available from now until a time.
func (s *Snapshot) capacityUntil(seconds float64) float64 {
	if math.IsInf(seconds, 1) {
		return seconds
	}
	return max(s.Cores, minSharedCores)*seconds + s.BootingCores*max(0, seconds-s.BootSeconds)
}

// Queue is the order in which jobs get capacity.
type Queue struct {
	Jobs      []int  // indices into Snapshot.Jobs
	Late      []bool // by job: can't meet any of its deadlines, and comes last
	Protected []bool // by job: ranks above all priorities, for the minimum service level of its class or team
}

// protectedRank is added to the priority of protected jobs to rank them above all others.
const protectedRank = 1 << 20

// Order orders the jobs so that as many as possible are on time: first those required for
// the minimum service levels of classes and teams, then by priority.
//
// It follows the Moore-Hodgson algorithm. Jobs are considered in order of deadline. When
// one would be late, the longest job is deferred, but only in favor of jobs of equal or
// higher priority, and retried with its next deadline. Among the jobs on time, those of
// higher priority are then moved to the front unless that makes another job late: a job
// with enough slack waits, whatever its priority. Jobs without a feasible deadline come
// last, by priority, shortest first.
func (s Snapshot) Order() Queue {
	s.Jobs = slices.Clone(s.Jobs) // their deadlines are modified
	queue := Queue{Late: make([]bool, len(s.Jobs)), Protected: s.protectedJobs()}
	ranks := s.jobsByRank(queue.Protected)
	admission := newAdmission(&s)
	var onTime, late []int // onTime is sorted by deadline
	for _, rank := range slices.Backward(slices.Sorted(maps.Keys(ranks))) {
		for candidates := ranks[rank]; len(candidates) > 0; {
			slices.SortFunc(candidates, s.compareDeadline)
			var deferred []int
			onTime, deferred = admission.admit(onTime, candidates)
			candidates = candidates[:0]
			for _, i := range deferred {
				if s.Jobs[i].moveToNextDeadline() {
					candidates = append(candidates, i)
				} else {
					queue.Late[i] = true
					late = append(late, i)
				}
			}
		}
	}
	slices.SortFunc(late, s.compareLate)
	queue.Jobs = append(s.prioritizeWithinSlack(onTime), late...)
	return queue
}

// jobsByRank groups the jobs by admission rank: their priority, raised above all
// priorities for protected jobs.
func (s *Snapshot) jobsByRank(protected []bool) map[int][]int {
	ranks := map[int][]int{}
	for i := range s.Jobs {
		rank := s.Jobs[i].Priority
		if protected[i] {
			rank += protectedRank
		}
		ranks[rank] = append(ranks[rank], i)
	}
	return ranks
}

// moveToNextDeadline replaces the deadline by the next one, and reports whether
// there is one.
func (j *Job) moveToNextDeadline() bool {
	if len(j.LaterDeadlines) == 0 {
		return false
	}
	j.Deadline, j.LaterDeadlines = j.LaterDeadlines[0], j.LaterDeadlines[1:]
	return true
}

// compareDeadline orders jobs by deadline, then higher priority first, then shorter first.
func (s *Snapshot) compareDeadline(a, b int) int {
	x, y := &s.Jobs[a], &s.Jobs[b]
	switch {
	case x.Deadline != y.Deadline:
		return cmp.Compare(x.Deadline, y.Deadline)
	case x.Priority != y.Priority:
		return cmp.Compare(y.Priority, x.Priority)
	case x.Work != y.Work:
		return cmp.Compare(x.Work, y.Work)
	}
	return cmp.Compare(a, b)
}

// compareLate orders jobs that can't be on time: by priority, shortest first.
func (s *Snapshot) compareLate(a, b int) int {
	x, y := &s.Jobs[a], &s.Jobs[b]
	return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.Work, y.Work), cmp.Compare(a, b))
}

// compareDeferral orders jobs of one rank by deferral: overdue jobs first, then longest
// first.
func (s *Snapshot) compareDeferral(a, b int) int {
	x, y := &s.Jobs[a], &s.Jobs[b]
	switch {
	case x.Overdue != y.Overdue:
		if x.Overdue {
			return -1
		}
		return 1
	case x.Work != y.Work:
		return cmp.Compare(y.Work, x.Work)
	}
	return cmp.Compare(a, b)
}
