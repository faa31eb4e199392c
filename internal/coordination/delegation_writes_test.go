package coordination

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// newProxyNode returns a controller in zone b to which a machine of shard 0 may be
// delegated; the shard's holder is unreachable.
func newProxyNode(t testing.TB) *Node {
	t.Helper()
	settings := *newWorld(1, nil).settings
	settings.HostName, settings.Location = "n1", "b"
	n := New(&settings, settings.Defaults(), nil, nil, map[string]Peer{"n0": &relayPeer{}, "n2": &relayPeer{}}, nil)
	n.session.id = 5
	n.session.leaseValidUntil = time.Now().Add(relayTestLease)
	n.records.Loaded, n.records.SyncedAt = true, time.Now()
	applyRecord(t, n, storage.SchemaVersionKey, storage.SchemaVersion{Version: storage.SchemaHeartbeatRelays}, 10)
	applyRecord(t, n, storage.ControllerKey("n0"), storage.Controller{Name: "n0", Session: 4}, 11)
	applyRecord(t, n, storage.ShardKey(0), storage.ShardLease{Holder: storage.Controller{Name: "n0", Session: 4}, FencingToken: 1}, 12)
	applyRecord(t, n, storage.GrantKey(0), storage.Grant{Machines: []storage.MachineLease{{Machine: "a", MachineType: "small", Zone: "b", FencingToken: 2}}}, 13)
	n.heartbeatProxy.firstCalled["n0"] = time.Now().Add(-time.Minute)
	return n
}

// Guards against a delegation that is never deleted, so that its machines never expire: an
// unanswered write was executed after the partition had ended and the proxy had discarded
// its state.
func TestLateDelegationIsRemoved(t *testing.T) {
	n := newProxyNode(t)
	n.heartbeatProxy.lastReached["n0"] = time.Now()
	applyRecord(t, n, storage.DelegationKey(testDelegation), storage.Delegation{Session: 5, FencingToken: 1, Machines: []string{"a"}}, 20)
	n.updateDelegations(time.Now())
	txns := n.delegationTxns(time.Now())
	removal := protocol.Write{Delete: storage.DelegationKey(testDelegation)}
	if len(txns) != 1 || !slices.Contains(txns[0].Writes, removal) {
		t.Errorf("the delegation is not removed: %+v", txns)
	}
}

// Guards against a proxy that answers in a new session based on the delegations of the old
// one: the holder may have expired the machine between the two.
func TestNewSessionDropsDelegations(t *testing.T) {
	n := newProxyNode(t)
	n.refreshRecords()
	applyDelegation(t, n, testDelegation, true)
	n.refreshRecords()
	if answer := n.Heartbeat(zoneHeartbeat(1)); answer.Status != http.StatusOK {
		t.Fatalf("%+v", answer)
	}
	for _, key := range []string{storage.DelegationKey(testDelegation), storage.DelegationAckKey(testDelegation)} {
		n.records.Apply([]protocol.Change{{Delete: key, Revision: 30}})
	}
	n.replaceSession(9)
	if answer := n.Heartbeat(zoneHeartbeat(2)); answer.Status == http.StatusOK {
		t.Errorf("answered without a record: %+v", answer)
	}
}

// A late copy of an acknowledgement must fail: it is conditional on the revisions of the
// shard, the delegation and the acknowledgement.
func TestAcknowledgementPreconditions(t *testing.T) {
	n, s, _ := newFencedHolder(t, storage.SchemaMachineFences)
	s.revision = 8
	for _, precondition := range []protocol.Precondition{
		{Key: storage.ShardKey(0), Revision: 8},
		{Key: storage.DelegationKey(testDelegation), Revision: 12},
		{Key: storage.DelegationAckKey(testDelegation), Revision: 0},
	} {
		if txns := n.acknowledgementTxns(); len(txns) != 1 || !slices.Contains(txns[0].Preconditions, precondition) {
			t.Errorf("%+v is missing in %+v", precondition, txns)
		}
	}
}

// Guards against a write that is never resent because other writes exhaust the budget, and
// against one that is resent too often.
func TestUnansweredDelegationIsSentAgain(t *testing.T) {
	txn := protocol.Txn{Preconditions: []protocol.Precondition{{Key: "k", Revision: 1}}, Writes: []protocol.Write{{Put: "k"}}}
	for name, c := range map[string]struct {
		budget int
		copies int // within 6 s
	}{"room for copies": {1, 1 + maxQuickRepeats + 1}, "no room": {0, 3}} {
		sent, copies, start := sentTxns{}, 0, time.Now()
		for after := time.Duration(0); after < 6*time.Second; after += 50 * time.Millisecond {
			if sent.begin(txn, c.budget, start.Add(after)) != nil {
				copies++
			}
		}
		if copies != c.copies {
			t.Errorf("%s: %d copies, want %d", name, copies, c.copies)
		}
	}
}
