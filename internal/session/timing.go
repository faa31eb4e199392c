package session

import "time"

// Timing holds the intervals between the requests of a session.
type Timing struct {
	RenewInterval  time.Duration // from one renewal of the lease to the next
	RepeatInterval time.Duration // from an unanswered renewal to its next copy
	RetryInterval  time.Duration // from any other step that failed to the next attempt
	YieldInterval  time.Duration // between two reads of a key owned by another process
}

const (
	// renewalsPerLease allows several consecutive renewals to be lost before the
	// lease expires.
	renewalsPerLease = 5
	// unansweredIntervals is the number of renewal intervals without a response after
	// which the store is considered unresponsive.
	unansweredIntervals = 2
	// retryInterval is short compared with a lease, so that the recovery of the store
	// is detected soon, and long enough not to add significant load.
	retryInterval = 250 * time.Millisecond
	// yieldInterval bounds the read rate of a process that waits for the key.
	yieldInterval = time.Second
)

// TimingFor derives the intervals from the duration of the controller's lease, and from
// the minimum renewal interval allowed by the store's rate limit. Regardless of the limit,
// an unanswered renewal is repeated after at most half of the renewal interval, unless
// that is shorter than retryInterval.
func TimingFor(lease, minRenewalInterval time.Duration) Timing {
	renewInterval := lease / renewalsPerLease
	return Timing{
		RenewInterval:  renewInterval,
		RepeatInterval: max(retryInterval, min(minRenewalInterval, renewInterval/2)),
		RetryInterval:  retryInterval,
		YieldInterval:  yieldInterval,
	}
}
