package coordination

import (
	"fmt"
	"strings"
)

// grantChanges describes what a grant changes: a shard's holder, a step of
// splitting a grant into chunks, or machines and quota.
type grantChanges struct {
	shard     *grantedShard
	splitStep string
	machines  []grantedMachine
	quota     []grantedQuota
}

// grantedShard is a shard that is leased to a holder.
type grantedShard struct {
	shard        int
	holder       string
	fencingToken uint64
}

// grantedMachine is a machine that is leased to a shard.
type grantedMachine struct {
	id    string
	shard int
}

// grantedQuota is an increase of a shard's share of a team's quota.
type grantedQuota struct {
	team  string
	cores float64
	shard int
}

// String returns the changes for the log.
func (c grantChanges) String() string {
	if c.shard != nil {
		return fmt.Sprintf("shard %d to %s, term %d", c.shard.shard, c.shard.holder, c.shard.fencingToken)
	}
	if c.splitStep != "" {
		return c.splitStep
	}
	var text strings.Builder
	for _, machine := range c.machines {
		fmt.Fprintf(&text, " %s->%d", machine.id, machine.shard)
	}
	for _, quota := range c.quota {
		fmt.Fprintf(&text, " %s+%g->%d", quota.team, quota.cores, quota.shard)
	}
	return text.String()
}
