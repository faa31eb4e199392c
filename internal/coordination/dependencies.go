package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

const (
	// maxDependencyRequests limits how many requests of each kind (reads of
	// end records, cancellations) one round of the dependency loop sends
	// concurrently. The rest follow in the next round, which starts
	// immediately.
	maxDependencyRequests = 8
	// msPerSecond converts seconds in job specifications to milliseconds in
	// job records.
	msPerSecond = 1000
)

// dependentIndex maps the ID of each live job to the live jobs that depend on
// it directly.
type dependentIndex map[string][]*clusterstate.JobRecord

// resolveDependencies determines which jobs are blocked, unblocked or to be
// cancelled, and which urgency and deadline jobs inherit from their
// dependents. Only end records in the store decide: a job that is missing from
// the local copy of the records may have completed or been cancelled, so its
// end record is read before it counts.
func (n *Node) resolveDependencies() {
	n.inheritFromDependents(n.evaluateAllDependencies())
	now := n.now()
	blockedCount := n.updateShardJobs(now)
	transport.BlockedJobs.Set(float64(blockedCount))
	foundCancelled := n.recordCancelledSince(now)
	if foundCancelled || len(n.endedJobs.unknown) > 0 {
		signal(n.wake.dependencies)
	}
}

// evaluateAllDependencies updates the dependency state of all jobs, including
// transitive dependencies, collects the dependencies whose end records have to
// be read, and returns the dependents of each job.
func (n *Node) evaluateAllDependencies() dependentIndex {
	dependents := dependentIndex{}
	var cancelled []*clusterstate.JobRecord
	clear(n.endedJobs.unknown)
	for _, jr := range n.records.Jobs {
		if len(jr.Record.Spec.DependsOn) == 0 {
			continue
		}
		for _, id := range jr.Record.Spec.DependsOn {
			if n.records.Jobs[id] != nil {
				dependents[id] = append(dependents[id], jr)
			}
		}
		if !jr.Dependencies.Unblocked {
			n.evaluateDependencies(jr)
		}
		if jr.Dependencies.Cancelled {
			cancelled = append(cancelled, jr)
		}
	}
	dependents.propagateCancellation(cancelled)
	return dependents
}

// evaluateDependencies updates a job's state from its direct dependencies.
func (n *Node) evaluateDependencies(jr *clusterstate.JobRecord) {
	state := &jr.Dependencies
	state.Pending, state.UnblockedMS = false, jr.Record.AcceptedAtMS
	unknown := false
	for _, id := range jr.Record.Spec.DependsOn {
		end, ended := n.findEndedJob(id)
		switch {
		case ended && end.Status == protocol.Cancelled:
			state.Cancelled = true
		case ended:
			state.UnblockedMS = max(state.UnblockedMS, end.EndedAtMS)
		case n.records.Jobs[id] != nil || n.records.UnreadableJobs[id]:
			state.Pending = true
		default:
			unknown = true
			if n.shards[jr.Record.Shard] != nil {
				state.Pending = true
				n.endedJobs.unknown[id] = true
			}
		}
	}
	state.Unblocked = !state.Pending && !unknown && !state.Cancelled
}

// propagateCancellation marks all direct and transitive dependents of the
// given jobs, which themselves have a cancelled dependency.
func (d dependentIndex) propagateCancellation(cancelled []*clusterstate.JobRecord) {
	for len(cancelled) > 0 {
		jr := cancelled[len(cancelled)-1]
		cancelled = cancelled[:len(cancelled)-1]
		for _, dependent := range d[jr.Record.Spec.ID] {
			if !dependent.Dependencies.Cancelled {
				dependent.Dependencies.Cancelled = true
				cancelled = append(cancelled, dependent)
			}
		}
	}
}

// inheritFromDependents derives the effective urgency and deadline of all
// jobs.
func (n *Node) inheritFromDependents(dependents dependentIndex) {
	seen := map[string]bool{}
	for _, jr := range n.records.Jobs {
		dependents.inheritUrgency(jr, seen)
	}
}

// inheritUrgency raises a job's urgency to the highest of its dependents, and
// brings its deadline forward so that their estimated run times fit before
// their own deadlines. A job can only name jobs accepted before it, so there
// is no cycle.
func (d dependentIndex) inheritUrgency(jr *clusterstate.JobRecord, seen map[string]bool) {
	spec := &jr.Record.Spec
	if seen[spec.ID] {
		return
	}
	seen[spec.ID] = true
	state := &jr.Dependencies
	state.Urgency, state.DeadlineMS = spec.PriorityLevel(), math.Inf(1)
	if spec.DeadlineSeconds != nil {
		state.DeadlineMS = float64(jr.Record.AcceptedAtMS) + msPerSecond**spec.DeadlineSeconds
	}
	for _, dependent := range d[spec.ID] {
		d.inheritUrgency(dependent, seen)
		if !dependent.Dependencies.Cancelled {
			state.Urgency = max(state.Urgency, dependent.Dependencies.Urgency)
			state.DeadlineMS = min(state.DeadlineMS, dependent.Dependencies.DeadlineMS-msPerSecond*dependent.Record.Spec.EstimatedSeconds)
		}
	}
}

// updateShardJobs copies the derived state to the jobs of this controller's
// shards, and returns how many of them are blocked.
func (n *Node) updateShardJobs(now time.Time) int {
	blockedCount := 0
	for _, s := range n.shards {
		for id, j := range s.jobs {
			if jr := n.records.Jobs[id]; jr != nil {
				j.urgency, j.deadlineMS = jr.Dependencies.Urgency, jr.Dependencies.DeadlineMS
				if j.blocked && jr.Dependencies.Unblocked {
					n.unblock(s, j, jr.Dependencies.UnblockedMS, now)
				}
			}
			if j.blocked {
				blockedCount++
			}
		}
	}
	return blockedCount
}

// unblock makes a blocked job startable. Its submission time becomes
// unblockedMS, so its waiting time counts from then.
func (n *Node) unblock(s *shard, j *job, unblockedMS int64, now time.Time) {
	j.blocked = false
	j.startableAt = now
	j.submittedMS = unblockedMS
	j.submittedAt = n.monotonicTime(unblockedMS)
	s.dirty, s.capacityFreed = true, true
	slog.Debug("job unblocked", "job", j.id)
}

// recordCancelledSince records since when each job has had a cancelled
// dependency, and reports whether there is such a job.
func (n *Node) recordCancelledSince(now time.Time) bool {
	found := false
	for _, jr := range n.records.Jobs {
		if !jr.Dependencies.Cancelled {
			continue
		}
		found = true
		if jr.Dependencies.CancelledSince.IsZero() {
			jr.Dependencies.CancelledSince = now
		}
	}
	return found
}

// dependencyTick reads the end records of dependencies and cancels jobs with a
// cancelled dependency. Both are derived from the store, so a successor
// continues where this controller stops.
func (n *Node) dependencyTick(ctx context.Context) time.Duration {
	unknownEnds, cancelled := n.pendingDependencyWork()
	var wg sync.WaitGroup
	for _, id := range unknownEnds[:min(len(unknownEnds), maxDependencyRequests)] {
		wg.Go(func() { n.loadEndedJob(ctx, id) })
	}
	for _, jr := range cancelled[:min(len(cancelled), maxDependencyRequests)] {
		wg.Go(func() { n.writeCancellation(ctx, jr) })
	}
	wg.Wait()
	if len(unknownEnds)+len(cancelled) > 0 {
		n.mu.Lock()
		n.resolveDependencies()
		n.mu.Unlock()
		n.wakeLoops()
	}
	return 0
}

// pendingDependencyWork lists the dependencies whose end records this
// controller has to read, and the jobs that it has to cancel.
func (n *Node) pendingDependencyWork() (unknownEnds []string, cancelled []*clusterstate.JobRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if !n.holdsLease(now) {
		return nil, nil
	}
	for id := range n.endedJobs.unknown {
		unknownEnds = append(unknownEnds, id)
	}
	for _, jr := range n.records.Jobs {
		if !jr.Dependencies.Cancelled {
			continue
		}
		// The shard's holder cancels the job. If the job is still live after the
		// duration of a holder lease, the holder seems to be down, and every
		// controller does.
		holds := n.shards[jr.Record.Shard] != nil
		if holds || now.Sub(jr.Dependencies.CancelledSince) > n.operator.HolderLease {
			cancelled = append(cancelled, jr)
		}
	}
	return unknownEnds, cancelled
}

// loadEndedJob reads the end record of a job that is no longer live into the
// cache. It fails with ErrUnavailable if the job has none yet.
func (n *Node) loadEndedJob(ctx context.Context, id string) error {
	stored, err := n.lookupJob(ctx, id)
	if err == nil && stored.end == nil {
		err = fmt.Errorf("%w: %s has no end yet", ErrUnavailable, id)
	}
	if err != nil {
		slog.Debug("job end read failed", "job", id, "err", err)
	}
	return err
}
