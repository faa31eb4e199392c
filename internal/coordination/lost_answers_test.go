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

// A worker waits 4 s for an answer that is lost. This lease allows for that many such
// waits after the longest heartbeat interval, but not for a redirect by another controller
// back to the holder after each of them.
const (
	lostRenewals      = 5
	lostRenewalsLease = 24.5 // seconds
)

// Guards against workers whose lease expires because, after lost answers, they use up their
// remaining attempts on redirects back to the holder.
func TestLostAnswersInARowEndNoLease(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkLostRenewals(t, seed) })
		})
	}
}

// checkLostRenewals simulates a worker that loses several answers in a row.
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

// loseRenewals makes the worker with the most tasks lose the given number of answers that
// would renew its lease.
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
