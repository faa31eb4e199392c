package coordination

import (
	"cmp"
	"maps"
	"slices"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// hasLiveHolder reports whether a shard is leased to a controller whose
// session is live, according to the local copy of the records.
func (n *Node) hasLiveHolder(shard int) bool {
	lease := n.records.Shards[shard]
	holder, alive := n.records.Controllers[lease.Value.Holder.Name]
	return lease.Revision != 0 && alive && holder.Value.Session == lease.Value.Holder.Session
}

// planShardLease plans the lease of a shard whose holder's session is over, or
// that never had a holder; nil if no controller is live.
func (n *Node) planShardLease(shard int) *grantPlan {
	former := n.records.Shards[shard].Value.Holder.Name
	newHolder, ok := n.selectHolder(former)
	if !ok {
		return nil
	}
	token := n.nextFencingToken()
	txn := n.newGrantTxn(token)
	txn.Preconditions = append(txn.Preconditions, n.shardLeasePreconditions(shard, newHolder.Name)...)
	txn.Writes = append(txn.Writes, protocol.Write{
		Put:   storage.ShardKey(shard),
		Value: storage.ShardLease{Holder: newHolder, FencingToken: token.Last},
	})
	if _, ok := n.records.Grants[shard]; !ok {
		txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: storage.GrantKey(shard)})
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantKey(shard), Value: n.initialGrant(shard)})
	}
	granted := &grantedShard{shard: shard, holder: newHolder.Name, fencingToken: token.Last}
	return &grantPlan{txn: txn, changes: grantChanges{shard: granted}}
}

// shardLeasePreconditions requires that a shard's lease, and the keys of its
// former and its new holder, are unchanged from the local copy. If the former
// holder's key was deleted or names another session, its lease has expired and
// it has stopped acting. The new holder's key must exist, since otherwise no
// controller would serve the shard.
func (n *Node) shardLeasePreconditions(shard int, newHolder string) []protocol.Precondition {
	lease := n.records.Shards[shard]
	former := lease.Value.Holder.Name
	preconditions := []protocol.Precondition{{Key: storage.ShardKey(shard), Revision: lease.Revision}}
	if lease.Revision != 0 {
		preconditions = append(preconditions, n.controllerPrecondition(former))
	}
	if newHolder != former {
		preconditions = append(preconditions, n.controllerPrecondition(newHolder))
	}
	return preconditions
}

// controllerPrecondition requires that a controller's key is unchanged from
// the local copy, or does not exist if the copy lacks it.
func (n *Node) controllerPrecondition(name string) protocol.Precondition {
	return protocol.Precondition{Key: storage.ControllerKey(name), Revision: n.records.Controllers[name].Revision}
}

// initialGrant returns the first grant of a shard, with no machines and no
// quota. Only shard 0, which is filled first, starts with all of the quota.
func (n *Node) initialGrant(shard int) storage.Grant {
	grant := storage.Grant{Quotas: map[string]storage.Resources{}}
	for team, quota := range n.teams {
		grant.Quotas[team] = storage.Resources{}
		if shard == 0 {
			grant.Quotas[team] = quota.limit
		}
	}
	return grant
}

// selectHolder selects the holder of a shard: its former holder if that is
// live again, otherwise the live controller with the fewest machines and
// shards. It returns false if no controller is live.
func (n *Node) selectHolder(former string) (storage.Controller, bool) {
	if holder, ok := n.records.Controllers[former]; ok {
		return holder.Value, true
	}
	load := map[string]int{}
	for i, record := range n.records.Shards {
		load[record.Value.Holder.Name] += 1 + len(n.records.Grants[i].Value.Machines)
	}
	names := slices.SortedFunc(maps.Keys(n.records.Controllers), func(a, b string) int {
		return cmp.Or(load[a]-load[b], cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return storage.Controller{}, false
	}
	return n.records.Controllers[names[0]].Value, true
}
