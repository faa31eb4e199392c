package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// runSeeds plays several seeds in parallel and checks the rules.
func runSeeds(t *testing.T, seeds uint64, play func(t *testing.T, w *world)) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, play)
		})
	}
}

// runSeed plays one seed and checks it.
func runSeed(t *testing.T, seed uint64, play func(t *testing.T, w *world)) {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(seed, nil)
		w.withDependencies = true
		play(t, w)
	})
	w.check(t)
}

// The rules hold under random faults, and every job ends.
func TestInvariants(t *testing.T) {
	runSeeds(t, 12, func(t *testing.T, w *world) {
		w.play(24, 240*time.Second, 400*time.Second)
		if w.startCount < 20 {
			t.Errorf("only %d tasks started", w.startCount)
		}
	})
}

// allowMachines makes room for hundreds of machines.
func (w *world) allowMachines(machines int) {
	w.settings.Deployment.Teams = []config.Team{{Name: "red", CPUs: 300, CPUsMax: 500}, {Name: "blue", CPUs: 300, CPUsMax: 900}}
	w.maxMachines, w.maxTasks = machines, 120
}

// The same at a size at which a shard has more machines than a value holds, and
// with a store whose values, transactions and write rate are small.
func TestInvariantsAtSize(t *testing.T) {
	const runs, tries = 2, 6 // runs that reach the size, and seeds for each of them
	for k := range uint64(runs) {
		t.Run(fmt.Sprint(k+1), func(t *testing.T) {
			t.Parallel()
			// How large shards get differs between two runs of one seed: where
			// they stay small the next seed is played, under the same rules.
			var why string
			for try := range uint64(tries) {
				if why = runSeedAtSize(t, 1+k+runs*try); why == "" || t.Failed() {
					return
				}
			}
			t.Error(why)
		})
	}
}

// runSeedAtSize plays a seed with hundreds of machines, and says what it did
// not reach.
func runSeedAtSize(t *testing.T, seed uint64) (missing string) {
	runSeed(t, seed, func(t *testing.T, w *world) {
		w.allowMachines(300)
		d := &w.settings.Deployment
		d.State.ValueKB, d.State.TxnOps, d.State.WriteRPS = 3, 4, 40
		w.store.SetLimits(3<<10, 4, 40)
		w.fillMachines = 70
		w.play(60, 120*time.Second, 400*time.Second)
		if largest := slices.Max(w.largestShards[:]); w.startCount < 1000 || largest <= w.settings.SingleRecordCapacity() {
			missing = fmt.Sprintf("%d tasks started, shards of up to %v machines, a value holds %d", w.startCount, w.largestShards, w.settings.SingleRecordCapacity())
		}
	})
	return missing
}

// Controllers of the previous version are replaced one after the other while
// they serve, die before and after their turn, and the store's limits are
// lowered while the records are split. The previous version is played by this
// one with the new keys hidden from it and refused to it: it then writes what
// the previous version writes, which TestPreviousVersionRecords compares.
func TestUpgradeWhileServing(t *testing.T) {
	runSeeds(t, 4, func(t *testing.T, w *world) {
		w.allowMachines(200)
		d := &w.settings.Deployment
		d.State.ValueKB, d.State.TxnOps, d.State.WriteRPS = 16, 12, 60
		d.State.Next = &config.Limits{ValueKB: 2, TxnOps: 4, WriteRPS: 40}
		w.store.SetLimits(16<<10, 12, 60)
		w.upgrade, w.fillMachines = true, 150
		w.play(50, 160*time.Second, 400*time.Second)
		if !w.limitsLowered || w.jobsWithDependencies == 0 || w.startCount < 500 {
			t.Errorf("limits fell: %v, %d jobs waited, %d tasks started", w.limitsLowered, w.jobsWithDependencies, w.startCount)
		}
	})
}

// With a guard disabled on purpose the same checker finds violations: a holder
// that takes three seconds of silence for absence starts tasks twice, one that
// takes any job for done starts others too early, and one that takes cancelled
// jobs for done lets their dependents run.
func TestCheckerDetectsViolations(t *testing.T) {
	for rule, tweak := range map[string]func(n *Node){
		"ran_twice": func(n *Node) { n.timing.WorkerTimeout = 3 * time.Second },
		"too_early": func(n *Node) {
			n.findEndedJob = func(string) (storage.EndedJob, bool) { return storage.EndedJob{Status: protocol.Done}, true }
		},
		"orphaned": func(n *Node) {
			n.findEndedJob = func(id string) (storage.EndedJob, bool) {
				e, ok := n.endedJobs.get(id)
				e.Status = protocol.Done
				return e, ok
			}
		},
	} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			found := false
			for seed := uint64(1); seed <= 12 && !found; seed++ {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(seed, tweak)
					w.withDependencies = true
					w.play(24, 240*time.Second, 100*time.Second)
					found = slices.ContainsFunc(w.violations, func(b string) bool { return strings.HasPrefix(b, rule) })
				})
			}
			if !found {
				t.Error("not noticed")
			}
		})
	}
}
