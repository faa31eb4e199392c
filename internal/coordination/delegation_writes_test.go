package coordination

import (
	"slices"
	"testing"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// proxyNode returns a controller in zone b that a machine of shard 0 may be delegated to;
// the shard's holder is out of reach.
func proxyNode(t testing.TB) *Node {
	t.Helper()
	settings := *newWorld(1, nil).settings
	settings.HostName, settings.Location = "n1", "b"
	n := New(&settings, settings.Defaults(), nil, nil, map[string]Peer{"n0": &relayPeer{}, "n2": &relayPeer{}}, nil)
	n.session.id = 5
	n.session.leaseValidUntil = time.Now().Add(relayTestLease)
	n.records.Loaded, n.records.SyncedAt = true, time.Now()
	put(t, n, storage.SchemaVersionKey, storage.SchemaVersion{Version: storage.SchemaHeartbeatRelays}, 10)
	put(t, n, storage.ControllerKey("n0"), storage.Controller{Name: "n0", Session: 4}, 11)
	put(t, n, storage.ShardKey(0), storage.ShardLease{Holder: storage.Controller{Name: "n0", Session: 4}, FencingToken: 1}, 12)
	put(t, n, storage.GrantKey(0), storage.Grant{Machines: []storage.MachineLease{{Machine: "a", MachineType: "small", Zone: "b", FencingToken: 2}}}, 13)
	n.heartbeatProxy.firstCalled["n0"] = time.Now().Add(-time.Minute)
	return n
}

// Guards against a delegation that stands for good, with its machines never taken for lost:
// a write without an answer was carried out after the cut was over and forgotten.
func TestLateDelegationIsRemoved(t *testing.T) {
	n := proxyNode(t)
	n.heartbeatProxy.lastReached["n0"] = time.Now()
	put(t, n, storage.DelegationKey(testDelegation), storage.Delegation{Session: 5, FencingToken: 1, Machines: []string{"a"}}, 20)
	n.updateDelegations(time.Now())
	txns := n.delegationTxns(time.Now())
	removal := protocol.Write{Delete: storage.DelegationKey(testDelegation)}
	if len(txns) != 1 || !slices.Contains(txns[0].Writes, removal) {
		t.Errorf("the delegation is not removed: %+v", txns)
	}
}
