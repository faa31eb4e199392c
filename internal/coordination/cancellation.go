package coordination

import (
	"context"
	"errors"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// maxCancelAttempts is how often a cancellation is tried whose write fails since
// the job's record has changed meanwhile: by a migration or, before the schema
// upgrade, by the job's progress (see progressInterval). A second attempt is
// rare, and a user whose four fail can retry.
const maxCancelAttempts = 4

// Cancel cancels a job, and returns its status. It returns without an error only
// once the store has the job's end, which a cancellation that came too late does
// not change. It fails with ErrJobNotFound or ErrUnavailable.
func (n *Node) Cancel(ctx context.Context, id string) (protocol.JobStatus, error) {
	for range maxCancelAttempts {
		stored, err := n.lookupJob(ctx, id)
		switch {
		case err != nil:
			return protocol.JobStatus{}, ErrUnavailable
		case stored.end != nil:
			return endStatus(id, *stored.end), nil
		case stored.live == nil:
			return protocol.JobStatus{}, ErrJobNotFound
		}
		end, err := n.writeCancellation(ctx, stored.live)
		if err == nil {
			return endStatus(id, end), nil
		}
		if !errors.Is(err, storage.ErrConflict) {
			return protocol.JobStatus{}, ErrUnavailable
		}
	}
	return protocol.JobStatus{}, ErrUnavailable
}

// writeCancellation replaces a job's record by its cancellation in one
// transaction, unless the record has changed, and returns the end that it wrote.
func (n *Node) writeCancellation(ctx context.Context, live *clusterstate.JobRecord) (storage.EndedJob, error) {
	spec := &live.Record.Spec
	n.mu.Lock()
	done, _ := n.records.DoneTasks(live)
	end := *n.newEnd(protocol.Cancelled, done.Len(), spec)
	n.mu.Unlock()
	_, err := n.store.TxnByDeadline(ctx, protocol.Txn{
		Preconditions: []protocol.Precondition{{Key: storage.JobKey(spec.ID), Revision: live.Revision}},
		Writes: []protocol.Write{
			{Delete: storage.JobKey(spec.ID)},
			{Put: storage.EndedJobKey(spec.ID), Value: end},
		},
	})
	if err != nil {
		return end, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endedJobs.add(spec.ID, end)
	n.resolveDependencies()
	return end, nil
}
