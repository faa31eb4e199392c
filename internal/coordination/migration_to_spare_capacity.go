package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// A job may wait in a shard without capacity for it while another shard has spare
// capacity: on machines that the other shard's tasks don't need, or can't use for
// lack of a quota share. A machine with tasks on it can't be moved to the job's
// shard, so the job is moved to the machine's, by the same write as every migration
// (job_migration.go). This file only selects the job and the target shard.
//
// A job with running tasks can't migrate. It is drained first: its pending tasks
// are not placed in its shard, and it migrates once its last attempt has ended.
// Draining starts only if that is expected soon, and is cancelled if it takes
// longer.

const (
	// migrationCheckInterval is the interval of checks for such jobs, and so the
	// minimum time between two migrations from a shard: a status reports spare
	// capacity as taken only after the migrated job has arrived and was placed.
	migrationCheckInterval = 4 * statusInterval
	// migrationWaitHeartbeats is the minimum number of heartbeat intervals that a job
	// waits before it migrates: capacity that an ended task frees is reported within one.
	migrationWaitHeartbeats = 2
	// drainWaitHeartbeats is the same for a job with running tasks, which is drained
	// before it migrates.
	drainWaitHeartbeats = 4
	// maxDrainHeartbeats is the maximum number of heartbeat intervals for which a
	// job is drained.
	maxDrainHeartbeats = 18
)

// migrationTargets is a snapshot of the spare capacity that jobs of one shard may
// migrate to.
type migrationTargets struct {
	node   *Node
	source *shard                       // shard of the jobs
	shards []shardSpareCapacity         // of the other shards
	usage  map[string]storage.Resources // of all shards, by team
}

// shardSpareCapacity is the spare capacity of one shard.
type shardSpareCapacity struct {
	shard    int
	machines []spareCapacity
}

// selectMigrationToSpareCapacity selects a job that its shard has had no capacity for
// during the minimum wait, and a shard that has some now. Drained jobs come first,
// then jobs in queue order.
func (n *Node) selectMigrationToSpareCapacity(s *shard, now time.Time) (*job, int) {
	if now.Sub(s.migrationCheckedAt) < migrationCheckInterval {
		return nil, 0
	}
	s.migrationCheckedAt = now
	targets := n.findMigrationTargets(s, now)
	n.updateDrainingJobs(s, targets, now)
	if len(targets.shards) == 0 {
		return nil, 0
	}
	for _, j := range s.jobs {
		if j.isDraining() && n.canMigrate(s, j, now) {
			if target, reason := targets.selectTarget(j); reason == noStayReason {
				return j, target
			}
		}
	}
	for _, j := range s.queue {
		if j.hasWaitedFor(n.heartbeatIntervals(migrationWaitHeartbeats), now) && n.canMigrate(s, j, now) {
			if target, reason := targets.selectTarget(j); reason == noStayReason {
				return j, target
			}
		}
	}
	return nil, 0
}

// findMigrationTargets returns the spare capacity of the shards other than the given
// one whose status is recent and whose holders are not overloaded.
func (n *Node) findMigrationTargets(s *shard, now time.Time) *migrationTargets {
	targets := &migrationTargets{node: n, source: s, usage: n.teamUsage()}
	add := func(index int, machines []spareCapacity) {
		if index != s.index && len(machines) > 0 && !n.isHolderOverloaded(index) {
			targets.shards = append(targets.shards, shardSpareCapacity{index, machines})
		}
	}
	for i := range n.operator.Shards {
		if other := n.shards[i]; other != nil {
			add(i, other.spareCapacity)
		}
	}
	for status := range n.recentRemoteShards(now) {
		add(status.Index, status.SpareCapacity)
	}
	return targets
}

// heartbeatIntervals returns the duration of a number of the workers' heartbeat
// intervals.
func (n *Node) heartbeatIntervals(count int) time.Duration {
	return time.Duration(count) * config.Seconds(n.settings.Deployment.Workers.ReportS)
}

// hasWaitedFor reports whether the job has had unplaced tasks for at least the
// given duration.
func (j *job) hasWaitedFor(duration time.Duration, now time.Time) bool {
	return !j.unplacedSince.IsZero() && now.Sub(j.unplacedSince) >= duration
}

// updateDrainingJobs starts to drain jobs that should migrate to another shard's
// spare capacity, and cancels draining that no longer has a reason.
func (n *Node) updateDrainingJobs(s *shard, targets *migrationTargets, now time.Time) {
	minWait, maxDrainTime := n.heartbeatIntervals(drainWaitHeartbeats), n.heartbeatIntervals(maxDrainHeartbeats)
	for _, j := range s.jobs {
		if !j.isDraining() && !j.canStartDraining(minWait, maxDrainTime, now) {
			continue
		}
		targetShard, reason := targets.selectTarget(j)
		switch {
		case !j.isDraining() && reason == noStayReason:
			j.drainUntil = now.Add(maxDrainTime)
			slog.Info("job leaving for room in another shard", "job", j.id, "from_shard", s.index, "to_shard", targetShard, "running", len(j.attempts))
		case j.isDraining() && reason != noStayReason:
			j.cancelDraining(reason, now)
		case j.isDraining() && now.After(j.drainUntil):
			j.cancelDraining(stayDrainTimeout, now)
		}
	}
}

// stayReason is the reason why a job is not migrated to spare capacity elsewhere.
type stayReason string

const (
	noStayReason            stayReason = ""              // none: the job migrates
	stayGang                stayReason = "gang"          // statuses do not report whether all tasks of the gang fit elsewhere
	stayNoCapacityElsewhere stayReason = "no room"       // no other shard has capacity for it
	stayOwnCapacity         stayReason = "own room"      // its own shard has capacity for as many of its tasks
	stayTeamAtLimit         stayReason = "team at limit" // no shard may start more of the team's tasks
	stayDrainTimeout        stayReason = "tasks run"     // its running attempts did not end within the draining time
)

// cancelDraining ends the draining of the job and restarts its waiting time.
func (j *job) cancelDraining(reason stayReason, now time.Time) {
	slog.Debug("job stays", "job", j.id, "reason", reason, "running", len(j.attempts))
	j.drainUntil, j.unplacedSince = time.Time{}, now
}

// isDraining reports whether the job is drained: none of its pending tasks is placed
// in this shard, so that it can migrate once its attempts have ended.
func (j *job) isDraining() bool { return !j.drainUntil.IsZero() }

// canStartDraining reports whether a job with running tasks has waited for long
// enough to be drained, and its attempts are expected to end within the draining
// time.
func (j *job) canStartDraining(minWait, maxDrainTime time.Duration, now time.Time) bool {
	if len(j.attempts) == 0 || j.pendingTasks() == 0 || !j.isStartable() || j.spec.IsGang() || j.spec.IsService() {
		return false
	}
	if !j.hasWaitedFor(minWait, now) {
		return false
	}
	for _, attempt := range j.attempts {
		remaining := j.spec.EstimatedSeconds - attempt.secondsRunning(now)
		if config.Seconds(remaining) > maxDrainTime {
			return false
		}
	}
	return true
}

// selectTarget selects the shard with the most spare capacity for a job, or returns
// the reason why the job stays.
func (r *migrationTargets) selectTarget(j *job) (target int, reason stayReason) {
	if j.spec.IsGang() && j.spec.Tasks > 1 {
		return 0, stayGang
	}
	var selected shardSpareCapacity
	maxCores := 0.0
	for _, other := range r.shards {
		if cores, fits := j.maxFreeCores(other.machines); fits && cores > maxCores {
			selected, maxCores = other, cores
		}
	}
	switch {
	case maxCores == 0:
		return 0, stayNoCapacityElsewhere
	case r.sourceHasCapacity(j, selected.machines):
		return 0, stayOwnCapacity
	case !r.node.isWithinLimit(j, r.usage):
		return 0, stayTeamAtLimit
	}
	return selected.shard, noStayReason
}

// sourceHasCapacity reports whether a job's own shard has capacity for it, so that
// it waits only for a share of its team's quota, or only briefly.
//
// A draining job gets none of that capacity, and its own tasks free some as they
// end. It stays only if its shard can place as many of its pending tasks as the
// capacity elsewhere could: otherwise the first task that ends would cancel the
// draining, and so would each task placed on the capacity that it freed.
func (r *migrationTargets) sourceHasCapacity(j *job, elsewhere []spareCapacity) bool {
	if j.isDraining() {
		needed := min(j.pendingTasks(), j.countFittingTasks(elsewhere))
		return r.source.countPlaceableTasks(j, needed) >= needed
	}
	if j.waitReason == waitsForMachine {
		return false // the last plan found no machine on which it may place one of the tasks
	}
	_, fits := j.maxFreeCores(r.source.spareCapacity)
	return fits
}

// countPlaceableTasks counts the pending tasks of a job that fit on the shard's
// machines, up to the given number.
func (s *shard) countPlaceableTasks(j *job, limit int) int {
	count := 0
	for _, m := range s.sortedMachines() {
		if count >= limit {
			break
		}
		if free := m.freeCapacity(); free.Fits(j.taskResources) && j.canPlaceOn(m) {
			count += min(free.CountFitting(j.taskResources), slotsFor(m.freeTaskSlots(), m.capacity, j.taskResources))
		}
	}
	return min(count, limit)
}

// countFittingTasks counts the tasks of the job that fit on the given machines.
func (j *job) countFittingTasks(machines []spareCapacity) int {
	count := 0
	for _, m := range machines {
		if m.Free.Fits(j.taskResources) && j.allows(m.Kind.MachineType, m.Kind.Zone, m.Kind.Spot) {
			count += min(m.Free.CountFitting(j.taskResources), protocol.MaxReportedTasks)
		}
	}
	return count
}

// isWithinLimit reports whether one more task of a job fits within its team's limit,
// given the usage of all teams.
func (n *Node) isWithinLimit(j *job, usage map[string]storage.Resources) bool {
	more := storage.Resources{Cores: j.taskResources[placement.Cores], GPUs: j.taskResources[placement.GPUs]}
	total, limit := addAmounts(usage[j.spec.Team], more), n.teams[j.spec.Team].limit
	return isWithin(total.Cores, limit.Cores) && isWithin(total.GPUs, limit.GPUs)
}

// maxFreeCores returns the most free cores of any of the given machines that has
// capacity for a task of the job; false if none has.
func (j *job) maxFreeCores(machines []spareCapacity) (maxCores float64, ok bool) {
	for _, m := range machines {
		if m.Free.Fits(j.taskResources) && j.allows(m.Kind.MachineType, m.Kind.Zone, m.Kind.Spot) {
			maxCores, ok = max(maxCores, m.Free[placement.Cores]), true
		}
	}
	return maxCores, ok
}
