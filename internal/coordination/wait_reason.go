package coordination

import (
	"log/slog"
	"time"
)

// waitReason is the reason why tasks of a startable job are not placed.
type waitReason string

const (
	waitsForNothing waitReason = ""        // all its tasks are placed
	waitsForShare   waitReason = "share"   // the shard's share of the team's quota is used up
	waitsForMachine waitReason = "machine" // no machine of the shard has capacity
)

// recordWaitReason records since when and why a job has unplaced tasks after a plan. A change
// of the reason is logged, so that operators can see why a job waits.
func (s *shard) recordWaitReason(j *job, shareUsedUp bool, now time.Time) {
	reason := waitsForMachine
	switch {
	case j.pendingTasks() == 0:
		reason = waitsForNothing
	case shareUsedUp:
		reason = waitsForShare
	}
	switch {
	case reason == waitsForNothing:
		j.unplacedSince = time.Time{}
	case j.unplacedSince.IsZero():
		j.unplacedSince = now
	}
	if reason == j.waitReason {
		return
	}
	j.waitReason = reason
	slog.Debug("job waits", "job", j.id, "shard", s.index, "reason", reason, "pending", j.pendingTasks(),
		"team", j.spec.Team, "share", s.shares[j.spec.Team], "used", s.used[j.spec.Team], "booting", s.bootingCount())
}
