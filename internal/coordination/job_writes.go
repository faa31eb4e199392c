package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/latency"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

const (
	// progressInterval is the minimum time between two progress writes for one
	// job. Progress that is not written costs little (see writeJobs), and
	// answers to users include it without the record.
	progressInterval = 3 * time.Second
	// writesPerEnd is the number of writes in the transaction that ends a job:
	// its record is deleted and its end record is put.
	writesPerEnd = 2
)

// jobWrite is one write for a job: its end record or its progress.
type jobWrite struct {
	job    *job
	done   int // completed tasks when the write was built; more may complete since
	txn    protocol.Txn
	end    *storage.EndedJob         // nil: progress
	chunks []storage.CompletionChunk // completion chunks to write; all others stay unchanged
}

// writeJobs writes the end records of completed jobs and, within the write
// budget, the progress of others, those with the most unsaved tasks first. If
// this controller fails, progress that was not written costs one image fetch
// for each task; the workers keep the results.
func (n *Node) writeJobs(ctx context.Context) {
	var wg sync.WaitGroup
	for _, write := range n.buildJobWrites() {
		wg.Go(func() { n.writeJob(ctx, write) })
	}
	wg.Wait()
}

// buildJobWrites returns the writes to make now and marks their jobs as
// saving.
func (n *Node) buildJobWrites() []jobWrite {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	ends, progress := n.unsavedJobs(now)
	progress = n.limitProgress(progress, len(ends))
	for i := range progress {
		n.addProgress(&progress[i])
	}
	progress = slices.DeleteFunc(progress, func(write jobWrite) bool { return len(write.txn.Writes) == 0 })
	writes := append(ends, progress...)
	for _, write := range writes {
		write.job.saving, write.job.savedAt = true, now
	}
	return writes
}

// unsavedJobs returns the writes of all jobs with completed tasks that the
// records lack: end records for complete jobs, and progress, still without its
// content, for jobs whose next progress write is due.
func (n *Node) unsavedJobs(now time.Time) (ends, progress []jobWrite) {
	for _, s := range n.shards {
		for _, j := range s.jobs {
			if j.saving || j.savedCount >= j.done.Len() || n.records.Jobs[j.id] == nil {
				continue
			}
			write := jobWrite{job: j, done: j.done.Len()}
			write.txn.Preconditions = jobPreconditions(s, j)
			if j.isComplete() && !j.spec.IsService() {
				write.end = n.newEndedJob(protocol.Done, write.done, &j.spec)
				write.txn.Writes = []protocol.Write{
					{Delete: storage.JobKey(j.id)},
					{Put: storage.EndedJobKey(j.id), Value: write.end},
				}
				ends = append(ends, write)
			} else if now.Sub(j.savedAt) >= progressInterval {
				progress = append(progress, write)
			}
		}
	}
	return ends, progress
}

// jobPreconditions returns the preconditions of every write of a job by the
// holder of its shard. The shard's revision rejects a write that arrives after
// a failover; the job's revision rejects one that arrives after a later write.
func jobPreconditions(s *shard, j *job) []protocol.Precondition {
	return []protocol.Precondition{
		{Key: storage.ShardKey(s.index), Revision: s.revision},
		{Key: storage.JobKey(j.id), Revision: j.revision},
	}
}

// limitProgress returns the progress writes that fit into the write budget
// beside the end records, preferring jobs with the most unsaved tasks.
func (n *Node) limitProgress(progress []jobWrite, endCount int) []jobWrite {
	unsaved := func(write jobWrite) int { return write.done - write.job.savedCount }
	slices.SortFunc(progress, func(a, b jobWrite) int {
		return cmp.Or(cmp.Compare(unsaved(b), unsaved(a)), cmp.Compare(a.job.id, b.job.id))
	})
	budget := max(0, n.store.DeferrableWrites()-writesPerEnd*endCount)
	return progress[:min(len(progress), budget)]
}

// addProgress adds the content of a progress write: as many unsaved completion
// chunks as a transaction may hold or, while former versions still read the
// records, the job's own record with its completed tasks.
func (n *Node) addProgress(write *jobWrite) {
	id := write.job.id
	if !n.records.CompletionChunksEnabled() {
		record := n.records.Jobs[id].Record
		record.Completed = n.encodeCompleted(write.job)
		write.txn.Writes = []protocol.Write{{Put: storage.JobKey(id), Value: record}}
		return
	}
	write.chunks = n.unsavedChunks(write.job)
	write.chunks = write.chunks[:min(len(write.chunks), n.maxChunksPerTxn())]
	for _, chunk := range write.chunks {
		key := storage.CompletionChunkKey(id, chunk.FirstIndex)
		revision := n.records.CompletionChunks[id][chunk.FirstIndex].Revision
		write.txn.Preconditions = append(write.txn.Preconditions, protocol.Precondition{Key: key, Revision: revision})
		write.txn.Writes = append(write.txn.Writes, protocol.Write{Put: key, Value: chunk})
	}
}

// maxChunksPerTxn returns how many completion chunks one transaction may
// write, limited by its number of operations, the write budget and the size of
// a request.
func (n *Node) maxChunksPerTxn() int {
	limits := n.storeLimits()
	maxByBudget := max(1, n.store.DeferrableWrites())
	maxBySize := max(1, (protocol.MaxBodyBytes-recordOverhead)/limits.MaxValueBytes())
	return min(limits.TxnOps, maxByBudget, maxBySize)
}

// encodeCompleted encodes a job's completed tasks for its own record. They may
// take the part of the record that checkRecordSize does not leave to the
// specification; tasks that don't fit are left out.
func (n *Node) encodeCompleted(j *job) string {
	limits := config.Limits{ValueKB: n.settings.Deployment.State.ValueKB}
	return j.done.StringWithin(limits.MaxValueBytes() * (specSizeDivisor - 1) / specSizeDivisor)
}

// unsavedChunks returns the completion chunks with tasks that the records do not
// contain. The job's own record, with its specification, stays unchanged,
// so a late write of it by a former version loses nothing.
func (n *Node) unsavedChunks(j *job) []storage.CompletionChunk {
	var unsaved []storage.CompletionChunk
	width := storage.ChunkWidth(n.storeLimits().MaxValueBytes())
	for from := 0; from < j.spec.Tasks; from += width {
		to := min(from+width, j.spec.Tasks)
		var saved storage.IndexSet
		if chunk, ok := n.records.CompletionChunks[j.id][from]; ok {
			saved.AddChunk(chunk.Value.Completed, from, j.spec.Tasks)
		}
		if j.done.CountBetween(from, to) > saved.CountBetween(from, to) {
			unsaved = append(unsaved, storage.CompletionChunk{FirstIndex: from, Completed: j.done.EncodeChunk(from, to)})
		}
	}
	return unsaved
}

// writeJob makes one write and records its outcome. A write that failed, or
// whose outcome is unknown, is built again later from the records as of then.
func (n *Node) writeJob(ctx context.Context, write jobWrite) {
	commit := n.store.Txn
	if write.end != nil {
		commit = n.store.TxnByDeadline // its user is waiting for it
	}
	revision, err := commit(ctx, write.txn)
	n.mu.Lock()
	defer n.mu.Unlock()
	write.job.saving = false
	switch {
	case err == nil && write.end != nil:
		n.recordStoredEnd(write)
	case err == nil && write.chunks != nil:
		n.recordStoredChunks(write, revision)
	case err == nil:
		write.job.savedCount = write.done
		write.job.revision = max(write.job.revision, revision)
	case !errors.Is(err, storage.ErrConflict):
		slog.Debug("job record write failed", "job", write.job.id, "err", err)
	}
}

// recordStoredEnd records that the store has a job's end record.
func (n *Node) recordStoredEnd(write jobWrite) {
	n.latency.RecordSince(write.job.spec.Class, latency.StoreCompletion, write.job.completedAt)
	n.endedJobs.add(write.job.id, *write.end)
	n.resolveDependencies() // its dependents are unblocked immediately
	n.wakeLoops()
	slog.Debug("job completed", "job", write.job.id)
}

// recordStoredChunks records that the store has completion chunks, which the
// local copy of the records may not contain yet.
func (n *Node) recordStoredChunks(write jobWrite, revision uint64) {
	n.records.AddCompletionChunks(write.job.id, write.chunks, revision)
	if n.allSaved(write.job, write.done) {
		write.job.savedCount = write.done
	}
}

// allSaved reports whether the stored chunks hold at least as many tasks as
// were completed when the write was built.
func (n *Node) allSaved(j *job, done int) bool {
	var all storage.IndexSet
	for from, chunk := range n.records.CompletionChunks[j.id] {
		all.AddChunk(chunk.Value.Completed, from, j.spec.Tasks)
	}
	return all.Len() >= done
}

// newEndedJob returns the end record of a job. While former versions may read
// it, the fields that they don't support are left out.
func (n *Node) newEndedJob(status string, done int, spec *protocol.Job) *storage.EndedJob {
	end := &storage.EndedJob{Status: status, Completed: done}
	if n.records.DependenciesEnabled() {
		end.EndedAtMS, end.IsService = n.now().UnixMilli(), spec.IsService()
	}
	return end
}
