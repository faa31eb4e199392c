//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

// cases are the cases by name.
var cases = map[string]play{
	"sick": {smallSite, playSick},
	"late": {smallSite, playLateCommand},
	"slow": {smallSite, playSlow},
}

// waitLimit is how long a job may wait once all troubles are over while a machine that fits
// has room and its team is under its limit.
const waitLimit = 90 * time.Second

// caseLimit is how long a case may run.
const caseLimit = 118 * time.Second

// ordinaryBison is the kind of machine that the cases are about.
var ordinaryBison = kind{"bison", "saskatoon", false}

// smallSite is the deployment of Saskatoon as the site file prairie-puzzle-trust.toml has it:
// the cloud has one ordinary bison, which is up at the start.
func smallSite() *site {
	saskatoon, both := []string{"saskatoon"}, []string{"regina", "saskatoon"}
	return &site{
		controllers: 3,
		zones:       []string{"saskatoon", "regina", "saskatoon"},
		reportS:     3, leaseS: 29, cancelS: 54,
		valueKB: 16, txnOps: 12, writeRPS: 60,
		listLagS: 4, memoryMB: 234, maxSockets: 2500,
		breeds: []breed{
			{SKU: "gopher", Cores: 4, RAM: 16, Local: 50, Fetch: 0.25, Rate: 0.27, LowPrice: 0.09, Ready: 25, Yards: saskatoon},
			{SKU: "badger", Cores: 8, RAM: 16, Local: 50, Fetch: 0.25, Rate: 0.5, LowPrice: 0.17, Ready: 20, Yards: both},
			{SKU: "bison", Cores: 32, RAM: 256, Local: 35, Fetch: 0.4, Rate: 2.4, LowPrice: 0.86, Ready: 50, Yards: saskatoon},
		},
		capacity: map[kind]int{
			{"gopher", "saskatoon", false}: 1, {"gopher", "saskatoon", true}: 17,
			{"badger", "saskatoon", false}: 2, {"badger", "saskatoon", true}: 3,
			{"badger", "regina", false}: 2, {"badger", "regina", true}: 3,
			ordinaryBison: 1, {"bison", "saskatoon", true}: 3,
		},
		upAtStart: []kind{{"gopher", "saskatoon", false}, {"badger", "saskatoon", false}, {"badger", "regina", false}, ordinaryBison},
		teams:     []team{{name: "cutters", cpus: 56, cpusMax: 144}, {name: "mazers", cpus: 72, cpusMax: 112}, {name: "proofers", cpus: 112, cpusMax: 168}},
		objectives: `
[[deployment.objectives]]
kind = "finished"
class = "piececut"
within_s = 150.0
share = 0.93

[[deployment.objectives]]
kind = "deadline"
class = "proofrun"
share = 0.96
times = 1.0

[[deployment.objectives]]
kind = "finished"
class = "thumbnail"
within_s = 180.0
share = 0.88

[[deployment.objectives]]
kind = "guarantee"
within_s = 15.0
share = 0.9
`,
	}
}

// newJob returns a job of one task that only an ordinary bison can run: it needs more memory
// than the other types have, and may not use spot machines.
func newJob(number int, class, owner, urgency string, cores, runS float64) *job {
	return &job{
		ID: fmt.Sprintf("wk-%06d", number), Class: class, Owner: owner, Shape: "array", Urgency: urgency,
		Parts: 1, Cores: cores, RAM: 20, Bundle: "img-01", Pull: 0.4, Guess: runS, runS: runS,
	}
}

// bison returns the machine that the cases are about, nil if it is gone.
func (r *rig) bison() *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.cloud.machines {
		if m.kind == ordinaryBison && m.goneAt.IsZero() && !m.upAt.IsZero() {
			return m
		}
	}
	return nil
}

// background submits a job of one task to the bison every twenty seconds, until the run ends:
// the usual work beside the job in question. Each runs for thirty seconds, so that the machine
// is never idle.
func (r *rig) background() {
	for number := 1000; ; number++ {
		r.mu.Lock()
		over := r.cloud.ended
		r.mu.Unlock()
		if over {
			return
		}
		j := newJob(number, "piececut", "mazers", "normal", 2, 30)
		if r.submit(j) == nil {
			go r.awaitStatus(j, "done", time.Minute)
		}
		time.Sleep(20 * time.Second)
	}
}

// awaitStatus polls a job until it has a status.
func (r *rig) awaitStatus(j *job, status string, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if r.poll(j) == status {
			return nil
		}
	}
	return fmt.Errorf("%s is not %s within %v", j.ID, status, limit)
}

// checkWaits watches a job until it is done or the case must end. It breaks the rule if the
// job waits for 90 s on end although a machine that it may use is up, is answered, has room for
// it, runs other tasks without fault, and its team is under its limit.
func (r *rig) checkWaits(j *job) (int, error) {
	var waitsSince time.Time
	roomLogged, nextPoll := false, time.Now()
	for time.Since(r.began) < caseLimit {
		if !time.Now().Before(nextPoll) {
			nextPoll = time.Now().Add(2500 * time.Millisecond)
			if r.poll(j) == "done" {
				r.note("rule held: %s is done", j.ID)
				return exitHeld, nil
			}
		}
		waits := r.waitsBesideRoom(j)
		switch {
		case !waits:
			waitsSince, roomLogged = time.Time{}, false
		case waitsSince.IsZero():
			waitsSince = time.Now()
		case time.Since(waitsSince) > waitLimit:
			r.note("rule broken: %s has waited for %.1f s while the machine had room for it all the time", j.ID, time.Since(waitsSince).Seconds())
			return exitBroken, nil
		}
		if waits && !roomLogged {
			roomLogged = true
			r.note("%s waits; the machine has room for it", j.ID)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return exitNotRun, errors.New("neither done nor waiting for long enough")
}

// waitsBesideRoom reports whether a job of one task is on no machine although the ordinary
// bison has room for it and its team is under its limit.
func (r *rig) waitsBesideRoom(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	room, teamCores := false, 0.0
	for _, m := range r.cloud.machines {
		if !m.goneAt.IsZero() || m.upAt.IsZero() {
			continue
		}
		for _, a := range m.attempts {
			if a.status != "ended" && a.job == j {
				return false
			}
			if a.status != "ended" && a.job.Owner == j.Owner {
				teamCores += a.job.Cores
			}
		}
		cores, ram := m.used()
		if m.kind == ordinaryBison && !m.sick && cores+j.Cores <= m.breed.Cores && ram+j.RAM <= m.breed.RAM {
			room = true
		}
	}
	limit := 0.0
	for _, t := range r.site.teams {
		if t.name == j.Owner {
			limit = t.cpusMax
		}
	}
	return room && teamCores+j.Cores <= limit && len(j.doneTasks) < j.Parts
}

// sickFor is how long the machine fails every task that it starts.
const sickFor = 10 * time.Second

// playSick: a machine fails every task that it starts, for some seconds, while the task of a
// job of one task starts there. Tasks that run there already go on.
func playSick(r *rig) (int, error) {
	go r.background()
	if err := r.awaitRunning(1000); err != nil {
		return exitNotRun, err
	}
	w, x := r.bison(), newJob(1, "thumbnail", "cutters", "low", 4, 5)
	if r.trouble {
		r.setSick(w, true)
	}
	began := time.Now()
	if err := r.submit(x); err != nil {
		return exitNotRun, err
	}
	if r.trouble {
		time.Sleep(sickFor - time.Since(began))
		r.setSick(w, false)
		r.mu.Lock()
		starts := x.starts
		r.mu.Unlock()
		if starts == 0 {
			return exitNotRun, errors.New("the job did not start while the machine was sick")
		}
	}
	return r.checkWaits(x)
}

// setSick begins or ends the time during which a machine fails every task that it starts.
func (r *rig) setSick(w *worker, sick bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.sick = sick
	if sick {
		r.note("trouble: %s fails every task that it starts", w.id)
	} else {
		r.note("trouble over: %s runs tasks as before", w.id)
	}
}

// awaitRunning waits until a job's first task runs.
func (r *rig) awaitRunning(number int) error {
	id := fmt.Sprintf("wk-%06d", number)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if r.isRunning(id) {
			return nil
		}
	}
	return fmt.Errorf("%s does not run", id)
}

// isRunning reports whether a task of a job runs.
func (r *rig) isRunning(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.cloud.machines {
		for _, a := range m.attempts {
			if a.job != nil && a.job.ID == id && a.status == "running" {
				return true
			}
		}
	}
	return false
}

// heldFor is how long the direct command is held up: the page says 2 to 16 s.
const heldFor = 5 * time.Second

// playLateCommand: the direct command that starts a job's task is held up for some seconds,
// without an answer. The task starts by the response to the next report. It is preempted by
// urgent work, which then ends.
func playLateCommand(r *rig) (int, error) {
	go r.background()
	if err := r.awaitRunning(1000); err != nil {
		return exitNotRun, err
	}
	w, x := r.bison(), newJob(1, "thumbnail", "cutters", "low", 20, 30)
	x.SaveEvery, x.SaveTakes = 30, 3
	held := 0
	if r.trouble {
		r.mu.Lock()
		w.holdDo = func(orders []order) (time.Duration, bool) {
			for _, o := range orders {
				if id, _ := splitPart(o.Part); id == x.ID && o.Verb == "start" && held == 0 {
					held++
					return heldFor, true
				}
			}
			return 0, false
		}
		r.mu.Unlock()
	}
	if err := r.submit(x); err != nil {
		return exitNotRun, err
	}
	if err := r.awaitRunning(1); err != nil {
		return exitNotRun, err
	}
	if r.trouble {
		r.mu.Lock()
		isHeld := held > 0
		r.mu.Unlock()
		if !isHeld {
			return exitNotRun, errors.New("the task was not started by a direct command")
		}
	}
	urgent := newJob(2, "proofrun", "proofers", "high", 20, 5)
	due := 25.0
	urgent.Due = &due
	if err := r.submit(urgent); err != nil {
		return exitNotRun, err
	}
	if err := r.awaitStatus(urgent, "done", 30*time.Second); err != nil {
		return exitNotRun, err
	}
	return r.checkWaits(x)
}

// slowFactor is by how much the tasks of the slow machine take longer.
const slowFactor = 3.0

// playSlow: a machine runs its tasks slower for some seconds. Two tasks of a job take longer
// than the job's others took, while one long task of another job runs beside them. After the
// machine has its usual speed again, a job comes that needs it.
func playSlow(r *rig) (int, error) {
	long := newJob(1, "thumbnail", "cutters", "low", 4, 150)
	if err := r.submit(long); err != nil {
		return exitNotRun, err
	}
	if err := r.awaitRunning(1); err != nil {
		return exitNotRun, err
	}
	// Three of its tasks fit beside the long one, the other two follow.
	short := newJob(2, "piececut", "mazers", "normal", 9, 4.2)
	short.Parts = 5
	if err := r.submit(short); err != nil {
		return exitNotRun, err
	}
	w := r.bison()
	for deadline := time.Now().Add(25 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r.mu.Lock()
		done := len(short.doneTasks)
		r.mu.Unlock()
		if done >= 3 {
			break
		}
		if time.Now().After(deadline) {
			return exitNotRun, errors.New("the short tasks do not run")
		}
	}
	if r.trouble {
		r.setSlow(w, slowFactor)
	}
	if err := r.awaitStatus(short, "done", 30*time.Second); err != nil {
		return exitNotRun, err
	}
	if r.trouble {
		r.setSlow(w, 0)
	}
	x := newJob(3, "piececut", "mazers", "normal", 9, 3)
	if err := r.submit(x); err != nil {
		return exitNotRun, err
	}
	return r.checkWaits(x)
}

// setSlow changes the speed of a machine; 0: the usual speed.
func (r *rig) setSlow(w *worker, factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.setFactor(factor)
	if factor > 0 {
		r.note("trouble: tasks on %s take %g times as long", w.id, factor)
	} else {
		r.note("trouble over: %s has its usual speed", w.id)
	}
}
