package coordination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

// ciWaitingWorlds is the number of worlds that CI plays; -all plays allWaitingWorlds.
const (
	ciWaitingWorlds  = 6
	allWaitingWorlds = 200
)

// Small worlds of two to four shards have more work than machines, a cloud with few
// machines, and tight quotas. Once lost answers and slow links are over, no task waits for
// 90 s while its team is under its limit and a suitable machine of any shard has capacity.
// Failures found this way: quota shares held by shards without machines, jobs waiting in
// shards without capacity, and jobs kept off machines by a lost answer (see
// docs/incidents/inc-42-room.md).
func TestNoTaskWaitsBesideRoomInSmallWorlds(t *testing.T) {
	worlds := uint64(ciWaitingWorlds)
	if *all {
		worlds = allWaitingWorlds
	}
	for seed := uint64(1); seed <= worlds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var w *world
			synctest.Test(t, func(t *testing.T) {
				w = newWorld(seed, nil)
				w.shapeForWaiting(rand.New(rand.NewPCG(seed, 42)))
				w.play(50, 110*sec, 1500*sec)
			})
			w.check(t)
		})
	}
}

// shapeForWaiting draws the size of a world, its quotas, its jobs and its faults.
func (w *world) shapeForWaiting(random *rand.Rand) {
	w.shards = 2 + random.IntN(3)
	w.fillMachines = 1 + random.IntN(3)
	w.maxMachines = 3 + random.IntN(8)
	limit := func() float64 { return float64(9 + random.IntN(20)) }
	w.settings.Deployment.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: limit()}, {Name: "blue", CPUs: 4, CPUsMax: limit()}}
	longest := 10 + random.IntN(40)
	w.adjustJob = func(k int, j *protocol.Job, u *user) {
		j.EstimatedSeconds = min(j.EstimatedSeconds*2, float64(longest))
		u.submitAfter = min(u.submitAfter, 70*sec)
	}
	w.script = []fault{{at: 15 * sec, kind: heartbeatsSlow, duration: 90 * sec}}
	switch random.IntN(4) {
	case 0:
		w.script = append(w.script, fault{at: 20 * sec, kind: txnsLate, share: 0.3, duration: 85 * sec})
	case 1:
		w.script = append(w.script, fault{at: 60 * sec, kind: controllerEnds, target: targetBusiest, duration: 15 * sec})
	case 2:
		w.script = append(w.script, fault{at: 60 * sec, kind: storeOutage, duration: 12 * sec})
	}
}
