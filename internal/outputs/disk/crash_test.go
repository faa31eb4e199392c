package disk

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// crashRun runs a store on one directory for several cycles, each of which ends in a
// crash.
type crashRun struct {
	t               *testing.T
	seed            uint64
	firstCrashStep  int // file system step at which the first cycle crashes
	cycles          int
	actionsPerCycle int // number of random actions

	dir     string
	clock   time.Time
	rnd     *rand.Rand
	model   *model
	crashes int
}

// run runs all cycles and reports whether the last one reached its crash step.
func (r *crashRun) run() bool {
	r.dir = r.t.TempDir()
	r.clock = time.Unix(1e6, 0)
	r.rnd = rand.New(rand.NewPCG(r.seed, 1))
	r.model = newModel()
	crashed := false
	for cycle := range r.cycles {
		crashed = r.runCycle(cycle)
		if crashed {
			r.crashes++
		}
	}
	s := openTestStore(r.t, r.dir, nil, &r.clock)
	r.check(s, "at the end")
	s.Close()
	removeIndex(r.t, r.dir)
	r.check(openTestStore(r.t, r.dir, nil, &r.clock), "index rebuilt")
	return crashed
}

func (r *crashRun) check(s *Store, when string) {
	r.t.Helper()
	if err := r.model.check(s); err != nil {
		r.t.Fatalf("seed %d, first crash at %d, %s: %v", r.seed, r.firstCrashStep, when, err)
	}
}

func (r *crashRun) runCycle(cycle int) (crashed bool) {
	r.t.Helper()
	fs := newFaultFS(r.seed+uint64(cycle)*1000, 0)
	s := openTestStore(r.t, r.dir, fs, &r.clock)
	r.check(s, "after a crash")
	fs.mu.Lock()
	if fs.crashAt = fs.steps + r.firstCrashStep; cycle > 0 {
		fs.crashAt = fs.steps + 1 + r.rnd.IntN(3*r.actionsPerCycle)
	}
	fs.mu.Unlock()
	dropped := ""
	for range r.actionsPerCycle {
		seed := r.rnd.Uint64()
		if key := droppedBy(rand.New(rand.NewPCG(seed, 2))); key != "" {
			dropped = key
		}
		err := r.model.step(s, rand.New(rand.NewPCG(seed, 2)), &r.clock)
		if err == nil {
			dropped = ""
			continue
		}
		if fs.crashed {
			break
		}
		if !errors.Is(err, ErrSealed) && !errors.Is(err, ErrBusy) {
			r.t.Fatalf("seed %d: %v", r.seed, err)
		}
	}
	crashed = fs.crashed
	fs.mu.Lock()
	fs.crashed = true // the process ends here even if no crash step was reached
	fs.mu.Unlock()
	s.Kill()
	fs.loseUnsynced()
	if dropped != "" { // an unacknowledged drop may or may not have taken effect
		delete(r.model.attempts, dropped)
	}
	return crashed
}

// A store that crashes at any step of append, seal, checkpoint, drop and compaction has
// everything that it acknowledged when it is opened again, and continues to work. Every
// step of some short cycles is tried, then random steps of longer runs with several
// crashes.
func TestStoreSurvivesCrashAtEveryStep(t *testing.T) {
	crashes := 0
	runOne := func(seed uint64, firstCrashStep, cycles, actionsPerCycle int) bool {
		r := &crashRun{t: t, seed: seed, firstCrashStep: firstCrashStep, cycles: cycles, actionsPerCycle: actionsPerCycle}
		crashed := r.run()
		crashes += r.crashes
		return crashed
	}
	for seed := range uint64(2) {
		for at := 1; runOne(seed, at, 1, 40); at++ {
		}
	}
	for seed := range uint64(20) {
		runOne(100+seed, 1+int(seed)*7, 6, 80)
	}
	if crashes < 100 {
		t.Errorf("crashed only %d times", crashes)
	}
	t.Logf("%d crashes", crashes)
}
