package serve

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/cluster"
	"reedtrack/internal/outputs/disk"
	"reedtrack/internal/protocol"
)

const (
	// shortRetryDelay is for transient conditions, such as a full queue or an
	// unreachable member.
	shortRetryDelay = time.Second
	// fullDiskRetryDelay gives compaction time to free space.
	fullDiskRetryDelay = 5 * time.Second
)

// connectError converts an error to a Connect error with a code and the reason. If a
// retry can succeed, the error has the header Retry-After.
func connectError(err error) error {
	if err == nil {
		return nil
	}
	var (
		field  *protocol.InvalidFieldError
		limit  *cluster.LimitError
		remote *connect.Error
	)
	switch {
	case errors.As(err, &field), errors.Is(err, outputs.ErrBlock), errors.Is(err, outputs.ErrChunk):
		return newError(connect.CodeInvalidArgument, err, 0)
	case errors.Is(err, disk.ErrSealed):
		return newError(connect.CodeFailedPrecondition, err, 0)
	case errors.As(err, &limit) && limit.RetryAfter == 0:
		return newError(connect.CodeFailedPrecondition, err, 0)
	case errors.As(err, &limit):
		return newError(connect.CodeResourceExhausted, err, limit.RetryAfter)
	case errors.Is(err, disk.ErrFull):
		return newError(connect.CodeResourceExhausted, err, fullDiskRetryDelay)
	case errors.Is(err, disk.ErrBusy), errors.Is(err, disk.ErrClosed), errors.Is(err, cluster.ErrUnavailable), errors.Is(err, disk.ErrDamaged):
		return newError(connect.CodeUnavailable, err, shortRetryDelay)
	case errors.Is(err, disk.ErrNotFound):
		return newError(connect.CodeNotFound, err, 0)
	case errors.Is(err, context.DeadlineExceeded):
		return newError(connect.CodeDeadlineExceeded, err, shortRetryDelay)
	case errors.Is(err, context.Canceled):
		return newError(connect.CodeCanceled, err, 0)
	case errors.As(err, &remote):
		return forwardedError(remote)
	}
	return newError(connect.CodeInternal, err, 0)
}

// forwardedError returns a peer's error for the caller.
func forwardedError(remote *connect.Error) error {
	code, retryAfter := remote.Code(), time.Duration(0)
	if code == connect.CodeUnavailable || code == connect.CodeResourceExhausted {
		retryAfter = shortRetryDelay
	}
	return newError(code, errors.New(remote.Message()), retryAfter)
}

// newError returns an error with a code. If retryAfter is positive, the error has the
// header Retry-After in whole seconds, rounded up.
func newError(code connect.Code, err error, retryAfter time.Duration) error {
	e := connect.NewError(code, err)
	if retryAfter > 0 {
		e.Meta().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	return e
}

// invalidField returns the error for a request with an invalid field.
func invalidField(field, reason string) error {
	return connectError(&protocol.InvalidFieldError{Field: field, Reason: reason})
}

func permissionDenied(err error) error { return connect.NewError(connect.CodePermissionDenied, err) }

// overloaded returns the error for a request that exceeds the concurrency limit of its
// kind.
func overloaded(kind string) error {
	return newError(connect.CodeUnavailable, errors.New("too many "+kind+" at once"), shortRetryDelay)
}

// httpStatus returns the HTTP status of an error for plain requests.
func httpStatus(err error) int {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return http.StatusBadRequest
	case connect.CodeUnauthenticated:
		return http.StatusUnauthorized
	case connect.CodePermissionDenied:
		return http.StatusForbidden
	case connect.CodeNotFound:
		return http.StatusNotFound
	case connect.CodeFailedPrecondition:
		return http.StatusConflict
	case connect.CodeResourceExhausted:
		return http.StatusTooManyRequests
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
