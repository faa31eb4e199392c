package storage

import (
	"context"
	"time"
)

// sleep waits for d and returns nil, or the context's error if the context ends earlier.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err() // a timer with zero duration crashes the race detector in simulated time
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
