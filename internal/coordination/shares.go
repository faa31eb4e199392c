package coordination

import (
	"iter"
	"time"

	"reedtrack/internal/quota"
	"reedtrack/internal/storage"
)

// smallGiveBackEvery is how often a shard gives back a little of a team's limit:
// less is not worth a write each time, and kept for ever it would idle while others
// lack it.
const smallGiveBackEvery = 5 * time.Second

// claim is what a shard uses and wants of a team's limit.
func (s *shard) claim(team string) quota.Claim {
	return quota.Claim{Used: s.used[team], Wanted: s.wanted[team], Unit: s.units[team]}
}

// claim is the same of a shard that another controller holds.
func (ss *ShardStatus) claim(team string) quota.Claim {
	return quota.Claim{Used: ss.Used[team], Wanted: ss.Wanted[team], Unit: ss.Units[team]}
}

// divideLimit divides a team's limit among the shards by what their holders say.
func (n *Node) divideLimit(team string) []storage.Amount {
	claims := make([]quota.Claim, n.op.Shards)
	for shard, c := range n.claims(team) {
		claims[shard] = c
	}
	return quota.Divide(n.teams[team].limit, claims)
}

// claims lists the claims on a team's limit, by shard, of those whose holders have
// been heard.
func (n *Node) claims(team string) iter.Seq2[int, quota.Claim] {
	return func(yield func(int, quota.Claim) bool) {
		for i := range n.op.Shards {
			if s := n.shards[i]; s != nil && !yield(i, s.claim(team)) {
				return
			}
		}
		for ss := range n.heldElsewhere() {
			if !yield(ss.Index, ss.claim(team)) {
				return
			}
		}
	}
}

// heldElsewhere lists what other controllers say of the shards that they hold. A
// former holder's status, which may stand beside its successor's, is left out.
func (n *Node) heldElsewhere() iter.Seq[*ShardStatus] {
	return func(yield func(*ShardStatus) bool) {
		for _, o := range n.others {
			for k := range o.Shards {
				ss := &o.Shards[k]
				if ss.Index < n.op.Shards && n.shards[ss.Index] == nil && ss.Term == n.shardRecs[ss.Index].v.Term && !yield(ss) {
					return
				}
			}
		}
	}
}

// lowerShares are a shard's shares without what it gives back, and whether that
// is worth a write.
func (n *Node) lowerShares(s *shard, shares map[string]storage.Amount, now time.Time) (next map[string]storage.Amount, lowered bool) {
	unknown := s.unknown()
	next = map[string]storage.Amount{}
	for t, share := range shares {
		if n.shortElsewhere(t, s.index) {
			keep := n.keepShare(s, t, share, unknown)
			step := n.teams[t].limit.Cores / float64(16*n.op.Shards)
			if now.Sub(s.loweredAt) >= smallGiveBackEvery {
				step = 0
			}
			if share.Cores-keep.Cores > step+1e-9 || share.Cards > keep.Cards || keep.Cores == 0 && share.Cores > 0 {
				lowered = true
				share = keep
			}
		}
		// A share that was lowered and whose write is not known to have been carried
		// out is written until the record says so: it is not used meanwhile, and
		// would idle for ever should nobody be short of it any more.
		next[t] = least(share, s.shares[t])
		lowered = lowered || next[t] != share
	}
	return next, lowered
}

func least(a, b storage.Amount) storage.Amount {
	return storage.Amount{Cores: min(a.Cores, b.Cores), Cards: min(a.Cards, b.Cards)}
}

// keepShare is what a shard keeps of a team's limit while another shard is
// short: what it uses, or its part.
func (n *Node) keepShare(s *shard, team string, share, unknown storage.Amount) storage.Amount {
	used, part := s.used[team], n.divideLimit(team)[s.index]
	return storage.Amount{Cores: min(share.Cores, max(used.Cores+unknown.Cores, part.Cores)),
		Cards: min(share.Cards, max(used.Cards+unknown.Cards, part.Cards))}
}

// capShares bounds what a shard starts for teams of which another shard is
// short: room that comes free beyond its part is left to be given back.
// Without that a shard that is always full would keep its share for ever.
func (n *Node) capShares(s *shard) {
	clear(s.caps)
	for team := range n.teams {
		if n.shortElsewhere(team, s.index) {
			s.caps[team] = n.divideLimit(team)[s.index]
		}
	}
}

// shortElsewhere tells whether some shard other than one wants more of a team's
// limit than its share. A shard that counted itself would give room back only to be
// granted it anew, over and over.
func (n *Node) shortElsewhere(team string, but int) bool {
	limit := n.teams[team].limit
	for i, c := range n.claims(team) {
		share := n.grantRecs[i].v.Shares[team]
		if i != but && (limit.Cores > 0 && c.Wanted.Cores > share.Cores+1e-9 || limit.Cards > 0 && c.Wanted.Cards > share.Cards+1e-9) {
			return true
		}
	}
	return false
}
