package placement

import (
	"cmp"
	"slices"
)

// Due is a job in a queue as Sequence sees it.
type Due struct {
	Team int
	Work float64 // seconds of processors still to do
	Last float64 // seconds that its last task takes
	Due  float64 // seconds until it should be done; may be infinite
}

// Sequence orders jobs so that as many as can be are done when they should,
// after Moore and Hodgson: by due time, but whenever a job would be late, the
// longest of those before it steps back. Jobs that step back come last, the
// shortest first. cores is what all jobs share, limit a team's part of it.
func Sequence(jobs []Due, cores float64, limit func(team int) float64) []int {
	byDue := make([]int, len(jobs))
	for i := range jobs {
		byDue[i] = i
	}
	slices.SortStableFunc(byDue, func(a, b int) int {
		return cmp.Or(cmp.Compare(jobs[a].Due, jobs[b].Due), cmp.Compare(jobs[a].Work, jobs[b].Work))
	})
	var kept, late []int
	var sum float64
	teams := map[int]float64{}
	for _, i := range byDue {
		j := jobs[i]
		kept = append(kept, i)
		sum += j.Work
		teams[j.Team] += j.Work
		for len(kept) > 0 {
			all := sum/max(cores, 1) + j.Last
			own := 0.0
			if l := limit(j.Team); l > 0 {
				own = teams[j.Team]/l + j.Last
			}
			if max(all, own) <= j.Due {
				break
			}
			// Only work that shares what is short helps by stepping back.
			longest := -1
			for k, x := range kept {
				if (all > j.Due || jobs[x].Team == j.Team) && (longest < 0 || jobs[x].Work > jobs[kept[longest]].Work) {
					longest = k
				}
			}
			if longest < 0 {
				break
			}
			x := kept[longest]
			late = append(late, x)
			kept = slices.Delete(kept, longest, longest+1)
			sum -= jobs[x].Work
			teams[jobs[x].Team] -= jobs[x].Work
			if x == i {
				break
			}
		}
	}
	slices.SortStableFunc(late, func(a, b int) int { return cmp.Compare(jobs[a].Work, jobs[b].Work) })
	return append(kept, late...)
}
