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

// minMigrationGain is how many times higher the load of a job's shard has to be
// than that of the target with the job added, so that jobs don't move back and
// forth between shards of similar load.
const minMigrationGain = 1.2

// noMigrationTarget is the target of a migrating job whose record has changed:
// its copy will show where the job is.
const noMigrationTarget = -1

// migration is the move of a job to another shard, one write of its record.
type migration struct {
	shard  *shard
	job    *job
	target int
	txn    protocol.Txn
}

// migrateJobs moves jobs of which nothing is placed to shards that will run
// them sooner. A migrating job is not placed until its record shows where it
// is: a write that was not answered may still be applied, and is repeated until
// it is known to have succeeded or failed for good.
func (n *Node) migrateJobs(ctx context.Context) {
	for _, migration := range n.buildMigrations() {
		_, err := n.store.Txn(ctx, migration.txn)
		n.mu.Lock()
		migration.job.recordMigration(err)
		n.mu.Unlock()
	}
}

// buildMigrations returns the migrations to write now: those whose outcome is
// unknown, once more, and at most one new one. Their jobs are marked as
// migrating.
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

// newMigration returns the write that moves a job, conditional on the shard's
// and the job's revision.
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
		// Not executed, unless an earlier attempt was.
		if !j.unconfirmedMigration {
			j.migrating = false
		}
	case err == nil || errors.Is(err, storage.ErrConflict):
		j.migrationTarget = noMigrationTarget
	default:
		j.unconfirmedMigration = true
	}
}

// selectMigration selects a job of a shard and the shard that will run it
// sooner; no job if there is none.
func (n *Node) selectMigration(s *shard, now time.Time) (*job, int) {
	if j, target := n.selectMigrationToRoom(s, now); j != nil {
		return j, target
	}
	return n.selectMigrationByLoad(s, now)
}

// selectMigrationByLoad selects a job of a shard that lacks machines, the one
// that would be placed last first, and the shard that will run it sooner.
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
		return false // the move would lose completed tasks that only this holder knows
	}
	// The demand and capacity of shards are known from records and statuses
	// of a while ago: a job that has just been received is not moved on.
	const minHeartbeats = 2
	return now.Sub(j.receivedAt) >= n.heartbeats(minHeartbeats)
}

// selectMigrationTarget selects the shard that will run a job sooner than its
// own, if there is one.
func (n *Node) selectMigrationTarget(s *shard, j *job, summary demandSummary) (target int, ok bool) {
	if !n.isCapacityExhausted(&j.spec) {
		// Machines can be had, here or where records have room for them.
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
	return best, best >= 0 && lowest*minMigrationGain < summary.shards[s.index].load(0)
}

// isShardFull reports whether a shard's record has no room for more machines
// than it has and those that boot.
func (n *Node) isShardFull(i, booting int) bool {
	return len(n.records.Grants[i].Value.Machines)+booting >= n.maxMachinesPerShard()
}

// leastLoadedOpenShard selects the shard with the smallest shortage among those
// with room in their records, or -1.
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

// load returns how many times over the demand, with so much more, would fill
// the shard's machines.
func (l shardLoad) load(more float64) float64 {
	if l.available <= 0 {
		return math.Inf(1)
	}
	return (l.demanded + more) / l.available
}

// compareShortage orders shards by their shortage, or by their load.
func compareShortage(a, b shardLoad, more float64, byLoad bool) int {
	if byLoad {
		return cmp.Compare(a.load(more), b.load(more))
	}
	return cmp.Compare(a.demanded-a.available, b.demanded-b.available)
}
