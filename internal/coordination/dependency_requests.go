package coordination

import (
	"context"
	"errors"
	"fmt"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
)

// maxEvaluationRounds bounds how often one request evaluates a job's
// dependencies, reading unknown end records in between. One round may not
// suffice: an end record may have been evicted from the cache since it was
// read, and dependencies keep changing.
const maxEvaluationRounds = 3

// hasCancelledDependency reports whether a direct or transitive dependency of
// a live job was cancelled. What the local copy of the records does not
// contain is read from the store.
func (n *Node) hasCancelledDependency(ctx context.Context, live *clusterstate.JobRecord) (bool, error) {
	for range maxEvaluationRounds {
		cancelled, unknown, err := n.evaluateCancellation(live)
		if err != nil || cancelled || len(unknown) == 0 {
			return cancelled, err
		}
		for id := range unknown {
			// ErrUnavailable: there is no end record yet, so evaluate again.
			if err := n.loadEndedJob(ctx, id); err != nil && !errors.Is(err, ErrUnavailable) {
				return false, ErrUnavailable
			}
		}
	}
	return false, ErrUnavailable
}

// evaluateCancellation reports whether a direct or transitive dependency of a
// live job was certainly cancelled, and returns the dependencies whose state
// is unknown. It fails with ErrUnavailable if this controller doesn't hold its
// lease, since its copy of the records may be stale.
func (n *Node) evaluateCancellation(live *clusterstate.JobRecord) (cancelled bool, unknown map[string]bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.holdsLease(n.now()) {
		return false, nil, ErrUnavailable
	}
	unknown = map[string]bool{}
	cancelled = n.anyCancelled(live.Record.Spec.DependsOn, unknown, map[string]bool{})
	return cancelled, unknown, nil
}

// anyCancelled reports whether any of the given jobs or their dependencies is
// cancelled. It adds those whose state it can't determine to unknown.
func (n *Node) anyCancelled(ids []string, unknown, seen map[string]bool) bool {
	for _, id := range ids {
		if seen[id] {
			continue
		}
		seen[id] = true
		if end, ended := n.findEndedJob(id); ended {
			if end.Status == protocol.Cancelled {
				return true
			}
		} else if jr := n.records.Jobs[id]; jr != nil {
			if !jr.Dependencies.Unblocked && n.anyCancelled(jr.Record.Spec.DependsOn, unknown, seen) {
				return true
			}
		} else {
			unknown[id] = true
		}
	}
	return false
}

// checkDependencies checks that a job may depend on those that it names. It
// returns an *InvalidJobError if not, or ErrUnavailable if that can't be
// decided now. An accepted job stays accepted, so the transaction that accepts
// the new job needs no precondition on its dependencies.
func (n *Node) checkDependencies(ctx context.Context, j *protocol.Job) error {
	if len(j.DependsOn) == 0 {
		return nil
	}
	n.mu.Lock()
	enabled, maxDependencies := n.records.DependenciesEnabled(), n.settings.MaxDependencies()
	n.mu.Unlock()
	if !enabled {
		return fmt.Errorf("%w: jobs that wait for others are taken once every controller runs this version", ErrUnavailable)
	}
	if len(j.DependsOn) > maxDependencies {
		return invalidDependencies("names %d jobs, at most %d can be kept", len(j.DependsOn), maxDependencies)
	}
	for _, id := range j.DependsOn {
		if id == j.ID {
			return invalidDependencies("%s names itself", id)
		}
		if err := n.checkDependency(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// checkDependency returns an error if no job can depend on the given one,
// because it was never accepted or is a service.
func (n *Node) checkDependency(ctx context.Context, id string) error {
	dependency, err := n.lookupDependency(ctx, id)
	switch {
	case err != nil:
		return ErrUnavailable
	case !dependency.wasAccepted():
		return invalidDependencies("%s was never accepted", id)
	case dependency.isService():
		return invalidDependencies("%s is a service and never done", id)
	}
	return nil
}

// lookupDependency is lookupJob for questions that a stale copy of the records
// answers as well: whether a job was accepted, and whether it is a service.
func (n *Node) lookupDependency(ctx context.Context, id string) (storedJob, error) {
	n.mu.Lock()
	end, ended := n.endedJobs.get(id)
	live := n.records.Jobs[id]
	n.mu.Unlock()
	switch {
	case ended:
		return storedJob{live: live, end: &end}, nil
	case live != nil:
		return storedJob{live: live}, nil
	}
	return n.lookupJob(ctx, id)
}

// isService reports whether the job is a service. End records written by
// former versions don't contain this field.
func (s storedJob) isService() bool {
	return s.end != nil && s.end.IsService || s.live != nil && s.live.Record.Spec.IsService()
}

// invalidDependencies returns the error that rejects a job for its
// dependencies.
func invalidDependencies(format string, args ...any) error {
	return &InvalidJobError{protocol.FieldDependsOn, fmt.Sprintf(format, args...)}
}

// Dependencies returns a live job's dependencies and their statuses; a job
// that has ended has none. It fails with ErrJobNotFound or ErrUnavailable.
func (n *Node) Dependencies(ctx context.Context, id string) (protocol.JobDependencies, error) {
	dependencies := protocol.JobDependencies{ID: id, DependsOn: []protocol.JobStatus{}}
	stored, err := n.lookupJob(ctx, id)
	switch {
	case err != nil:
		return dependencies, ErrUnavailable
	case stored.end != nil:
		return dependencies, nil
	case stored.live == nil:
		return dependencies, ErrJobNotFound
	}
	for _, dependency := range stored.live.Record.Spec.DependsOn {
		status, err := n.JobStatus(ctx, dependency)
		if err != nil {
			return dependencies, ErrUnavailable // a dependency was accepted, so it can't be unknown
		}
		dependencies.DependsOn = append(dependencies.DependsOn, status)
	}
	return dependencies, nil
}
