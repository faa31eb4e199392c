package coordination

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// zoneHeartbeat returns a heartbeat of the machine of newProxyNode.
func zoneHeartbeat(sequence uint64) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "a", Address: "a:1", MachineType: "small", Zone: "b", Session: 1, Sequence: sequence, FencingToken: 2}
}

// applyDelegation applies a delegation of the machine to the records and, if acknowledged,
// its acknowledgement by the shard's holder.
func applyDelegation(t *testing.T, n *Node, id storage.DelegationID, acknowledged bool) {
	t.Helper()
	applyRecord(t, n, storage.DelegationKey(id), storage.Delegation{Session: 5, FencingToken: 1, Machines: []string{"a"}}, 20)
	if acknowledged {
		applyRecord(t, n, storage.DelegationAckKey(id), storage.DelegationAck{DelegationRevision: 20, Session: 4, FencingToken: 1, Machines: []string{"a"}}, 21)
	}
}

// refreshRecords marks the replicated records as recent and updates the delegations.
func (n *Node) refreshRecords() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.records.SyncedAt = n.now()
	n.updateDelegations(n.now())
}

// Guards against a worker that is redirected to a holder known to be unreachable while its
// lease is running out, just before its proxy may answer.
func TestHeartbeatWaitsForAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration // delay from the heartbeat to the acknowledgement; 0: never
		status int
		took   time.Duration
	}{
		"acknowledged":  {700 * time.Millisecond, http.StatusOK, 700 * time.Millisecond},
		"never":         {0, http.StatusMisdirectedRequest, maxHeartbeatWait},
		"just too late": {maxHeartbeatWait + time.Millisecond, http.StatusMisdirectedRequest, maxHeartbeatWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newProxyNode(t)
				n.refreshRecords()
				applyDelegation(t, n, testDelegation, false)
				n.refreshRecords()
				if c.after > 0 {
					time.AfterFunc(c.after, func() {
						n.mu.Lock()
						applyDelegation(t, n, testDelegation, true)
						n.mu.Unlock()
						n.refreshRecords()
					})
				}
				sentAt := time.Now()
				answer := n.Heartbeat(zoneHeartbeat(1))
				if took := time.Since(sentAt); answer.Status != c.status || took != c.took || n.heartbeatProxy.waitingHeartbeats != 0 {
					t.Errorf("%+v after %v, %d waiting", answer, took, n.heartbeatProxy.waitingHeartbeats)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// workerTimeout is how long a worker waits for an answer.
const workerTimeout = 4 * time.Second

// Guards against a heartbeat that waits although the change that it waits for can no
// longer happen, or that waits longer than its worker.
func TestWaitingHeartbeatIsReevaluated(t *testing.T) {
	if maxHeartbeatWait+relayTimeout >= workerTimeout {
		t.Error("a waiting heartbeat that is relayed afterwards is answered too late")
	}
	for name, c := range map[string]struct {
		change func(n *Node)
		status int
		took   time.Duration
	}{
		"holder reachable again": {func(n *Node) { n.heartbeatProxy.lastReached["n0"] = n.now() }, http.StatusMisdirectedRequest, time.Second},
		"lease lost":             {func(n *Node) { n.session.leaseValidUntil = n.now() }, http.StatusServiceUnavailable, maxHeartbeatWait},
		"session over":           {func(n *Node) { n.replaceSession(0) }, http.StatusServiceUnavailable, time.Second},
		"acknowledged, then lease lost": {func(n *Node) {
			applyDelegation(t, n, testDelegation, true)
			n.session.leaseValidUntil = n.now()
		}, http.StatusServiceUnavailable, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newProxyNode(t)
				n.heartbeatRelay.disabled = true
				applyDelegation(t, n, testDelegation, false)
				n.refreshRecords()
				time.AfterFunc(time.Second, func() {
					n.mu.Lock()
					c.change(n)
					n.mu.Unlock()
					n.refreshRecords()
				})
				sentAt := time.Now()
				if answer := n.Heartbeat(zoneHeartbeat(1)); answer.Status != c.status || time.Since(sentAt) != c.took {
					t.Errorf("%+v after %v", answer, time.Since(sentAt))
				}
			})
		})
	}
}

// A heartbeat does not wait if no acknowledgement can follow: the machine is left to its
// holder, the holder is reachable, or too many heartbeats are waiting.
func TestHeartbeatIsAnsweredImmediately(t *testing.T) {
	for name, change := range map[string]func(n *Node){
		"holder reachable": func(n *Node) { n.heartbeatProxy.lastReached["n0"] = n.now(); n.heartbeatRelay.disabled = true },
		"another zone":     func(n *Node) { n.settings.Location = "a" },
		"too many wait":    func(n *Node) { n.heartbeatProxy.waitingHeartbeats = maxWaitingHeartbeats },
		"left to holder":   func(n *Node) { n.heartbeatProxy.delegations[0].Deactivate() },
		"no lease":         func(n *Node) { n.session.leaseValidUntil = n.now() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newProxyNode(t)
				n.refreshRecords()
				change(n)
				sentAt := time.Now()
				if answer := n.Heartbeat(zoneHeartbeat(1)); answer.Status == http.StatusOK || time.Since(sentAt) != 0 {
					t.Errorf("%+v after %v", answer, time.Since(sentAt))
				}
			})
		})
	}
}

// Guards against a worker that a controller of its zone redirects to an unreachable holder
// although another proxy may answer it. No controller is named that may not answer or is
// unknown.
func TestRedirectNamesAcknowledgedProxy(t *testing.T) {
	for name, c := range map[string]struct {
		proxy        string
		acknowledged bool
		reached      bool
		redirect     string
	}{
		"acknowledged":     {"n2", true, true, "n2"},
		"not acknowledged": {"n2", false, true, "n0"},
		"unreachable":      {"n2", true, false, "n0"},
		"unknown":          {"n7", true, true, "n0"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newProxyNode(t)
				n.heartbeatProxy.firstCalled["n2"] = n.now().Add(-time.Minute)
				if c.reached {
					n.heartbeatProxy.lastReached[c.proxy] = n.now().Add(time.Minute)
				}
				n.refreshRecords()
				applyDelegation(t, n, storage.DelegationID{Shard: 0, Controller: c.proxy}, c.acknowledged)
				if answer := n.Heartbeat(zoneHeartbeat(1)); answer.Status != http.StatusMisdirectedRequest || answer.RedirectTo != c.redirect {
					t.Errorf("%+v", answer)
				}
			})
		})
	}
}

// Guards against a worker that gets a 503 just before a controller that was partitioned
// from the key-value store has caught up, although its lease was valid throughout.
func TestHeartbeatWaitsForRecentRecords(t *testing.T) {
	for name, c := range map[string]struct {
		after   time.Duration // delay from the heartbeat until the records are recent; 0: never
		waiting int           // number of heartbeats that are already waiting
		status  int
		took    time.Duration
	}{
		"caught up":     {after: 300 * time.Millisecond, status: http.StatusOK, took: 300 * time.Millisecond},
		"never":         {status: http.StatusServiceUnavailable, took: maxHeartbeatWait},
		"just too late": {after: maxHeartbeatWait + time.Millisecond, status: http.StatusServiceUnavailable, took: maxHeartbeatWait},
		"too many wait": {after: 300 * time.Millisecond, waiting: maxWaitingHeartbeats, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newProxyNode(t)
				applyDelegation(t, n, testDelegation, true)
				n.refreshRecords()
				n.records.SyncedAt = n.now().Add(-n.timing.LeaseValidity)
				n.recordLeaseChange(n.now())
				n.heartbeatProxy.waitingHeartbeats = c.waiting
				if c.after > 0 {
					time.AfterFunc(c.after, func() {
						n.refreshRecords()
						n.mu.Lock()
						defer n.mu.Unlock()
						n.recordLeaseChange(n.now())
					})
				}
				sentAt := time.Now()
				if answer := n.Heartbeat(zoneHeartbeat(1)); answer.Status != c.status || time.Since(sentAt) != c.took {
					t.Errorf("%+v after %v", answer, time.Since(sentAt))
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// deleteRecord deletes a record from a controller's replicated records.
func deleteRecord(n *Node, key string) {
	for _, change := range n.records.Apply([]protocol.Change{{Delete: key, Revision: 30}}) {
		n.handleChange(change)
	}
}

// Guards against a worker that is redirected to a holder that has just failed to answer a
// relay, in the two seconds before a partition between zones is detected: it would be back
// one round trip later.
func TestHeartbeatWaitsAfterFailedRelay(t *testing.T) {
	const after = 700 * time.Millisecond
	for name, c := range map[string]struct {
		prepare func(n *Node) // nil: nothing
		change  func(n *Node) // applied some time after the heartbeat; nil: nothing
		status  int
		took    time.Duration
	}{
		"acknowledged": {change: func(n *Node) {
			applyDelegation(t, n, testDelegation, true)
			n.heartbeatProxy.lastReached["n0"] = time.Time{}
		}, status: http.StatusOK, took: after},
		"reached again":          {change: func(n *Node) { n.heartbeatProxy.recordReached("n0", n.now()) }, status: http.StatusMisdirectedRequest, took: after},
		"session of holder over": {change: func(n *Node) { deleteRecord(n, storage.ControllerKey("n0")) }, status: http.StatusMisdirectedRequest, took: after},
		"shard acquired": {change: func(n *Node) {
			n.records.SetMachineTypes(simMachineTypes)
			applyRecord(t, n, storage.ShardKey(0), storage.ShardLease{Holder: storage.Controller{Name: "n1", Session: 5}, FencingToken: 3}, 30)
			n.syncShards()
		}, status: http.StatusOK, took: after},
		"nothing changes": {status: http.StatusMisdirectedRequest, took: maxHeartbeatWait},
		"another zone":    {prepare: func(n *Node) { n.settings.Location = "a" }, status: http.StatusMisdirectedRequest},
		"too many wait":   {prepare: func(n *Node) { n.heartbeatProxy.waitingHeartbeats = maxWaitingHeartbeats }, status: http.StatusMisdirectedRequest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newProxyNode(t)
				n.peers["n0"] = &relayPeer{err: errors.New("no link")}
				n.heartbeatProxy.lastReached["n0"] = n.now()
				if c.prepare != nil {
					c.prepare(n)
				}
				n.refreshRecords()
				time.AfterFunc(after, func() {
					if c.change != nil {
						n.mu.Lock()
						c.change(n)
						n.mu.Unlock()
					}
					n.refreshRecords()
				})
				sentAt := time.Now()
				if answer := n.Heartbeat(zoneHeartbeat(1)); answer.Status != c.status || time.Since(sentAt) != c.took {
					t.Errorf("%+v after %v", answer, time.Since(sentAt))
				}
				time.Sleep(time.Second)
			})
		})
	}
}
