package coordination

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// all plays all combinations; CI plays a bounded part of them.
var all = flag.Bool("all", false, "play all combinations of faults, not only those of CI")

// outageGap is a case in which the store first refuses a single controller and then has
// an outage for all.
type outageGap struct {
	outageDelay     time.Duration // from the refusal to the outage
	outage          time.Duration
	target          faultTarget // controllers that the store refuses
	leaderHoldsAll  bool        // the leader holds all machines; otherwise another controller does
	concurrentFault faultKind   // injected in addition
}

func (g outageGap) String() string {
	return fmt.Sprintf("%v, out for %v, %s refused, leader holds %v, %s", g.outageDelay, g.outage, g.target, g.leaderHoldsAll, g.concurrentFault)
}

// makeLeader makes the controller with the most tasks the leader, or another one if
// busiest is false.
func (w *world) makeLeader(busiest bool) {
	for range 100 {
		if l := w.leader(); l >= 0 && (l == w.targets(targetBusiest)[0]) == busiest {
			return
		}
		raw, _ := json.Marshal(protocol.Txn{Preconditions: []protocol.Precondition{}, Writes: []protocol.Write{{Delete: storage.LeaderKey}}})
		w.store.Handle(w.ctx, "POST", "/multi", nil, raw)
		time.Sleep(2 * time.Second)
	}
}

// play runs long tasks on all machines while users cancel their jobs through the other
// controllers during the whole gap. The longestAfterCancel of the world that it returns is
// the longest time from a confirmed cancellation to the end of a task.
func (g outageGap) play(t *testing.T, seed uint64, tweak func(*Node)) *world {
	w := newWorld(seed, tweak)
	w.txnFailureRate = 0
	w.settings.Deployment.Teams = []config.Team{{Name: "red", CPUsMax: 40}}
	stop := w.open()
	w.addNodes(3)
	for i := range w.nodes {
		w.start(i)
	}
	var users []*user
	for k := range 12 {
		j := &protocol.Job{ID: fmt.Sprintf("wk-%06d", k+1), Class: "x", Team: "red", Type: "array", Priority: "normal", Tasks: 3,
			Cores: 1, MemoryGB: 2, Image: "i", EstimatedSeconds: 2000, Spot: true}
		users = append(users, &user{w: w, job: j, submitAfter: 3 * time.Second})
		w.spawn(users[k].run)
	}
	for range 200 {
		time.Sleep(time.Second)
		w.mu.Lock()
		up := len(w.taskWorker)
		w.mu.Unlock()
		if up >= 30 {
			break
		}
	}
	w.makeLeader(g.leaderHoldsAll)
	time.Sleep(10 * time.Second) // until the state is stable
	w.mu.Lock()
	if len(w.taskWorker) < 30 {
		t.Errorf("only %d tasks run", len(w.taskWorker))
	}
	w.longestAfterCancel = 0
	w.mu.Unlock()
	// Users can't reach the refused controller, so another one confirms.
	for _, i := range w.targets(g.target) {
		w.nodes[i].cutFromUsers = true
	}
	long := g.outageDelay + g.outage
	w.runScript([]fault{
		{kind: storeRefusesOne, target: g.target, duration: long},
		{at: g.outageDelay, kind: storeOutage, duration: g.outage},
	})
	switch g.concurrentFault {
	case machinesHang:
		w.injectFault(fault{kind: machinesHang, duration: 15 * time.Second, count: 5})
	case machinesCannotSend, machinesCannotReceive, directSlow, txnAnswersLost, heartbeatCopiesLate, txnsLate:
		w.injectFault(fault{kind: g.concurrentFault, duration: long, count: 5, share: 0.5})
	case controllerPauses: // from the refusal until 1 s into the outage, at most 6 s
		w.injectFault(fault{kind: controllerPauses, target: g.target, duration: min(g.outageDelay+time.Second, 6*time.Second)})
	}
	// One per twelfth of the gap, the first at its start.
	for k, u := range users {
		w.spawn(func() {
			time.Sleep(g.outageDelay * time.Duration(k) / time.Duration(len(users)))
			u.cancelUntilConfirmed()
		})
	}
	time.Sleep(long + 5*time.Second)
	w.recover()
	time.Sleep(60 * time.Second)
	stop()
	return w
}

// outageGaps lists the cases to play. -all plays all combinations; CI plays every delay
// between refusal and outage with every outage duration and target, and every concurrent
// fault with every delay.
func outageGaps(lease time.Duration) []outageGap {
	times := []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 5 * time.Second,
		lease - 200*time.Millisecond, lease + 200*time.Millisecond}
	outages := []time.Duration{12 * time.Second, 60 * time.Second}                                                      // shorter and longer than cancel_s
	roles := []outageGap{{target: targetLeader, leaderHoldsAll: true}, {target: targetLeader}, {target: targetBusiest}} // leader and holder, leader only, holder only
	concurrent := []faultKind{"nothing else", machinesHang, machinesCannotSend, directSlow, controllerPauses, txnAnswersLost, txnsLate, machinesCannotReceive, heartbeatCopiesLate}
	var list []outageGap
	for i, d := range times {
		for k, out := range outages {
			for r, role := range roles {
				for b, kind := range concurrent {
					if !*all && (i+k+2*r+b)%len(concurrent) > 1 {
						continue
					}
					list = append(list, outageGap{outageDelay: d, outage: out, target: role.target, leaderHoldsAll: role.leaderHoldsAll, concurrentFault: kind})
				}
			}
		}
	}
	return list
}

// The store refuses a single controller, others confirm cancellations, and then the store
// is out for all for longer than cancel_s, while workers keep reporting to the refused
// controller. All tasks of the cancelled jobs end within the bound against which settings
// are validated.
func TestCancelledWhileRefused(t *testing.T) {
	set := newWorld(1, nil).settings
	lease := set.Defaults().HolderLease
	longestPerGap := make(chan time.Duration, 1000)
	reached := make(chan bool, 1000)
	t.Run("gaps", func(t *testing.T) {
		for i, g := range outageGaps(lease) {
			t.Run(g.String(), func(t *testing.T) {
				t.Parallel()
				var w *world
				synctest.Test(t, func(t *testing.T) { w = g.play(t, uint64(i+1), nil) })
				w.check(t)
				if len(w.events["confirmed"]) == 0 && g.outageDelay >= time.Second {
					t.Error("no cancellation was confirmed")
				}
				reached <- len(w.events["confirmed while a controller is refused"]) > 0
				longestPerGap <- w.longestAfterCancel
			})
		}
	})
	close(longestPerGap)
	close(reached)
	var longest time.Duration
	for d := range longestPerGap {
		longest = max(longest, d)
	}
	inGap := 0
	for m := range reached {
		if m {
			inGap++
		}
	}
	// Verifies that the bound is not needlessly loose: some task has to stay for at least
	// a worker's lease.
	if workers := config.Seconds(set.Deployment.Workers.LeaseS); longest < workers {
		t.Errorf("longest time %v: no case came near the bound", longest)
	}
	if inGap < 20 {
		t.Errorf("a cancellation was confirmed while a controller was refused in only %d cases", inGap)
	}
	t.Logf("a cancelled task stayed for at most %v, bound %s", longest, config.FormatTerms(set.CancelBound(set.Defaults())))
}

// The same case detects a controller that keeps acting although its lease or its replica
// is too old.
func TestRefusedHolderIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := outageGap{outageDelay: 2 * time.Second, outage: 60 * time.Second, target: targetLeader, leaderHoldsAll: true}
		w := g.play(t, 1, func(n *Node) { n.timing.LeaseValidity = time.Hour })
		if len(w.violations) == 0 {
			t.Errorf("no violation detected; longest time %v", w.longestAfterCancel)
		}
	})
}
