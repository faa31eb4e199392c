package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"reedtrack/internal/protocol"
)

const (
	userRequestTimeout   = 5 * time.Second
	userRetryFor         = time.Minute
	userMinRetryDelay    = time.Second
	userMaxRetryAfter    = 30 * time.Second // upper limit on the Retry-After of a response
	maxUserResponseBytes = 1 << 20
)

// UserClient sends a user's requests to controllers. A request without a final response
// is retried at the next controller after one second, or after the Retry-After time if
// that is longer, until RetryFor has passed.
type UserClient struct {
	Servers    []string // addresses (host:port) of controllers
	HTTPClient *http.Client
	RetryFor   time.Duration
}

// NewUserClient returns a client for the controllers at the given addresses (host:port)
// with the default limits.
func NewUserClient(servers []string) *UserClient {
	return &UserClient{
		Servers:    servers,
		HTTPClient: &http.Client{Timeout: userRequestTimeout},
		RetryFor:   userRetryFor,
	}
}

// ErrRetriesExhausted is returned if no controller gave a final response in time.
var ErrRetriesExhausted = errors.New("no controller answered for good")

// RefusedError is a final response that rejects the request.
type RefusedError struct {
	StatusCode int
	Body       []byte
}

// Error returns the reason given by the controller, or else the status and the body.
func (e *RefusedError) Error() string {
	var response protocol.ErrorResponse
	if json.Unmarshal(e.Body, &response) == nil && response.Error != "" {
		return "refused: " + response.Error
	}
	return fmt.Sprintf("refused with status %d: %s", e.StatusCode, strings.TrimSpace(string(e.Body)))
}

// Send sends a request, with retries, and returns the body of a successful response. The
// error is a *RefusedError, wraps ErrRetriesExhausted, or is the error of ctx.
func (u *UserClient) Send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	deadline := time.Now().Add(u.RetryFor)
	for i := 0; ; i++ {
		delay := userMinRetryDelay
		server := u.Servers[i%len(u.Servers)]
		response, lastErr := u.attempt(ctx, method, server, path, body)
		if lastErr == nil {
			switch {
			case response.isSuccess():
				return response.body, nil
			case response.isRefusal():
				return nil, &RefusedError{StatusCode: response.statusCode, Body: response.body}
			}
			lastErr = fmt.Errorf("status %d: %.200s", response.statusCode, response.body)
			delay = max(delay, min(response.retryAfter, userMaxRetryAfter))
		}
		if time.Now().Add(delay).After(deadline) {
			return nil, fmt.Errorf("%w: %v", ErrRetriesExhausted, lastErr)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(delay):
		}
	}
}

// userResponse is a controller's response to one attempt.
type userResponse struct {
	statusCode int
	body       []byte
	retryAfter time.Duration // 0: not specified
}

func (r *userResponse) isSuccess() bool {
	return r.statusCode == http.StatusOK || r.statusCode == http.StatusCreated
}

// isRefusal reports whether the response is a final rejection.
func (r *userResponse) isRefusal() bool {
	switch r.statusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
		return true
	default:
		return false
	}
}

func (u *UserClient) attempt(ctx context.Context, method, server, path string, body []byte) (*userResponse, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := u.HTTPClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxUserResponseBytes))
	if err != nil {
		return nil, err
	}
	response := &userResponse{statusCode: resp.StatusCode, body: raw}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		response.retryAfter = time.Duration(seconds) * time.Second
	}
	return response, nil
}
