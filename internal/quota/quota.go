package quota

import "reedtrack/internal/storage"

// Demand is the amount of a team's quota that a shard uses and requests.
type Demand struct {
	Used      storage.Resources
	Requested storage.Resources // includes Used
	// TaskSize is the size of its smallest waiting task. If it is zero, the size is unknown
	// and the share is not rounded.
	TaskSize storage.Resources
	// Startable is the part of Requested for which the shard has machines, including Used;
	// nil means that it is unknown and assumed to be all of it.
	Startable *storage.Resources
}

// startable returns the part of the request for which the shard has machines.
func (d *Demand) startable() vector {
	requested := vectorOf(d.Requested)
	if d.Startable == nil {
		return requested
	}
	startable, used := vectorOf(*d.Startable), vectorOf(d.Used)
	for r := range startable {
		startable[r] = min(requested[r], max(startable[r], used[r]))
	}
	return startable
}

// Divide returns the share of a quota for each demand. A resource with quota zero is not
// limited. If a resource is not limited or its quota suffices, each demand gets what it
// requests. An insufficient quota is divided in proportion to the requests, rounded to
// whole tasks: a share for part of a task would remain unused while others wait. The
// remainder goes to the demands with the smallest served fraction that can use it.
//
// Demand for which there are machines is served first, and other demand from the rest: a
// share that no machine can use would remain unused while another shard has free machines.
func Divide(quota storage.Resources, demands []Demand) []storage.Resources {
	limit := vectorOf(quota)
	var limited [resourceCount]bool
	for r := range limited {
		limited[r] = limit[r] > 0
	}
	startable := make([]share, len(demands))
	for i, d := range demands {
		startable[i] = share{used: vectorOf(d.Used), requested: d.startable(), taskSize: taskSizeOf(d.TaskSize)}
	}
	divide(limited, limit, startable)
	rest := make([]share, len(demands))
	left := limit
	for i, d := range demands {
		rest[i] = share{requested: vectorOf(d.Requested), taskSize: taskSizeOf(d.TaskSize)}
		for r := range left {
			rest[i].requested[r] -= startable[i].requested[r]
			left[r] = max(0, left[r]-startable[i].taken(r))
		}
	}
	divide(limited, left, rest)
	amounts := make([]storage.Resources, len(demands))
	for i := range amounts {
		amounts[i] = startable[i].assigned.plus(rest[i].assigned).amount()
	}
	return amounts
}

// divide assigns the available amount of the limited resources to shares.
func divide(limited [resourceCount]bool, limit vector, shares []share) {
	var requested vector
	for i := range shares {
		for r := range requested {
			requested[r] += shares[i].requested[r]
		}
	}
	var scarce [resourceCount]bool
	for r := range scarce {
		scarce[r] = limited[r] && requested[r] > limit[r]+epsilon
	}
	for i := range shares {
		shares[i].assignProportional(scarce, limit, requested)
	}
	assignRemainder(shares, scarce, limit)
}

// assignRemainder assigns the remainder left by rounding to shares that request further
// tasks, one task at a time, smallest served fraction first. Tasks that are tiny compared to
// what is left are assigned several at a time, so that the number of steps is bounded.
func assignRemainder(shares []share, scarce [resourceCount]bool, limit vector) {
	left := limit
	for i := range shares {
		for r := range left {
			left[r] -= shares[i].taken(r)
		}
	}
	for {
		next := leastServed(shares, scarce, left)
		if next == nil {
			return
		}
		tasks := next.tasksPerStep(scarce, left)
		for r := range left {
			if scarce[r] && next.taskSize[r] > 0 {
				next.assigned[r] = next.taken(r) + tasks*next.taskSize[r]
				left[r] -= tasks * next.taskSize[r]
			}
		}
	}
}

// leastServed returns the share with the smallest served fraction among those to which one
// more task can be assigned; nil if there is none.
func leastServed(shares []share, scarce [resourceCount]bool, left vector) *share {
	var next *share
	smallest := 0.0
	for i := range shares {
		s := &shares[i]
		if !s.canAddTask(scarce, left) {
			continue
		}
		if fraction := s.servedFraction(scarce); next == nil || fraction < smallest {
			next, smallest = s, fraction
		}
	}
	return next
}
