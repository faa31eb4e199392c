package clusterstate

import (
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// Entry is the copy of a record at a revision.
type Entry[T any] struct {
	Value    T
	Revision uint64 // 0: there is no such record
}

// GrantChunkRecord is the copy of a chunk of a shard's grant.
type GrantChunkRecord struct {
	Value    storage.GrantChunk
	Revision uint64
	// Bytes caches the encoded size, which callers compute on demand. It is negative
	// for a chunk that can't be decoded.
	Bytes int
}

// JobRecord is the copy of a live job's record, with derived data.
type JobRecord struct {
	Record    storage.Job
	Revision  uint64
	DoneCount int // number of tasks that the records show as completed
	// DeadlineSeconds is when the job should be done, in seconds after its
	// submission; infinite: no deadline.
	DeadlineSeconds float64
	Dependencies    DependencyState
}

// DependencyState is the state of a job derived from the records of its dependencies and
// their ends. Every controller derives it; it is not stored. It is carried over from one
// revision of the job to the next.
type DependencyState struct {
	Unblocked      bool  // every dependency has a stored end and is done; never reset
	UnblockedMS    int64 // the latest of those ends, from which the job's times count
	Pending        bool  // some dependency is not known to have ended
	Cancelled      bool  // some dependency, direct or not, was cancelled
	CancelledSince time.Time
	Urgency        protocol.Priority // the highest of its own and of its dependents
	DeadlineMS     float64           // when it should be done, including for its dependents; infinite: no deadline
}

// IsBlocked reports whether the job's dependencies block it, so that it does not count yet
// towards quotas, guarantees and demand.
func (j *JobRecord) IsBlocked() bool {
	return len(j.Record.Spec.DependsOn) > 0 && !j.Dependencies.Unblocked && (j.Dependencies.Pending || j.Dependencies.Cancelled)
}

// StartableMS returns the time from which the job's user-visible times count, in Unix
// milliseconds.
func (j *JobRecord) StartableMS() int64 {
	if j.Dependencies.Unblocked {
		return j.Dependencies.UnblockedMS
	}
	return j.Record.AcceptedAtMS
}
