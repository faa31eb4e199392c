package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// wakeDelay batches several task changes into one heartbeat.
	wakeDelay = 200 * time.Millisecond
	// retryDelay is how long a worker waits after a failed heartbeat before it tries the
	// next controller.
	retryDelay = time.Second
	// directHeaderTimeout bounds the time for receiving the header of a direct command.
	directHeaderTimeout = 5 * time.Second
)

// worker is a machine and the worker on it. Fields that change are guarded by fleet.mu.
type worker struct {
	fleet   *Fleet
	id      string
	request protocol.MachineRequest // request that the machine was allocated for
	created time.Time
	wakeups chan struct{} // signals that a heartbeat should be sent soon

	running  bool // the machine has booted
	released bool
	address  string // address for direct commands; empty: none

	session, sequence uint64    // of its heartbeats; a new session starts without tasks
	fencingToken      uint64    // highest accepted token
	lastSent          time.Time // when the last accepted heartbeat was sent
	tasks             map[string]*task
}

func newWorker(f *Fleet, id string, request protocol.MachineRequest) *worker {
	return &worker{
		fleet:   f,
		id:      id,
		request: request,
		created: time.Now(),
		wakeups: make(chan struct{}, 1),
		session: 1,
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

// prepareHeartbeat returns the next heartbeat, or false if the machine is released. If the
// worker's lease has expired, it first kills the tasks and starts a new session.
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

// handleResponse handles a controller's response to a heartbeat and returns the controller
// to send the next one to.
func (w *worker) handleResponse(r heartbeatResponse, sent time.Time, controller string, names []string) string {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch {
	case r.status == http.StatusOK && r.body.FencingToken >= w.fencingToken:
		w.fencingToken, w.lastSent = r.body.FencingToken, sent
		for _, command := range r.body.Commands {
			w.execute(command)
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

// heartbeat returns a heartbeat with the status of all tasks. The caller holds fleet.mu.
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

// release stops the worker and its tasks. The caller holds fleet.mu.
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

// heartbeatResponse is the response to a heartbeat.
type heartbeatResponse struct {
	status   int // HTTP status; 0: no response
	body     protocol.HeartbeatResponse
	redirect string // controller to use, with http.StatusMisdirectedRequest
}

// sendHeartbeat sends a heartbeat to the controller at the given address. A response over a
// size limit is discarded, and a heartbeat over it is not sent.
func (f *Fleet) sendHeartbeat(address string, heartbeat protocol.Heartbeat) heartbeatResponse {
	raw, _ := json.Marshal(heartbeat)
	if len(raw) > protocol.MaxBodyBytes {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.recordOversized("heartbeat", len(raw))
		return heartbeatResponse{}
	}
	resp, err := f.client.Post("http://"+address+"/checkin", "application/json", bytes.NewReader(raw))
	if err != nil {
		return heartbeatResponse{}
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	if err != nil {
		return heartbeatResponse{}
	}
	if longest := longestLine(raw); longest > protocol.MaxLineBytes {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.recordOversized("line of a response to a heartbeat", longest)
		return heartbeatResponse{}
	}
	var response struct {
		protocol.HeartbeatResponse
		protocol.Redirect
	}
	json.Unmarshal(raw, &response)
	return heartbeatResponse{status: resp.StatusCode, body: response.HeartbeatResponse, redirect: response.Controller}
}

// listenDirect serves direct commands until the returned function is called. If the worker
// can't listen, it receives commands only in heartbeat responses.
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

// serveDirect executes direct commands at /do and responds with a heartbeat. It rejects
// commands with a stale fencing token or for another session.
func (w *worker) serveDirect(rw http.ResponseWriter, r *http.Request) {
	body, ok := readBody(r)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !ok {
		w.fleet.recordOversized("body of "+r.URL.Path, len(body))
		writeError(rw, http.StatusBadRequest, "body over 64 KiB")
		return
	}
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
	for _, command := range d.Commands {
		w.execute(command)
	}
	w.wake()
	writeJSON(rw, http.StatusOK, w.heartbeat())
}
