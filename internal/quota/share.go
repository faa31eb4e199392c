package quota

import (
	"math"

	"reedtrack/internal/storage"
)

// share is a demand and the amount assigned to it while a quota is divided.
type share struct {
	used, requested, taskSize vector // as in Demand
	assigned                  vector
}

// taken returns how much of a resource the shard occupies: the amount in use is occupied
// until its tasks end, even if the share is smaller.
func (s *share) taken(resource int) float64 { return max(s.used[resource], s.assigned[resource]) }

// assignProportional assigns a share in proportion to the requests, rounded down to
// whole tasks above what is used.
func (s *share) assignProportional(scarce [resourceCount]bool, limit, requested vector) {
	wholeTasks := math.Inf(1)
	for r := range s.assigned {
		s.assigned[r] = s.requested[r]
		if !scarce[r] {
			continue
		}
		s.assigned[r] = limit[r] * s.requested[r] / requested[r]
		if s.taskSize[r] > 0 {
			wholeTasks = min(wholeTasks, math.Floor((s.assigned[r]-s.used[r])/s.taskSize[r]+epsilon))
		}
	}
	if math.IsInf(wholeTasks, 1) {
		return // no task size to round to
	}
	for r := range s.assigned {
		if scarce[r] && s.taskSize[r] > 0 {
			s.assigned[r] = min(s.assigned[r], s.used[r]+max(wholeTasks, 0)*s.taskSize[r])
		}
	}
}

// servedFraction returns the fraction of the request that is served, the minimum over all
// scarce resources.
func (s *share) servedFraction(scarce [resourceCount]bool) float64 {
	fraction := 1.0
	for r := range s.requested {
		if scarce[r] && s.requested[r] > 0 {
			fraction = min(fraction, s.taken(r)/s.requested[r])
		}
	}
	return fraction
}

// canAddTask reports whether the shard requests another task and enough of every scarce
// resource is left for it.
func (s *share) canAddTask(scarce [resourceCount]bool, left vector) bool {
	needsScarce := false
	for r := range left {
		if !scarce[r] || s.taskSize[r] == 0 {
			continue
		}
		if s.taskSize[r] > left[r]+epsilon || s.taken(r)+s.taskSize[r] > s.requested[r]+epsilon {
			return false
		}
		needsScarce = true
	}
	return needsScarce
}

// stepDivisor is the fraction of the tasks that a share can still be assigned, as a divisor,
// from which on a step assigns more than one task.
const stepDivisor = 1024

// tasksPerStep returns how many tasks to assign to the share in one step, given that at least
// one can be.
func (s *share) tasksPerStep(scarce [resourceCount]bool, left vector) float64 {
	assignable := math.Inf(1)
	for r := range left {
		if scarce[r] && s.taskSize[r] > 0 {
			assignable = min(assignable, min(left[r], s.requested[r]-s.taken(r))/s.taskSize[r])
		}
	}
	return max(1, math.Floor(assignable/stepDivisor))
}

// taskSizeOf returns the size of a task. A smaller amount than epsilon counts as epsilon: it
// would be lost in sums with larger ones.
func taskSizeOf(a storage.Resources) vector {
	size := vectorOf(a)
	for r := range size {
		if size[r] > 0 {
			size[r] = max(size[r], epsilon)
		}
	}
	return size
}
