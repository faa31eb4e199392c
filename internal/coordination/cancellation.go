package coordination

import (
	"context"
	"errors"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// maxCancelAttempts bounds how often a cancellation is attempted while the
// job's record keeps changing concurrently: by a migration or, before the
// schema upgrade, by progress writes (see progressInterval). Even a second
// attempt is rare, and a user whose four attempts fail can retry.
const maxCancelAttempts = 4

// Cancel cancels a job and returns its status. It succeeds only once the store
// holds the job's end record; a cancellation that arrives after the job has
// ended does not change that record. It fails with ErrJobNotFound or
// ErrUnavailable.
func (n *Node) Cancel(ctx context.Context, id string) (protocol.JobStatus, error) {
	for range maxCancelAttempts {
		stored, err := n.lookupJob(ctx, id)
		switch {
		case err != nil:
			return protocol.JobStatus{}, ErrUnavailable
		case stored.end != nil:
			return endedJobStatus(id, *stored.end), nil
		case stored.live == nil:
			return protocol.JobStatus{}, ErrJobNotFound
		}
		end, err := n.writeCancellation(ctx, stored.live)
		if err == nil {
			return endedJobStatus(id, end), nil
		}
		if !errors.Is(err, storage.ErrConflict) {
			return protocol.JobStatus{}, ErrUnavailable
		}
	}
	return protocol.JobStatus{}, ErrUnavailable
}

// writeCancellation replaces a job's record with a cancelled end record in one
// transaction, provided the job's record is unchanged, and returns the end
// record.
func (n *Node) writeCancellation(ctx context.Context, live *clusterstate.JobRecord) (storage.EndedJob, error) {
	spec := &live.Record.Spec
	n.mu.Lock()
	done, _ := n.records.DoneTasks(live)
	end := *n.newEndedJob(protocol.Cancelled, done.Len(), spec)
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
