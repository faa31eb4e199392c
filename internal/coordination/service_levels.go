package coordination

import (
	"maps"
	"math"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/config"
	"reedtrack/internal/policy"
	"reedtrack/internal/storage"
)

// serviceLevels are the recent service levels of classes and teams. They are derived from
// the records of all shards, so that all controllers compute the same levels and a new
// controller accounts for waiting jobs.
type serviceLevels struct {
	byClass map[string]policy.ServiceLevel
	byTeam  map[string]policy.ServiceLevel
}

// newServiceLevels returns empty service levels.
func newServiceLevels() serviceLevels {
	return serviceLevels{byClass: map[string]policy.ServiceLevel{}, byTeam: map[string]policy.ServiceLevel{}}
}

// record counts a job for its class and team; met reports whether it met its deadline.
func (s serviceLevels) record(record *storage.Job, met bool, now time.Time) {
	recordLevel(s.byClass, record.Spec.Class, met, now)
	recordLevel(s.byTeam, record.Spec.Team, met, now)
}

// recordLevel counts a job in the service level of one class or team.
func recordLevel(levels map[string]policy.ServiceLevel, name string, met bool, now time.Time) {
	level := levels[name]
	level.Record(met, now)
	levels[name] = level
}

// isBelowMinimum reports whether the service level of a job's class or team is below its
// minimum.
func (s serviceLevels) isBelowMinimum(j *job) bool {
	return s.byClass[j.spec.Class].IsBelowMinimum() || s.byTeam[j.spec.Team].IsBelowMinimum()
}

// deadlineSeconds returns a job's deadline in seconds after its submission: the earlier of
// the one in its spec and the one of its class, or infinity if there is none.
func deadlineSeconds(record *storage.Job, objectives []config.Objective) float64 {
	deadline := math.Inf(1)
	if record.Spec.DeadlineSeconds != nil {
		deadline = *record.Spec.DeadlineSeconds
	}
	for _, objective := range objectives {
		if objective.Kind == objectiveFinished && objective.Class == record.Spec.Class {
			deadline = min(deadline, objective.WithinS)
		}
	}
	return deadline
}

// recordServiceLevel counts a job whose record was deleted. A cancelled job counts neither
// as met nor as missed.
func (n *Node) recordServiceLevel(jr *clusterstate.JobRecord) {
	if math.IsInf(jr.DeadlineSeconds, 1) {
		return
	}
	if s := n.shards[jr.Record.Shard]; s != nil {
		if j := s.jobs[jr.Record.Spec.ID]; j != nil && !j.isComplete() {
			return
		}
	}
	now := n.now()
	n.serviceLevels.record(&jr.Record, !n.isPastDeadline(jr, now), now)
}

// isPastDeadline reports whether a job's deadline has passed, counted from the time at
// which it became startable.
func (n *Node) isPastDeadline(jr *clusterstate.JobRecord, now time.Time) bool {
	return now.Sub(n.monotonicTime(jr.StartableMS())).Seconds() > jr.DeadlineSeconds
}

// currentServiceLevels returns the recorded service levels, decayed to now, with all
// unfinished jobs past their deadline counted as missed.
func (n *Node) currentServiceLevels(now time.Time) serviceLevels {
	levels := serviceLevels{maps.Clone(n.serviceLevels.byClass), maps.Clone(n.serviceLevels.byTeam)}
	for _, byName := range []map[string]policy.ServiceLevel{levels.byClass, levels.byTeam} {
		for name, level := range byName {
			byName[name] = level.DecayedTo(now)
		}
	}
	for _, jr := range n.records.Jobs {
		if !jr.IsBlocked() && n.isPastDeadline(jr, now) {
			levels.record(&jr.Record, false, now)
		}
	}
	return levels
}
