package storage

import (
	"errors"
	"net/http"
	"testing"

	"reedtrack/internal/transport"
)

// Each answer of the store maps to the error that determines whether the request may be
// retried.
func TestClassify(t *testing.T) {
	status := func(code int, body string) error { return &transport.StatusError{StatusCode: code, Body: []byte(body)} }
	var rejected *transport.StatusError
	for name, c := range map[string]struct {
		err  error
		want error
	}{
		"no answer":     {errors.New("connection reset"), ErrUnknown},
		"not found":     {status(http.StatusNotFound, ""), ErrNotFound},
		"conflict":      {status(http.StatusConflict, ""), ErrConflict},
		"compacted":     {status(http.StatusGone, ""), ErrCompacted},
		"rate":          {status(http.StatusTooManyRequests, ""), ErrRateLimited},
		"unavailable":   {status(http.StatusServiceUnavailable, ""), ErrRefused},
		"unknown lease": {status(http.StatusBadRequest, `{"error":"no such lease"}`), ErrLeaseNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			if got := classify(c.err); !errors.Is(got, c.want) || errors.As(got, &rejected) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	t.Run("rejected", func(t *testing.T) {
		err := classify(status(http.StatusBadRequest, `{"error":"too large"}`))
		if !errors.As(err, &rejected) || errors.Is(err, ErrLeaseNotFound) || errors.Is(err, ErrUnknown) {
			t.Errorf("got %v, want a StatusError", err)
		}
	})
	t.Run("success", func(t *testing.T) {
		if err := classify(nil); err != nil {
			t.Errorf("got %v, want nil", err)
		}
	})
}
