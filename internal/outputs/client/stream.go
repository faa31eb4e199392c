package client

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

// idleTimeout is how long a reader retries without receiving anything: long enough to
// try all stores several times, short enough that users don't assume a hang.
const idleTimeout = 15 * time.Second

// idleTimer cancels a context when reset has not been called within the timeout.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// withIdleTimeout returns a context that is cancelled when its timer is not reset within
// the timeout.
func withIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, *idleTimer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	idle := &idleTimer{
		timer:   time.AfterFunc(timeout, func() { cancel(ErrUnavailable) }),
		timeout: timeout,
	}
	return ctx, idle, func() { idle.timer.Stop(); cancel(nil) }
}

func (t *idleTimer) reset() { t.timer.Reset(t.timeout) }

// openStream sends the request for a stream to one store. When called again, it resumes
// at the position where the previous stream broke.
type openStream[Message any] func(context.Context, outputsv1connect.ReaderServiceClient) (*connect.ServerStreamForClient[Message], error)

// receiveStream calls handle for each message of a stream until the stream ends. It
// also stops at an error of handle, which is returned separately and not retried,
// because the stores did not cause it.
func receiveStream[Message any](ctx context.Context, c *Client, timeout time.Duration, open openStream[Message], handle func(context.Context, *Message) error) (handleErr, streamErr error) {
	ctx, idle, cancel := withIdleTimeout(ctx, timeout)
	defer cancel()
	streamErr = c.Retry(ctx, func(ctx context.Context, addr string) error {
		stream, err := open(ctx, c.Reader(addr))
		if err != nil {
			return err
		}
		defer stream.Close()
		for stream.Receive() {
			idle.reset()
			if handleErr = handle(ctx, stream.Msg()); handleErr != nil {
				return nil
			}
		}
		return stream.Err()
	})
	return handleErr, streamErr
}
