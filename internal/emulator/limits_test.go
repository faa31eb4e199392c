package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"reedtrack/internal/protocol"
)

// request sends a request to an emulator and returns the response status.
func request(h http.Handler, method, path, body string) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code
}

// encode returns a value as JSON.
func encode(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Guards against emulators that accept what the protocol refuses, so that no test notices a
// request over a limit. Each of these requests is over a limit by one.
func TestEmulatorsRefuseRequestsOverLimits(t *testing.T) {
	tooLong := strings.Repeat(" ", protocol.MaxBodyBytes+1)
	var names protocol.MachineNames
	for i := range protocol.MaxMachinesPerRelease + 1 {
		names.Machines = append(names.Machines, fmt.Sprint(i))
	}
	rental := protocol.MachineRequest{RequestID: "r", MachineType: "small", Zone: "a", Count: protocol.MaxMachinesPerRequest + 1}
	longKey := strings.Repeat("k", maxKeyBytes+1)
	store := NewKVStore()
	fleet := NewFleet(nil, nil, 1, 10)
	for _, c := range []struct {
		name         string
		handler      http.Handler
		method, path string
		body         string
	}{
		{"transaction body", store, "POST", "/multi", tooLong},
		{"written key", store, "POST", "/multi", encode(t, protocol.Txn{Writes: []protocol.Write{{Put: longKey, Value: 1}}})},
		{"compared key", store, "POST", "/multi", encode(t, protocol.Txn{Preconditions: []protocol.Precondition{{Key: longKey}}})},
		{"key with a space", store, "POST", "/multi", encode(t, protocol.Txn{Writes: []protocol.Write{{Delete: "a b"}}})},
		{"short lease", store, "POST", "/grants", `{"life_ms":99}`},
		{"long lease", store, "POST", "/grants", `{"life_ms":600001}`},
		{"long watch", store, "GET", "/follow?wait_ms=60001", ""},
		{"cloud request body", fleet, "POST", "/machines/release", tooLong},
		{"machines to rent", fleet, "POST", "/machines", encode(t, rental)},
		{"machines to release", fleet, "POST", "/machines/release", encode(t, names)},
		{"page of the machine list", fleet, "GET", "/machines?limit=501", ""},
	} {
		if status := request(c.handler, c.method, c.path, c.body); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", c.name, status)
		}
	}
	if len(store.TakeOversized()) != 4 || len(fleet.TakeOversized()) != 3 {
		t.Error("a refused request was not recorded")
	}
}

// A worker refuses a direct request over the limit, sends no heartbeat over it, and discards a
// response with a line over it.
func TestWorkerKeepsToLimits(t *testing.T) {
	var commands []protocol.Command
	for i := range 2000 {
		commands = append(commands, protocol.Command{Verb: protocol.VerbStart, Task: protocol.FormatTaskName("wk-000001", i), Attempt: 1})
	}
	controller := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, protocol.HeartbeatResponse{FencingToken: 1, Commands: commands})
	}))
	defer controller.Close()
	address := strings.TrimPrefix(controller.URL, "http://")
	fleet := NewFleet(nil, map[string]string{"reed-0": address}, 1, 10)
	w := newWorker(fleet, "host-000001", protocol.MachineRequest{})
	if response := fleet.sendHeartbeat(address, w.heartbeat()); response.status != 0 {
		t.Errorf("a response with a long line is accepted with status %d", response.status)
	}
	body := encode(t, protocol.DirectCommands{FencingToken: 1, Session: 1, Commands: commands})
	if status := request(http.HandlerFunc(w.serveDirect), "POST", "/do", body); status != http.StatusBadRequest || len(w.tasks) != 0 {
		t.Errorf("a long direct request gets status %d and starts %d tasks", status, len(w.tasks))
	}
	for _, command := range commands {
		w.execute(command)
	}
	if response := fleet.sendHeartbeat(address, w.heartbeat()); response.status != 0 {
		t.Errorf("a long heartbeat gets status %d", response.status)
	}
	if oversized := fleet.TakeOversized(); len(oversized) != 3 {
		t.Errorf("recorded %v", oversized)
	}
}
