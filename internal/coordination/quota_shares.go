package coordination

import (
	"iter"
	"time"

	"reedtrack/internal/quota"
	"reedtrack/internal/storage"
)

// A team's quota is divided among the shards: each shard's grant contains a share of
// it, and the holder enforces that share locally, without coordination. The sum of all
// shares never exceeds the team's limit, since only the leader raises a share, by quota
// that no shard has (grant_quota.go), and only the holder lowers it, after it has stopped
// using what it returns (this file). So the limit holds even if writes of either arrive
// late or not at all.

// smallShareReturnInterval is the minimum interval between returns of a small part of a
// team's quota: a small part is not worth a write each time, but would stay unused while
// other shards are short of it if it were never returned.
const smallShareReturnInterval = 5 * time.Second

const (
	// smallShareParts defines a small part of a team's quota: at most
	// 1/smallShareParts of a shard's even share of the limit.
	smallShareParts = 16
	// amountTolerance is the rounding error allowed when amounts are compared.
	amountTolerance = 1e-9
)

// quotaClaim returns a shard's usage of and demand for a team's quota.
func (s *shard) quotaClaim(team string) quota.Demand {
	return quota.Demand{
		Used:      s.used[team],
		Requested: s.desired[team],
		TaskSize:  s.smallestTask[team],
		Startable: amountOf(s.startable, team),
	}
}

// quotaClaim returns the usage of and demand for a team's quota of a shard that another
// controller holds.
func (status *ShardStatus) quotaClaim(team string) quota.Demand {
	return quota.Demand{
		Used:      status.Used[team],
		Requested: status.Desired[team],
		TaskSize:  status.SmallestTask[team],
		Startable: amountOf(status.Startable, team),
	}
}

// amountOf returns a team's amount, or nil if there is none.
func amountOf(byTeam map[string]storage.Resources, team string) *storage.Resources {
	amount, ok := byTeam[team]
	if !ok {
		return nil
	}
	return &amount
}

// divideQuota divides a team's quota among the shards according to their claims.
func (n *Node) divideQuota(team string) []storage.Resources {
	claims := make([]quota.Demand, n.operator.Shards)
	for shard, claim := range n.quotaClaims(team) {
		claims[shard] = claim
	}
	return quota.Divide(n.teams[team].limit, claims)
}

// quotaClaims iterates over the shards whose status is known and their claims on a
// team's quota.
func (n *Node) quotaClaims(team string) iter.Seq2[int, quota.Demand] {
	return func(yield func(int, quota.Demand) bool) {
		for i := range n.operator.Shards {
			if s := n.shards[i]; s != nil && !yield(i, s.quotaClaim(team)) {
				return
			}
		}
		for status := range n.remoteShards() {
			if !yield(status.Index, status.quotaClaim(team)) {
				return
			}
		}
	}
}

// remoteShards iterates over the shards that other controllers report to hold. It
// ignores statuses of former holders, which may be present beside those of their
// successors.
func (n *Node) remoteShards() iter.Seq[*ShardStatus] {
	return func(yield func(*ShardStatus) bool) {
		for _, status := range n.peerStatus {
			for k := range status.Shards {
				shardStatus := &status.Shards[k]
				if shardStatus.Index >= n.operator.Shards || n.shards[shardStatus.Index] != nil || !n.isByPresentHolder(shardStatus) {
					continue
				}
				if !yield(shardStatus) {
					return
				}
			}
		}
	}
}

// recentRemoteShards iterates over the remote shards whose status is recent.
func (n *Node) recentRemoteShards(now time.Time) iter.Seq[*ShardStatus] {
	return func(yield func(*ShardStatus) bool) {
		for shardStatus := range n.remoteShards() {
			holder := n.records.Shards[shardStatus.Index].Value.Holder.Name
			status := n.peerStatus[holder]
			if status == nil || now.Sub(status.receivedAt) >= statusValidity {
				continue
			}
			if !yield(shardStatus) {
				return
			}
		}
	}
}

// lowerShares returns a shard's shares after returning quota to the leader, and whether
// that requires a write.
func (n *Node) lowerShares(s *shard, shares map[string]storage.Resources, now time.Time) (next map[string]storage.Resources, lowered bool) {
	unreported := s.unreportedCapacity()
	next = map[string]storage.Resources{}
	for team, share := range shares {
		if n.hasShortageElsewhere(team, s.index) {
			kept := n.retainedShare(s, team, share, unreported)
			if n.isWorthReturning(s, team, share, kept, now) {
				lowered = true
				share = kept
			}
		}
		// The write of a lowered share is retried until the record contains it: the
		// shard no longer uses the difference, which would stay unused
		// permanently once no other shard is short of it.
		next[team] = minAmount(share, s.shares[team])
		lowered = lowered || next[team] != share
	}
	return next, lowered
}

// isWorthReturning reports whether the difference between a shard's share and the part
// to keep is worth a write. GPUs and a whole share always are; a small part of the cores
// is returned only every smallShareReturnInterval.
func (n *Node) isWorthReturning(s *shard, team string, share, kept storage.Resources, now time.Time) bool {
	if share.GPUs > kept.GPUs || kept.Cores == 0 && share.Cores > 0 {
		return true
	}
	minReturn := n.teams[team].limit.Cores / float64(smallShareParts*n.operator.Shards)
	if now.Sub(s.sharesLoweredAt) >= smallShareReturnInterval {
		minReturn = 0
	}
	return share.Cores-kept.Cores > minReturn+amountTolerance
}

// addAmounts adds the amounts of each resource.
func addAmounts(a, b storage.Resources) storage.Resources {
	return storage.Resources{Cores: a.Cores + b.Cores, GPUs: a.GPUs + b.GPUs}
}

// subtractAmounts subtracts the amounts of each resource.
func subtractAmounts(a, b storage.Resources) storage.Resources {
	return storage.Resources{Cores: a.Cores - b.Cores, GPUs: a.GPUs - b.GPUs}
}

// minAmount returns the smaller amount of each resource.
func minAmount(a, b storage.Resources) storage.Resources {
	return storage.Resources{Cores: min(a.Cores, b.Cores), GPUs: min(a.GPUs, b.GPUs)}
}

// retainedShare returns the part of a team's quota that a shard keeps while another
// shard is short: its usage or its fair share, whichever is larger.
func (n *Node) retainedShare(s *shard, team string, share, unreported storage.Resources) storage.Resources {
	used := addAmounts(s.used[team], unreported)
	fairShare := n.divideQuota(team)[s.index]
	return storage.Resources{
		Cores: min(share.Cores, max(used.Cores, fairShare.Cores)),
		GPUs:  min(share.GPUs, max(used.GPUs, fairShare.GPUs)),
	}
}

// limitToFairShares caps a shard's share at its fair share for teams whose quota another
// shard is short of, so that quota freed beyond the fair share is returned instead of used
// again. Otherwise a shard that is always full would never return any.
func (n *Node) limitToFairShares(s *shard) {
	clear(s.shareCaps)
	for team := range n.teams {
		if n.hasShortageElsewhere(team, s.index) {
			s.shareCaps[team] = n.divideQuota(team)[s.index]
		}
	}
}

// hasShortageElsewhere reports whether a shard other than the given one requests more of
// a team's quota than its share. If a shard counted its own shortage, it would repeatedly
// return quota and be granted it again.
func (n *Node) hasShortageElsewhere(team string, exceptShard int) bool {
	limit := n.teams[team].limit
	for i, claim := range n.quotaClaims(team) {
		share := n.records.Grants[i].Value.Quotas[team]
		lacksCores := limit.Cores > 0 && claim.Requested.Cores > share.Cores+amountTolerance
		lacksGPUs := limit.GPUs > 0 && claim.Requested.GPUs > share.GPUs+amountTolerance
		if i != exceptShard && (lacksCores || lacksGPUs) {
			return true
		}
	}
	return false
}
