package coordination

import (
	"maps"
	"slices"

	"reedtrack/internal/storage"
)

const (
	// minGrantedQuota is the smallest quota worth granting; anything less is a
	// rounding error.
	minGrantedQuota = 1e-6
	// minShareDivisor divides a shard's even share of a team's limit into the
	// least quota that is granted, if there is enough for all.
	minShareDivisor = 4
)

// grantQuota grants the teams' quotas that no shard has yet to shards that
// request them.
func (n *Node) grantQuota(builder *grantBuilder, statuses []*ShardStatus) []grantedQuota {
	var granted []grantedQuota
	for _, team := range slices.Sorted(maps.Keys(n.teams)) {
		granted = append(granted, n.grantTeamQuota(builder, statuses, team)...)
	}
	return granted
}

// grantTeamQuota grants the part of one team's quota that no shard has yet.
func (n *Node) grantTeamQuota(builder *grantBuilder, statuses []*ShardStatus, team string) []grantedQuota {
	limit := n.teams[team].limit
	free := n.ungrantedQuota(team)
	desired := totalDesired(statuses, team)
	fairShares := n.divideQuota(team)
	var granted []grantedQuota
	for shard, status := range statuses {
		if status == nil {
			continue
		}
		current := n.records.Grants[shard].Value.Quotas[team]
		shortage := subtractAmounts(fairShares[shard], current)
		more := storage.Resources{
			Cores: n.additionalShare(free.Cores, shortage.Cores, desired.Cores, limit.Cores),
			GPUs:  n.additionalShare(free.GPUs, shortage.GPUs, desired.GPUs, limit.GPUs),
		}
		if more.Cores < minGrantedQuota && more.GPUs < minGrantedQuota {
			continue
		}
		if !builder.setShare(shard, team, addAmounts(current, more)) {
			continue
		}
		free = subtractAmounts(free, more)
		granted = append(granted, grantedQuota{team: team, cores: more.Cores, shard: shard})
	}
	return granted
}

// ungrantedQuota returns the part of a team's quota that no shard has.
func (n *Node) ungrantedQuota(team string) storage.Resources {
	free := n.teams[team].limit
	for _, grant := range n.records.Grants {
		free = subtractAmounts(free, grant.Value.Quotas[team])
	}
	return free
}

// totalDesired sums what the shards request of a team's quota.
func totalDesired(statuses []*ShardStatus, team string) storage.Resources {
	var desired storage.Resources
	for _, status := range statuses {
		if status != nil {
			desired = addAmounts(desired, status.Desired[team])
		}
	}
	return desired
}

// additionalShare returns how much of the free quota is granted to a shard with a
// shortage. If there is enough for all, it is at least a minimum, which saves
// a further grant.
func (n *Node) additionalShare(free, shortage, desired, limit float64) float64 {
	if shortage <= 0 {
		return 0
	}
	if desired < limit {
		shortage = max(shortage, limit/float64(minShareDivisor*n.operator.Shards))
	}
	return max(0, min(free, shortage))
}
