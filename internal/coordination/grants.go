package coordination

import (
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// grantPlan is a grant for the leader to write, and what it changes.
type grantPlan struct {
	txn     protocol.Txn
	changes grantChanges
}

// planGrant returns the leader's next grant, or nil if none is due. In order of
// precedence, it is for
//
//  1. a shard whose holder's session is over, see planShardLease;
//  2. a step of splitting a shard's grant into chunks, see nextSplitTxn;
//  3. machines and quota, all that fits into one transaction.
//
// It changes neither the records nor the machines that are booting; the caller
// does.
func (n *Node) planGrant(own *Status, now time.Time) *grantPlan {
	if n.records.MachineTypes == nil {
		return nil
	}
	for i := range n.operator.Shards {
		if !n.hasLiveHolder(i) {
			return n.planShardLease(i)
		}
	}
	if !n.leadership.isReady(now) {
		return nil
	}
	if n.records.SplitGrantsEnabled() {
		if txn, step := n.nextSplitTxn(); txn != nil {
			return &grantPlan{txn: *txn, changes: grantChanges{splitStep: step}}
		}
	}
	return n.planMachinesAndQuota(own, now)
}

// planMachinesAndQuota grants free machines and quota as requested in the
// holders' statuses.
func (n *Node) planMachinesAndQuota(own *Status, now time.Time) *grantPlan {
	token := n.nextFencingToken()
	builder := newGrantBuilder(n)
	statuses := n.shardStatuses(own)
	changes := grantChanges{
		machines: n.grantMachines(builder, statuses, token.Last, now),
		quota:    n.grantQuota(builder, statuses),
	}
	if builder.changeCount() == 0 {
		return nil
	}
	txn := n.newGrantTxn(token)
	builder.appendTo(&txn)
	return &grantPlan{txn: txn, changes: changes}
}

// nextFencingToken returns the counter that holds the next grant's token.
func (n *Node) nextFencingToken() storage.FencingTokenCounter {
	return storage.FencingTokenCounter{Last: n.records.LastToken.Value.Last + 1}
}

// newGrantTxn returns the part that is common to all grants: each is
// conditional on the leader's key and on the last fencing token, and issues a
// new token. This serializes grants, and a grant that arrives late fails: the
// leader's key or the last token has changed.
func (n *Node) newGrantTxn(token storage.FencingTokenCounter) protocol.Txn {
	return protocol.Txn{
		Preconditions: []protocol.Precondition{
			n.leaderPrecondition(),
			{Key: storage.FencingTokenKey, Revision: n.records.LastToken.Revision},
		},
		Writes: []protocol.Write{{Put: storage.FencingTokenKey, Value: token}},
	}
}

// shardStatuses returns the newest status of each shard from its present
// holder; nil where there is none.
func (n *Node) shardStatuses(own *Status) []*ShardStatus {
	statuses := make([]*ShardStatus, n.operator.Shards)
	collect := func(status *Status) {
		for k := range status.Shards {
			shardStatus := &status.Shards[k]
			if shardStatus.Index < len(statuses) && n.isByPresentHolder(shardStatus) {
				statuses[shardStatus.Index] = shardStatus
			}
		}
	}
	for _, peer := range n.peerStatus {
		collect(peer)
	}
	collect(own)
	return statuses
}

// isByPresentHolder reports whether a status carries the fencing token of the
// shard's present lease, and so is not from a former holder.
func (n *Node) isByPresentHolder(status *ShardStatus) bool {
	return n.records.Shards[status.Index].Value.FencingToken == status.FencingToken
}
