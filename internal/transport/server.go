package transport

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"reedtrack/internal/protocol"
)

// Timeouts for receiving a request. They match the client timeouts, 4 s for workers and
// 5 s for users, after which no client waits for a response.
const (
	readHeaderTimeout = 4 * time.Second
	readTimeout       = 5 * time.Second
)

const (
	serverIdleTimeout = 3 * time.Minute
	maxHeaderBytes    = 16 << 10
	// retryAfterSeconds is the Retry-After value of responses with status 429 or 503.
	retryAfterSeconds = "1"
)

// Service handles the requests of users and workers. Each method returns the HTTP
// status and the value that is sent as JSON.
type Service interface {
	// Submit accepts a job; body is the raw submission.
	Submit(ctx context.Context, body []byte) (status int, response any)
	// JobStatus returns the status of a job.
	JobStatus(ctx context.Context, id string) (status int, response any)
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) (status int, response any)
	// Dependencies returns the jobs that a job depends on.
	Dependencies(ctx context.Context, id string) (status int, response any)
	// Heartbeat handles a worker's heartbeat; body is the raw heartbeat.
	Heartbeat(body []byte) (status int, response any)
	// IsReady reports whether the controller can serve requests.
	IsReady() bool
}

// NewServer returns the server for users, workers and health checks. It rejects user
// requests over maxUserRequests in progress, so that heartbeats and health checks are
// always served.
func NewServer(s Service, maxUserRequests int) *http.Server {
	h := &handler{service: s, userSlots: make(chan struct{}, maxUserRequests)}
	e := echo.New()
	e.Use(markBodilessRequests)
	e.GET("/up", h.health)
	e.POST("/checkin", measure("report", h.heartbeat))
	e.POST("/v1/jobs", measure("submit", h.limitUsers(h.submit)))
	e.GET("/v1/jobs/:id", measure("poll", h.limitUsers(h.poll)))
	e.POST("/v1/jobs/:id/withdraw", measure("withdraw", h.limitUsers(h.cancel)))
	// Used by the command line client only; it is not part of the protocol.
	e.GET("/v1/jobs/:id/waits", measure("waits", h.limitUsers(h.dependencies)))
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// handler translates HTTP requests into calls of the service.
type handler struct {
	service   Service
	userSlots chan struct{} // semaphore: one value per user request in progress
}

// userHandler handles a user's request whose body has been read.
type userHandler func(c echo.Context, body []byte) (status int, response any)

// markBodilessRequests marks requests without a body as completely received.
func markBodilessRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Request().ContentLength == 0 {
			markRequestReceived(c.Request().Context())
		}
		return next(c)
	}
}

// limitUsers reads the body of a user's request and calls next if there is a free slot.
// The body is read first, so that a client that stalls does not occupy a slot.
func (h *handler) limitUsers(next userHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := readBody(c, protocol.MaxBodyBytes)
		if err != nil {
			return respondInvalidBody(c, err)
		}
		select {
		case h.userSlots <- struct{}{}:
			defer func() { <-h.userSlots }()
			status, response := next(c, body)
			return respond(c, status, response)
		default:
			return respond(c, http.StatusTooManyRequests, protocol.ErrorResponse{Error: "too many requests"})
		}
	}
}

func (h *handler) health(c echo.Context) error {
	if h.service.IsReady() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

func (h *handler) heartbeat(c echo.Context) error {
	// A heartbeat lists every task of its machine, so it has a larger limit than user requests.
	body, err := readBody(c, maxHeartbeatBytes)
	if err != nil {
		return respondInvalidBody(c, err)
	}
	status, response := h.service.Heartbeat(body)
	return respond(c, status, response)
}

func (h *handler) submit(c echo.Context, body []byte) (int, any) {
	return h.service.Submit(c.Request().Context(), body)
}

func (h *handler) poll(c echo.Context, _ []byte) (int, any) {
	return h.service.JobStatus(c.Request().Context(), c.Param("id"))
}

func (h *handler) cancel(c echo.Context, _ []byte) (int, any) {
	return h.service.Cancel(c.Request().Context(), c.Param("id"))
}

func (h *handler) dependencies(c echo.Context, _ []byte) (int, any) {
	return h.service.Dependencies(c.Request().Context(), c.Param("id"))
}

// respond sends a response, with a Retry-After header if the request can be retried.
func respond(c echo.Context, status int, response any) error {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.Response().Header().Set("Retry-After", retryAfterSeconds)
	}
	return sendJSON(c, status, response)
}

// sendJSON sends a value as JSON on one line, or on several if a line would be over
// protocol.MaxLineBytes.
func sendJSON(c echo.Context, status int, response any) error {
	raw, err := json.Marshal(response)
	if err != nil {
		return err
	}
	if len(raw) > protocol.MaxLineBytes {
		return c.JSONPretty(status, json.RawMessage(raw), " ")
	}
	return c.JSONBlob(status, append(raw, '\n'))
}

func respondInvalidBody(c echo.Context, err error) error {
	return respond(c, http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error(), Field: "body"})
}

var errBodyTooLong = errors.New("body is too long")

func readBody(c echo.Context, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBytes+1))
	if err != nil {
		return body, err
	}
	if int64(len(body)) > maxBytes {
		return body, errBodyTooLong
	}
	markRequestReceived(c.Request().Context())
	return body, nil
}
