package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a lease that expires because each renewal waits for the previous one to
// time out, which made the controller answer users and workers with 503. Renewals are sent
// concurrently, so the lease outlives several unanswered ones.
func TestLeaseOutlivesUnansweredRenewals(t *testing.T) {
	for _, lost := range []int{1, 7, 16} {
		t.Run(fmt.Sprint(lost, " unanswered"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, key := startSingleController(t)
				before, _ := key()
				link := w.nodes[0].storeLink
				link.mu.Lock()
				link.renewalsToLose = lost
				link.mu.Unlock()
				n := w.node(0)
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					n.mu.Lock()
					state := n.leaseState(n.now())
					n.mu.Unlock()
					if state != leaseHeld {
						t.Fatalf("%v after the last renewal: %s", n.now().Sub(n.session.own.RenewalSentAt()), state)
					}
				}
				link.mu.Lock()
				defer link.mu.Unlock()
				if after, _ := key(); link.renewalsToLose > 0 || after.Session != before.Session {
					t.Errorf("%d renewals not lost, session %d, at first %d", link.renewalsToLose, after.Session, before.Session)
				}
			})
		})
	}
}

// The lease of a controller whose renewals get no answers expires by its own clock in
// time, and is valid again soon after a renewal is answered.
func TestLeaseRunsOutWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := startSingleController(t)
		link := w.nodes[0].storeLink
		link.mu.Lock()
		link.renewalsToLose = 1 << 20
		link.mu.Unlock()
		n := w.node(0)
		time.Sleep(n.timing.HolderLease)
		n.mu.Lock()
		state := n.leaseState(n.now())
		n.mu.Unlock()
		if state != renewalsUnanswered {
			t.Errorf("after a lease without an answer: %s", state)
		}
		link.mu.Lock()
		link.renewalsToLose = 0
		link.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		defer n.mu.Unlock()
		if state = n.leaseState(n.now()); state != leaseHeld {
			t.Errorf("once renewals are answered: %s", state)
		}
	})
}
