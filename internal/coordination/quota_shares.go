package coordination

import (
	"iter"
	"time"

	"reedtrack/internal/quota"
	"reedtrack/internal/storage"
)

// A team's quota is divided among the shards: each shard's grant has a share of
// it, and the holder starts no more than that share allows, without asking
// anybody. All shares together are at most the team's limit, since only the
// leader raises a share, by what no shard has (grant_quota.go), and only the
// holder lowers it, after it has stopped using what it returns (this file). So
// the limit is kept whichever of their writes arrive late or not at all.

// smallShareReturnInterval is how often a shard returns a small part of a
// team's quota: it is not worth a write each time, and would be idle while
// others are short of it if it were kept for good.
const smallShareReturnInterval = 5 * time.Second

const (
	// smallShareParts is how many parts of a shard's even share of a team's
	// limit there are: returning one of them or less is small.
	smallShareParts = 16
	// amountTolerance is what amounts of a resource may differ by from rounding.
	amountTolerance = 1e-9
)

// quotaClaim returns what a shard uses and asks for of a team's quota.
func (s *shard) quotaClaim(team string) quota.Demand {
	return quota.Demand{
		Used:      s.used[team],
		Requested: s.desired[team],
		TaskSize:  s.smallestTask[team],
		Startable: amountOf(s.startable, team),
	}
}

// quotaClaim returns the same for a shard that another controller holds.
func (status *ShardStatus) quotaClaim(team string) quota.Demand {
	return quota.Demand{
		Used:      status.Used[team],
		Requested: status.Desired[team],
		TaskSize:  status.SmallestTask[team],
		Startable: amountOf(status.Startable, team),
	}
}

// amountOf returns a team's amount; nil if there is none.
func amountOf(byTeam map[string]storage.Resources, team string) *storage.Resources {
	amount, ok := byTeam[team]
	if !ok {
		return nil
	}
	return &amount
}

// divideQuota divides a team's quota among the shards by their claims.
func (n *Node) divideQuota(team string) []storage.Resources {
	claims := make([]quota.Demand, n.operator.Shards)
	for shard, claim := range n.quotaClaims(team) {
		claims[shard] = claim
	}
	return quota.Divide(n.teams[team].limit, claims)
}

// quotaClaims iterates over the claims on a team's quota, by shard, of holders
// whose status is known.
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

// remoteShards iterates over the shards that other controllers report to hold.
// The status of a former holder, which may be there beside its successor's, is
// left out.
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

// recentRemoteShards iterates over those of them whose status is recent.
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

// lowerShares returns a shard's shares without what it returns to the leader,
// and whether that is worth a write.
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
		// A lowered share whose write is not known to have succeeded is written
		// until the record shows it: it is not used meanwhile, and would be
		// idle for good if no shard were short of it any more.
		next[team] = minAmount(share, s.shares[team])
		lowered = lowered || next[team] != share
	}
	return next, lowered
}

// isWorthReturning reports whether what a shard has of a team's quota beyond
// what it keeps is worth a write: GPUs and the whole share always, a small part
// of the cores only now and then.
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

// retainedShare returns what a shard keeps of a team's quota while another is
// short: what it uses, or its fair share.
func (n *Node) retainedShare(s *shard, team string, share, unreported storage.Resources) storage.Resources {
	used := addAmounts(s.used[team], unreported)
	fairShare := n.divideQuota(team)[s.index]
	return storage.Resources{
		Cores: min(share.Cores, max(used.Cores, fairShare.Cores)),
		GPUs:  min(share.GPUs, max(used.GPUs, fairShare.GPUs)),
	}
}

// limitToFairShares caps what a shard starts for teams of which another shard
// is short: capacity that is freed beyond its fair share is left to be
// returned. Without that, a shard that is always full would keep its share for
// good.
func (n *Node) limitToFairShares(s *shard) {
	clear(s.shareCaps)
	for team := range n.teams {
		if n.hasShortageElsewhere(team, s.index) {
			s.shareCaps[team] = n.divideQuota(team)[s.index]
		}
	}
}

// hasShortageElsewhere reports whether a shard other than the given one wants more
// of a team's quota than its share. A shard that counted itself would return a
// share only to be granted it again, over and over.
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
