package quota

import "reedtrack/internal/storage"

// Demand is what a shard uses and requests of a team's quota.
type Demand struct {
	Used      storage.Resources
	Requested storage.Resources // includes Used
	// TaskSize is the least that one of its waiting tasks takes; zero: not known, and
	// its share is not rounded.
	TaskSize storage.Resources
	// Startable is the part of Requested that the shard has machines for, Used included;
	// nil: all of it, as far as is known.
	Startable *storage.Resources
}

// startable returns the part of the request that the shard has machines for.
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

// Divide returns the share of a quota that each demand gets. In a resource whose quota
// is zero there is no limit: each gets what it requests, as it does if the quota
// suffices for all. A quota that falls short is divided in proportion to the requests,
// in whole tasks: a share that holds part of a task would serve nobody, and idle while
// others wait. What rounding leaves goes to those that are furthest behind and can use
// it.
//
// What demands have machines for is served first, and from the rest what they don't: a
// share that no machine can use would idle beside room in another shard.
func Divide(quota storage.Resources, demands []Demand) []storage.Resources {
	limit := vectorOf(quota)
	var limited [resourceCount]bool
	for r := range limited {
		limited[r] = limit[r] > 0
	}
	startable := make([]share, len(demands))
	for i, d := range demands {
		startable[i] = share{used: vectorOf(d.Used), requested: d.startable(), taskSize: vectorOf(d.TaskSize)}
	}
	divide(limited, limit, startable)
	rest := make([]share, len(demands))
	left := limit
	for i, d := range demands {
		rest[i] = share{requested: vectorOf(d.Requested), taskSize: vectorOf(d.TaskSize)}
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

// divide assigns what there is of the limited resources to shares.
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

// assignRemainder gives what rounding has left to shares that lack a task, one task at
// a time, those first that have the smallest part of what they request.
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
		for r := range left {
			if scarce[r] && next.taskSize[r] > 0 {
				next.assigned[r] = next.taken(r) + next.taskSize[r]
				left[r] -= next.taskSize[r]
			}
		}
	}
}

// leastServed returns the share that has the smallest part of what it requests, of those
// that one more task can be given to; nil if there is none.
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
