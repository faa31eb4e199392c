package coordination

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/protocol"
	"reedtrack/internal/stages"
)

// Service answers HTTP requests for a controller.
type Service struct{ Node *Node }

// refusals bounds how much of the log users can fill with what is refused.
var refusals = rate.Sometimes{First: 20, Interval: time.Second}

func refuse(err error) (int, any) {
	var bad *protocol.BadField
	var never *ErrNever
	switch {
	case errors.As(err, &bad):
		return http.StatusBadRequest, protocol.Failure{Error: bad.Error(), Field: bad.Field}
	case errors.As(err, &never):
		return http.StatusUnprocessableEntity, protocol.Failure{Error: never.Error(), Field: never.Field}
	}
	return http.StatusServiceUnavailable, protocol.Failure{Error: err.Error()}
}

// Submit answers POST /v1/jobs.
func (s Service) Submit(ctx context.Context, body []byte) (int, any) {
	j, err := protocol.ParseJob(body)
	if err != nil {
		return s.malformed(ctx, body, err)
	}
	came := s.Node.stages.Now()
	st, known, err := s.Node.Submit(ctx, j)
	s.Node.stages.Since(j.Class, stages.Accept, came)
	if err != nil {
		refusals.Do(func() { slog.Info("submission refused", "job", j.ID, "err", err) })
		return refuse(err)
	}
	if known {
		return http.StatusOK, st
	}
	return http.StatusCreated, st
}

// malformed answers a submission that can't be read as a job. One that repeats an
// accepted job under its id is answered by how that stands, whatever else is wrong
// with it: a 400 would tell the user that the job does not exist. Whether it was
// accepted is known to the state service alone; without it nothing is refused.
func (s Service) malformed(ctx context.Context, body []byte, why error) (int, any) {
	id, ok := protocol.JobIDOf(body)
	if ok {
		st, found, err := s.Node.Poll(ctx, id)
		switch {
		case err != nil:
			return refuse(err)
		case found:
			return http.StatusOK, st
		}
	}
	refusals.Do(func() { slog.Info("submission refused", "job", id, "err", why) })
	return refuse(why)
}

// Poll answers GET /v1/jobs/{id}.
func (s Service) Poll(ctx context.Context, id string) (int, any) {
	return s.about(ctx, id, s.Node.Poll)
}

// Withdraw answers POST /v1/jobs/{id}/withdraw.
func (s Service) Withdraw(ctx context.Context, id string) (int, any) {
	return s.about(ctx, id, s.Node.Withdraw)
}

// Waits answers GET /v1/jobs/{id}/waits.
func (s Service) Waits(ctx context.Context, id string) (int, any) {
	if !protocol.ValidJobID(id) {
		return http.StatusNotFound, protocol.Failure{Error: "no such job"}
	}
	w, found, err := s.Node.Waits(ctx, id)
	if err != nil {
		return refuse(err)
	}
	if !found {
		return http.StatusNotFound, protocol.Failure{Error: "no such job"}
	}
	return http.StatusOK, w
}

func (s Service) about(ctx context.Context, id string, do func(context.Context, string) (protocol.JobStatus, bool, error)) (int, any) {
	if !protocol.ValidJobID(id) {
		return http.StatusNotFound, protocol.Failure{Error: "no such job"}
	}
	st, found, err := do(ctx, id)
	if err != nil {
		return refuse(err)
	}
	if !found {
		return http.StatusNotFound, protocol.Failure{Error: "no such job"}
	}
	return http.StatusOK, st
}

// Checkin answers POST /checkin.
func (s Service) Checkin(body []byte) (int, any) {
	r, err := protocol.ParseReport(body)
	if err != nil {
		return refuse(err)
	}
	status, orders, to := s.Node.Checkin(r)
	switch status {
	case http.StatusOK:
		return status, orders
	case http.StatusMisdirectedRequest:
		return status, protocol.Redirect{AnswerTo: to}
	}
	return status, protocol.Failure{Error: "not in charge"}
}

// Up answers GET /up.
func (s Service) Up() bool { return s.Node.Up() }
