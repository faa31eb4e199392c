package coordination

import (
	"time"

	"reedtrack/internal/storage"
)

// A shard may have a share of a team's quota but no machine for the team's pending tasks,
// when the cloud has no capacity: the share is stalled. It would stay unused while another
// shard has capacity for tasks of the team and no share. So the quota is divided first by
// what the shards have machines for (quota.Demand.Startable), and a stalled share counts
// only up to its usage.
//
// A stall is detected from the time for which a share has been unused rather than from the
// free capacity: on machines that are always full, a share is used as soon as a task ends
// there. A stall ends after a while, so that the shard gets its part again and can retry;
// otherwise it could stay without a share permanently.

const (
	// stallHeartbeats is the number of heartbeat intervals without a machine after
	// which a share counts as stalled: the end of a task is reported within one.
	stallHeartbeats = 2
	// stallEndHeartbeats is the number of heartbeat intervals after which a stalled
	// share counts in full again.
	stallEndHeartbeats = 12
)

// shareStall tracks a share of a team's quota for which the shard lacks machines.
type shareStall struct {
	since     time.Time // since when tasks within the share have had no machine
	stalledAt time.Time // when it began to count as stalled; zero if it does not yet
}

// updateStalls records which shares are stalled, given the needs that the plan found no
// machine for, booting ones included.
func (s *shard) updateStalls(withoutMachine map[string]storage.Resources, heartbeatInterval time.Duration, now time.Time) {
	clear(s.startable)
	for team, stall := range s.stalls {
		if stall.hasEnded(withoutMachine[team], heartbeatInterval, now) {
			delete(s.stalls, team)
		}
	}
	for team, lacking := range withoutMachine {
		if lacking == (storage.Resources{}) {
			continue
		}
		if s.stalls[team] == nil {
			s.stalls[team] = &shareStall{since: now}
		}
	}
	for team, stall := range s.stalls {
		if stall.stalledAt.IsZero() && now.Sub(stall.since) >= stallHeartbeats*heartbeatInterval {
			stall.stalledAt = now
		}
		if !stall.stalledAt.IsZero() {
			s.startable[team] = s.used[team]
		}
	}
}

// hasEnded reports whether a share is no longer stalled, or is to be retried. Once it
// counts as stalled, only time ends the stall: the absence of tasks without a machine has
// no meaning then, since no task is within a share that has been returned.
func (stall *shareStall) hasEnded(lacking storage.Resources, heartbeatInterval time.Duration, now time.Time) bool {
	if stall.stalledAt.IsZero() {
		return lacking == (storage.Resources{})
	}
	return now.Sub(stall.stalledAt) >= stallEndHeartbeats*heartbeatInterval
}
