package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"
)

const (
	minListenBackoff  = 20 * time.Millisecond
	maxListenBackoff  = 500 * time.Millisecond
	listenLogInterval = 10 * time.Second
)

// Listen listens on a TCP address (host:port). If the address is in use, it retries
// until ctx ends, since the previous process may still hold the port after a restart,
// and exiting would only cause another restart. Any other error is returned
// immediately.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var lastLogged time.Time
	for backoff := minListenBackoff; ; backoff = min(2*backoff, maxListenBackoff) {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		if time.Since(lastLogged) > listenLogInterval {
			lastLogged = time.Now()
			slog.Warn("address in use, retrying", "address", addr)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(backoff):
		}
	}
}
