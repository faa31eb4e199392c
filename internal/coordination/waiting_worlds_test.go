package coordination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

// ciWaitingWorlds is how many worlds CI plays; -all plays allWaitingWorlds.
const (
	ciWaitingWorlds  = 6
	allWaitingWorlds = 200
)

// Small worlds of two to four shards with more work than machines, the cloud has few, and
// quotas that are soon reached: once lost answers and slow links are over, no task waits
// for 90 s while a machine that fits has room and its team is under its limit, wherever
// both are. What such worlds showed before: shares of a quota in shards without machines,
// jobs in shards without room, and jobs kept off machines by a lost answer (see
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

// shapeForWaiting draws the size of a world, its quotas, its jobs and what disturbs it.
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
