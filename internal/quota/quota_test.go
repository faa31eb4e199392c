package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"reedtrack/internal/storage"
)

// A share is proportional to the requests, never exceeds its own request, and is not
// rounded without a task size.
func TestDivideInProportionToRequests(t *testing.T) {
	quota := storage.Resources{Cores: 100}
	for _, c := range []struct{ requested, total, want float64 }{
		{30, 90, 30},
		{100, 100, 100},
		{300, 400, 75},
		{100, 400, 25},
		{0, 0, 0},
	} {
		t.Run(fmt.Sprintf("%g of %g", c.requested, c.total), func(t *testing.T) {
			demands := []Demand{{Requested: storage.Resources{Cores: c.requested}}, {Requested: storage.Resources{Cores: c.total - c.requested}}}
			if got := Divide(quota, demands)[0].Cores; got != c.want {
				t.Errorf("requests %g of %g: %g, not %g", c.requested, c.total, got, c.want)
			}
		})
	}
}

// coresDemand returns a demand for cores only.
func coresDemand(used, requested, taskSize float64) Demand {
	return Demand{
		Used:      storage.Resources{Cores: used},
		Requested: storage.Resources{Cores: requested},
		TaskSize:  storage.Resources{Cores: taskSize},
	}
}

// Guards against quota for a whole task that remains unused because the proportional
// shares of three shards each hold only part of a task.
func TestDivideAssignsWholeTasks(t *testing.T) {
	demands := []Demand{coresDemand(4, 10, 2), coresDemand(3, 9, 2), coresDemand(4, 12, 2)}
	shares := Divide(storage.Resources{Cores: 14}, demands)
	tasks := 0
	for i, d := range demands {
		tasks += int((shares[i].Cores - d.Used.Cores) / 2)
	}
	if tasks != 1 {
		t.Errorf("%v: %d more tasks of two cores, the quota holds one", shares, tasks)
	}
}

// A shard with a single task gets quota for the whole task, not its proportional 1.65
// cores, even if another shard requests nearly all of the quota.
func TestDivideAssignsSmallDemandItsTask(t *testing.T) {
	shares := Divide(storage.Resources{Cores: 14}, []Demand{coresDemand(0, 2, 2), coresDemand(12, 15, 3)})
	if shares[0].Cores != 2 {
		t.Errorf("%v: the first can't start its one task", shares)
	}
}

// The shares never exceed an insufficient quota in total, no shard gets more than it
// requests or starts fewer tasks than its proportional share allows, and no task waits
// while the quota suffices for it, as verified by counting tasks.
func TestDivideMatchesTaskCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota, demands := drawDemands(t)
		shares := Divide(quota, demands)
		var used, requested, total storage.Resources // used: with the tasks that may start
		for i, d := range demands {
			used = add(used, d.Used, 1)
			used = add(used, d.TaskSize, float64(startableTasks(d, shares[i], quota)))
			requested = add(requested, d.Requested, 1)
			total = add(total, shares[i], 1)
			if shares[i].Cores > d.Requested.Cores+tolerance || shares[i].GPUs > d.Requested.GPUs+tolerance {
				t.Fatalf("shard %d gets %v of %v", i, shares[i], d.Requested)
			}
		}
		if quota.Cores > 0 && total.Cores > quota.Cores+tolerance || quota.GPUs > 0 && total.GPUs > quota.GPUs+tolerance {
			t.Fatalf("%v of %v", total, quota)
		}
		for i, d := range demands {
			tasks := startableTasks(d, shares[i], quota)
			if least := startableTasks(d, proportionalShare(d, requested, quota), quota); tasks < least {
				t.Fatalf("shard %d starts %d tasks, its proportional share holds %d", i, tasks, least)
			}
			if requestsTask(d, tasks) && leavesTask(quota, used, d.TaskSize) && unroundedAmount(demands, shares) < 1 {
				t.Fatalf("shard %d: %v of %v, uses with what may start %v of %v, shares %v", i, d, quota, shares[i], used, shares)
			}
		}
	})
}

// Guards against a share that remains unused because its shard has no machine: a shard
// held 3 cores without a machine while another, with 13 of 16 cores free on a machine, had
// used up its own share of 3.
func TestDivideServesWhatHasMachinesFirst(t *testing.T) {
	without := coresDemand(0, 12, 3)
	without.Startable = &storage.Resources{}
	shares := Divide(storage.Resources{Cores: 14}, []Demand{without, coresDemand(6, 24, 3)})
	if shares[0].Cores != 0 || shares[1].Cores != 12 {
		t.Errorf("%v: the second could start two more tasks", shares)
	}
	shares = Divide(storage.Resources{Cores: 14}, []Demand{without, coresDemand(3, 6, 3)})
	if shares[0].Cores != 6 || shares[1].Cores != 6 {
		t.Errorf("%v: the first should get what the second does not request", shares)
	}
}

// With shards that lack machines, the shares never exceed a quota in total, no shard gets
// more than it requests, and no share is reserved for a task without a machine while it
// would suffice for a waiting task with a machine.
func TestDivideLeavesNoShareIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota, demands := drawDemands(t)
		for i := range demands {
			if rapid.Bool().Draw(t, "lacks machines") {
				startable := add(demands[i].Used, demands[i].TaskSize, float64(rapid.IntRange(0, 3).Draw(t, "startable tasks")))
				demands[i].Startable = &startable
			}
		}
		shares := Divide(quota, demands)
		var total storage.Resources
		for i, d := range demands {
			total = add(total, shares[i], 1)
			if shares[i].Cores > d.Requested.Cores+tolerance || shares[i].GPUs > d.Requested.GPUs+tolerance {
				t.Fatalf("shard %d gets %v of %v", i, shares[i], d.Requested)
			}
		}
		if quota.Cores > 0 && total.Cores > quota.Cores+tolerance || quota.GPUs > 0 && total.GPUs > quota.GPUs+tolerance {
			t.Fatalf("%v of %v", total, quota)
		}
		if idle, waiting, found := idleBesideWaiting(quota, demands, shares); found {
			t.Fatalf("%d has %v of %+v without machines, %d waits with %v of %+v", idle, shares[idle], demands[idle], waiting, shares[waiting], demands[waiting])
		}
	})
}

// Guards against quota that remains unused although it suffices for a waiting task, because
// it is reserved for a larger task of another shard. A simulation had shares of 8, 5 and 1
// of 14 cores, with two of the five unused for 91 s.
func TestFreeQuotaStartsATask(t *testing.T) {
	const limit = 14.0
	demands := []Demand{coresDemand(8, 10, 2), coresDemand(3, 15, 3), coresDemand(1, 2, 1)}
	shares := Divide(storage.Resources{Cores: limit}, demands)
	free := limit
	for _, d := range demands {
		free -= d.Used.Cores
	}
	for i, d := range demands {
		taskSize := d.TaskSize.Cores
		if taskSize <= free && shares[i].Cores >= d.Used.Cores+taskSize {
			return
		}
	}
	t.Errorf("shares %v: %g cores are free, and no task of as many or fewer may start", shares, free)
}

// Guards against a division that never ends, under the controller's lock, for tasks whose size
// is lost in sums with the quota, or of which the quota holds billions.
func TestDivideEndsWithTinyTasks(t *testing.T) {
	quota := storage.Resources{Cores: 14}
	for _, size := range []float64{1e-300, 1e-18, 1e-12, 1e-9, 1e-6, 0.0001} {
		const tasks = 100_000
		for name, demands := range map[string][]Demand{
			"beside large tasks": {coresDemand(0, 30, 3), coresDemand(0, tasks*size, size)},
			"beside unused room": {coresDemand(2, 2, 3), coresDemand(0, 1e6, size)},
			"two of them":        {coresDemand(0, 1e6, size), coresDemand(1, 1e6, size)},
		} {
			shares := Divide(quota, demands)
			if total := shares[0].Cores + shares[1].Cores; total > quota.Cores+tolerance {
				t.Errorf("tasks of %g %s: %v exceed the quota", size, name, shares)
			}
			if shares[1].Cores == 0 {
				t.Errorf("tasks of %g %s: %v, none of them can start", size, name, shares)
			}
		}
	}
}
