package policy

// workTolerance is the number of core-seconds by which the work may exceed the capacity
// before a job counts as late. It absorbs rounding errors in sums over many jobs.
const workTolerance = 1e-6

// admission decides which jobs can meet their deadlines, rank by rank. It reuses its
// buffers between calls of admit.
type admission struct {
	snapshot  *Snapshot
	candidate []bool          // by job: belongs to the rank being admitted
	deferred  []bool          // by job: deferred by the latest call with the job as a candidate
	work      float64         // of the jobs up to the current one, in core-seconds
	teamWork  []float64       // the same, by team
	teamHeaps []*deferralHeap // by team: the candidates that can be deferred
}

func newAdmission(s *Snapshot) *admission {
	teams := 0
	for i := range s.Jobs {
		teams = max(teams, s.Jobs[i].Team+1)
	}
	a := &admission{
		snapshot:  s,
		candidate: make([]bool, len(s.Jobs)),
		deferred:  make([]bool, len(s.Jobs)),
		teamWork:  make([]float64, teams),
	}
	for range teams {
		a.teamHeaps = append(a.teamHeaps, &deferralHeap{snapshot: s})
	}
	return a
}

// admit adds candidates, the jobs of one rank, to the admitted jobs of higher ranks. Both
// lists are sorted by deadline, and so is onTime. Whenever a job would be late, the
// longest candidate before it that uses the insufficient resource is deferred.
func (a *admission) admit(admitted, candidates []int) (onTime, deferred []int) {
	a.reset(candidates)
	all := merge(admitted, candidates, a.snapshot.compareDeadline)
	for _, i := range all {
		j := &a.snapshot.Jobs[i]
		a.work += j.Work
		a.teamWork[j.Team] += j.Work
		if a.candidate[i] {
			a.teamHeaps[j.Team].push(i)
		}
		deferred = a.deferUntilOnTime(i, deferred)
	}
	for _, i := range all {
		if !a.deferred[i] {
			onTime = append(onTime, i)
		}
	}
	return onTime, deferred
}

// reset prepares the buffers for the candidates of a rank.
func (a *admission) reset(candidates []int) {
	a.work = 0
	clear(a.teamWork)
	clear(a.candidate)
	for _, h := range a.teamHeaps {
		h.jobs = h.jobs[:0]
	}
	for _, i := range candidates {
		a.candidate[i], a.deferred[i] = true, false
	}
}

// deferUntilOnTime defers candidates until the job is on time or deferred itself, and
// returns the extended list of deferred jobs. It stops if higher ranks alone make the job
// late.
func (a *admission) deferUntilOnTime(job int, deferred []int) []int {
	j := &a.snapshot.Jobs[job]
	for j.hasDeadline() && !a.deferred[job] {
		exceedsCapacity := a.work > a.snapshot.capacityUntil(j.latestStart())+workTolerance
		if !exceedsCapacity && !a.exceedsMaxQuota(j) {
			break
		}
		// If only the team's quota is exceeded, only its own jobs can be deferred.
		heap := a.teamHeaps[j.Team]
		if exceedsCapacity {
			heap = a.firstToDefer()
		}
		if heap == nil || len(heap.jobs) == 0 {
			break
		}
		x := heap.pop()
		a.deferred[x] = true
		deferred = append(deferred, x)
		a.work -= a.snapshot.Jobs[x].Work
		a.teamWork[a.snapshot.Jobs[x].Team] -= a.snapshot.Jobs[x].Work
	}
	return deferred
}

// exceedsMaxQuota reports whether a job is late because of its team's maximum quota.
func (a *admission) exceedsMaxQuota(j *Job) bool {
	quota := a.snapshot.MaxQuota(j.Team)
	return quota > 0 && a.teamWork[j.Team] > quota*j.latestStart()+workTolerance
}

// firstToDefer returns the heap whose top job is deferred first; nil if all are empty.
func (a *admission) firstToDefer() *deferralHeap {
	var first *deferralHeap
	for _, h := range a.teamHeaps {
		if len(h.jobs) == 0 {
			continue
		}
		if first == nil || a.snapshot.compareDeferral(h.jobs[0], first.jobs[0]) < 0 {
			first = h
		}
	}
	return first
}

// merge merges two sorted lists; equal elements of a come first.
func merge(a, b []int, compare func(a, b int) int) []int {
	out := make([]int, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compare(a[0], b[0]) <= 0 {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}
