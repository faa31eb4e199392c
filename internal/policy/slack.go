package policy

import (
	"cmp"
	"math"
	"slices"
)

// prioritizeWithinSlack moves jobs of higher priority to the front unless that makes
// another job late. The jobs are sorted by deadline.
//
// Each job in order of priority is placed first if all jobs that it would overtake have
// enough slack. Otherwise the front job, which has the earliest deadline, is placed first,
// and the job is tried again.
func (s *Snapshot) prioritizeWithinSlack(jobs []int) []int {
	n := len(jobs)
	slack := newSlackTree(s.deadlineSlack(jobs))
	positions := s.positionsByPriority(jobs)
	out := make([]int, 0, n)
	taken := make([]bool, n) // by position
	front := 0               // the first position that is not taken
	for _, wanted := range positions {
		work := s.Jobs[jobs[wanted]].Work
		for !taken[wanted] {
			next := wanted
			if slack.least(front, wanted) < work {
				next = front
			} else {
				slack.subtract(front, wanted, work)
			}
			taken[next] = true
			slack.remove(next)
			out = append(out, jobs[next])
			for front < n && taken[front] {
				front++
			}
		}
	}
	return out
}

// deadlineSlack returns by how many core-seconds each job could be delayed and still be on
// time if the jobs run in this order. Jobs that are late anyway, because of their team's
// quota or higher ranks, have infinite slack.
func (s *Snapshot) deadlineSlack(jobs []int) []float64 {
	slack := make([]float64, len(jobs))
	work := 0.0
	for k, i := range jobs {
		work += s.Jobs[i].Work
		slack[k] = s.capacityUntil(s.Jobs[i].latestStart()) - work
		if slack[k] < 0 {
			slack[k] = math.Inf(1)
		}
	}
	return slack
}

// positionsByPriority returns the positions in jobs, stably sorted by descending priority.
func (s *Snapshot) positionsByPriority(jobs []int) []int {
	positions := make([]int, len(jobs))
	for k := range positions {
		positions[k] = k
	}
	slices.SortStableFunc(positions, func(a, b int) int {
		return cmp.Compare(s.Jobs[jobs[b]].Priority, s.Jobs[jobs[a]].Priority)
	})
	return positions
}
