package policy

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// shortage is a fluid model of a deployment with less capacity than work. The jobs of each
// class arrive at a constant rate. Each step assigns capacity to the jobs in queue order,
// to each as much as it can use. The capacity is temporarily reduced.
type shortage struct {
	minService bool // enforce minimum service levels
	classes    []shortageClass
	cores      float64
	dipStep    int // first step with reduced capacity
	jobs       []shortageJob
}

// shortageClass is a class of equal jobs with their outcomes.
type shortageClass struct {
	priority  int
	interval  float64 // seconds between two arrivals
	work      float64 // core-seconds of a job
	deadline  float64 // seconds after the arrival of a job
	maxCores  float64 // that a job can use simultaneously
	nextAt    float64 // arrival of the next job
	served    ServiceLevel
	met, done float64 // jobs on time, and all jobs that ended or are late at the end
}

type shortageJob struct {
	class    int
	cameAt   float64
	workLeft float64
}

const (
	shortageSteps      = 180
	shortageStep       = 5.0 // seconds
	shortageDipSteps   = 12  // a minute
	shortageDip        = 0.7 // fraction of the capacity that remains during the dip
	shortageMinRunTime = 25  // seconds that a job takes with maxCores
)

// simulateShortage draws and simulates a shortage, and returns the fraction of each class's
// jobs that was on time.
func simulateShortage(t *rapid.T, minService bool) []float64 {
	s := drawShortage(t, minService)
	for step := range shortageSteps {
		s.advance(step)
	}
	return s.onTime()
}

func drawShortage(t *rapid.T, minService bool) *shortage {
	s := &shortage{minService: minService, classes: make([]shortageClass, rapid.IntRange(2, 4).Draw(t, "classes"))}
	demand := 0.0
	for c := range s.classes {
		class := shortageClass{
			priority: c,
			interval: float64(rapid.IntRange(4, 20).Draw(t, "interval")),
			work:     float64(rapid.IntRange(100, 1000).Draw(t, "work")),
			deadline: float64(rapid.IntRange(150, 400).Draw(t, "deadline")),
		}
		class.maxCores = class.work / shortageMinRunTime
		demand += class.work / class.interval
		s.classes[c] = class
	}
	excess := float64(rapid.IntRange(115, 133).Draw(t, "demand in percent of capacity")) / 100
	s.cores = demand / excess
	s.dipStep = rapid.IntRange(0, shortageSteps-1).Draw(t, "dip")
	return s
}

// advance simulates one step: jobs arrive, get capacity in queue order, and end.
func (s *shortage) advance(step int) {
	now := float64(step) * shortageStep
	s.submitJobs(now)
	cores := s.cores
	if step >= s.dipStep && step < s.dipStep+shortageDipSteps {
		cores *= shortageDip
	}
	for _, i := range s.snapshot(now, cores).Order().Jobs {
		j := &s.jobs[i]
		used := min(cores, s.classes[j.class].maxCores, j.workLeft/shortageStep)
		j.workLeft -= used * shortageStep
		cores -= used
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j shortageJob) bool {
		if j.workLeft > 1e-6 {
			return false
		}
		class := &s.classes[j.class]
		met := now+shortageStep-j.cameAt <= class.deadline
		class.served.Record(met, shortageTime(now))
		class.done++
		if met {
			class.met++
		}
		return true
	})
}

func (s *shortage) submitJobs(now float64) {
	for c := range s.classes {
		class := &s.classes[c]
		for ; class.nextAt <= now; class.nextAt += class.interval {
			s.jobs = append(s.jobs, shortageJob{class: c, cameAt: class.nextAt, workLeft: class.work})
		}
	}
}

// snapshot returns the snapshot that the scheduler would build from the jobs.
func (s *shortage) snapshot(now, cores float64) Snapshot {
	snapshot := Snapshot{Cores: cores, MaxQuota: unlimited}
	if s.minService {
		for c := range s.classes {
			snapshot.ClassService = append(snapshot.ClassService, s.classes[c].served.DecayedTo(shortageTime(now)))
		}
	}
	for _, j := range s.jobs {
		class := &s.classes[j.class]
		waited := now - j.cameAt
		job := Job{
			Class:           j.class,
			Priority:        class.priority,
			Work:            j.workLeft,
			LastTaskSeconds: shortageStep + j.workLeft/class.maxCores,
			Deadline:        class.deadline - waited,
		}
		if job.Deadline < job.LastTaskSeconds {
			job.Deadline, job.Overdue = job.LastTaskSeconds+waited/2, true
			if s.minService {
				snapshot.ClassService[j.class].Missed++
			}
		}
		snapshot.Jobs = append(snapshot.Jobs, job)
	}
	return snapshot
}

// onTime returns the fraction of each class's jobs that was on time, including unfinished
// late jobs.
func (s *shortage) onTime() []float64 {
	for _, j := range s.jobs {
		if class := &s.classes[j.class]; shortageSteps*shortageStep-j.cameAt > class.deadline {
			class.done++
		}
	}
	onTime := make([]float64, len(s.classes))
	for c, class := range s.classes {
		onTime[c] = 1
		if class.done > 0 {
			onTime[c] = class.met / class.done
		}
	}
	return onTime
}

func shortageTime(now float64) time.Time {
	return time.Unix(1e9, 0).Add(time.Duration(now * float64(time.Second)))
}
