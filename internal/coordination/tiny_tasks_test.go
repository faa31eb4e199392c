package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
)

// tinyTaskScripts are faults that jobs of thousands of tiny tasks meet.
var tinyTaskScripts = map[string][]fault{
	"no fault": {},
	"all controllers are restarted, and jobs are cancelled": append(cancelFaults(2, 0, 40*sec, 62*sec),
		fault{at: 30 * sec, kind: controllerEnds, target: targetBusiest, duration: 300 * time.Millisecond},
		fault{at: 60 * sec, kind: controllerEnds, target: targetAll, duration: 300 * time.Millisecond}),
	"another holder takes over": append(cancelFaults(1, 0, 45*sec),
		fault{at: 40 * sec, kind: controllerEnds, target: targetBusiest, duration: 30 * sec},
		fault{at: 80 * sec, kind: controllerIsolated, target: targetBusiest, duration: 25 * sec}),
	"direct commands are late and repeated": append(cancelFaults(1, 0, 50*sec),
		fault{at: 5 * sec, kind: directLate, share: 0.4, maxDelay: 16 * sec, duration: 80 * sec},
		fault{at: 5 * sec, kind: directRepeated, share: 0.6, maxDelay: 30 * sec, duration: 80 * sec}),
	"zones don't reach each other": append(cancelFaults(2, 0, 55*sec),
		fault{at: 40 * sec, kind: zonesSeparated, duration: 40 * sec}),
	"answers are lost, and the state service is out": append(cancelFaults(1, 0, 50*sec),
		fault{at: 35 * sec, kind: machinesCannotReceive, count: 2, duration: 12 * sec},
		fault{at: 60 * sec, kind: storeOutage, duration: 15 * sec}),
}

// Guards against messages over the protocol's limits, work that never starts and cancellations
// over their bound, if far more tasks fit on a machine than it can list, beside ordinary jobs
// and under faults.
func TestTinyTasksInWorlds(t *testing.T) {
	seeds := uint64(1)
	if *all {
		seeds = 20
	}
	for name, script := range tinyTaskScripts {
		for seed := range seeds {
			t.Run(fmt.Sprint(name, ", seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playTinyTasks(t, script, seed+1) })
			})
		}
	}
}

// playTinyTasks plays a world with three jobs of tiny tasks among its jobs.
func playTinyTasks(t *testing.T, script []fault, seed uint64) {
	const jobs, tinyJobs, tinyTasks = 12, 3, 2000
	w := newWorld(seed, nil)
	w.script, w.maxMachines = script, 5
	w.adjustJob = func(k int, j *protocol.Job, u *user) {
		if k >= tinyJobs {
			return
		}
		j.Type, j.Tasks, j.Cores, j.MemoryGB = "array", tinyTasks, 0.001, 0.001
		j.EstimatedSeconds, j.CheckpointIntervalSeconds, j.CheckpointSeconds = 15, 0, 0
		j.OneZone, j.Spread, j.Zone, j.MachineTypes = false, false, "", nil
		u.submitAfter, u.cancels = time.Duration(5+20*k)*sec, false
	}
	w.play(jobs, 120*sec, 500*sec)
	w.check(t)
	const minLarge = 10
	if large := len(w.events["a message of half its largest size"]); large < minLarge {
		t.Errorf("only %d large messages", large)
	}
	for k := range tinyJobs {
		id := fmt.Sprintf("wk-%06d", k)
		if !w.allDone(id) && w.cancelConfirmedAt[id].IsZero() {
			t.Errorf("%s is neither done nor cancelled", id)
		}
	}
}
