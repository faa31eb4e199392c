package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
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
