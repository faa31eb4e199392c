package coordination

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/latency"
	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// Service handles a controller's HTTP requests: it decodes them, calls the
// node and chooses the status code.
type Service struct{ Node *Node }

var _ transport.Service = Service{}

// refusalLog limits how much of the log users can fill with rejected requests.
var refusalLog = rate.Sometimes{First: 20, Interval: time.Second}

// errorResponse returns the status code and body for a request's error. 400,
// 404 and 422 are final: the request can't succeed as it is. Users retry after
// 503, so it is returned for every error that may not be final.
func errorResponse(err error) (int, any) {
	var invalidField *protocol.InvalidFieldError
	var invalid *InvalidJobError
	switch {
	case errors.As(err, &invalidField):
		return http.StatusBadRequest, protocol.ErrorResponse{Error: invalidField.Error(), Field: invalidField.Field}
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity, protocol.ErrorResponse{Error: invalid.Error(), Field: invalid.Field}
	case errors.Is(err, ErrJobNotFound):
		return http.StatusNotFound, protocol.ErrorResponse{Error: ErrJobNotFound.Error()}
	}
	return http.StatusServiceUnavailable, protocol.ErrorResponse{Error: err.Error()}
}

// Submit handles POST /v1/jobs: 201 if this request had the job accepted, 200
// if it had been accepted before.
func (s Service) Submit(ctx context.Context, body []byte) (int, any) {
	j, err := protocol.ParseJob(body)
	if err != nil {
		return s.handleMalformed(ctx, body, err)
	}
	receivedAt := s.Node.latency.StartTimer()
	submission, err := s.Node.Submit(ctx, j)
	s.Node.latency.RecordSince(j.Class, latency.Accept, receivedAt)
	if err != nil {
		refusalLog.Do(func() { slog.Info("submission refused", "job", j.ID, "err", err) })
		return errorResponse(err)
	}
	if submission.Duplicate {
		return http.StatusOK, submission.Status
	}
	return http.StatusCreated, submission.Status
}

// handleMalformed handles a submission that can't be decoded. If it repeats an
// accepted job's ID, the answer is the job's status, whatever else is wrong
// with it: a 400 would mean that the job does not exist. Whether a job was
// accepted can only be read from the store, so nothing is rejected while the store
// is unavailable.
func (s Service) handleMalformed(ctx context.Context, body []byte, parseError error) (int, any) {
	id, ok := protocol.ExtractJobID(body)
	if ok {
		status, err := s.Node.JobStatus(ctx, id)
		if err == nil {
			return http.StatusOK, status
		}
		if !errors.Is(err, ErrJobNotFound) {
			return errorResponse(err)
		}
	}
	refusalLog.Do(func() { slog.Info("submission refused", "job", id, "err", parseError) })
	return errorResponse(parseError)
}

// JobStatus handles GET /v1/jobs/{id}.
func (s Service) JobStatus(ctx context.Context, id string) (int, any) {
	return handleJobRequest(ctx, id, s.Node.JobStatus)
}

// Cancel handles POST /v1/jobs/{id}/withdraw.
func (s Service) Cancel(ctx context.Context, id string) (int, any) {
	return handleJobRequest(ctx, id, s.Node.Cancel)
}

// Dependencies handles GET /v1/jobs/{id}/waits: the job's dependencies.
func (s Service) Dependencies(ctx context.Context, id string) (int, any) {
	return handleJobRequest(ctx, id, s.Node.Dependencies)
}

// handleJobRequest handles a request about one job by calling a method of the
// node. A job whose ID is malformed was never accepted, so the store is not
// queried.
func handleJobRequest[T any](ctx context.Context, id string, query func(context.Context, string) (T, error)) (int, any) {
	if !protocol.ValidJobID(id) {
		return errorResponse(ErrJobNotFound)
	}
	answer, err := query(ctx, id)
	if err != nil {
		return errorResponse(err)
	}
	return http.StatusOK, answer
}

// Heartbeat handles POST /checkin: a worker's heartbeat.
func (s Service) Heartbeat(body []byte) (int, any) {
	report, err := protocol.ParseHeartbeat(body)
	if err != nil {
		return errorResponse(err)
	}
	answer := s.Node.Heartbeat(report)
	switch answer.Status {
	case http.StatusOK:
		return answer.Status, answer.Response
	case http.StatusMisdirectedRequest:
		return answer.Status, protocol.Redirect{Controller: answer.RedirectTo}
	}
	return answer.Status, protocol.ErrorResponse{Error: "not in charge"}
}

// IsReady handles GET /up.
func (s Service) IsReady() bool { return s.Node.IsReady() }
