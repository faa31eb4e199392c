package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// ErrUnavailable is returned when this controller can't decide now; the user
// should retry. The outcome of the request is unknown: a request that failed
// with it may still have been carried out.
var ErrUnavailable = errors.New("can't decide now")

// InvalidJobError reports a job that can never run, and the field at fault.
type InvalidJobError struct {
	Field  string // its name on the wire
	Reason string
}

// Error returns the text that users get: the field and the reason.
func (e *InvalidJobError) Error() string { return e.Field + ": " + e.Reason }

const (
	// quotaTolerance is the amount, in cores or GPUs, by which a sum may
	// exceed a quota and still count as within it, since sums of fractions are
	// inexact.
	quotaTolerance = 1e-9
	// specSizeDivisor limits a job's specification to this fraction of a value
	// (one in specSizeDivisor) while completed tasks are kept in the same
	// record.
	specSizeDivisor = 4
)

// Submission is the result of a submission that was accepted.
type Submission struct {
	Status    protocol.JobStatus
	Duplicate bool // the job had been accepted before
}

// Submit accepts a job. It is idempotent: for a job that had been accepted
// before, it returns the job's status, whatever the request contains. A job is
// accepted once the store has its record, and rejected with an
// *InvalidJobError only if the store is known to have neither its record nor
// its end record.
func (n *Node) Submit(ctx context.Context, j *protocol.Job) (Submission, error) {
	n.mu.Lock()
	now := n.now()
	_, active := n.records.Jobs[j.ID]
	end, ended := n.endedJobs.get(j.ID)
	canDecide := n.holdsLease(now) && n.records.MachineTypes != nil
	n.mu.Unlock()
	switch {
	case ended:
		// End records are final, so this answer holds without a lease too.
		return Submission{endedJobStatus(j.ID, end), true}, nil
	case !canDecide:
		return Submission{}, ErrUnavailable
	case active:
		return n.handleDuplicate(ctx, j.ID)
	}
	record, err := n.newJobRecord(ctx, j, now)
	if errors.As(err, new(*InvalidJobError)) {
		return n.rejectUnlessAccepted(ctx, j.ID, err)
	}
	if err != nil {
		return Submission{}, err
	}
	return n.acceptJob(ctx, record)
}

// handleDuplicate answers a submission of a job that the store has shown to be
// accepted. If the job can't be found now, that does not mean that it was
// never accepted.
func (n *Node) handleDuplicate(ctx context.Context, id string) (Submission, error) {
	status, err := n.JobStatus(ctx, id)
	if errors.Is(err, ErrJobNotFound) {
		err = ErrUnavailable
	}
	return Submission{status, true}, err
}

// rejectUnlessAccepted rejects a job that can never run, unless it was
// accepted: an accepted job is never rejected, even if the catalog, or the
// size limit of a record, has changed since.
func (n *Node) rejectUnlessAccepted(ctx context.Context, id string, invalid error) (Submission, error) {
	status, err := n.JobStatus(ctx, id)
	if errors.Is(err, ErrJobNotFound) {
		return Submission{}, invalid
	}
	return Submission{status, true}, err
}

// newJobRecord checks a job and returns the record to write when it is
// accepted.
func (n *Node) newJobRecord(ctx context.Context, j *protocol.Job, now time.Time) (*storage.Job, error) {
	shard, err := n.assignShard(j, now)
	if err != nil {
		return nil, err
	}
	if err := n.checkDependencies(ctx, j); err != nil {
		return nil, err
	}
	record := &storage.Job{Spec: *j, Shard: shard, AcceptedAtMS: now.UnixMilli()}
	n.mu.Lock()
	defer n.mu.Unlock()
	return record, n.checkRecordSize(record)
}

// assignShard checks that a job can run and selects its shard.
func (n *Node) assignShard(j *protocol.Job, now time.Time) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkCanRun(j); err != nil {
		return 0, err
	}
	return n.selectShard(j, now), nil
}

// acceptJob writes a new job's record, provided that the store has neither a
// record nor an end record under its ID.
func (n *Node) acceptJob(ctx context.Context, record *storage.Job) (Submission, error) {
	spec := &record.Spec
	_, err := n.store.TxnByDeadline(ctx, protocol.Txn{
		Preconditions: []protocol.Precondition{
			{Key: storage.JobKey(spec.ID)},
			{Key: storage.EndedJobKey(spec.ID)},
		},
		Writes: []protocol.Write{{Put: storage.JobKey(spec.ID), Value: *record}},
	})
	switch {
	case err == nil:
		slog.Debug("job accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks, "cores", spec.Cores, "shard", record.Shard)
		return Submission{Status: protocol.JobStatus{ID: spec.ID, Status: protocol.Pending}}, nil
	case errors.Is(err, storage.ErrConflict):
		return n.handleDuplicate(ctx, spec.ID)
	}
	refusalLog.Do(func() { slog.Info("submission write failed", "job", spec.ID, "err", err) })
	return Submission{}, ErrUnavailable
}

// checkRecordSize rejects a job whose record is too large for the store, since
// its write would fail however often it is retried. Machine types that the
// cloud doesn't have are removed from the record. While completed tasks are
// kept in the same record, three quarters of it are reserved for them.
func (n *Node) checkRecordSize(record *storage.Job) error {
	maxBytes := n.storeLimits().MaxValueBytes()
	if n.records.CompletionChunksEnabled() {
		n.removeUnknownMachineTypes(&record.Spec)
	} else {
		maxBytes /= specSizeDivisor
	}
	raw, err := json.Marshal(record)
	if err != nil || len(raw) > maxBytes {
		return &InvalidJobError{"body", fmt.Sprintf("%d bytes to keep, at most %d can be", len(raw), maxBytes)}
	}
	return nil
}

// removeUnknownMachineTypes removes machine types that the cloud doesn't have
// from those that a job allows, unless none would remain: an empty list allows
// all.
func (n *Node) removeUnknownMachineTypes(spec *protocol.Job) {
	var offered []string
	for _, machineType := range n.records.MachineTypes {
		if slices.Contains(spec.MachineTypes, machineType.Name) {
			offered = append(offered, machineType.Name)
		}
	}
	if len(offered) > 0 {
		spec.MachineTypes = offered
	}
}

// checkCanRun returns an *InvalidJobError if a job can never run, otherwise
// nil.
func (n *Node) checkCanRun(j *protocol.Job) error {
	quota, ok := n.teams[j.Team]
	if !ok {
		return &InvalidJobError{"owner", "unknown team " + j.Team}
	}
	candidate := n.newJob(&clusterstate.JobRecord{Record: storage.Job{Spec: *j}})
	kinds := candidate.suitableKinds(&planInput{machineTypes: n.records.MachineTypes})
	if len(kinds) == 0 {
		return &InvalidJobError{"cores", "a task fits no allowed machine type"}
	}
	tasks := 1.0 // that have to run concurrently
	if j.IsService() || j.IsGang() {
		tasks = float64(j.Tasks)
	}
	if quota.limit.Cores > 0 && tasks*j.Cores > quota.limit.Cores+quotaTolerance {
		return &InvalidJobError{"cores", fmt.Sprintf("over the team's limit of %g", quota.limit.Cores)}
	}
	if quota.limit.GPUs > 0 && tasks*j.GPUs > quota.limit.GPUs+quotaTolerance {
		return &InvalidJobError{"cards", fmt.Sprintf("over the team's limit of %g", quota.limit.GPUs)}
	}
	return nil
}
