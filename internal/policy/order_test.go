package policy

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The number of jobs of the highest priority that are on time equals the maximum over all
// orders of those jobs alone, regardless of other jobs. All jobs not marked late are on
// time, and every job appears in the queue once.
func TestOrderMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := drawJobs(t, rapid.IntRange(1, 3).Draw(t, "priorities"))
		queue := Snapshot{Jobs: jobs, Cores: 1, MaxQuota: unlimited}.Order()
		if len(queue.Jobs) != len(jobs) || len(slices.Compact(slices.Sorted(slices.Values(queue.Jobs)))) != len(jobs) {
			t.Fatalf("order %v of %d jobs", queue.Jobs, len(jobs))
		}
		highest := -1
		for _, j := range jobs {
			highest = max(highest, j.Priority)
		}
		var ofHighest []int
		for i, j := range jobs {
			if j.Priority == highest {
				ofHighest = append(ofHighest, i)
			}
		}
		got := countOnTime(jobs, queue.Jobs, func(i int) bool { return jobs[i].Priority == highest && !queue.Late[i] })
		if want := maxOnTime(jobs, ofHighest); got != want {
			t.Fatalf("%d of the highest priority in time, %d can be: %+v %+v", got, want, jobs, queue)
		}
		notLate := 0
		for i := range jobs {
			if !queue.Late[i] {
				notLate++
			}
		}
		if got := countOnTime(jobs, queue.Jobs, func(i int) bool { return !queue.Late[i] }); got != notLate {
			t.Fatalf("%d of %d jobs that are not late by the queue are in time: %+v %+v", got, notLate, jobs, queue)
		}
	})
}

// Work beyond a team's maximum quota defers that team's own jobs, not another's.
func TestMaxQuotaDefersOnlyOwnJobs(t *testing.T) {
	jobs := []Job{{Team: 0, Work: 10, Deadline: 10}, {Team: 0, Work: 9, Deadline: 10}, {Team: 1, Work: 60, Deadline: 10}}
	queue := Snapshot{Jobs: jobs, Cores: 10, MaxQuota: func(team int) float64 { return []float64{1, 0}[team] }}.Order()
	if !queue.Late[0] || queue.Late[1] || queue.Late[2] {
		t.Errorf("late: %v", queue.Late)
	}
}

// A late job goes last, but an overdue one does not starve: its deadline grows by half of
// its waiting time and eventually precedes those of jobs submitted later.
func TestOverdueJobDoesNotStarve(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited float64
		late   bool
	}{
		{"short wait", 30, true},
		{"long wait", 2000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			jobs := []Job{{Work: 50, Deadline: 1 + c.waited/2, Overdue: true}, {Work: 100, Deadline: 101}}
			queue := Snapshot{Jobs: jobs, Cores: 1, MaxQuota: unlimited}.Order()
			if c.late && !queue.Late[0] || !c.late && queue.Late[0] {
				t.Errorf("waited %g: late %v", c.waited, queue.Late)
			}
		})
	}
}

// A job that can't meet its first deadline is retried with the next one before it counts as
// late, and booting machines count from when they are ready.
func TestLaterDeadlinesAndBootingCores(t *testing.T) {
	jobs := []Job{{Work: 20, Deadline: 15, LaterDeadlines: []float64{50}}, {Work: 10, Deadline: 15}, {Work: 90, Deadline: 60}}
	noneBooting := Snapshot{Jobs: jobs, Cores: 1, MaxQuota: unlimited}.Order()
	if want := []bool{false, false, true}; !slices.Equal(noneBooting.Late, want) || noneBooting.Jobs[0] != 1 {
		t.Errorf("none booting: %+v", noneBooting)
	}
	if jobs[0].Deadline != 15 {
		t.Error("Order has modified the jobs of the snapshot")
	}
	readySoon := Snapshot{Jobs: jobs, Cores: 1, BootingCores: 3, BootSeconds: 30, MaxQuota: unlimited}.Order()
	if slices.Contains(readySoon.Late, true) || readySoon.Jobs[0] != 1 {
		t.Errorf("ready soon: %+v", readySoon)
	}
	readyLate := Snapshot{Jobs: jobs, Cores: 1, BootingCores: 3, BootSeconds: 55, MaxQuota: unlimited}.Order()
	if !readyLate.Late[2] {
		t.Errorf("ready late: %+v", readyLate)
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		jobs := make([]Job, n)
		for i := range jobs {
			jobs[i] = Job{
				Class:           i % 3,
				Team:            i % 4,
				Priority:        i % 6,
				Work:            float64(1 + i*7919%500),
				LastTaskSeconds: 20,
				Deadline:        float64(30 + i*104729%400),
			}
		}
		s := Snapshot{
			Jobs:         jobs,
			Cores:        float64(n),
			MaxQuota:     unlimited,
			ClassService: make([]ServiceLevel, 3),
			TeamService:  make([]ServiceLevel, 4),
		}
		b.Run(time.Duration(n).String(), func(b *testing.B) {
			for b.Loop() {
				s.Order()
			}
		})
	}
}
