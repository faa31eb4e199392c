package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The shortest jobs that a class requires for its minimum service level are protected and
// precede all jobs that would make them late. A class at its minimum service level has no
// protected jobs.
func TestProtectedJobsReachMinServiceLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := drawJobs(t, 3)
		levels := make([]ServiceLevel, 2)
		for c := range levels {
			levels[c] = ServiceLevel{Met: float64(rapid.IntRange(0, 6).Draw(t, "met")), Missed: float64(rapid.IntRange(0, 6).Draw(t, "missed"))}
		}
		queue := Snapshot{Jobs: jobs, Cores: 1, MaxQuota: unlimited, ClassService: levels}.Order()
		for c := range levels {
			open, protected := 0, 0
			for i, j := range jobs {
				if j.Class == c && j.Deadline >= 0 {
					open++
					if queue.Protected[i] {
						protected++
					}
				}
			}
			total := levels[c].Met + levels[c].Missed + float64(open)
			if served := (levels[c].Met + float64(protected)) / total; total > 0 && served < MinServiceLevel-1e-9 && protected < open ||
				protected > 0 && (levels[c].Met+float64(protected-1))/total >= MinServiceLevel {
				t.Fatalf("class %d: %d of %d protected, %+v", c, protected, open, levels[c])
			}
		}
		var protected []int
		for i := range jobs {
			if queue.Protected[i] {
				protected = append(protected, i)
			}
		}
		highest := 0
		for _, i := range protected {
			highest = max(highest, jobs[i].Priority)
		}
		if slices.ContainsFunc(protected, func(i int) bool { return jobs[i].Priority != highest }) {
			return // of several priorities: the highest first, as in TestOrderMatchesExhaustiveSearch
		}
		got := countOnTime(jobs, queue.Jobs, func(i int) bool { return queue.Protected[i] && !queue.Late[i] })
		if want := maxOnTime(jobs, protected); got != want {
			t.Fatalf("%d protected jobs are in time, %d can be", got, want)
		}
	})
}

// The only job of a class, with the lowest priority, precedes all jobs that would make it
// late, so that its class reaches the minimum service level.
func TestMinServiceLevelOfClassWithOneJob(t *testing.T) {
	jobs := []Job{{Class: 0, Work: 10, Deadline: 20}}
	for range 30 {
		jobs = append(jobs, Job{Class: 1, Priority: 3, Work: 10, Deadline: 20})
	}
	levels := []ServiceLevel{{}, {Met: 100}}
	queue := Snapshot{Jobs: jobs, Cores: 1, MaxQuota: unlimited, ClassService: levels}.Order()
	if queue.Late[0] || countOnTime(jobs, queue.Jobs, func(i int) bool { return i == 0 }) != 1 {
		t.Errorf("the class's only job is late: %v", queue.Jobs)
	}
	if queue := (Snapshot{Jobs: jobs, Cores: 1, MaxQuota: unlimited}).Order(); !queue.Late[0] {
		t.Error("the job is on time without a minimum service level: the test is ineffective")
	}
}

// The weight of an outcome decays over time to a negligible value.
func TestServiceLevelDecays(t *testing.T) {
	var s ServiceLevel
	now := time.Unix(1e9, 0)
	for range 8 {
		s.Record(false, now)
	}
	s.Record(true, now.Add(decayTime))
	if got := s.DecayedTo(now.Add(decayTime)); math.Abs(got.Missed-8/math.E) > 1e-9 || got.Met != 1 {
		t.Errorf("after the decay time: %+v", got)
	}
	if n := s.DecayedTo(now.Add(20 * decayTime)).requiredOf(100); n < 65 || n > 66 {
		t.Errorf("long after: %d of 100 required", n)
	}
}

// In random shortages, with up to a third more work than capacity and reduced capacity for
// a minute, at least half of each class's jobs are on time. Without minimum service levels
// this fails in many cases.
func TestNoClassBelowHalfInShortage(t *testing.T) {
	below, shortages := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		onTime := simulateShortage(t, true)
		shortages++
		if lowest := slices.Min(onTime); lowest < 0.5 {
			t.Fatalf("in time by class: %v", onTime)
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		if slices.Min(simulateShortage(t, false)) < 0.5 {
			below++
		}
	})
	t.Logf("%d of %d shortages leave a class under half without minimum service levels", below, shortages)
	if below < shortages/10 {
		t.Errorf("only %d of %d shortages leave a class under half: the test is ineffective", below, shortages)
	}
}
