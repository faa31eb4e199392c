package quota

import (
	"math"

	"pgregory.net/rapid"

	"reedtrack/internal/storage"
)

// tolerance absorbs rounding errors of sums in the reference model.
const tolerance = 1e-6

// drawDemands draws a quota and demands, some of which use more than their share.
func drawDemands(t *rapid.T) (storage.Resources, []Demand) {
	amount := func(name string, highest int) storage.Resources {
		return storage.Resources{
			Cores: float64(rapid.IntRange(0, highest).Draw(t, name+" cores")),
			GPUs:  float64(rapid.IntRange(0, highest).Draw(t, name+" cards")),
		}
	}
	quota := amount("quota", 60)
	left := quota
	var demands []Demand
	for range rapid.IntRange(1, 6).Draw(t, "shards") {
		d := Demand{TaskSize: amount("task size", 4)}
		d.Used = amount("used", 12)
		d.Used = storage.Resources{Cores: min(d.Used.Cores, left.Cores), GPUs: min(d.Used.GPUs, left.GPUs)}
		left = storage.Resources{Cores: left.Cores - d.Used.Cores, GPUs: left.GPUs - d.Used.GPUs}
		waiting := rapid.IntRange(0, 15).Draw(t, "waiting tasks")
		d.Requested = add(d.Used, d.TaskSize, float64(waiting))
		demands = append(demands, d)
	}
	return quota, demands
}

// add returns a plus a number of tasks of a size.
func add(a, taskSize storage.Resources, tasks float64) storage.Resources {
	return storage.Resources{Cores: a.Cores + tasks*taskSize.Cores, GPUs: a.GPUs + tasks*taskSize.GPUs}
}

// startableTasks counts the whole tasks that a shard can start within its share, one at a
// time.
func startableTasks(d Demand, share, quota storage.Resources) int {
	if d.TaskSize == (storage.Resources{}) {
		return 0
	}
	exceeds := func(used, taskSize, share, requested, quota float64) bool {
		return taskSize > 0 && (used > requested+tolerance || quota > 0 && used > share+tolerance)
	}
	tasks := 0
	used := d.Used
	for {
		used = add(used, d.TaskSize, 1)
		if exceeds(used.Cores, d.TaskSize.Cores, share.Cores, d.Requested.Cores, quota.Cores) ||
			exceeds(used.GPUs, d.TaskSize.GPUs, share.GPUs, d.Requested.GPUs, quota.GPUs) {
			return tasks
		}
		tasks++
	}
}

// proportionalShare returns the unrounded share of a demand in proportion to all requests.
func proportionalShare(d Demand, requested, quota storage.Resources) storage.Resources {
	share := d.Requested
	if quota.Cores > 0 && requested.Cores > quota.Cores {
		share.Cores *= quota.Cores / requested.Cores
	}
	if quota.GPUs > 0 && requested.GPUs > quota.GPUs {
		share.GPUs *= quota.GPUs / requested.GPUs
	}
	return share
}

// requestsTask reports whether a shard requests one task more than the given number.
func requestsTask(d Demand, tasks int) bool {
	more := add(d.Used, d.TaskSize, float64(tasks+1))
	return d.TaskSize != (storage.Resources{}) && more.Cores <= d.Requested.Cores+tolerance && more.GPUs <= d.Requested.GPUs+tolerance
}

// leavesTask reports whether the unused part of a quota suffices for another task.
func leavesTask(quota, used, taskSize storage.Resources) bool {
	suffices := func(quota, used, taskSize float64) bool {
		return quota == 0 || taskSize == 0 || used+taskSize <= quota+tolerance
	}
	return suffices(quota.Cores, used.Cores, taskSize.Cores) && suffices(quota.GPUs, used.GPUs, taskSize.GPUs)
}

// unroundedAmount returns the unused amount assigned to shards whose share is not rounded
// to whole tasks because their task size is unknown.
func unroundedAmount(demands []Demand, shares []storage.Resources) float64 {
	kept := 0.0
	for i, d := range demands {
		if d.TaskSize == (storage.Resources{}) {
			kept += math.Max(0, shares[i].Cores-d.Used.Cores) + math.Max(0, shares[i].GPUs-d.Used.GPUs)
		}
	}
	return kept
}

// withMachines returns a demand whose request is limited to what it has machines for.
func withMachines(d Demand) Demand {
	if d.Startable != nil {
		d.Requested = storage.Resources{
			Cores: math.Min(d.Requested.Cores, math.Max(d.Startable.Cores, d.Used.Cores)),
			GPUs:  math.Min(d.Requested.GPUs, math.Max(d.Startable.GPUs, d.Used.GPUs)),
		}
	}
	return d
}

// idleBesideWaiting finds a share of cores that exceeds what its shard has machines for by
// enough to start a task of another shard that has a machine but lacks quota. It ignores
// quotas with GPUs: a task that needs both may lack either.
func idleBesideWaiting(quota storage.Resources, demands []Demand, shares []storage.Resources) (idle, waiting int, found bool) {
	if quota.Cores == 0 || quota.GPUs > 0 {
		return 0, 0, false
	}
	for i := range demands {
		excess := shares[i].Cores - withMachines(demands[i]).Requested.Cores
		for k, d := range demands {
			startable := withMachines(d)
			isMissingQuota := d.TaskSize.Cores > 0 && requestsTask(startable, startableTasks(startable, shares[k], quota))
			if i != k && isMissingQuota && excess >= d.TaskSize.Cores-tolerance {
				return i, k, true
			}
		}
	}
	return 0, 0, false
}
