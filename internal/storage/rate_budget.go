package storage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// watchFraction is the fraction of the store's requests that is left to
	// watches and lease renewals.
	watchFraction = 0.3

	// watchUtilization is how much of watchFraction watches may use; renewals
	// have the rest.
	watchUtilization = 0.8

	// writeUtilization is how much of the store's writes is shared out.
	writeUtilization = 0.9

	// leaderShares is how many controllers' shares of the writes the leader gets.
	leaderShares = 3

	// maxOverdraft bounds how much of its future budget a controller may have used.
	maxOverdraft = 3 * time.Second
)

// rateBudget keeps a controller to its share of the store's rate limits. Writes have
// a limit of their own, which is below that of the requests.
type rateBudget struct {
	mu       sync.Mutex // held from working out a delay until it is reserved
	requests *rate.Limiter
	writes   *rate.Limiter
}

// reservation is what a request takes of the budget.
type reservation struct {
	writes  int           // 0: a read
	maxWait time.Duration // a request that would have to wait longer is refused
	// overdraft lets the request take writes ahead of time: users seldom come to
	// all controllers alike, and the others' shares are mostly not used up. What
	// does not overdraw then has to wait.
	overdraft bool
}

func newRateBudget(rps, writeRPS float64, controllers int) *rateBudget {
	return &rateBudget{
		requests: newLimiter((1 - watchFraction) * rps / float64(controllers)),
		writes:   newLimiter(writeShare(writeRPS, controllers)),
	}
}

// writeShare is one controller's share of the writes; the leader has several.
func writeShare(writeRPS float64, controllers int) float64 {
	return writeUtilization * writeRPS / float64(controllers-1+leaderShares)
}

// newLimiter returns a limiter that begins with half of its burst: if all controllers
// restart together, again and again, full bursts would exceed the store's rate.
func newLimiter(perSecond float64) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
	limiter.AllowN(time.Now(), burst(perSecond)/2)
	return limiter
}

func burst(perSecond float64) int { return max(1, int(perSecond)) }

// WatchPause is how long each controller pauses between two watches so that all
// together stay within their share of the store's requests, however often something
// changes.
func WatchPause(rps float64, controllers int) time.Duration {
	seconds := float64(controllers) / (watchFraction * watchUtilization * rps)
	return time.Duration(seconds * float64(time.Second))
}

// MinRenewalInterval is the shortest interval between renewals of one controller's lease
// with which all controllers together stay within what watches leave of their share of the
// store's requests.
func MinRenewalInterval(rps float64, controllers int) time.Duration {
	seconds := float64(controllers) / (watchFraction * (1 - watchUtilization) * rps)
	return time.Duration(seconds * float64(time.Second))
}

// setLeading changes the limiter only if its rate changes, as that would drop what
// was saved up.
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

// await takes r from the budget and waits until it may be used. If the wait would be
// longer than r.maxWait, it takes nothing and returns ErrBudgetExhausted at once.
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

// reserve works out how long r would have to wait, and takes it only if that is no
// longer than r.maxWait. Taking and then cancelling would not do: a cancelled
// reservation of rate.Limiter returns less than it took if others came after it, so
// that many refused requests would leave a controller in a debt that it never pays off.
func (b *rateBudget) reserve(now time.Time, r reservation) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.writes == 0 {
		// Only reads wait for their share of the requests, and for what writes have
		// taken of it: otherwise many users asking at once would use it up ahead of
		// time, and nothing that can't wait would ever be written.
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

// delay is how long limiter would let n events wait.
func delay(limiter *rate.Limiter, now time.Time, n int) time.Duration {
	missing := float64(n) - limiter.TokensAt(now)
	if missing <= 0 || limiter.Limit() <= 0 {
		return 0
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}
