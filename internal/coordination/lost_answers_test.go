package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A worker waits 4 s for an answer that is lost. That many such waits fit into the
// lease after the longest heartbeat interval, and as many ways back to the holder don't.
const (
	lostRenewals      = 5
	lostRenewalsLease = 24.5 // seconds
)

// Guards against workers whose lease ends since the way back to the holder costs them
// the attempts that lost answers leave.
func TestLostAnswersInARowEndNoLease(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkLostRenewals(t, seed) })
		})
	}
}

// checkLostRenewals plays a world in which one worker loses answers in a row.
func checkLostRenewals(t *testing.T, seed uint64) {
	w := newWorld(seed, nil)
	w.linkLoss = linkLoss{answersToLose: map[string]int{}}
	w.settings.Deployment.Workers.LeaseS = lostRenewalsLease
	w.adjustJob = inBothZones(100)
	w.script = []fault{}
	w.spawn(func() { time.Sleep(60 * sec); w.loseRenewals(lostRenewals) })
	w.play(16, 150*sec, 700*sec)
	w.check(t)
	if lost := leaseExpiryViolation(w); lost != "" {
		t.Errorf("seed %d: %s\n%s", seed, lost, strings.Join(w.leaseEnds, "\n"))
	}
	if len(w.events["a heartbeat is answered by a relay"]) == 0 {
		t.Error("no heartbeat was relayed")
	}
}

// loseRenewals has the worker with the most tasks lose so many answers that would renew
// its lease.
func (w *world) loseRenewals(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	busiest, tasks := "", 0
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if m := w.workers[id]; !m.dead && len(m.tasks) > tasks {
			busiest, tasks = id, len(m.tasks)
		}
	}
	w.answersToLose[busiest] = count
}
