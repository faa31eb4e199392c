package emulator

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// wakeDelay lets several changes of tasks go into one heartbeat.
	wakeDelay = 200 * time.Millisecond
	// retryDelay is how long a worker that got no answer waits before it tries the
	// next controller.
	retryDelay = time.Second
	// directHeaderTimeout bounds the time that the header of a direct command takes.
	directHeaderTimeout = 5 * time.Second
)

// worker is a machine and the worker on it. Its fields are guarded by fleet.mu,
// those apart that do not change.
type worker struct {
	fleet   *Fleet
	id      string
	request protocol.MachineRequest // that it was allocated for
	created time.Time
	wakeups chan struct{} // a heartbeat is due at once

	running  bool // it has booted
	released bool
	address  string // where it takes direct commands; empty: nowhere

	session, sequence uint64    // of its heartbeats; a new epoch begins without tasks
	fencingToken    uint64    // highest that was accepted
	lastSent        time.Time // when the last heartbeat that was answered left
	tasks           map[string]*task
}

func newWorker(f *Fleet, id string, request protocol.MachineRequest) *worker {
	return &worker{
		fleet:   f,
		id:      id,
		request: request,
		created: time.Now(),
		wakeups: make(chan struct{}, 1),
		session:   1,
		tasks:   map[string]*task{},
	}
}

// run sends heartbeats until the machine is released.
func (w *worker) run() {
	names := slices.Sorted(maps.Keys(w.fleet.Controllers))
	controller := names[0]
	closeDirect := w.listenDirect()
	defer closeDirect()
	w.fleet.mu.Lock()
	w.running, w.lastSent = true, time.Now()
	w.fleet.mu.Unlock()
	for {
		heartbeat, ok := w.prepareHeartbeat()
		if !ok {
			return
		}
		sent := time.Now()
		response := w.fleet.sendHeartbeat(w.fleet.Controllers[controller], heartbeat)
		controller = w.handleResponse(response, sent, controller, names)
		select {
		case <-w.wakeups:
			time.Sleep(wakeDelay)
		case <-time.After(time.Duration(w.fleet.HeartbeatS * float64(time.Second))):
		}
	}
}

// prepareHeartbeat returns the next heartbeat, or false if the machine is released.
// If the worker's lease has expired, its tasks are killed first.
func (w *worker) prepareHeartbeat() (heartbeat protocol.Heartbeat, ok bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.released {
		return heartbeat, false
	}
	if time.Since(w.lastSent).Seconds() > w.fleet.LeaseS {
		w.killTasks()
		w.session++
		w.lastSent = time.Now()
	}
	return w.heartbeat(), true
}

// handleResponse carries out what a controller answered to a heartbeat, and returns
// the controller that gets the next one.
func (w *worker) handleResponse(r heartbeatResponse, sent time.Time, controller string, names []string) string {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch {
	case r.status == http.StatusOK && r.body.FencingToken >= w.fencingToken:
		w.fencingToken, w.lastSent = r.body.FencingToken, sent
		for _, o := range r.body.Commands {
			w.execute(o)
		}
		return controller
	case r.status == http.StatusMisdirectedRequest && w.fleet.Controllers[r.redirect] != "" && r.redirect != controller:
		w.wake()
		return r.redirect
	default:
		time.AfterFunc(retryDelay, w.wake)
		return names[(slices.Index(names, controller)+1)%len(names)]
	}
}

// heartbeat returns a heartbeat with the status of all tasks. Callers hold fleet.mu.
func (w *worker) heartbeat() protocol.Heartbeat {
	w.sequence++
	h := protocol.Heartbeat{
		Machine:      w.id,
		Address:      w.address,
		MachineType:  w.request.MachineType,
		Zone:         w.request.Zone,
		Spot:         w.request.Spot,
		Session:      w.session,
		Sequence:     w.sequence,
		FencingToken: w.fencingToken,
	}
	for _, t := range w.tasks {
		h.Tasks = append(h.Tasks, t.report)
	}
	return h
}

// release ends the worker with its tasks. Callers hold fleet.mu.
func (w *worker) release() {
	w.released = true
	w.killTasks()
}

// wake makes run send a heartbeat soon.
func (w *worker) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// heartbeatResponse is what came back for a heartbeat.
type heartbeatResponse struct {
	status   int // of HTTP; 0: no answer
	body   protocol.HeartbeatResponse
	redirect string // controller that holds the machine, for http.StatusMisdirectedRequest
}

// sendHeartbeat sends a heartbeat to the controller at address.
func (f *Fleet) sendHeartbeat(address string, heartbeat protocol.Heartbeat) heartbeatResponse {
	raw, _ := json.Marshal(heartbeat)
	resp, err := f.client.Post("http://"+address+"/checkin", "application/json", bytes.NewReader(raw))
	if err != nil {
		return heartbeatResponse{}
	}
	defer resp.Body.Close()
	var answer struct {
		protocol.HeartbeatResponse
		protocol.Redirect
	}
	json.NewDecoder(resp.Body).Decode(&answer)
	return heartbeatResponse{status: resp.StatusCode, body: answer.HeartbeatResponse, redirect: answer.Controller}
}

// listenDirect serves direct commands until the returned function is called. A
// worker that can't listen gets its commands by heartbeats alone.
func (w *worker) listenDirect() (closeDirect func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return func() {}
	}
	w.fleet.mu.Lock()
	w.address = listener.Addr().String()
	w.fleet.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(w.serveDirect), ReadHeaderTimeout: directHeaderTimeout}
	go server.Serve(listener)
	return func() { server.Close() }
}

// serveDirect carries out direct commands at /do, and answers with a heartbeat.
// Commands with an old fencing token or for another epoch are refused.
func (w *worker) serveDirect(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if r.URL.Path != "/do" {
		writeJSON(rw, http.StatusOK, w.heartbeat())
		return
	}
	var d protocol.DirectCommands
	if json.Unmarshal(body, &d) != nil || d.FencingToken == 0 || d.Session == 0 {
		writeError(rw, http.StatusBadRequest, "baton or stint is missing")
		return
	}
	if d.FencingToken < w.fencingToken || d.Session != w.session {
		writeJSON(rw, http.StatusConflict, w.heartbeat())
		return
	}
	w.fencingToken = d.FencingToken
	for _, o := range d.Commands {
		w.execute(o)
	}
	w.wake()
	writeJSON(rw, http.StatusOK, w.heartbeat())
}
