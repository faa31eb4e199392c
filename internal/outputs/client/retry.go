package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
)

const (
	// minBackoff is the initial backoff, which doubles with each retry.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the maximum backoff, so that a recovered store is soon found.
	maxBackoff = 10 * time.Second
	// maxRetryAfter is the maximum delay that a Retry-After header can request.
	maxRetryAfter = 30 * time.Second
	// unavailableNotice is how long a request fails before OnUnavailable is called. It
	// is longer than it takes to fail over from a store that restarts.
	unavailableNotice = time.Second
)

// ErrUnavailable reports that no store gave a final answer before the context ended.
var ErrUnavailable = errors.New("no store answered for good")

// IsPermanent reports whether a retry, at any store, would fail with the same error.
func IsPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument,
		connect.CodePermissionDenied,
		connect.CodeUnauthenticated,
		connect.CodeFailedPrecondition,
		connect.CodeNotFound,
		connect.CodeUnimplemented,
		connect.CodeOutOfRange,
		connect.CodeAlreadyExists:
		return true
	}
	return false
}

// Retry runs call with the addresses of the stores in turn until it succeeds or fails
// with a permanent error (see [IsPermanent]), which Retry returns unchanged. If the
// context ends first, the error wraps [ErrUnavailable].
func (c *Client) Retry(ctx context.Context, call func(ctx context.Context, addr string) error) error {
	var backoff time.Duration
	start := time.Now()
	for attempt := 0; ; attempt++ {
		addr := c.currentAddress()
		err := explainPlainHTTP(addr, call(ctx, addr))
		if err == nil || IsPermanent(err) {
			return err
		}
		unavailable := fmt.Errorf("%w: %v", ErrUnavailable, err)
		if ctx.Err() != nil {
			return unavailable
		}
		if c.OnUnavailable != nil && time.Since(start) > unavailableNotice {
			c.notifyOnce.Do(func() { c.OnUnavailable(err) })
		}
		// A rate limit applies at every store; after other errors, try the next one.
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			c.useNextAddress()
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		pause := max(retryAfter(err), backoff/2+rand.N(backoff))
		hasUntried := attempt < len(c.addrs)-1
		if hasUntried && retryAfter(err) == 0 {
			pause = rand.N(minBackoff)
		}
		if !sleep(ctx, pause) || c.retryBudget.Wait(ctx) != nil {
			return unavailable
		}
	}
}

// explainPlainHTTP replaces the error that a TLS server returns for a plain HTTP
// request, because its text mentions neither TLS nor plain HTTP.
func explainPlainHTTP(addr string, err error) error {
	if connect.CodeOf(err) == connect.CodeInternal && strings.HasPrefix(addr, "http://") && strings.Contains(err.Error(), "400 Bad Request") {
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("%s does not speak plain HTTP; use https://, with a CA file if need be", addr))
	}
	return err
}

// retryAfter returns the delay in the Retry-After header of an error response, up to
// maxRetryAfter, or 0.
func retryAfter(err error) time.Duration {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return 0
	}
	seconds, err := strconv.Atoi(connectErr.Meta().Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// sleep waits for d, or returns false if the context ends earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
