package cluster

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits restrict what writers may send; 0 means no limit.
type Limits struct {
	AttemptBytes  uint64 // output of one attempt, before compression
	AttemptRate   uint64 // bytes per second of one attempt
	ArtefactBytes uint64 // artefacts of one attempt
	TeamRate      uint64 // bytes per second of one team through one member
	TeamBytes     uint64 // bytes of one team on one member's disk
	StoreRate     uint64 // bytes per second of all teams through one member
}

// LimitError reports that a write exceeds a limit.
type LimitError struct {
	Reason string
	// RetryAfter is the delay after which the write may be admitted; 0 means that
	// retrying does not help.
	RetryAfter time.Duration
}

// Error returns the reason, which is meant for the writer.
func (e *LimitError) Error() string { return e.Reason }

const (
	// bucketIdleTimeout is how long an unused token bucket is kept. A bucket refills
	// within two seconds, so discarding it does not relax the limit.
	bucketIdleTimeout = 2 * time.Minute
	// bucketSweepInterval is the time between two removals of idle token buckets.
	bucketSweepInterval = time.Minute
	// minBurst is the smallest burst; a whole block with its fields fits into it.
	minBurst = 2 << 20
	// attemptSlackBytes is what an attempt may store beyond its limit, because the
	// writer still sends the end of the output that it truncates.
	attemptSlackBytes = 2 << 20
)

// limiter holds the token buckets of teams, attempts and the whole store.
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
// is larger than the burst is admitted when the bucket is full and takes only the
// burst from it.
func (l *limiter) reserve(key, subject string, bytesPerSecond uint64, bytes int, now time.Time) error {
	if bytesPerSecond == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	bucket := l.buckets[key]
	if bucket == nil {
		burst := int(max(2*bytesPerSecond, minBurst))
		bucket = &tokenBucket{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
		l.buckets[key] = bucket
	}
	bucket.usedAt = now
	r := bucket.limiter.ReserveN(now, min(bytes, bucket.limiter.Burst()))
	if delay := r.DelayFrom(now); delay > 0 {
		r.CancelAt(now)
		reason := fmt.Sprintf("%s: more than %d KiB a second", subject, bytesPerSecond>>10)
		return &LimitError{Reason: reason, RetryAfter: delay}
	}
	return nil
}

// sweep removes idle token buckets. The caller holds mu.
func (l *limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) <= bucketSweepInterval {
		return
	}
	l.sweptAt = now
	for key, bucket := range l.buckets {
		if now.Sub(bucket.usedAt) > bucketIdleTimeout {
			delete(l.buckets, key)
		}
	}
}

// admitWrite returns a [LimitError] if a write of the given size to an attempt exceeds
// a limit.
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
	// Twice the rate, because the writer limits itself to the rate by its own clock.
	if err := l.reserve("a/"+string(key), "the attempt", 2*l.limits.AttemptRate, bytes, now); err != nil {
		return err
	}
	if err := l.reserve("t/"+team, "team "+team, l.limits.TeamRate, bytes, now); err != nil {
		return err
	}
	return l.reserve("s", "all teams together", l.limits.StoreRate, bytes, now)
}
