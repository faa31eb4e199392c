package storage

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// catchUpTimeout is the timeout of one round.
	catchUpTimeout = time.Second
	// confirmTimeout is how long a caller waits for its round. Users time out after
	// two seconds.
	confirmTimeout = 1500 * time.Millisecond
	// confirmShare is the share of this controller's request rate that rounds may use;
	// the rest is for records that must be read from the store.
	confirmShare = 0.5
	// maxRoundInterval bounds the time between rounds if the rate limit is low.
	maxRoundInterval = 250 * time.Millisecond
)

// ReadIndex makes reads of a replica linearizable: after Confirm the replica reflects every
// state that any client had observed before Confirm was called. Calls are batched: one
// request for the store's changes serves all callers that were waiting when it was sent, so
// the number of requests does not depend on the number of callers.
type ReadIndex struct {
	replica  *Replica
	interval time.Duration // minimum interval between two rounds
	wake     chan struct{}
	failed   rate.Sometimes

	mu        sync.Mutex
	next      *round // the round that has not been sent; nil: no caller waits for one
	current   *round // the round in progress, or the last one
	joinStale bool   // set by a test: callers join the round in progress
}

// round is one request shared by its waiting callers.
type round struct {
	done chan struct{} // closed when err is final
	err  error
}

// NewReadIndex returns a read index of a replica whose Run is active. Its rounds use a share
// of the client's request rate.
func NewReadIndex(replica *Replica, requestsPerSecond float64, controllers int) *ReadIndex {
	interval := maxRoundInterval
	if perSecond := confirmShare * (1 - watchFraction) * requestsPerSecond / float64(max(1, controllers)); perSecond > 0 {
		interval = min(interval, time.Duration(float64(time.Second)/perSecond))
	}
	return &ReadIndex{
		replica:  replica,
		interval: interval,
		wake:     make(chan struct{}, 1),
		failed:   rate.Sometimes{Interval: 10 * time.Second},
	}
}

// Confirm returns nil once the replica reflects a revision that is at least the store's
// revision when the call began. ErrNotLoaded means that the replica has no data.
func (x *ReadIndex) Confirm(ctx context.Context) error {
	if !x.replica.isLoaded() {
		return ErrNotLoaded
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := x.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("%w: replica not confirmed: %v", ErrRefused, ctx.Err())
	}
}

// join returns the next round. The round in progress is not sufficient: its request may have
// been answered before a change that this caller must observe.
func (x *ReadIndex) join() *round {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.joinStale && x.current != nil {
		return x.current
	}
	if x.next == nil {
		x.next = &round{done: make(chan struct{})}
		select {
		case x.wake <- struct{}{}:
		default:
		}
	}
	return x.next
}

// Run executes rounds until ctx ends.
func (x *ReadIndex) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.wake:
		}
		x.mu.Lock()
		r := x.next
		x.next, x.current = nil, r // later callers need another round
		x.mu.Unlock()
		r.err = x.catchUp(ctx)
		close(r.done)
		if r.err != nil {
			x.failed.Do(func() { slog.Warn("replica not confirmed", "err", r.err) })
		}
		_ = sleep(ctx, x.interval)
	}
}

func (x *ReadIndex) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return x.replica.CatchUp(ctx)
}
