package coordination

import (
	"context"
	"encoding/json"
	"errors"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// ErrJobNotFound is returned for a job that was never accepted.
var ErrJobNotFound = errors.New("no such job")

// storedJob is what the store holds of a job: its live record or its end
// record. A job with neither was never accepted.
type storedJob struct {
	live *clusterstate.JobRecord
	end  *storage.EndedJob
}

// wasAccepted reports whether the job was ever accepted.
func (s storedJob) wasAccepted() bool { return s.live != nil || s.end != nil }

// JobStatus returns a job's status, at least as recent as any answer given by
// another controller. It fails with ErrJobNotFound or ErrUnavailable.
func (n *Node) JobStatus(ctx context.Context, id string) (protocol.JobStatus, error) {
	stored, err := n.lookupJob(ctx, id)
	switch {
	case err != nil:
		return protocol.JobStatus{}, ErrUnavailable
	case stored.end != nil:
		return endedJobStatus(id, *stored.end), nil
	case stored.live == nil:
		return protocol.JobStatus{}, ErrJobNotFound
	}
	if len(stored.live.Record.Spec.DependsOn) > 0 {
		// After an answer that reports a cancelled dependency, no later answer
		// may report this job as pending.
		cancelled, err := n.hasCancelledDependency(ctx, stored.live)
		if err != nil {
			return protocol.JobStatus{}, ErrUnavailable
		}
		if cancelled {
			return n.cancelDependent(ctx, stored.live)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.liveStatus(stored.live), nil
}

// cancelDependent cancels a job with a cancelled dependency, and returns its
// status.
func (n *Node) cancelDependent(ctx context.Context, live *clusterstate.JobRecord) (protocol.JobStatus, error) {
	id := live.Record.Spec.ID
	end, err := n.writeCancellation(ctx, live)
	if errors.Is(err, storage.ErrConflict) {
		return n.JobStatus(ctx, id) // the record has changed: cancelled by another controller, or migrated
	}
	if err != nil {
		return protocol.JobStatus{}, ErrUnavailable
	}
	return endedJobStatus(id, end), nil
}

// endedJobStatus returns the status of a job that has ended.
func endedJobStatus(id string, end storage.EndedJob) protocol.JobStatus {
	return protocol.JobStatus{ID: id, Status: end.Status, Done: end.Completed}
}

// liveStatus returns a live job's status with counts of its tasks for display.
// The holder of its shard counts them itself; other controllers use the records
// and the holder's last status.
func (n *Node) liveStatus(live *clusterstate.JobRecord) protocol.JobStatus {
	id, shardIndex := live.Record.Spec.ID, live.Record.Shard
	done, _ := n.records.DoneTasks(live)
	status := protocol.JobStatus{ID: id, Status: protocol.Pending, Done: done.Len()}
	if s := n.shards[shardIndex]; s != nil {
		if j := s.jobs[id]; j != nil {
			status.Done, status.Running = j.done.Len(), len(j.attempts)
		}
	} else {
		for _, peer := range n.peerStatus {
			for _, shardStatus := range peer.Shards {
				if shardStatus.Index == shardIndex {
					status.Running = shardStatus.Running[id]
				}
			}
		}
	}
	if status.Running > 0 || status.Done > 0 {
		status.Status = protocol.Running
	}
	return status
}

// lookupJob returns a job's live record or its end record, whichever exists,
// at least as recent as any answer that a user got before the call. To that
// end, the local copy of the records is brought up to date, which takes one
// store request for all callers at about the same time. A job that the copy
// then lacks has ended or was never accepted: it has ended if it has an end record.
// While the copy is being reloaded, or if the job's record is unreadable, both
// records are read from the store.
func (n *Node) lookupJob(ctx context.Context, id string) (storedJob, error) {
	if end, ok := n.cachedEndedJob(id); ok {
		return storedJob{end: &end}, nil
	}
	switch err := n.confirm(ctx); {
	case errors.Is(err, storage.ErrNotLoaded):
		return n.readJob(ctx, id)
	case err != nil:
		return storedJob{}, err
	}
	n.mu.Lock()
	live, unreadable := n.records.Jobs[id], n.records.UnreadableJobs[id]
	n.mu.Unlock()
	switch {
	case unreadable:
		return n.readJob(ctx, id)
	case live != nil:
		return storedJob{live: live}, nil
	}
	end, err := n.readEndedJob(ctx, id)
	return storedJob{end: end}, err
}

// cachedEndedJob returns a job's end record if it is cached. End records are
// final.
func (n *Node) cachedEndedJob(id string) (storage.EndedJob, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	end, ok := n.endedJobs.get(id)
	return end, ok
}

// readJob reads a job from the store: the live record first and then the end
// record, since the end record replaces the live one. In this order a job that
// ends between the two reads is not missed.
func (n *Node) readJob(ctx context.Context, id string) (storedJob, error) {
	item, err := n.store.Get(ctx, storage.JobKey(id))
	if err == nil {
		live := &clusterstate.JobRecord{Revision: item.Revision}
		return storedJob{live: live}, json.Unmarshal(item.Value, &live.Record)
	}
	if !errors.Is(err, storage.ErrNotFound) {
		return storedJob{}, err
	}
	end, err := n.readEndedJob(ctx, id)
	return storedJob{end: end}, err
}

// readEndedJob returns a job's end record, reading it from the store if it is
// not cached; nil if the job has none.
func (n *Node) readEndedJob(ctx context.Context, id string) (*storage.EndedJob, error) {
	if end, ok := n.cachedEndedJob(id); ok {
		return &end, nil
	}
	item, err := n.store.Get(ctx, storage.EndedJobKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	end := new(storage.EndedJob)
	if err := json.Unmarshal(item.Value, end); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.endedJobs.add(id, *end)
	n.mu.Unlock()
	return end, nil
}
