package coordination

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// startSingleController returns a world with one controller that has opened its session,
// and a function that reads the controller's key and its revision.
func startSingleController(t *testing.T) (w *world, key func() (storage.Controller, uint64)) {
	t.Helper()
	w = newWorld(1, nil)
	t.Cleanup(w.open())
	w.nodes = []*simNode{{name: "n0"}}
	w.settings.Deployment.Count = 1
	w.start(0)
	w.disableLinkFailures()
	time.Sleep(3 * time.Second)
	return w, func() (controller storage.Controller, revision uint64) {
		_, answer := w.store.Handle(w.ctx, http.MethodGet, "/keys/"+storage.ControllerKey("n0"), nil, nil)
		if item, ok := answer.(protocol.KeyValue); ok {
			json.Unmarshal(item.Value, &controller)
			revision = item.Revision
		}
		return controller, revision
	}
}

// disableLinkFailures stops the loss of answers, and returns the controller's last write
// of its own key.
func (w *world) disableLinkFailures() []byte {
	link := w.nodes[0].storeLink
	link.mu.Lock()
	defer link.mu.Unlock()
	link.failureRate = 0
	return link.lastOwnKeyTxn
}

// commit commits writes to the store unconditionally.
func (w *world) commit(writes ...protocol.Write) {
	raw, _ := json.Marshal(protocol.Txn{Preconditions: []protocol.Precondition{}, Writes: writes})
	w.store.Handle(w.ctx, http.MethodPost, "/multi", nil, raw)
}

// renewLease renews a lease at the store and returns the response status.
func (w *world) renewLease(lease uint64) int {
	status, _ := w.store.Handle(w.ctx, http.MethodPost, "/grants/"+jsonText(lease)+"/renew", nil, nil)
	return status
}

// overwriteControllerKey writes a controller's key like a terminated process of the
// previous version: unconditionally, and under a lease that is not renewed.
func (w *world) overwriteControllerKey() {
	_, answer := w.store.Handle(w.ctx, http.MethodPost, "/grants", nil, []byte(`{"life_ms":5000}`))
	lease := answer.(protocol.LeaseGrant).LeaseID
	w.commit(protocol.Write{Put: storage.ControllerKey("n0"), Value: storage.Controller{Name: "n0", Session: lease}, LeaseID: lease})
}

// A late write of the key by the previous process fails once its successor has written its
// own key, even if the previous lease is still valid.
func TestLateKeyOfPreviousProcessFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, key := startSingleController(t)
		lateTxn, first := w.disableLinkFailures(), w.node(0)
		w.kill(0)
		first.mu.Lock()
		oldLease := first.session.own.Lease()
		first.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		// The successor finds no lease to revoke, as if the first process had never
		// written its key.
		w.commit(protocol.Write{Delete: storage.ControllerKey("n0")})
		w.start(0)
		w.disableLinkFailures()
		time.Sleep(time.Second)
		before, _ := key()
		w.renewLease(oldLease)
		if status, _ := w.store.Handle(w.ctx, http.MethodPost, "/multi", nil, lateTxn); status != http.StatusConflict {
			t.Errorf("the late write got status %d", status)
		}
		if after, _ := key(); after != before || before.Session == 0 || before.Session == oldLease {
			t.Errorf("the key named %v, and names %v after the late write", before, after)
		}
	})
}

// Guards against a controller that keeps renewing a lease that no key names any longer, and
// is never granted anything again. Its key was overwritten, as by an unconditional late
// write of the previous version, or deleted, as when the lease expires at the store only.
// The controller stops acting at once and recovers with a new session.
func TestControllerDetectsLostKey(t *testing.T) {
	for name, loseKey := range map[string]func(w *world){
		"overwritten": func(w *world) { w.overwriteControllerKey() },
		"gone":        func(w *world) { w.commit(protocol.Write{Delete: storage.ControllerKey("n0")}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, key := startSingleController(t)
				before, _ := key()
				loseKey(w)
				time.Sleep(time.Second)
				n := w.node(0)
				n.mu.Lock()
				holdsOldLease := n.holdsLease(n.now()) && n.session.id == before.Session
				n.mu.Unlock()
				if holdsOldLease {
					t.Error("holds the lease though its key was overwritten or deleted")
				}
				time.Sleep(10 * time.Second)
				n.mu.Lock()
				holdsLease, current := n.holdsLease(n.now()), n.session.id
				n.mu.Unlock()
				if after, _ := key(); !holdsLease || after.Session != current || current == before.Session {
					t.Errorf("holds lease %v in session %d, the key names %d, at first %d", holdsLease, current, after.Session, before.Session)
				}
			})
		})
	}
}

// A process that restarts quickly succeeds itself: it holds its shards again long before
// its old lease would have expired, and the old lease is revoked.
func TestQuickRestartKeepsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, key := startSingleController(t)
		time.Sleep(2 * time.Second)
		before, _ := key()
		w.kill(0)
		time.Sleep(50 * time.Millisecond)
		w.start(0)
		w.disableLinkFailures()
		time.Sleep(1500 * time.Millisecond)
		n := w.node(0)
		n.mu.Lock()
		holdsLease, shardCount := n.holdsLease(n.now()), len(n.shards)
		n.mu.Unlock()
		if after, _ := key(); !holdsLease || shardCount != n.operator.Shards || after.Session == before.Session {
			t.Errorf("holds lease %v, %d shards, session %d then %d", holdsLease, shardCount, before.Session, after.Session)
		}
		if status := w.renewLease(before.Session); status != http.StatusNotFound {
			t.Errorf("the renewal of the previous process's lease got status %d", status)
		}
	})
}

// A leader that terminates between a scale-out call and its response, and restarts 0.1 s
// later, has no record of the requested machines. They appear in the cloud's list and are
// used, and surplus machines are released.
func TestLeaderRestartDuringScaleOut(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkLeaderRestartDuringScaleOut(t, seed) })
	}
}

func checkLeaderRestartDuringScaleOut(t *testing.T, seed uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, nil)
		stop := w.open()
		w.maxMachines = 60
		ended := false
		w.afterFirstRequest = func() {
			for i := range w.nodes {
				n := w.node(i)
				n.mu.Lock()
				leads := n.leadership != nil
				n.mu.Unlock()
				if leads {
					ended = true
					w.kill(i)
					w.spawn(func() { time.Sleep(100 * time.Millisecond); w.startIfDown(i) })
				}
			}
		}
		w.startSteadyLoad(3, 6)
		time.Sleep(120 * time.Second)
		w.mu.Lock()
		ungranted := map[string]bool{}
		for id, m := range w.workers {
			if m.session > 0 && !m.dead {
				ungranted[id] = true
			}
		}
		running, requested := len(w.taskWorker), w.lastMachineNumber
		w.mu.Unlock()
		n := w.node(0)
		n.mu.Lock()
		for id := range n.records.ShardOfMachine {
			delete(ungranted, id)
		}
		n.mu.Unlock()
		if !ended || running != 6 || len(ungranted) > 0 || requested > 18 {
			t.Errorf("leader killed %v, %d tasks running, %d machines ungranted, %d requested", ended, running, len(ungranted), requested)
		}
		for _, violation := range w.violations {
			t.Error(violation)
		}
		stop()
	})
}

func jsonText(v any) string {
	raw, _ := json.Marshal(v)
	return string(raw)
}

// A delayed message of a terminated process does not replace its successor's.
func TestLateStatusOfPreviousProcessIsIgnored(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	for i, session := range []uint64{7, 8} {
		raw, _ := json.Marshal(storage.Controller{Name: "n1", Session: session})
		n.applyChange(storage.ControllerKey("n1"), raw, uint64(i+1))
		n.ReceiveStatus(Status{From: "n1", Session: session, Utilization: float64(session)})
	}
	n.ReceiveStatus(Status{From: "n1", Session: 7, HoldsLease: true, Utilization: 7})
	if status := n.peerStatus["n1"]; status.Session != 8 || status.HoldsLease {
		t.Errorf("a status of the previous process was applied: %+v", status)
	}
	n.ReceiveStatus(Status{From: "n1", Session: 9, HoldsLease: true})
	if status := n.peerStatus["n1"]; status.Session != 9 {
		t.Errorf("the status of a process whose key is not in the records yet was not applied: %+v", status)
	}
}
