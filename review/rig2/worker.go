//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a machine with its worker, as PROTOCOL describes them.
type worker struct {
	p      *platform
	id     string
	offer  offer
	kind   machineKind
	begun  time.Time
	wakeup chan struct{}

	mu       sync.Mutex
	stopped  bool
	addr     string
	stint    uint64
	tally    uint64
	baton    uint64
	lastSent time.Time // when the last answered report was sent
	bundleAt time.Time // when the image is there; zero: not asked for
	parts    map[string]*part
	starts   []startEvent
	longest  int // longest line of a response so far
	refused  int // direct commands over 64 KiB so far
}

type part struct {
	try    uint64
	status string
	cause  string
	left   float64 // seconds of work left
}

// startEvent is one start of a task on the machine.
type startEvent struct {
	task string
	at   time.Time
	end  string
}

type order struct {
	Verb string `json:"verb"`
	Part string `json:"part"`
	Try  uint64 `json:"try"`
}

func newWorker(p *platform, id string, o offer) *worker {
	return &worker{p: p, id: id, offer: o, kind: kindOf(o.breed), begun: time.Now(), wakeup: make(chan struct{}, 1), stint: 1, parts: map[string]*part{}}
}

func (w *worker) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.parts = map[string]*part{}
}

// startsOf returns the starts of a job's tasks so far.
func (w *worker) startsOf(job string) (events []startEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.starts {
		if strings.HasPrefix(e.task, job+"/") {
			events = append(events, e)
		}
	}
	return events
}

// countOf returns how many tasks of a job are on the machine and have not ended.
func (w *worker) countOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for name, t := range w.parts {
		if t.status != "ended" && strings.HasPrefix(name, job+"/") {
			count++
		}
	}
	return count
}

// freeCores returns the cores that no task takes, refused and ended ones aside.
func (w *worker) freeCores() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kind.cores - w.busyCores()
}

// busyCores returns the cores that tasks take. The caller holds mu.
func (w *worker) busyCores() float64 {
	busy := 0.0
	for name, t := range w.parts {
		if t.status != "ended" {
			id, _, _ := strings.Cut(name, "/")
			busy += w.p.jobs[id].cores
		}
	}
	return busy
}

func (w *worker) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run reports until the machine is released.
func (w *worker) run() {
	l, addr, err := listen()
	if err != nil {
		return
	}
	defer l.Close()
	w.mu.Lock()
	w.addr, w.lastSent = addr, time.Now()
	w.mu.Unlock()
	go http.Serve(l, http.HandlerFunc(w.serve))
	go w.work()
	names := []string{"reed-0", "reed-1", "reed-2"}
	at := 0
	client := http.Client{Timeout: 4 * time.Second}
	for {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		if time.Since(w.lastSent).Seconds() > leaseSeconds {
			w.p.r.logf("%s: lease ended, next session", w.id)
			w.parts, w.lastSent = map[string]*part{}, time.Now()
			w.stint++
		}
		report := w.report()
		w.mu.Unlock()
		sent := time.Now()
		pause := time.Duration(reportSeconds * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		resp, err := client.Post("http://"+w.p.controllers[names[at]]+"/checkin", "application/json", bytes.NewReader(report))
		next := (at + 1) % len(names)
		if err != nil {
			at, pause = next, time.Second
		} else {
			raw, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if longest := longestLine(raw); longest > maxBytes {
				// The protocol has no such response: the worker can't read it.
				w.p.r.logf("%s: %s answers %d with a line of %d bytes, which is over 64 KiB", w.id, names[at], resp.StatusCode, longest)
				resp.StatusCode = 0
				w.mu.Lock()
				w.longest = max(w.longest, longest)
				w.mu.Unlock()
			}
			var answer struct {
				Baton    uint64  `json:"baton"`
				Orders   []order `json:"orders"`
				AnswerTo string  `json:"answer_to"`
			}
			json.Unmarshal(raw, &answer)
			target := -1
			for i, name := range names {
				if name == answer.AnswerTo && i != at {
					target = i
				}
			}
			switch {
			case resp.StatusCode == 200:
				w.mu.Lock()
				if answer.Baton > 0 && answer.Baton >= w.baton {
					if answer.Baton > w.baton {
						w.wake()
					}
					w.baton, w.lastSent = answer.Baton, sent
					w.execute(answer.Orders, "answer")
				}
				w.mu.Unlock()
			case resp.StatusCode == 421 && target >= 0:
				at, pause = target, 100*time.Millisecond
			default:
				at, pause = next, time.Second
			}
		}
		select {
		case <-time.After(pause):
		case <-w.wakeup:
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// report returns the worker's report. The caller holds mu.
func (w *worker) report() []byte {
	w.tally++
	parts := []map[string]any{}
	for name, t := range w.parts {
		entry := map[string]any{"part": name, "try": t.try, "status": t.status}
		if t.cause != "" {
			entry["cause"] = t.cause
		}
		parts = append(parts, entry)
	}
	raw, _ := json.Marshal(map[string]any{"reed": w.id, "address": w.addr, "breed": w.kind.name, "yard": w.offer.yard, "loaners": w.offer.spot,
		"stint": w.stint, "tally": w.tally, "baton": w.baton, "warning_s": nil, "parts": parts})
	return raw
}

// serve handles direct commands.
func (w *worker) serve(rw http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(req.Body, 1<<20))
	w.mu.Lock()
	defer w.mu.Unlock()
	status := 200
	if req.URL.Path == "/do" {
		var d struct {
			Baton  *uint64 `json:"baton"`
			Stint  *uint64 `json:"stint"`
			Orders []order `json:"orders"`
		}
		switch {
		case len(body) > maxBytes:
			if w.refused++; w.refused <= 3 {
				w.p.r.logf("%s: a direct command of %d bytes, which is over 64 KiB: 400", w.id, len(body))
			}
			status = 400
		case json.Unmarshal(body, &d) != nil || d.Baton == nil || d.Stint == nil:
			status = 400
		case *d.Baton < w.baton || *d.Stint != w.stint:
			status = 409
		default:
			w.baton = *d.Baton
			w.execute(d.Orders, "direct command")
			w.wake()
		}
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(w.report())
}

// execute executes commands in order. The caller holds mu.
func (w *worker) execute(orders []order, way string) {
	for _, o := range orders {
		t := w.parts[o.Part]
		switch o.Verb {
		case "start":
			if t != nil && t.try == o.Try {
				continue
			}
			w.p.r.logf("%s: start %s try %d (%s)", w.id, o.Part, o.Try, way)
			w.startPart(o, t)
		case "halt":
			if t != nil && t.try == o.Try && t.status != "ended" {
				w.end(o.Part, t, "halted")
			}
		case "clear":
			if t != nil && t.try == o.Try && t.status == "ended" {
				delete(w.parts, o.Part)
			}
		}
	}
}

// startPart starts a task, or refuses it.
func (w *worker) startPart(o order, present *part) {
	id, number, _ := strings.Cut(o.Part, "/")
	index, err := strconv.Atoi(number)
	job, known := w.p.jobs[id]
	t := &part{try: o.Try, status: "fetching", left: job.runS}
	if present != nil && present.status != "ended" {
		w.p.r.logf("%s: %s refused: in_use", w.id, o.Part)
		return // one entry a task: the refusal of the new attempt is not kept
	}
	w.parts[o.Part] = t
	switch {
	case !known || err != nil || index >= job.parts:
		w.end(o.Part, t, "no_such")
	case w.busyCores() > w.kind.cores+1e-9: // this task included
		w.end(o.Part, t, "full")
	default:
		if w.bundleAt.IsZero() {
			w.bundleAt = time.Now().Add(time.Duration(0.2 / w.kind.fetchRate * float64(time.Second)))
		}
	}
}

// end ends a task. The caller holds mu.
func (w *worker) end(name string, t *part, cause string) {
	t.status, t.cause = "ended", cause
	w.p.r.logf("%s: %s try %d ended: %s", w.id, name, t.try, cause)
	w.wake()
}

// work moves the tasks on.
func (w *worker) work() {
	const step = 50 * time.Millisecond
	for last := time.Now(); ; {
		time.Sleep(step)
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		passed := time.Since(last).Seconds()
		last = time.Now()
		for name, t := range w.parts {
			switch {
			case t.status == "fetching" && time.Now().After(w.bundleAt):
				w.starts = append(w.starts, startEvent{task: name, at: time.Now()})
				t.status = "running"
				w.wake()
			case t.status == "running":
				if t.left -= passed; t.left <= 0 {
					w.end(name, t, "done")
				}
			}
		}
		w.mu.Unlock()
	}
}

// longestLine returns the length of the longest line.
func longestLine(raw []byte) int {
	longest := 0
	for line := range bytes.Lines(raw) {
		longest = max(longest, len(bytes.TrimRight(line, "\r\n")))
	}
	return longest
}
