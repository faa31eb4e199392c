package coordination

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/config"
	"reedtrack/internal/heartbeatproxy"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

// A heartbeat proxy writes delegations, which list the machines of another holder's shard
// that it requests to answer. The holder's side is in delegation_acks.go, the answers are in
// heartbeat_proxy.go.

const (
	// machineNameOverhead is the encoded size of a machine name in a record without its
	// characters, in bytes: two quotes and a comma.
	machineNameOverhead = 3
	// delegationOverhead is an upper bound on the size of a delegation record without
	// machine names, in bytes.
	delegationOverhead = 128
	// delegationSizeDivisor limits a delegation record to a fraction of the maximum value
	// size. The acknowledgement lists the same machines and additionally their fences, so
	// it needs more space.
	delegationSizeDivisor = 2
)

// updateDelegations activates a delegation for each shard whose holder this controller
// can't reach although the holder's session is open, and deactivates those that are no
// longer needed.
func (n *Node) updateDelegations(now time.Time) {
	if !n.records.HeartbeatProxiesEnabled() || n.settings.Location == "" {
		return
	}
	proxy := &n.heartbeatProxy
	for i := range n.records.Shards {
		unreachable := n.isHolderUnreachable(i, now)
		delegation := proxy.delegations[i]
		if delegation == nil && !unreachable && len(n.ownDelegationRecords(i)) == 0 {
			continue // records left behind by a late write still need to be deleted
		}
		if delegation == nil {
			delegation = heartbeatproxy.New(proxy.timing)
			proxy.delegations[i] = delegation
		}
		if !unreachable && delegation.IsActive() {
			delegation.Deactivate()
			proxy.wakeWaitingHeartbeats()
		} else if unreachable && !delegation.IsActive() {
			delegation.Activate(n.machinesInOwnZone(i), now)
			signal(n.wake.delegations)
		}
		n.observeDelegation(i, now)
		n.logProxyChange(i, delegation)
	}
}

// observeDelegation updates a delegation from the records and returns the delegated
// machines that they contain. Waiting heartbeats are woken if this controller may now answer
// for more machines.
func (n *Node) observeDelegation(shardIndex int, now time.Time) map[string]heartbeatproxy.Record {
	delegated := n.ownDelegatedMachines(shardIndex)
	delays := n.heartbeatProxy.delegations[shardIndex].ObserveRecords(delegated, now)
	if len(delays) == 0 {
		return delegated
	}
	for _, delay := range delays {
		transport.AcknowledgementSeconds.Observe(delay.Seconds())
	}
	slog.Info("delegation acknowledged", "shard", shardIndex, "machine_count", len(delays), "longest_wait_s", slices.Max(delays).Seconds())
	n.heartbeatProxy.wakeWaitingHeartbeats()
	return delegated
}

// isHolderUnreachable reports whether a shard's holder is another controller with an
// open session that this controller can't reach.
func (n *Node) isHolderUnreachable(shardIndex int, now time.Time) bool {
	return n.isHeldByPeer(shardIndex) && !n.heartbeatProxy.isReachable(n.records.Shards[shardIndex].Value.Holder.Name, now)
}

// isHeldByPeer reports whether a shard's holder is another controller whose session is
// open.
func (n *Node) isHeldByPeer(shardIndex int) bool {
	holder := n.records.Shards[shardIndex].Value.Holder
	key, up := n.records.Controllers[holder.Name]
	return n.shards[shardIndex] == nil && up && key.Value.Session == holder.Session && n.peers[holder.Name] != nil
}

// logProxyChange logs when this controller starts or stops answering for a shard's holder.
func (n *Node) logProxyChange(shardIndex int, delegation *heartbeatproxy.Delegation) {
	count := delegation.CountAnswerable()
	answering := count > 0
	if answering == n.heartbeatProxy.loggedAnswering[shardIndex] {
		return
	}
	n.heartbeatProxy.loggedAnswering[shardIndex] = answering
	holder := n.records.Shards[shardIndex].Value.Holder
	slog.Info("heartbeat proxy changed", "shard", shardIndex, "holder", holder.Name, "machine_count", count, "answering", answering)
}

// machinesInOwnZone returns a shard's machines in this controller's zone.
func (n *Node) machinesInOwnZone(shardIndex int) []string {
	var names []string
	for _, lease := range n.records.Grants[shardIndex].Value.Machines {
		if lease.Zone == n.settings.Location {
			names = append(names, lease.Machine)
		}
	}
	return names
}

// ownDelegatedMachines returns the machines of a shard that are delegated to this session
// under the shard's current fencing token.
func (n *Node) ownDelegatedMachines(shardIndex int) map[string]heartbeatproxy.Record {
	delegated := map[string]heartbeatproxy.Record{}
	shardLease := n.records.Shards[shardIndex].Value
	for id, record := range n.records.Delegations {
		if id.Shard != shardIndex || id.Controller != n.settings.HostName {
			continue
		}
		if record.Value.Session != n.session.id || record.Value.FencingToken != shardLease.FencingToken {
			continue
		}
		for _, m := range record.Value.Machines {
			delegated[m] = heartbeatproxy.Record{Revision: record.Revision}
		}
		ack := n.records.DelegationAcks[id].Value
		if !isCurrentAcknowledgement(ack, record.Revision, shardLease) {
			continue
		}
		n.addAcknowledged(delegated, ack)
	}
	return delegated
}

// isCurrentAcknowledgement reports whether an acknowledgement was written by the shard's
// current holder for the given revision of the delegation.
func isCurrentAcknowledgement(ack storage.DelegationAck, delegationRevision uint64, shardLease storage.ShardLease) bool {
	return ack.DelegationRevision == delegationRevision &&
		ack.FencingToken == shardLease.FencingToken &&
		ack.Session == shardLease.Holder.Session
}

// delegationTxns returns the transactions that update this controller's delegation records.
func (n *Node) delegationTxns(now time.Time) []protocol.Txn {
	var txns []protocol.Txn
	proxy := &n.heartbeatProxy
	for _, shardIndex := range slices.Sorted(maps.Keys(proxy.delegations)) {
		delegation, delegated := proxy.delegations[shardIndex], n.observeDelegation(shardIndex, now)
		desired := limitDelegated(n.filterGranted(shardIndex, delegation.Desired(now)), n.storeLimits())
		records := n.ownDelegationRecords(shardIndex)
		if !delegation.NeedsWrite(desired, delegated) && (len(desired) > 0 || len(records) == 0) {
			if len(records) == 0 && delegation.IsEmpty() {
				delete(proxy.delegations, shardIndex)
			}
			continue
		}
		delegation.BeginRemoval(desired, n.records.AppliedRevision)
		if txn := n.delegationTxn(shardIndex, desired, records); len(txn.Writes) > 0 {
			txns = append(txns, txn)
		}
	}
	return txns
}

// filterGranted removes the machines that no longer belong to the shard.
func (n *Node) filterGranted(shardIndex int, names []string) []string {
	return slices.DeleteFunc(names, func(m string) bool {
		shard, granted := n.records.ShardOfMachine[m]
		return !granted || shard != shardIndex
	})
}

// ownDelegationRecords returns this controller's delegation records of a shard from all
// its sessions, by record number.
func (n *Node) ownDelegationRecords(shardIndex int) map[int]clusterstate.Entry[storage.Delegation] {
	own := map[int]clusterstate.Entry[storage.Delegation]{}
	for id, record := range n.records.Delegations {
		if id.Shard == shardIndex && id.Controller == n.settings.HostName {
			own[id.Record] = record
		}
	}
	return own
}

// delegationRecordBytes returns the maximum size of a delegation record.
func delegationRecordBytes(limits config.Limits) int {
	return limits.MaxValueBytes() / delegationSizeDivisor
}

// limitDelegated returns the first of the names, as many as one transaction can write. The
// others are left to the holder: with some of the records unwritten, a machine that moves from
// one record to another would for a while be in none.
func limitDelegated(names []string, limits config.Limits) []string {
	recordBytes := delegationRecordBytes(limits)
	maxRecords := min(limits.TxnOps, protocol.MaxBodyBytes/(recordBytes+recordOverhead))
	count := 0
	for record := 0; record < maxRecords && count < len(names); record++ {
		count += countFitting(names[count:], recordBytes)
	}
	return names[:count]
}

// delegationTxn returns the transaction that writes the delegated machines, as limited by
// limitDelegated, into as many records as they need, conditional on the revisions of these
// records and of the shard, and deletes surplus records. Deletions beyond the size limit of a
// transaction are left to the next one.
func (n *Node) delegationTxn(shardIndex int, names []string, existing map[int]clusterstate.Entry[storage.Delegation]) protocol.Txn {
	limits := n.storeLimits()
	shard := n.records.Shards[shardIndex]
	txn := protocol.Txn{Preconditions: []protocol.Precondition{{Key: storage.ShardKey(shardIndex), Revision: shard.Revision}}}
	// requireUnchanged adds the precondition that a record is unchanged, and returns the
	// record's key.
	requireUnchanged := func(record int) string {
		key := storage.DelegationKey(storage.DelegationID{Shard: shardIndex, Controller: n.settings.HostName, Record: record})
		txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: key, Revision: existing[record].Revision})
		return key
	}
	record := 0
	for ; len(names) > 0; record++ {
		count := countFitting(names, delegationRecordBytes(limits))
		txn.Writes = append(txn.Writes, protocol.Write{
			Put:     requireUnchanged(record),
			Value:   storage.Delegation{Session: n.session.id, FencingToken: shard.Value.FencingToken, Machines: names[:count]},
			LeaseID: n.session.id,
		})
		names = names[count:]
	}
	for _, leftOver := range slices.Sorted(maps.Keys(existing)) {
		if leftOver >= record && len(txn.Writes) < limits.TxnOps {
			txn.Writes = append(txn.Writes, protocol.Write{Delete: requireUnchanged(leftOver)})
		}
	}
	return txn
}

// countFitting returns how many of the names, starting with the first, fit into a record
// of maxBytes.
func countFitting(names []string, maxBytes int) int {
	count, bytes := 0, delegationOverhead
	for count < len(names) && bytes+len(names[count])+machineNameOverhead <= maxBytes {
		bytes += len(names[count]) + machineNameOverhead
		count++
	}
	return count
}
