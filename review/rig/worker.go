//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

// Times that the protocol page sets for workers.
const (
	answerLimit    = 4 * time.Second        // for the response to a report
	nextNodeDelay  = time.Second            // before the next node is tried
	changeInterval = 500 * time.Millisecond // at least between two reports
)

// attemptKey names an attempt of a task.
type attemptKey struct {
	part string
	try  uint64
}

// attempt is an attempt of a task on a machine.
type attempt struct {
	key    attemptKey
	job    *job
	status string
	cause  string
	kept   bool
	timer  *time.Timer
	ranAt  time.Time // when it was last retimed while it ran
	left   float64   // seconds of run time at usual speed that were left then
	lasts  float64   // seconds of run time at usual speed since it started
}

// number returns the number of the task.
func (a *attempt) number() int {
	_, n := splitPart(a.key.part)
	return n
}

// worker is a machine with its worker. Its fields are guarded by rig.mu.
type worker struct {
	rig     *rig
	id      string
	kind    kind
	breed   *breed
	created time.Time
	upAt    time.Time // zero: not yet up
	goneAt  time.Time // zero: still there
	address string

	stint, tally uint64
	baton        uint64
	lastAnswered time.Time // when the last answered report was sent
	attempts     map[attemptKey]*attempt
	images       map[string]bool
	wake         chan struct{}

	sick   bool                                       // fails every task that it starts
	factor float64                                    // its tasks run slower by this factor; 0: at the usual speed
	holdDo func(orders []order) (time.Duration, bool) // how long a direct command is held up, unanswered
}

// order is a command of a controller.
type order struct {
	Verb  string   `json:"verb"`
	Part  string   `json:"part"`
	Try   uint64   `json:"try"`
	Mercy *float64 `json:"mercy_s"`
}

func newWorker(r *rig, id string, k kind) *worker {
	return &worker{
		rig: r, id: id, kind: k, created: time.Now(), stint: 1,
		attempts: map[attemptKey]*attempt{}, images: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// boot brings the machine up after a delay. The caller holds rig.mu.
func (w *worker) boot(after time.Duration) {
	w.breed = w.rig.cloud.breedOf(w.kind.breed)
	time.AfterFunc(after, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.rig.note("%s: no listener: %v", w.id, err)
			return
		}
		w.rig.mu.Lock()
		w.address, w.upAt, w.lastAnswered = l.Addr().String(), time.Now(), time.Now()
		server := &http.Server{Handler: http.HandlerFunc(w.serveDirect), ReadHeaderTimeout: 5 * time.Second}
		w.rig.listener = append(w.rig.listener, server)
		w.rig.mu.Unlock()
		w.rig.note("%s is up: %s in %s, spot %v", w.id, w.kind.breed, w.kind.yard, w.kind.loaners)
		go server.Serve(l)
		go w.run()
		go w.watchLease()
	})
}

// remove ends the machine and all that is on it. The caller holds rig.mu.
func (w *worker) remove() {
	w.goneAt = time.Now()
	w.dropAll("machine returned")
}

func (w *worker) dropAll(why string) {
	for _, a := range w.attempts {
		if a.timer != nil {
			a.timer.Stop()
		}
		if a.status != "ended" {
			w.rig.note("%s: %s try %d is gone: %s", w.id, a.key.part, a.key.try, why)
		}
	}
	w.attempts = map[attemptKey]*attempt{}
}

// ended reports whether the machine or the run is over. The caller holds rig.mu.
func (w *worker) ended() bool { return !w.goneAt.IsZero() || w.rig.cloud.ended }

// watchLease ends the session when the lease runs out.
func (w *worker) watchLease() {
	lease := time.Duration(w.rig.site.leaseS * float64(time.Second))
	for {
		time.Sleep(50 * time.Millisecond)
		w.rig.mu.Lock()
		if w.ended() {
			w.rig.mu.Unlock()
			return
		}
		if time.Since(w.lastAnswered) > lease {
			w.dropAll("lease expired")
			w.stint++
			w.lastAnswered = time.Now()
			w.rig.note("%s: lease expired, session %d", w.id, w.stint)
			w.change()
		}
		w.rig.mu.Unlock()
	}
}

// change makes the worker report soon.
func (w *worker) change() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// report returns the next report. The caller holds rig.mu.
func (w *worker) report() map[string]any {
	w.tally++
	parts := []map[string]any{}
	for _, a := range w.attempts {
		p := map[string]any{"part": a.key.part, "try": a.key.try, "status": a.status}
		if a.status == "ended" {
			p["cause"] = a.cause
		}
		if a.kept {
			p["kept"] = true
		}
		parts = append(parts, p)
	}
	return map[string]any{"reed": w.id, "address": w.address, "breed": w.kind.breed, "yard": w.kind.yard, "loaners": w.kind.loaners,
		"stint": w.stint, "tally": w.tally, "baton": w.baton, "warning_s": nil, "parts": parts}
}

// run sends reports until the machine is gone.
func (w *worker) run() {
	current := rand.IntN(len(w.rig.nodes))
	client := http.Client{Timeout: answerLimit}
	for {
		w.rig.mu.Lock()
		if w.ended() {
			w.rig.mu.Unlock()
			return
		}
		raw, _ := json.Marshal(w.report())
		stint := w.stint
		w.rig.mu.Unlock()
		sent := time.Now()
		next, pause := w.exchange(&client, raw, stint, sent, current)
		current = next
		if pause > 0 {
			time.Sleep(pause)
			continue
		}
		interval := time.Duration(w.rig.site.reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		select {
		case <-w.wake:
			time.Sleep(max(0, changeInterval-time.Since(sent)))
		case <-time.After(interval):
		}
	}
}

// exchange sends one report and handles the response. It returns the node for the next
// report, and how long to wait before it; 0: the usual interval.
func (w *worker) exchange(client *http.Client, raw []byte, stint uint64, sent time.Time, current int) (next int, pause time.Duration) {
	other := (current + 1) % len(w.rig.nodes)
	resp, err := client.Post("http://"+w.rig.nodes[current].listen+"/checkin", "application/json", bytes.NewReader(raw))
	if err != nil {
		return other, nextNodeDelay
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return other, nextNodeDelay
	}
	var answer struct {
		Baton    uint64  `json:"baton"`
		Orders   []order `json:"orders"`
		AnswerTo string  `json:"answer_to"`
	}
	json.Unmarshal(body, &answer)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		i := slices.IndexFunc(w.rig.nodes, func(n *node) bool { return n.name == answer.AnswerTo })
		if i < 0 || i == current {
			return other, nextNodeDelay
		}
		return i, 50 * time.Millisecond
	default:
		return other, nextNodeDelay
	}
	w.rig.mu.Lock()
	defer w.rig.mu.Unlock()
	if w.ended() || stint != w.stint || answer.Baton == 0 || answer.Baton < w.baton {
		return current, 0
	}
	w.baton, w.lastAnswered = answer.Baton, sent
	w.execute(answer.Orders, "report")
	return current, 0
}

// serveDirect serves /do and /inspect.
func (w *worker) serveDirect(rw http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	var d struct {
		Baton  *uint64 `json:"baton"`
		Stint  *uint64 `json:"stint"`
		Orders []order `json:"orders"`
	}
	err := json.Unmarshal(body, &d)
	w.rig.mu.Lock()
	if req.URL.Path == "/do" && err == nil && w.holdDo != nil {
		if delay, held := w.holdDo(d.Orders); held {
			w.rig.note("%s: a direct command is held up for %v, without an answer: %s", w.id, delay, body)
			w.rig.mu.Unlock()
			time.Sleep(delay)
			w.rig.mu.Lock()
			defer w.rig.mu.Unlock()
			matches := d.Baton != nil && d.Stint != nil && *d.Baton >= w.baton && *d.Stint == w.stint
			w.rig.note("%s: the held up command arrives, token and session match: %v", w.id, matches)
			if matches {
				w.baton = *d.Baton
				w.execute(d.Orders, "late command")
			}
			panic(http.ErrAbortHandler) // its sender has given up: no answer
		}
	}
	defer w.rig.mu.Unlock()
	if w.ended() {
		panic(http.ErrAbortHandler)
	}
	if req.URL.Path == "/inspect" {
		reply(rw, http.StatusOK, w.report())
		return
	}
	if err != nil || d.Baton == nil || d.Stint == nil {
		reply(rw, http.StatusBadRequest, map[string]any{"error": "baton or stint is missing"})
		return
	}
	if *d.Baton < w.baton || *d.Stint != w.stint {
		reply(rw, http.StatusConflict, w.report())
		return
	}
	w.baton = *d.Baton
	w.execute(d.Orders, "direct")
	reply(rw, http.StatusOK, w.report())
}

// execute executes commands in order. The caller holds rig.mu.
func (w *worker) execute(orders []order, by string) {
	for _, o := range orders {
		key := attemptKey{o.Part, o.Try}
		a := w.attempts[key]
		switch o.Verb {
		case "start":
			if a == nil {
				w.startTask(key, by)
			}
		case "halt":
			if a != nil {
				w.halt(a, o.Mercy)
			}
		case "clear":
			if a != nil && a.status == "ended" {
				delete(w.attempts, key)
			}
		}
	}
}

// used sums what tasks take that have not ended. The caller holds rig.mu.
func (w *worker) used() (cores, ram float64) {
	for _, a := range w.attempts {
		if a.status != "ended" {
			cores += a.job.Cores
			ram += a.job.RAM
		}
	}
	return cores, ram
}

// startTask starts an attempt, or refuses it. The caller holds rig.mu.
func (w *worker) startTask(key attemptKey, by string) {
	id, number := splitPart(key.part)
	j := w.rig.jobs[id]
	a := &attempt{key: key, job: j}
	refuse := func(cause string) {
		a.status, a.cause = "ended", cause
		w.attempts[key] = a
		w.rig.note("%s: start of %s try %d refused: %s", w.id, key.part, key.try, cause)
		w.change()
	}
	if j == nil || number >= j.Parts {
		refuse("no_such")
		return
	}
	for _, other := range w.attempts {
		if other.key.part == key.part && other.status != "ended" {
			refuse("in_use")
			return
		}
	}
	cores, ram := w.used()
	if cores+j.Cores > w.breed.Cores+1e-6 || ram+j.RAM > w.breed.RAM+1e-6 {
		refuse("full")
		return
	}
	a.status = "fetching"
	w.attempts[key] = a
	j.starts++
	if j.Parts <= 100 {
		w.rig.note("%s: start of %s try %d (%s)", w.id, key.part, key.try, by)
	}
	fetch := time.Duration(j.Pull / w.breed.Fetch * float64(time.Second))
	if w.images[j.Bundle] {
		fetch = 0
	}
	a.timer = time.AfterFunc(fetch, func() {
		w.rig.mu.Lock()
		defer w.rig.mu.Unlock()
		if a.status == "fetching" && w.attempts[key] == a {
			w.images[j.Bundle] = true
			w.runTask(a)
		}
	})
	w.change()
}

// runTask runs an attempt that has its image. The caller holds rig.mu.
func (w *worker) runTask(a *attempt) {
	a.status = "running"
	if w.sick {
		a.timer = time.AfterFunc(300*time.Millisecond, func() { w.finish(a, "error") })
	} else {
		a.lasts = a.job.runS - a.job.saved[a.number()]
		a.left, a.ranAt = a.lasts, time.Now()
		w.setTimer(a)
	}
	w.rig.onMachine(w, a)
	w.change()
}

// finish ends an attempt that runs by itself.
func (w *worker) finish(a *attempt, cause string) {
	w.rig.mu.Lock()
	defer w.rig.mu.Unlock()
	if a.status == "running" && w.attempts[a.key] == a {
		w.end(a, cause, false)
	}
}

// slowness returns by which factor tasks take longer now. The caller holds rig.mu.
func (w *worker) slowness() float64 {
	if w.factor > 0 {
		return w.factor
	}
	return 1
}

// retime counts what an attempt has run since it was last retimed. The caller holds rig.mu.
func (w *worker) retime(a *attempt) {
	a.left -= time.Since(a.ranAt).Seconds() / w.slowness()
	a.ranAt = time.Now()
}

// setTimer sets the time at which an attempt completes. The caller holds rig.mu.
func (w *worker) setTimer(a *attempt) {
	a.timer = time.AfterFunc(time.Duration(a.left*w.slowness()*float64(time.Second)), func() { w.finish(a, "done") })
}

// setFactor changes the speed of the machine's tasks. The caller holds rig.mu.
func (w *worker) setFactor(factor float64) {
	for _, a := range w.attempts {
		if a.status == "running" && !a.ranAt.IsZero() {
			a.timer.Stop()
			w.retime(a)
		}
	}
	w.factor = factor
	for _, a := range w.attempts {
		if a.status == "running" && !a.ranAt.IsZero() {
			w.setTimer(a)
		}
	}
}

// end ends an attempt. The caller holds rig.mu.
func (w *worker) end(a *attempt, cause string, kept bool) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.status, a.cause, a.kept = "ended", cause, kept
	if cause == "done" {
		_, number := splitPart(a.key.part)
		a.job.doneTasks[number] = true
	}
	if a.job.Parts <= 100 {
		w.rig.note("%s: %s try %d ended: %s", w.id, a.key.part, a.key.try, cause)
	}
	w.change()
}

// halt stops an attempt. The caller holds rig.mu.
func (w *worker) halt(a *attempt, mercy *float64) {
	grace := 0.0
	if mercy != nil {
		grace = *mercy
	}
	switch {
	case a.status == "ended", a.status == "saving" && grace > 0:
	case a.status == "running" && a.job.SaveEvery > 0 && grace >= a.job.SaveTakes && grace > 0:
		w.retime(a)
		a.status = "saving"
		a.timer.Stop()
		a.timer = time.AfterFunc(time.Duration(a.job.SaveTakes*float64(time.Second)), func() {
			w.rig.mu.Lock()
			defer w.rig.mu.Unlock()
			if a.status == "saving" && w.attempts[a.key] == a {
				a.job.saved[a.number()] += a.lasts - a.left
				w.end(a, "halted", true)
			}
		})
		w.change()
	default:
		w.end(a, "halted", false)
	}
}

// onMachine checks that a task that starts to run is on no other machine. The caller holds
// rig.mu.
func (r *rig) onMachine(w *worker, a *attempt) {
	for _, m := range r.cloud.machines {
		for _, other := range m.attempts {
			if m != w && other.key.part == a.key.part && (other.status == "running" || other.status == "saving") && m.goneAt.IsZero() {
				r.broken = append(r.broken, "ran_twice "+a.key.part)
				r.note("ran_twice: %s on %s and %s", a.key.part, w.id, m.id)
			}
		}
	}
}
