package capture

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/spool"
)

// Limits are the limits on an attempt's output. 0 means no limit on bytes, and no delay
// of the task.
type Limits struct {
	Bytes          uint64 // total; of output beyond it, only the end is kept
	BytesPerSecond uint64
	MaxDelay       time.Duration // total delay of the task; the budget recovers slowly
}

const (
	// delayRegainDivisor is the rate at which the delay budget recovers: by elapsed time
	// divided by it.
	delayRegainDivisor = 50
	// fullSpoolDelay is how long the task is delayed before a write to a full spool is
	// retried.
	fullSpoolDelay = 100 * time.Millisecond
	// burstOverhead is added to the burst size of the rate limiter to cover the framing
	// of a tail.
	burstOverhead = 64 << 10
)

// Minimum and maximum size of the tail of an output. In between, the tail is the total
// limit divided by tailDivisor.
const (
	minTailBytes = 64 << 10
	maxTailBytes = 4 << 20
	tailDivisor  = 16
)

// Reason codes of a gap, as stored in its record.
const (
	reasonSize  = "size"
	reasonRate  = "rate"
	reasonSpool = "spool"
	reasonNone  = "" // a tail exists already and keeps its own reason
)

// admission applies the limits to each record: it adds the record to the queue of the
// spool, if necessary after delaying the task for a bounded time, or else to the tail of
// the spool, which keeps only the most recent records. Records go to the queue again
// once the rate limit and the spool can take the contents of the tail.
type admission struct {
	spool     *spool.Spool
	tailBytes int64
	now       func() time.Time
	sleep     func(time.Duration)
	added     chan struct{} // signalled when there are records to ship

	mu            sync.Mutex
	limits        Limits
	rate          *rate.Limiter // nil: no limit
	addedBytes    uint64        // bytes queued so far
	delayed       time.Duration // used part of the delay budget
	delayedAt     time.Time     // when delayed was last updated
	sizeReached   bool          // all further output goes to the tail
	failureLogged bool
}

// tailBytes returns the minimum number of bytes to keep from the end of an output that
// exceeds its limits.
func tailBytes(l Limits) int64 {
	if l.Bytes == 0 {
		return maxTailBytes
	}
	return int64(min(max(l.Bytes/tailDivisor, minTailBytes), maxTailBytes))
}

func newAdmission(sp *spool.Spool, l Limits) *admission {
	a := &admission{
		spool:     sp,
		tailBytes: tailBytes(l),
		now:       time.Now,
		sleep:     time.Sleep,
		added:     make(chan struct{}, 1),
	}
	a.delayedAt = a.now()
	a.setLimits(l)
	return a
}

// setLimits replaces the limits. It may be called while the task runs, when the stores
// report theirs.
func (a *admission) setLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = l
	if l.BytesPerSecond == 0 {
		a.rate = nil
		return
	}
	// The burst must allow a whole tail to be moved to the queue at once.
	burst := max(2*int64(l.BytesPerSecond), 2*a.tailBytes+burstOverhead)
	a.rate = rate.NewLimiter(rate.Limit(l.BytesPerSecond), int(burst))
}

// admit queues a record or adds it to the tail. It never fails: data that can't be kept
// is counted.
func (a *admission) admit(r *pb.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if exists, bytes := a.spool.Tail(); exists && !a.tryEndTail(bytes) {
		a.addToTail(r, reasonNone)
		return
	}
	size := len(r.Data)
	if a.exceedsSize(size) {
		a.sizeReached = true
		a.addToTail(r, reasonSize)
		return
	}
	if !a.reserveRate(size) {
		a.addToTail(r, reasonRate)
		return
	}
	if !a.queue(r) {
		a.addToTail(r, reasonSpool)
		return
	}
	a.addedBytes += uint64(size)
	a.signal()
}

// exceedsSize reports whether adding bytes would exceed the size limit of the queue: the
// total limit less the space reserved for the tail.
func (a *admission) exceedsSize(bytes int) bool {
	limit := a.limits.Bytes
	head := limit - min(limit, uint64(2*a.tailBytes))
	return limit > 0 && a.addedBytes+uint64(bytes) > head
}

// reserveRate takes bytes from the rate limiter and reports whether that succeeded. It
// delays the task if necessary and if the delay budget allows.
func (a *admission) reserveRate(bytes int) bool {
	if a.rate == nil {
		return true
	}
	now := a.now()
	r := a.rate.ReserveN(now, bytes)
	delay := r.DelayFrom(now)
	if delay <= 0 {
		return true
	}
	if !r.OK() || !a.delay(delay) {
		r.CancelAt(now)
		return false
	}
	return true
}

// queue adds a record to the queue of the spool and reports whether that succeeded.
// While the spool is full, it delays the task within the delay budget.
func (a *admission) queue(r *pb.Record) bool {
	for {
		err := a.spool.Add(r)
		if err == nil {
			return true
		}
		a.logFailure(err)
		if !errors.Is(err, spool.ErrFull) || !a.delay(fullSpoolDelay) {
			return false
		}
	}
}

// delay delays the task, or returns false if the delay budget does not suffice. The
// caller must hold mu, which is released during the delay.
func (a *admission) delay(d time.Duration) bool {
	if d > a.delayBudget(a.now()) {
		return false
	}
	a.delayed += d
	a.mu.Unlock() // lets the reader of the task's other stream proceed
	a.sleep(d)
	a.mu.Lock()
	return true
}

// delayBudget returns the remaining delay budget, after crediting the elapsed time.
func (a *admission) delayBudget(now time.Time) time.Duration {
	a.delayed = max(0, a.delayed-now.Sub(a.delayedAt)/delayRegainDivisor)
	a.delayedAt = now
	return a.limits.MaxDelay - a.delayed
}

// tryEndTail moves a tail of the given size to the queue if the limits allow it, and
// reports whether it did.
func (a *admission) tryEndTail(bytes int64) bool {
	if a.sizeReached {
		return false
	}
	now := a.now()
	if a.rate != nil && a.rate.TokensAt(now) < float64(bytes) {
		return false
	}
	if !a.spool.Fits(bytes + a.tailBytes) { // with a margin, so that a new tail does not begin immediately
		return false
	}
	if err := a.spool.EndTail(); err != nil {
		a.logFailure(err)
		return false
	}
	if a.rate != nil {
		a.rate.AllowN(now, int(bytes))
	}
	a.addedBytes += uint64(bytes)
	a.signal()
	return true
}

func (a *admission) addToTail(r *pb.Record, reason string) {
	if err := a.spool.AddToTail(r, reason); err != nil {
		a.logFailure(err)
	}
}

// logFailure logs the first spool failure only; the task continues.
func (a *admission) logFailure(err error) {
	if !errors.Is(err, spool.ErrFull) && !a.failureLogged {
		a.failureLogged = true
		slog.Error("spool not written", "spool", a.spool.Dir(), "err", err)
	}
}

func (a *admission) signal() {
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// close moves the tail to the queue after the last record.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.spool.EndTail(); err != nil {
		a.logFailure(err)
	}
	a.signal()
}
