package coordination

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// cutOverlap is a fault that overlaps a network partition between zones, which lasts from 60 s to
// 120 s.
type cutOverlap struct {
	name  string
	fault fault
}

var cutOverlaps = []cutOverlap{
	{"a slow store", fault{at: 58 * sec, kind: storeSlow, duration: 20 * sec}},
	{"late writes", fault{at: 50 * sec, kind: txnsLate, share: 0.4, duration: 60 * sec}},
	{"lost answers of the store", fault{at: 50 * sec, kind: txnAnswersLost, share: 0.4, duration: 60 * sec}},
	{"a second cut", fault{at: 124 * sec, kind: zonesSeparated, duration: 24 * sec}},
	{"changes of leader", fault{at: 60 * sec, kind: leaderChanges, count: 4, duration: 40 * sec}},
	{"a holder that has just ended", fault{at: 59500 * time.Millisecond, kind: controllerEnds, target: targetBusiest, duration: 6 * sec}},
	{"machines that die", fault{at: 65 * sec, kind: machinesDie, count: 2}},
	{"a proxy that stands still", fault{at: 66 * sec, kind: controllerPauses, target: targetNonLeaders, duration: 6 * sec}},
}

// allCutOverlapSeeds is the number of seeds that -all plays per fault; CI plays one.
const allCutOverlapSeeds = 40

// Guards against tasks lost to an expired worker lease when a partition between zones
// overlaps another fault.
func TestCutMeetsAnotherFault(t *testing.T) {
	seeds := uint64(1)
	if *all {
		seeds = allCutOverlapSeeds
	}
	for _, overlap := range cutOverlaps {
		t.Run(overlap.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				w := overlap.play(t, seed)
				w.check(t)
				if lost := leaseExpiryViolation(w); lost != "" {
					t.Errorf("seed %d: %s\n%s", seed, lost, strings.Join(w.leaseEnds, "\n"))
				}
			}
		})
	}
}

// play simulates the partition and the fault, with long jobs running in both zones.
func (m cutOverlap) play(t *testing.T, seed uint64) *world {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(seed, nil)
		w.script = []fault{{at: 60 * sec, kind: zonesSeparated, duration: 60 * sec}, m.fault}
		w.adjustJob = inBothZones(100)
		w.play(16, 150*sec, 700*sec)
	})
	return w
}
