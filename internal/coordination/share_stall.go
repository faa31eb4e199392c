package coordination

import (
	"time"

	"reedtrack/internal/storage"
)

// A shard may have a share of a team's quota and no machine for the tasks that
// wait for it, when the cloud has none to give: the share is stalled. It would
// idle, while another shard has room for tasks of the team and no share. So the
// quota is divided first by what the shards have machines for
// (quota.Demand.Startable), and a stalled share counts as far as it is used.
//
// That a share has idled for a while shows it better than a look at the free
// capacity would: on machines that are always full a share is used as soon as a
// task ends there. And it ends by itself, so that the shard is not left without
// a share for good, and gets its part again to find out.

const (
	// stallHeartbeats is for how many heartbeat intervals a share has to have
	// waited for a machine to count as stalled: a task that ends shows within one.
	stallHeartbeats = 2
	// stallEndHeartbeats is after how many heartbeat intervals a stalled share
	// counts in full again.
	stallEndHeartbeats = 12
)

// shareStall is a share of a team's quota in a shard that lacks machines.
type shareStall struct {
	since     time.Time // since when tasks within the share have had no machine
	stalledAt time.Time // when it began to count as stalled; zero: it does not yet
}

// updateStalls records which shares are stalled, by what the plan found no
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

// hasEnded reports whether a share is not stalled, or to be tried again. Once it
// is, that nothing is without a machine shows nothing: no task is within a
// share that has been returned.
func (stall *shareStall) hasEnded(lacking storage.Resources, heartbeatInterval time.Duration, now time.Time) bool {
	if stall.stalledAt.IsZero() {
		return lacking == (storage.Resources{})
	}
	return now.Sub(stall.stalledAt) >= stallEndHeartbeats*heartbeatInterval
}
