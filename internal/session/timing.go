package session

import "time"

// Timing holds the intervals between the requests of a session.
type Timing struct {
	RenewInterval  time.Duration // from one renewal of the lease to the next
	RepeatInterval time.Duration // from a renewal without an answer to its next copy
	RetryInterval  time.Duration // from any other step that failed to the next attempt
	YieldInterval  time.Duration // between two reads of a key that another process has taken
}

const (
	// renewalsPerLease leaves room for several lost renewals in a row before
	// the lease expires.
	renewalsPerLease = 5
	// unansweredIntervals is how many renewal intervals without an answer it takes
	// for the store to count as not answering.
	unansweredIntervals = 2
	// retryInterval is short against a lease, so that a store that is back is
	// noticed soon, and long enough not to add to its load.
	retryInterval = 250 * time.Millisecond
	// yieldInterval bounds the reads of a process that only waits.
	yieldInterval = time.Second
)

// TimingFor derives the intervals from the duration of the controller's lease, and
// from the shortest interval between renewals that the store's rate limit leaves room for.
// However low that limit is, copies of a renewal are sent twice as often as renewals.
func TimingFor(lease, minRenewalInterval time.Duration) Timing {
	renewInterval := lease / renewalsPerLease
	return Timing{
		RenewInterval:  renewInterval,
		RepeatInterval: max(retryInterval, min(minRenewalInterval, renewInterval/2)),
		RetryInterval:  retryInterval,
		YieldInterval:  yieldInterval,
	}
}
