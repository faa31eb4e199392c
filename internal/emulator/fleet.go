package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// defaultMaxMachines is the default of Fleet.MaxMachines.
	defaultMaxMachines = 20
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
)

// Fleet emulates the cloud and the workers on its machines, in real time and over
// HTTP. A machine boots in the boot time of its type. A task sleeps for the estimated run
// time of its job, or runs the job's command if the fleet has a Runner. The exported
// fields must be set before the fleet is used.
type Fleet struct {
	MachineTypes []protocol.MachineType
	Controllers  map[string]string // controller name to its address for workers
	HeartbeatS   float64           // seconds between heartbeats
	LeaseS       float64           // seconds without a response after which a worker drops its tasks
	MaxMachines  int               // maximum number of machines that the cloud provides
	Runner       *Runner           // runs the commands of jobs; nil: all tasks sleep

	client http.Client // for heartbeats

	mu          sync.Mutex
	lastMachine int // number of the machine created last
	workers     map[string]*worker
	allocations map[string][]string // request ID to the machines granted
	starts      map[string]int      // task name to number of starts
	jobs        map[string]*protocol.Job
	commands    map[string]Command // job ID to the command of its tasks
	oversized   []string           // messages over a size limit; see TakeOversized
}

// NewFleet returns a fleet without machines.
func NewFleet(types []protocol.MachineType, controllers map[string]string, heartbeatS, leaseS float64) *Fleet {
	return &Fleet{
		MachineTypes: types,
		Controllers:  controllers,
		HeartbeatS:   heartbeatS,
		LeaseS:       leaseS,
		MaxMachines:  defaultMaxMachines,
		client:       http.Client{Timeout: heartbeatTimeout},
		workers:      map[string]*worker{},
		allocations:  map[string][]string{},
		starts:       map[string]int{},
		jobs:         map[string]*protocol.Job{},
		commands:     map[string]Command{},
	}
}

// StartCounts returns the number of starts of each task by task name.
func (f *Fleet) StartCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.starts)
}

// TakeOversized returns and clears descriptions of messages over a size limit of the
// protocol: those that workers or cloud rejected, and heartbeats that a worker could not send.
func (f *Fleet) TakeOversized() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	oversized := f.oversized
	f.oversized = nil
	return oversized
}

// recordOversized records a message over a size limit. The caller holds f.mu.
func (f *Fleet) recordOversized(what string, size int) {
	f.oversized = append(f.oversized, fmt.Sprintf("%s: %d", what, size))
}

// Stop stops the workers and tasks of all machines.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.release()
	}
}

// ServeHTTP implements the cloud API. It also accepts job descriptions at /describe, which
// tell workers which commands the tasks of a job run.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok {
		f.recordOversized("body of "+r.URL.Path, len(body))
		writeError(w, http.StatusBadRequest, "body over 64 KiB")
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		writeJSON(w, http.StatusOK, protocol.Catalog{MachineTypes: f.MachineTypes})
	case r.URL.Path == "/describe":
		f.serveDescribe(w, body)
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		f.serveAllocate(w, body)
	case r.URL.Path == "/machines/release":
		f.serveRelease(w, body)
	case r.URL.Path == "/machines":
		f.serveList(w, r.URL.Query())
	default:
		writeError(w, http.StatusNotFound, "no such path")
	}
}

func (f *Fleet) serveDescribe(w http.ResponseWriter, body []byte) {
	job, err := protocol.ParseJob(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	var command Command
	if err := json.Unmarshal(body, &command); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	f.jobs[job.ID], f.commands[job.ID] = job, command
	writeJSON(w, http.StatusOK, struct{}{})
}

func (f *Fleet) serveAllocate(w http.ResponseWriter, body []byte) {
	var request protocol.MachineRequest
	if json.Unmarshal(body, &request) != nil || request.RequestID == "" || request.Count < 1 || request.Count > protocol.MaxMachinesPerRequest {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	names := f.allocate(request)
	if len(names) == 0 {
		writeError(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	writeJSON(w, http.StatusOK, protocol.MachineNames{Machines: names})
}

func (f *Fleet) serveRelease(w http.ResponseWriter, body []byte) {
	var request protocol.MachineNames
	if json.Unmarshal(body, &request) != nil || len(request.Machines) > protocol.MaxMachinesPerRelease {
		f.recordOversized("machines to release", len(request.Machines))
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	for _, id := range request.Machines {
		if worker := f.workers[id]; worker != nil {
			worker.release()
			delete(f.workers, id)
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// allocate boots machines and returns their names. A repeated request gets the same
// machines as the first time. The caller holds f.mu.
func (f *Fleet) allocate(request protocol.MachineRequest) []string {
	if names, ok := f.allocations[request.RequestID]; ok {
		return names
	}
	k := slices.IndexFunc(f.MachineTypes, func(t protocol.MachineType) bool { return t.Name == request.MachineType })
	if k < 0 {
		return nil
	}
	boot := time.Duration(f.MachineTypes[k].BootSeconds * float64(time.Second))
	var names []string
	for range min(request.Count, f.MaxMachines-len(f.workers)) {
		f.lastMachine++
		w := newWorker(f, fmt.Sprintf("host-%06d", f.lastMachine), request)
		f.workers[w.id] = w
		names = append(names, w.id)
		time.AfterFunc(boot, w.run)
	}
	if len(names) > 0 {
		f.allocations[request.RequestID] = names
	}
	return names
}

// serveList serves one page of the machine list.
func (f *Fleet) serveList(w http.ResponseWriter, query url.Values) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > protocol.MaxMachinesPerPage {
		f.recordOversized("limit of a page", limit)
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	page := f.list(query.Get("since"))
	if len(page.Machines) > limit {
		page.Machines, page.HasNext = page.Machines[:limit], true
	}
	writeJSON(w, http.StatusOK, page)
}

// list returns the machines whose names sort after the given one. The caller holds f.mu.
func (f *Fleet) list(after string) protocol.MachineList {
	var l protocol.MachineList
	for id, w := range f.workers {
		if id <= after {
			continue
		}
		status := "starting"
		if w.running {
			status = "running"
		}
		l.Machines = append(l.Machines, protocol.ListedMachine{
			ID:          id,
			Address:     w.address,
			MachineType: w.request.MachineType,
			Zone:        w.request.Zone,
			Spot:        w.request.Spot,
			Status:      status,
			AgeSeconds:  time.Since(w.created).Seconds(),
		})
	}
	slices.SortFunc(l.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
	return l
}
