package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// A holder writes acknowledgements, which list the machines of its shards that a heartbeat
// proxy may answer. The proxy's side is in delegations.go.

// refreshDelegatedMachines keeps delegated machines from being expired, because the proxy
// may be renewing their workers' leases.
func (n *Node) refreshDelegatedMachines(s *shard, now time.Time) {
	if n.heartbeatProxy.ignoreDelegated {
		return
	}
	for name := range n.records.DelegatedMachines[s.index] {
		if m := s.machines[name]; m != nil && !m.isExpired() {
			m.lastAnswered = now
		}
	}
}

// acknowledgementTxns returns the transactions by which this controller, as a holder,
// acknowledges delegations and deletes the acknowledgements of deleted delegations. At
// most one of them mints a fencing token, since a second one would conflict with the
// first.
func (n *Node) acknowledgementTxns() []protocol.Txn {
	var txns []protocol.Txn
	canMint := n.records.MachineFencesEnabled()
	for _, id := range sortedDelegations(n.records.Delegations) {
		record := n.records.Delegations[id]
		s := n.shards[id.Shard]
		if s == nil || record.Value.FencingToken != s.fencingToken {
			continue
		}
		txn, due, minted := n.acknowledgementTxn(s, id, record, canMint)
		if due {
			txns = append(txns, txn)
		}
		canMint = canMint && !minted
	}
	for id, ack := range n.records.DelegationAcks {
		if _, exists := n.records.Delegations[id]; !exists && ack.Value.Session == n.session.id {
			txns = append(txns, protocol.Txn{
				Preconditions: []protocol.Precondition{{Key: storage.DelegationAckKey(id), Revision: ack.Revision}},
				Writes:        []protocol.Write{{Delete: storage.DelegationAckKey(id)}},
			})
		}
	}
	return txns
}

// sortedDelegations returns the delegation IDs in a stable order, so that a transaction
// that is built again is identical.
func sortedDelegations(delegations map[storage.DelegationID]clusterstate.Entry[storage.Delegation]) []storage.DelegationID {
	return slices.SortedFunc(maps.Keys(delegations), func(a, b storage.DelegationID) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Controller, b.Controller), cmp.Compare(a.Record, b.Record))
	})
}

// acknowledgementTxn returns the transaction that acknowledges a delegation, conditional
// on the shard, the delegation and the previous acknowledgement. due is false if there is
// nothing new to acknowledge. If canMint is set, it mints a fencing token for machines
// that need a fence.
func (n *Node) acknowledgementTxn(s *shard, id storage.DelegationID, delegation clusterstate.Entry[storage.Delegation], canMint bool) (txn protocol.Txn, due, minted bool) {
	next := storage.DelegationAck{
		DelegationRevision: delegation.Revision,
		Session:            n.session.id,
		FencingToken:       s.fencingToken,
		Machines:           n.acknowledgeableMachines(s, delegation.Value.Machines),
	}
	previous := n.records.DelegationAcks[id]
	isSame := isSameDelegation(previous.Value, next)
	if isSame {
		// Acknowledged machines stay acknowledged, because no direct message is sent to a
		// delegated machine.
		next.Machines = union(previous.Value.Machines, next.Machines)
		next.Fences = previous.Value.Fences
	}
	fences := newFenceBuilder(s, &next, n.storeLimits().MaxValueBytes())
	fences.addExisting()
	token := n.nextFencingToken()
	if canMint {
		minted = fences.addNew(delegation.Value.Machines, token.Last)
	}
	if isSame && len(next.Machines) == len(previous.Value.Machines) {
		return protocol.Txn{}, false, false
	}
	txn = protocol.Txn{
		Preconditions: []protocol.Precondition{
			{Key: storage.ShardKey(id.Shard), Revision: s.revision},
			{Key: storage.DelegationKey(id), Revision: delegation.Revision},
			{Key: storage.DelegationAckKey(id), Revision: previous.Revision},
		},
		Writes: []protocol.Write{{Put: storage.DelegationAckKey(id), Value: next, LeaseID: n.session.id}},
	}
	if minted {
		txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: storage.FencingTokenKey, Revision: n.records.LastToken.Revision})
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.FencingTokenKey, Value: token})
	}
	return txn, true, minted
}

// isSameDelegation reports whether two acknowledgements are for the same revision of a
// delegation, by the same holder.
func isSameDelegation(a, b storage.DelegationAck) bool {
	return a.DelegationRevision == b.DelegationRevision && a.Session == b.Session && a.FencingToken == b.FencingToken
}

// acknowledgeableMachines returns the machines without a direct start in flight. Such a
// start would stay valid for as long as the proxy renews the worker's lease.
func (n *Node) acknowledgeableMachines(s *shard, names []string) []string {
	var acknowledgeable []string
	for _, name := range names {
		m := s.machines[name]
		if m == nil || !m.isDelegable() {
			continue
		}
		if n.heartbeatProxy.acknowledgeAlways || !m.hasStartInFlight() {
			acknowledgeable = append(acknowledgeable, name)
		}
	}
	return acknowledgeable
}

// isDelegable reports whether a proxy may keep the machine's tasks running.
func (m *machine) isDelegable() bool { return !m.isExpired() && !m.removed && !m.releasing }

// hasStartInFlight reports whether the machine may still execute a direct start, even
// after its worker has received the machine's current fencing token.
func (m *machine) hasStartInFlight() bool {
	for _, run := range m.attempts {
		if run.start.IsUnconfirmed() && run.start.Token() >= m.fenceToken {
			return true
		}
	}
	return false
}

// union returns the sorted union of two lists of names.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
