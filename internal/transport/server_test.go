package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"reedtrack/internal/protocol"
)

// fakeService responds to user requests with status. If entered is set, Submit sends on
// it and blocks until leave is closed.
type fakeService struct {
	status  int
	entered chan struct{}
	leave   chan struct{}
	ready   bool
}

func (s *fakeService) Submit(context.Context, []byte) (int, any) {
	if s.entered != nil {
		s.entered <- struct{}{}
		<-s.leave
	}
	return s.status, protocol.ErrorResponse{Error: "x"}
}

func (s *fakeService) JobStatus(context.Context, string) (int, any) { return s.status, nil }

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
