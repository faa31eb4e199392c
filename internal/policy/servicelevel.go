package policy

import (
	"math"
	"slices"
	"time"
)

// MinServiceLevel is the fraction of the jobs of a class or team that must be on time
// before other jobs get capacity. The objective is at least half; the rest is a margin,
// since run times are estimates.
const MinServiceLevel = 0.65

// decayTime is the time constant of the weight of outcomes, which decays to 1/e in that
// time. It is long enough to cover several outcomes of each class, and short enough that a
// past shortage stops having an effect within minutes.
const decayTime = 150 * time.Second

// countTolerance absorbs rounding errors in the product of a fraction and a count, so that
// a product that should be a whole number is not rounded up.
const countTolerance = 1e-9

// ServiceLevel counts the jobs of a class or team that were on time and those that were
// not, with exponentially decaying weights. The zero value has no outcomes.
type ServiceLevel struct {
	Met, Missed float64
	asOf        time.Time // time of the last decay; zero: no decay was applied yet
}

// Record adds the outcome of a job.
func (s *ServiceLevel) Record(met bool, now time.Time) {
	*s = s.DecayedTo(now)
	if met {
		s.Met++
	} else {
		s.Missed++
	}
}

// DecayedTo returns the service level with its weights decayed to now.
func (s ServiceLevel) DecayedTo(now time.Time) ServiceLevel {
	if !s.asOf.IsZero() && now.After(s.asOf) {
		weight := math.Exp(-now.Sub(s.asOf).Seconds() / decayTime.Seconds())
		s.Met *= weight
		s.Missed *= weight
	}
	s.asOf = now
	return s
}

// IsBelowMinimum reports whether a class or team is below its minimum service level. One
// without missed jobs is not, even if no job was on time yet.
func (s ServiceLevel) IsBelowMinimum() bool {
	return s.Missed > 0 && s.Met < MinServiceLevel*(s.Met+s.Missed)
}

// requiredOf returns how many of the given number of open jobs, which can still be on time,
// must be on time to reach the minimum service level.
func (s ServiceLevel) requiredOf(open int) int {
	total := s.Met + s.Missed + float64(open)
	return min(open, max(0, int(math.Ceil(MinServiceLevel*total-s.Met-countTolerance))))
}

// protectedJobs marks the jobs that classes and teams require for their minimum service
// levels.
func (s *Snapshot) protectedJobs() []bool {
	protected := make([]bool, len(s.Jobs))
	s.protect(protected, s.ClassService, func(j *Job) int { return j.Class })
	s.protect(protected, s.TeamService, func(j *Job) int { return j.Team })
	return protected
}

// protect marks the jobs that each group, a class or a team, requires for its minimum
// service level. Of the jobs that can still be on time it selects the shortest, which
// delay other jobs least.
func (s *Snapshot) protect(protected []bool, levels []ServiceLevel, groupOf func(*Job) int) {
	if levels == nil {
		return
	}
	groups := make([][]int, len(levels))
	for i := range s.Jobs {
		if j := &s.Jobs[i]; j.canMeetDeadline() {
			groups[groupOf(j)] = append(groups[groupOf(j)], i)
		}
	}
	for g, jobs := range groups {
		slices.SortFunc(jobs, func(a, b int) int { return s.compareDeferral(b, a) })
		for _, i := range jobs[:levels[g].requiredOf(len(jobs))] {
			protected[i] = true
		}
	}
}
