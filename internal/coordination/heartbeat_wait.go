package coordination

import (
	"slices"
	"time"
)

// A proxy that may not answer yet knows that the holder, to which it would redirect the
// worker, can't be reached: the worker would spend the rest of its lease going round. So it
// redirects to another proxy that may answer; docs/safety.md has the argument.

// otherProxy returns a reachable controller that may answer for a machine in place of its
// holder, or "".
func (n *Node) otherProxy(machine string, shardIndex int, now time.Time) string {
	shardLease := n.records.Shards[shardIndex].Value
	for id, delegation := range n.records.Delegations {
		if id.Shard != shardIndex || n.peers[id.Controller] == nil || !n.heartbeatProxy.isReachable(id.Controller, now) {
			continue
		}
		ack := n.records.DelegationAcks[id].Value
		if acknowledges(ack, delegation.Revision, shardLease) && slices.Contains(ack.Machines, machine) {
			return id.Controller
		}
	}
	return ""
}
