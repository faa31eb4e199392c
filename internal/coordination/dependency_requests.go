package coordination

import (
	"context"
	"errors"
	"fmt"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/protocol"
)

// maxReadRounds is how often the dependencies of one job are evaluated for an
// answer, with reads of unknown ends in between: an end that was read may have
// been dropped from the cache, and dependencies go on changing meanwhile.
const maxReadRounds = 3

// hasCancelledDependency reports, for an answer, whether a dependency of a live
// job, direct or not, was cancelled. What the copy of the records does not tell
// is read from the store.
func (n *Node) hasCancelledDependency(ctx context.Context, live *clusterstate.JobRecord) (bool, error) {
	for range maxReadRounds {
		cancelled, unknown, err := n.evaluateCancellation(live)
		if err != nil || cancelled || len(unknown) == 0 {
			return cancelled, err
		}
		for id := range unknown {
			// ErrUnavailable says that there is no end yet: look again.
			if err := n.loadEnd(ctx, id); err != nil && !errors.Is(err, ErrUnavailable) {
				return false, ErrUnavailable
			}
		}
	}
	return false, ErrUnavailable
}

// evaluateCancellation reports whether a dependency of a live job, direct or not,
// is known to be cancelled, and which dependencies it can't tell of. It fails
// with ErrUnavailable if this controller doesn't hold its lease: its copy of the
// records may be old.
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

// anyCancelled looks for a cancelled job among the given ones and their
// dependencies; it adds those whose state is not known to unknown.
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

// checkDependencies returns why a job can't depend on those that it names: an
// *InvalidJobError, or ErrUnavailable if that can't be decided now. Since an
// accepted job stays accepted, what was read once needs no precondition in the
// transaction that accepts the new job.
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

// checkDependency returns why no job can depend on the given one: it was never
// accepted, or it is a service.
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

// lookupDependency is lookupJob for a question that an old copy of the records
// answers as well: whether a job was accepted, and as what.
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

// isService reports whether the job is a service. Ends written by former versions
// don't tell.
func (s storedJob) isService() bool {
	return s.end != nil && s.end.IsService || s.live != nil && s.live.Record.Spec.IsService()
}

// invalidDependencies refuses a job because of its dependencies.
func invalidDependencies(format string, args ...any) error {
	return &InvalidJobError{protocol.FieldDependsOn, fmt.Sprintf(format, args...)}
}

// Dependencies lists a live job's dependencies and their statuses; a job that has
// ended depends on nothing any more. It fails with ErrJobNotFound or
// ErrUnavailable.
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
			return dependencies, ErrUnavailable // accepted once, so it is not unknown
		}
		dependencies.DependsOn = append(dependencies.DependsOn, status)
	}
	return dependencies, nil
}
