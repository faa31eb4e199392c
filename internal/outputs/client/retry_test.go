package client

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
)

var errUnreachable = connect.NewError(connect.CodeUnavailable, errors.New("unreachable"))

func TestRetryTriesNextStoreAfterFailure(t *testing.T) {
	c := newTestClient(t, "", "a:1", "b:1", "c:1")
	var asked []string
	err := c.Retry(t.Context(), func(_ context.Context, addr string) error {
		asked = append(asked, addr)
		if len(asked) < 3 {
			return errUnreachable
		}
		return nil
	})
	if want := []string{"http://a:1", "http://b:1", "http://c:1"}; err != nil || !slices.Equal(asked, want) {
		t.Errorf("asked %v, want %v; error %v", asked, want, err)
	}
	if got := c.currentAddress(); got != "http://c:1" {
		t.Errorf("next address is %s, want the one that answered", got)
	}
}

func TestRetryStaysAtRateLimitedStore(t *testing.T) {
	c := newTestClient(t, "", "a:1", "b:1")
	var asked []string
	err := c.Retry(t.Context(), func(_ context.Context, addr string) error {
		asked = append(asked, addr)
		if len(asked) < 2 {
			return connect.NewError(connect.CodeResourceExhausted, errors.New("too much"))
		}
		return nil
	})
	if want := []string{"http://a:1", "http://a:1"}; err != nil || !slices.Equal(asked, want) {
		t.Errorf("asked %v, want %v; error %v", asked, want, err)
	}
}

func TestRetryReturnsPermanentError(t *testing.T) {
	codes := []connect.Code{
		connect.CodeInvalidArgument,
		connect.CodePermissionDenied,
		connect.CodeUnauthenticated,
		connect.CodeFailedPrecondition,
		connect.CodeNotFound,
		connect.CodeUnimplemented,
		connect.CodeOutOfRange,
		connect.CodeAlreadyExists,
	}
	for _, code := range codes {
		t.Run(code.String(), func(t *testing.T) {
			c, calls := newTestClient(t, "", "a:1", "b:1"), 0
			permanent := connect.NewError(code, errors.New("refused"))
			err := c.Retry(t.Context(), func(context.Context, string) error { calls++; return permanent })
			if err != error(permanent) || calls != 1 {
				t.Errorf("%d calls, want 1; error %v", calls, err)
			}
		})
	}
}

func TestRetryEndsWithContext(t *testing.T) {
	c := newTestClient(t, "", "a:1")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := c.Retry(ctx, func(context.Context, string) error { return errUnreachable })
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
}

func TestRetryAfterIsBounded(t *testing.T) {
	tests := map[string]time.Duration{
		"":     0,
		"x":    0,
		"-1":   0,
		"2":    2 * time.Second,
		"3600": maxRetryAfter,
	}
	for header, want := range tests {
		err := connect.NewError(connect.CodeResourceExhausted, errors.New("too much"))
		err.Meta().Set("Retry-After", header)
		if got := retryAfter(err); got != want {
			t.Errorf("Retry-After %q: wait %v, want %v", header, got, want)
		}
	}
	if got := retryAfter(errors.New("no answer")); got != 0 {
		t.Errorf("without an answer: wait %v, want 0", got)
	}
}
