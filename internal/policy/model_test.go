package policy

import (
	"slices"

	"pgregory.net/rapid"
)

// drawJobs draws up to 7 jobs for one core, with LastTaskSeconds zero.
func drawJobs(t *rapid.T, priorities int) []Job {
	jobs := make([]Job, rapid.IntRange(0, 7).Draw(t, "jobs"))
	for i := range jobs {
		jobs[i] = Job{
			Priority: rapid.IntRange(0, priorities-1).Draw(t, "priority"),
			Team:     rapid.IntRange(0, 1).Draw(t, "team"),
			Class:    rapid.IntRange(0, 1).Draw(t, "class"),
			Work:     float64(rapid.IntRange(1, 9).Draw(t, "work")),
			Deadline: float64(rapid.IntRange(0, 20).Draw(t, "deadline")),
		}
	}
	return jobs
}

// countOnTime counts the jobs accepted by the filter that are on time if all jobs run
// sequentially in the given order.
func countOnTime(jobs []Job, order []int, filter func(i int) bool) int {
	end, onTime := 0.0, 0
	for _, i := range order {
		end += jobs[i].Work
		if end <= jobs[i].Deadline+1e-9 && filter(i) {
			onTime++
		}
	}
	return onTime
}

// maxOnTime returns the maximum number of jobs on time over all orders, as the reference
// model of Snapshot.Order.
func maxOnTime(jobs []Job, of []int) int {
	best := 0
	var try func(order, rest []int)
	try = func(order, rest []int) {
		if len(rest) == 0 {
			best = max(best, countOnTime(jobs, order, func(int) bool { return true }))
			return
		}
		for k, i := range rest {
			try(append(slices.Clone(order), i), slices.Delete(slices.Clone(rest), k, k+1))
		}
	}
	try(nil, of)
	return best
}
