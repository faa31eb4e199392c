package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"reedtrack/internal/placement"
)

// order sorts the jobs with startable tasks: those within a guarantee first,
// then by urgency, and among equals so that as many as can be are in time.
func (s *shard) order(p *planner, now time.Time) []*job {
	var jobs []*job
	for _, j := range s.jobs {
		if !j.ended && !j.unsure && !j.held && !j.leaving && !now.Before(j.notTill) && j.waiting() > 0 {
			jobs = append(jobs, j)
		}
	}
	rank := func(a, b *job) int {
		if a.within != b.within {
			if a.within {
				return -1
			}
			return 1
		}
		return -cmp.Compare(a.level, b.level)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(rank(a, b), cmp.Compare(a.atMS, b.atMS), cmp.Compare(a.id, b.id))
	})
	cores := 0.0
	for _, m := range s.machines {
		if m.usable() {
			cores += m.size[0]
		}
	}
	for _, w := range s.coming {
		cores += float64(w.Count) * p.size(w.Kind.Breed)[0]
	}
	var out []*job
	for from := 0; from < len(jobs); {
		to := from
		for to < len(jobs) && rank(jobs[from], jobs[to]) == 0 {
			to++
		}
		out = append(out, p.inTurn(jobs[from:to], cores, now)...)
		from = to
	}
	return out
}

// inTurn orders jobs of one rank.
func (p *planner) inTurn(jobs []*job, cores float64, now time.Time) []*job {
	teams := map[string]int{}
	var limits []float64
	dues := make([]placement.Due, len(jobs))
	for i, j := range jobs {
		t, ok := teams[j.spec.Team]
		if !ok {
			t = len(limits)
			teams[j.spec.Team] = t
			limits = append(limits, p.teams[j.spec.Team].limit.Cores)
		}
		dues[i] = placement.Due{Team: t, Work: j.left(now), Last: j.spec.GuessS, Due: p.due(j, now)}
	}
	var out []*job
	for _, i := range placement.Sequence(dues, cores, func(t int) float64 { return limits[t] }) {
		out = append(out, jobs[i])
	}
	return out
}

// due is the seconds left until a job should be done: its deadline, or the
// next time by which its class is expected to be. A job past them all has
// nothing to hurry for.
func (p *planner) due(j *job, now time.Time) float64 {
	waited := now.Sub(j.at).Seconds()
	best := math.Inf(1)
	past := false
	take := func(left float64) {
		if left >= j.spec.GuessS {
			best = min(best, left)
		} else {
			past = true
		}
	}
	if !math.IsInf(j.by, 1) {
		take((j.by - float64(now.UnixMilli())) / 1000)
	}
	for _, o := range p.aims {
		if o.Class == j.spec.Class && o.Kind == "finished" {
			take(o.WithinS - waited)
		} else if o.Class == j.spec.Class && o.Kind == "wait" {
			take(o.WithinS + j.spec.GuessS - waited)
		}
	}
	if math.IsInf(best, 1) && past {
		return -1 // late already: steps back
	}
	return best
}

// left is the work that a job still needs, by its owner's guess.
func (j *job) left(now time.Time) float64 {
	work := float64(j.waiting()) * j.spec.GuessS
	for _, r := range j.runs {
		work += j.spec.GuessS
		if !r.began.IsZero() {
			work -= min(j.spec.GuessS, now.Sub(r.began).Seconds())
		}
	}
	return work * j.need[0]
}
