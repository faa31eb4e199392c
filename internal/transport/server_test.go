package transport

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"reedtrack/internal/protocol"
)

// fakeService responds to user requests with status. If entered is set, Submit sends on
// it and blocks until leave is closed.
type fakeService struct {
	status   int
	response any // of JobStatus
	entered  chan struct{}
	leave    chan struct{}
	ready    bool
}

func (s *fakeService) Submit(context.Context, []byte) (int, any) {
	if s.entered != nil {
		s.entered <- struct{}{}
		<-s.leave
	}
	return s.status, protocol.ErrorResponse{Error: "x"}
}

func (s *fakeService) JobStatus(context.Context, string) (int, any) { return s.status, s.response }

func (s *fakeService) Dependencies(context.Context, string) (int, any) {
	return http.StatusNotFound, nil
}

func (s *fakeService) Cancel(context.Context, string) (int, any) { return s.status, nil }

func (s *fakeService) Heartbeat([]byte) (int, any) {
	return http.StatusOK, protocol.HeartbeatResponse{FencingToken: 7}
}

func (s *fakeService) IsReady() bool { return s.ready }

// serveRequest sends a request to a handler and returns the response.
func serveRequest(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Responses that ask for a retry set Retry-After, and heartbeats and health checks are
// served while user requests occupy all slots.
func TestServer(t *testing.T) {
	service := &fakeService{status: 503, entered: make(chan struct{}), leave: make(chan struct{})}
	h := NewServer(service, 1).Handler
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- serveRequest(h, "POST", "/v1/jobs", "{}") }()
	<-service.entered
	if w := serveRequest(h, "GET", "/v1/jobs/wk-1", ""); w.Code != 429 || w.Header().Get("Retry-After") == "" {
		t.Errorf("over the limit: %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if w := serveRequest(h, "POST", "/checkin", "{}"); w.Code != 200 || !strings.Contains(w.Body.String(), `"baton":7`) {
		t.Errorf("heartbeat: %d %s", w.Code, w.Body)
	}
	if w := serveRequest(h, "GET", "/up", ""); w.Code != 503 {
		t.Errorf("not ready: status %d", w.Code)
	}
	close(service.leave)
	if w := <-first; w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("refused: %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if w := serveRequest(h, "POST", "/v1/jobs", strings.Repeat("x", protocol.MaxBodyBytes+1)); w.Code != 400 {
		t.Errorf("long body: %d", w.Code)
	}
	if w := serveRequest(h, "GET", "/elsewhere", ""); w.Code != 404 {
		t.Errorf("unknown path: %d", w.Code)
	}
}

// Guards against a line over the protocol's limit: a longer response takes several lines and
// has the same content.
func TestLongResponseIsSplitIntoLines(t *testing.T) {
	for _, count := range []int{1, 100, 1365} { // as many as a job may have dependencies
		dependencies := protocol.JobDependencies{ID: "wk-999999999999999999"}
		for range count {
			status := protocol.JobStatus{ID: "wk-999999999999999999", Status: protocol.Cancelled, Done: 100_000, Running: 100_000}
			dependencies.DependsOn = append(dependencies.DependsOn, status)
		}
		h := NewServer(&fakeService{status: http.StatusOK, response: dependencies}, 1).Handler
		w := serveRequest(h, "GET", "/v1/jobs/wk-1", "")
		var got protocol.JobDependencies
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || !slices.Equal(got.DependsOn, dependencies.DependsOn) {
			t.Errorf("%d dependencies: got %d, %v", count, len(got.DependsOn), err)
		}
		lines := 0
		for line := range strings.Lines(w.Body.String()) {
			lines++
			if len(line) > protocol.MaxLineBytes {
				t.Errorf("%d dependencies: a line of %d bytes", count, len(line))
			}
		}
		if isLong := w.Body.Len() > protocol.MaxLineBytes; isLong != (lines > 1) {
			t.Errorf("%d dependencies: %d bytes in %d lines", count, w.Body.Len(), lines)
		}
	}
}
