package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// minMigrationLoadRatio is the minimum ratio between the load of a job's shard and
// the load of the target with the job added, so that jobs don't move back and
// forth between shards of similar load.
const minMigrationLoadRatio = 1.2

// noMigrationTarget is the target of a migrating job whose record has been
// changed: the local copy of the records will name the job's shard.
const noMigrationTarget = -1

// migration is the move of a job to another shard by a single write of its
// record.
type migration struct {
	shard  *shard
	job    *job
	target int
	txn    protocol.Txn
}

// migrateJobs moves jobs without placed tasks to shards that are expected to run
// them sooner. No task of a migrating job is placed until the job's record names
// its shard: an unanswered write may still be applied, so it is retried until it
// has certainly succeeded or failed.
func (n *Node) migrateJobs(ctx context.Context) {
	for _, migration := range n.buildMigrations() {
		_, err := n.store.Txn(ctx, migration.txn)
		n.mu.Lock()
		migration.job.recordMigration(err)
		n.mu.Unlock()
	}
}

// buildMigrations returns the migrations to write now: all whose outcome is
// unknown, to be retried, and at most one new one. It marks their jobs as migrating.
func (n *Node) buildMigrations() []migration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var migrations []migration
	for i, s := range n.shards {
		for _, j := range s.jobs {
			if j.migrating && !j.saving && j.migrationTarget >= 0 {
				migrations = append(migrations, n.newMigration(s, j, j.migrationTarget))
			}
		}
		if len(migrations) == 0 && n.store.DeferrableWrites() > 0 {
			if j, target := n.selectMigration(s, now); j != nil {
				slog.Info("job migrating", "job", j.id, "from_shard", i, "to_shard", target)
				migrations = append(migrations, n.newMigration(s, j, target))
			}
		}
	}
	for _, migration := range migrations {
		j := migration.job
		j.migrating, j.saving, j.migrationTarget = true, true, migration.target
	}
	return migrations
}

// newMigration returns the write that moves a job, conditional on the revisions of
// the shard's lease and the job's record.
func (n *Node) newMigration(s *shard, j *job, target int) migration {
	record := n.records.Jobs[j.id].Record
	record.Shard = target
	record.Completed = "" // kept in completion chunks
	if !n.records.CompletionChunksEnabled() {
		record.Completed = n.encodeCompleted(j)
	}
	return migration{s, j, target, protocol.Txn{
		Preconditions: jobPreconditions(s, j),
		Writes:        []protocol.Write{{Put: storage.JobKey(j.id), Value: record}},
	}}
}

// recordMigration records the outcome of writing a job's migration.
func (j *job) recordMigration(err error) {
	j.saving = false
	switch {
	case errors.Is(err, storage.ErrRefused):
		// This write was not executed, but an earlier one may have been.
		if !j.unconfirmedMigration {
			j.migrating = false
		}
	case err == nil || errors.Is(err, storage.ErrConflict):
		j.migrationTarget = noMigrationTarget
	default:
		j.unconfirmedMigration = true
	}
}

// selectMigration selects a job of a shard and another shard that is expected to
// run it sooner. The job is nil if there is none.
func (n *Node) selectMigration(s *shard, now time.Time) (*job, int) {
	if j, target := n.selectMigrationToSpareCapacity(s, now); j != nil {
		return j, target
	}
	return n.selectMigrationByLoad(s, now)
}

// selectMigrationByLoad selects a job of an overloaded shard, in reverse queue
// order, and a shard that is expected to run it sooner.
func (n *Node) selectMigrationByLoad(s *shard, now time.Time) (*job, int) {
	summary := n.summarizeDemand(now)
	for _, j := range slices.Backward(s.queue) {
		if !n.canMigrate(s, j, now) {
			continue
		}
		if summary.shards[s.index].load(0) <= 1 {
			return nil, 0
		}
		if target, ok := n.selectMigrationTarget(s, j, summary); ok {
			return j, target
		}
	}
	return nil, 0
}

// canMigrate reports whether a job may be moved to another shard.
func (n *Node) canMigrate(s *shard, j *job, now time.Time) bool {
	if s.jobs[j.id] != j || n.records.Jobs[j.id] == nil || j.ended || j.pendingTasks() == 0 {
		return false
	}
	if len(j.attempts) > 0 || j.unconfirmed || j.saving || j.migrating {
		return false
	}
	if n.records.CompletionChunksEnabled() && len(n.unsavedChunks(j)) > 0 {
		return false // the move would lose task completions that are not yet stored
	}
	// The demand and capacity of shards are taken from records and statuses, which
	// lag behind: a job that has just been received is not moved again.
	const minHeartbeats = 2
	return now.Sub(j.receivedAt) >= n.heartbeatIntervals(minHeartbeats)
}

// selectMigrationTarget selects a shard that is expected to run a job sooner than
// its own, if there is one.
func (n *Node) selectMigrationTarget(s *shard, j *job, summary demandSummary) (target int, ok bool) {
	if !n.isCapacityExhausted(&j.spec) {
		// More machines can be requested, in any shard whose grant record has
		// space for them.
		target = n.leastLoadedOpenShard(summary)
		return target, target >= 0 && target != s.index && n.isShardFull(s.index, s.bootingCount())
	}
	cores := float64(j.pendingTasks()) * j.taskResources[0]
	best, lowest := -1, math.Inf(1)
	for i, to := range summary.shards {
		if load := to.load(cores); i != s.index && to.available > 0 && load < lowest {
			best, lowest = i, load
		}
	}
	return best, best >= 0 && lowest*minMigrationLoadRatio < summary.shards[s.index].load(0)
}

// isShardFull reports whether a shard's grant record has no space for machines
// beyond those granted and the given number of booting ones.
func (n *Node) isShardFull(i, booting int) bool {
	return len(n.records.Grants[i].Value.Machines)+booting >= n.maxMachinesPerShard()
}

// leastLoadedOpenShard selects the shard with the smallest shortage among those
// whose grant records have space, or -1 if there is none.
func (n *Node) leastLoadedOpenShard(summary demandSummary) int {
	best := -1
	for i := range summary.shards {
		if !n.isShardFull(i, 0) && (best < 0 || compareShortage(summary.shards[i], summary.shards[best], 0, false) < 0) {
			best = i
		}
	}
	return best
}

// shardLoad is the demand of a shard's jobs and the capacity of its machines,
// in cores.
type shardLoad struct {
	demanded  float64
	available float64
}

// load returns the ratio of demand, plus the given additional demand, to available
// capacity.
func (l shardLoad) load(more float64) float64 {
	if l.available <= 0 {
		return math.Inf(1)
	}
	return (l.demanded + more) / l.available
}

// compareShortage orders shards by their shortage or, if byLoad is set, by their
// load with the additional demand.
func compareShortage(a, b shardLoad, more float64, byLoad bool) int {
	if byLoad {
		return cmp.Compare(a.load(more), b.load(more))
	}
	return cmp.Compare(a.demanded-a.available, b.demanded-b.available)
}
