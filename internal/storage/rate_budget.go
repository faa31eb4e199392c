package storage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// watchFraction is the fraction of the store's request rate that is reserved for
	// watches and lease renewals.
	watchFraction = 0.3

	// watchUtilization is the fraction of watchFraction that watches may use; the
	// rest is for renewals.
	watchUtilization = 0.8

	// writeUtilization is the fraction of the store's write rate that is allocated.
	writeUtilization = 0.9

	// leaderShares is the number of controllers' write shares that the leader gets.
	leaderShares = 3

	// maxOverdraft bounds how far a controller may use its budget in advance.
	maxOverdraft = 3 * time.Second
)

// rateBudget limits a controller to its share of the store's rate limits. Writes have a
// separate limit, which is lower than that of requests.
type rateBudget struct {
	mu       sync.Mutex // makes computing a delay and reserving it atomic
	requests *rate.Limiter
	writes   *rate.Limiter
}

// reservation is the part of the budget that a request uses.
type reservation struct {
	writes  int           // 0: a read
	maxWait time.Duration // a request that would have to wait longer is refused
	// overdraft allows the request to use future write budget: users are rarely
	// distributed evenly over the controllers, and the other controllers' shares are
	// mostly not exhausted. Requests without overdraft must then wait.
	overdraft bool
}

func newRateBudget(rps, writeRPS float64, controllers int) *rateBudget {
	return &rateBudget{
		requests: newLimiter((1 - watchFraction) * rps / float64(controllers)),
		writes:   newLimiter(writeShare(writeRPS, controllers)),
	}
}

// writeShare returns one controller's share of the write rate; the leader has several.
func writeShare(writeRPS float64, controllers int) float64 {
	return writeUtilization * writeRPS / float64(controllers-1+leaderShares)
}

// newLimiter returns a limiter that starts with half of its burst: full bursts would exceed
// the store's rate if all controllers restarted together repeatedly.
func newLimiter(perSecond float64) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
	limiter.AllowN(time.Now(), burst(perSecond)/2)
	return limiter
}

func burst(perSecond float64) int { return max(1, int(perSecond)) }

// WatchPause returns the pause of each controller between two watches with which all
// controllers together stay within their share of the store's requests, regardless of the
// rate of changes.
func WatchPause(rps float64, controllers int) time.Duration {
	seconds := float64(controllers) / (watchFraction * watchUtilization * rps)
	return time.Duration(seconds * float64(time.Second))
}

// MinRenewalInterval returns the shortest interval between renewals of one controller's
// lease with which all controllers together stay within the part of the store's request
// rate that is reserved for renewals.
func MinRenewalInterval(rps float64, controllers int) time.Duration {
	seconds := float64(controllers) / (watchFraction * (1 - watchUtilization) * rps)
	return time.Duration(seconds * float64(time.Second))
}

// setLeading changes the limiter only if its rate changes, to keep accumulated tokens.
func (b *rateBudget) setLeading(leads bool, writeRPS float64, controllers int) {
	shares := 1.0
	if leads {
		shares = leaderShares
	}
	perSecond := shares * writeShare(writeRPS, controllers)
	if b.writes.Limit() == rate.Limit(perSecond) {
		return
	}
	b.writes.SetLimit(rate.Limit(perSecond))
	b.writes.SetBurst(burst(perSecond))
}

func (b *rateBudget) availableWrites() int { return max(0, int(b.writes.Tokens())) }

func (b *rateBudget) deferrableWrites() int {
	return max(0, int(b.writes.Tokens()-float64(b.writes.Burst())/2))
}

// await reserves r and waits until it may be used. If the wait would exceed r.maxWait, it
// reserves nothing and returns ErrBudgetExhausted immediately.
func (b *rateBudget) await(ctx context.Context, r reservation) error {
	wait, ok := b.reserve(time.Now(), r)
	if !ok {
		return ErrBudgetExhausted
	}
	if wait <= 0 {
		return nil
	}
	if err := sleep(ctx, wait); err != nil {
		return fmt.Errorf("%w: %v", ErrRefused, err)
	}
	return nil
}

// reserve computes how long r would have to wait, and reserves it only if that does not
// exceed r.maxWait. Reserving and then cancelling is not equivalent: a cancelled reservation
// of rate.Limiter returns fewer tokens than it used if others followed it, so that many
// refused requests would leave the controller with a permanent token deficit.
func (b *rateBudget) reserve(now time.Time, r reservation) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.writes == 0 {
		// Only reads wait for the request limiter, which writes also use. Otherwise
		// many concurrent user requests would exhaust it in advance, and writes
		// that can't wait would never be sent.
		wait = delay(b.requests, now, 1)
	}
	writes := min(r.writes, b.writes.Burst())
	if d := delay(b.writes, now, writes); !r.overdraft || d > maxOverdraft {
		wait = max(wait, d)
	}
	if wait > r.maxWait {
		return 0, false
	}
	b.requests.ReserveN(now, 1)
	b.writes.ReserveN(now, writes)
	return wait, true
}

// delay returns how long n events would have to wait for the limiter.
func delay(limiter *rate.Limiter, now time.Time, n int) time.Duration {
	missing := float64(n) - limiter.TokensAt(now)
	if missing <= 0 || limiter.Limit() <= 0 {
		return 0
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}
