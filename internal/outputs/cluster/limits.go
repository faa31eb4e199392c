package cluster

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits bound what writers may send; 0 means no bound.
type Limits struct {
	AttemptBytes  uint64 // of one attempt's output, before compression
	AttemptRate   uint64 // bytes a second of one attempt
	ArtefactBytes uint64 // of one attempt's artefacts
	TeamRate      uint64 // bytes a second of one team through one member
	TeamBytes     uint64 // of one team on one member's disk
	StoreRate     uint64 // bytes a second of all teams through one member
}

// LimitError says that a write goes beyond a limit.
type LimitError struct {
	Reason string
	// RetryAfter is when the write may be admitted; 0: waiting does not help.
	RetryAfter time.Duration
}

// Error returns the reason, which is meant for the writer.
func (e *LimitError) Error() string { return e.Reason }

const (
	// bucketIdleTimeout is when a rate that nobody uses is forgotten. Its bucket refills
	// within two seconds, so forgetting it gives nothing away.
	bucketIdleTimeout = 2 * time.Minute
	// bucketSweepInterval is the time between two searches for idle rates.
	bucketSweepInterval = time.Minute
	// minBurst is at least one block with its fields, however small the rate.
	minBurst = 2 << 20
	// attemptSlackBytes may follow an attempt's limit, since its writer keeps the
	// end of the output that it leaves out.
	attemptSlackBytes = 2 << 20
)

// limiter holds the token buckets of teams and attempts.
type limiter struct {
	limits  Limits
	mu      sync.Mutex
	buckets map[string]*tokenBucket
	sweptAt time.Time
}

type tokenBucket struct {
	limiter *rate.Limiter
	usedAt  time.Time
}

func newLimiter(l Limits) *limiter {
	return &limiter{limits: l, buckets: map[string]*tokenBucket{}}
}

// reserve takes bytes from a token bucket, or returns a [LimitError]. A request that
// is larger than the burst is admitted when the bucket is full, and the requests
// after it pay for the rest.
func (l *limiter) reserve(key, subject string, bytesPerSecond uint64, bytes int, now time.Time) error {
	if bytesPerSecond == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	tracked := l.buckets[key]
	if tracked == nil {
		burst := int(max(2*bytesPerSecond, minBurst))
		tracked = &tokenBucket{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
		l.buckets[key] = tracked
	}
	tracked.usedAt = now
	r := tracked.limiter.ReserveN(now, min(bytes, tracked.limiter.Burst()))
	if delay := r.DelayFrom(now); delay > 0 {
		r.CancelAt(now)
		reason := fmt.Sprintf("%s: more than %d KiB a second", subject, bytesPerSecond>>10)
		return &LimitError{Reason: reason, RetryAfter: delay}
	}
	return nil
}

// sweep forgets idle rates. The caller holds mu.
func (l *limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) <= bucketSweepInterval {
		return
	}
	l.sweptAt = now
	for key, tracked := range l.buckets {
		if now.Sub(tracked.usedAt) > bucketIdleTimeout {
			delete(l.buckets, key)
		}
	}
}

// admitWrite returns a [LimitError] if a team may not send bytes to an attempt now.
func (n *Node) admitWrite(key []byte, team string, bytes int) error {
	now := time.Now()
	l := n.limiter
	if limit := l.limits.TeamBytes; limit > 0 && n.store.TeamBytes(team) > limit {
		reason := fmt.Sprintf("team %s has more than its %d MiB in the stores", team, limit>>20)
		return &LimitError{Reason: reason, RetryAfter: time.Minute}
	}
	if limit := l.limits.AttemptBytes; limit > 0 {
		if held := n.store.Held(key); held != nil {
			tally := held.Summary.Tally
			if tally.StdoutBytes+tally.StderrBytes > limit+limit/4+attemptSlackBytes {
				return &LimitError{Reason: fmt.Sprintf("the attempt has its %d MiB of output", limit>>20)}
			}
		}
	}
	// Twice the rate: the writer keeps to the rate itself, by its own clock.
	if err := l.reserve("a/"+string(key), "the attempt", 2*l.limits.AttemptRate, bytes, now); err != nil {
		return err
	}
	if err := l.reserve("t/"+team, "team "+team, l.limits.TeamRate, bytes, now); err != nil {
		return err
	}
	return l.reserve("s", "all teams together", l.limits.StoreRate, bytes, now)
}
