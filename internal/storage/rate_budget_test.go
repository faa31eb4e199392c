package storage

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
)

// The write budget follows leadership and the store's limits. Setting the same share again
// keeps the accumulated tokens.
func TestWriteBudgetFollowsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClientWithTransport(nil, 1000, 60, 7)
		// One of nine shares of 54 is 6, and a process starts with half of it.
		if got := c.AvailableWrites(); got != 3 {
			t.Errorf("%d writes available initially, want 3", got)
		}
		time.Sleep(time.Second)
		if got := c.AvailableWrites(); got != 6 {
			t.Errorf("%d writes available after a second, want 6", got)
		}

		c.SetLeading(true, 60, 7)
		time.Sleep(700 * time.Millisecond) // at 18 a second
		saved := c.AvailableWrites()
		if saved < 15 {
			t.Errorf("%d writes accumulated as leader, want at least 15", saved)
		}
		for range 3 {
			c.SetLeading(true, 60, 7)
		}
		if got := c.AvailableWrites(); got < saved {
			t.Errorf("%d of %d writes left after setting the same share", got, saved)
		}

		c.SetLeading(false, 40, 7)
		if got := c.AvailableWrites(); got != 4 {
			t.Errorf("%d writes available after the limit fell, want 4", got)
		}
	})
}

// emptyObjectTransport answers every request with an empty object.
type emptyObjectTransport struct{}

func (emptyObjectTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader([]byte("{}")))}, nil
}

// repeatUntil calls do from the given number of goroutines, each with a pause between two
// calls, until the deadline.
func repeatUntil(wg *sync.WaitGroup, deadline time.Time, goroutines int, pause time.Duration, do func()) {
	for range goroutines {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				do()
				time.Sleep(pause)
			}
		})
	}
}

// Guards against refused writes that use up budget: a burst of ended jobs once blocked a
// controller's writes permanently. However many writes are refused, exactly the budget is
// used.
func TestRefusedWritesCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 60
		c := NewClientWithTransport(emptyObjectTransport{}, 1000, 60, 7) // 6 writes a second, 6 at once
		var written, refused atomic.Int64
		var wg sync.WaitGroup
		repeatUntil(&wg, time.Now().Add(seconds*time.Second), 40, 250*time.Millisecond, func() {
			_, err := c.TxnByDeadline(t.Context(), protocol.Txn{Writes: make([]protocol.Write, 2)})
			if err == nil {
				written.Add(2)
			} else if errors.Is(err, ErrBudgetExhausted) {
				refused.Add(1)
			}
		})
		wg.Wait()
		limit := int64(6 * (seconds + 1 + maxOverdraft.Seconds() + interactiveTimeout.Seconds()))
		if n := written.Load(); n < 6*seconds || n > limit {
			t.Errorf("%d writes in %d s, want %d to %d", n, seconds, 6*seconds, limit)
		}
		if n := refused.Load(); n < 1000 {
			t.Errorf("%d transactions refused, want at least 1000", n)
		}
	})
}

// User requests beyond the store's rate limit don't prevent a controller from writing: its
// writes are sent at their own rate, and reads get the rest.
func TestReadsLeaveRoomForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 30
		c := NewClientWithTransport(emptyObjectTransport{}, 100, 60, 7) // 10 requests and 6 writes a second
		var read, refused, written atomic.Int64
		var wg sync.WaitGroup
		deadline := time.Now().Add(seconds * time.Second)
		repeatUntil(&wg, deadline, 100, 500*time.Millisecond, func() {
			if _, err := c.Get(t.Context(), "r/job/wk-1"); err == nil {
				read.Add(1)
			} else {
				refused.Add(1)
			}
		})
		repeatUntil(&wg, deadline, 1, 200*time.Millisecond, func() {
			if _, err := c.Txn(t.Context(), protocol.Txn{Writes: make([]protocol.Write, 1)}); err == nil {
				written.Add(1)
			}
		})
		wg.Wait()
		if n := written.Load(); n < 5*seconds-1 {
			t.Errorf("%d of %d writes", n, 5*seconds)
		}
		if n := refused.Load(); n < 1000 {
			t.Errorf("%d reads refused, want at least 1000", n)
		}
		if n := read.Load() + written.Load(); n < 9*seconds || n > 10*(seconds+2) {
			t.Errorf("%d requests in %d s, of 10 a second", n, seconds)
		}
	})
}

// A request that waits for budget ends with its context and is not sent.
func TestCancelledWaitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newRateBudget(100, 60, 7) // 10 requests a second
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var err error
		for range 10 { // more than the burst that a process starts with
			err = b.await(ctx, reservation{maxWait: time.Minute})
		}
		if !errors.Is(err, ErrRefused) || errors.Is(err, ErrBudgetExhausted) {
			t.Errorf("got %v, want ErrRefused", err)
		}
	})
}
