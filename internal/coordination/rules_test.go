package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/config"
)

// The rules hold under random troubles, and every job is over in the end.
func TestRulesHold(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(seed, nil)
				w.play(24, 240*time.Second, 400*time.Second)
				for _, b := range w.broken {
					t.Error(b)
				}
				if w.starts < 50 {
					t.Errorf("only %d tasks started", w.starts)
				}
			})
		})
	}
}

// The same at a size at which several shards are full: hundreds of machines,
// and a state service whose values, transactions and writes are small.
func TestRulesHoldAtSize(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(seed, nil)
				d := &w.set.Deployment
				d.Teams = []config.Team{{Name: "red", CPUs: 300, CPUsMax: 500}, {Name: "blue", CPUs: 300, CPUsMax: 900}}
				d.State.ValueKB, d.State.TxnOps, d.State.WriteRPS = 3, 4, 40
				w.store.ValueBytes, w.store.TxnOps, w.store.Writes = 3<<10, 4, rate.NewLimiter(40, 40)
				w.most, w.tasks = 300, 120
				w.fill = w.set.Capacity()
				w.play(60, 120*time.Second, 400*time.Second)
				for _, b := range w.broken {
					t.Error(b)
				}
				full := 0
				for i := range 3 {
					if w.largest[i] > w.fill/2 {
						full++
					}
				}
				if w.starts < 1500 || full < 2 {
					t.Errorf("%d tasks started, shards of up to %v machines of %d", w.starts, w.largest, w.fill)
				}
			})
		})
	}
}

// With a guard broken on purpose the same checker finds broken rules: a
// holder that takes three seconds of silence for absence starts tasks twice.
func TestCheckerNotices(t *testing.T) {
	found := 0
	for seed := uint64(1); seed <= 12 && found == 0; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(seed, func(n *Node) { n.timing.WorkerGone = 3 * time.Second })
			w.play(24, 240*time.Second, 100*time.Second)
			for _, b := range w.broken {
				if b[:4] == "ran_" || b[:5] == "quota" {
					found++
				}
			}
		})
	}
	if found == 0 {
		t.Error("no broken rule was noticed")
	}
}
