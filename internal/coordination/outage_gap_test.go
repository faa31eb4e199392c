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

// all: play all combinations, of which CI plays a bounded part.
var all = flag.Bool("all", false, "play all combinations of troubles, not only those of CI")

// outageGap is one way in which the store refuses a controller alone and then
// everybody.
type outageGap struct {
	outageDelay     time.Duration // from the refusal to the outage
	outage          time.Duration
	target          faultTarget // whom the store refuses
	leaderHoldsAll  bool        // the leader has all machines, else another controller has
	concurrentFault faultKind   // what else goes on
}

func (g outageGap) String() string {
	return fmt.Sprintf("%v, out for %v, %s refused, leader holds %v, %s", g.outageDelay, g.outage, g.target, g.leaderHoldsAll, g.concurrentFault)
}

// makeLeader makes the controller with the most work the leader, or another
// one.
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

// play has long tasks on all machines, and lets users cancel their jobs through
// the other controllers all through the gap. The world that it returns knows
// how long after the confirmation the last of their tasks ended, at most.
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
	time.Sleep(10 * time.Second) // until all is settled
	w.mu.Lock()
	if len(w.taskWorker) < 30 {
		t.Errorf("only %d tasks run", len(w.taskWorker))
	}
	w.longestAfterCancel = 0
	w.mu.Unlock()
	// The refused controller gets no requests of users: another confirms.
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
	case controllerPauses: // from before the refusal to a while after
		w.injectFault(fault{kind: controllerPauses, target: g.target, duration: min(g.outageDelay+time.Second, 6*time.Second)})
	}
	// One a twelfth of the gap, the first before it begins.
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

// outageGaps lists the gaps that CI plays: every time between refusal and
// outage with every length of the outage and target, and each fault alongside
// with each time.
func outageGaps(lease time.Duration) []outageGap {
	times := []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 5 * time.Second,
		lease - 200*time.Millisecond, lease + 200*time.Millisecond}
	outages := []time.Duration{12 * time.Second, 60 * time.Second}                                                      // shorter and longer than cancel_s
	roles := []outageGap{{target: targetLeader, leaderHoldsAll: true}, {target: targetLeader}, {target: targetBusiest}} // both, leader alone, holder alone
	beside := []faultKind{"nothing else", machinesHang, machinesCannotSend, directSlow, controllerPauses, txnAnswersLost, txnsLate, machinesCannotReceive, heartbeatCopiesLate}
	var list []outageGap
	for i, d := range times {
		for k, out := range outages {
			for r, role := range roles {
				for b, kind := range beside {
					if !*all && (i+k+2*r+b)%len(beside) > 1 {
						continue
					}
					list = append(list, outageGap{outageDelay: d, outage: out, target: role.target, leaderHoldsAll: role.leaderHoldsAll, concurrentFault: kind})
				}
			}
		}
	}
	return list
}

// The store refuses one controller alone, others confirm cancellations, and
// then it is out for all, for longer than cancel_s, while the workers keep
// reporting to the controller that was refused. All tasks of those jobs end
// within the bound that settings are checked by.
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
					t.Error("nothing was confirmed")
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
	// The bound is no looser than what its terms leave for clocks and timers:
	// the lease of a worker at least has been seen.
	if workers := config.Seconds(set.Deployment.Workers.LeaseS); longest < workers {
		t.Errorf("the longest was %v: no scenario was the one that the bound is for", longest)
	}
	if inGap < 20 {
		t.Errorf("in %d only a cancellation was confirmed while a controller was refused", inGap)
	}
	t.Logf("the longest that a cancelled task stayed: %v of %s", longest, config.FormatTerms(set.CancelBound(set.Defaults())))
}

// A controller that goes on acting though its lease or its copy is too old is
// detected by the same runs.
func TestRefusedHolderIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := outageGap{outageDelay: 2 * time.Second, outage: 60 * time.Second, target: targetLeader, leaderHoldsAll: true}
		w := g.play(t, 1, func(n *Node) { n.timing.LeaseValidity = time.Hour })
		if len(w.violations) == 0 {
			t.Errorf("not noticed; the longest was %v", w.longestAfterCancel)
		}
	})
}
