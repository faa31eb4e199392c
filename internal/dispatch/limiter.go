package dispatch

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Target is a worker with pending commands.
type Target struct {
	Worker         int           // index assigned by the caller
	Rank           int           // of its most urgent command; 0 is the most urgent
	Commands       int           // number of pending commands
	SinceHeartbeat time.Duration // since the worker's latest heartbeat
	Stops          bool          // some commands stop tasks, and other tasks wait for their capacity
}

const (
	// minSaving is the minimum waiting time that a message must save.
	minSaving = 250 * time.Millisecond
	// busyLoad and fullLoad are fractions of the processor share. Above busyLoad
	// only the most urgent commands are sent, above fullLoad none.
	busyLoad, fullLoad = 0.7, 0.9
	// maxUnanswered consecutive messages without a response indicate a network
	// partition: from then on one message every probeInterval probes the network.
	maxUnanswered = 8
	probeInterval = time.Second
	// burstSeconds is the time for which the budget of messages accumulates, so
	// that a batch of placements can be sent without delay.
	burstSeconds = 2
	// stopWeight multiplies the saving of a message that stops tasks: the tasks that
	// replace them wait as well.
	stopWeight = 2
)

// Limiter selects the workers that get a direct message. A message costs a connection and
// part of the controller's share of a processor, on which heartbeats have priority.
// Messages therefore have a rate budget and are restricted further under load; the most
// urgent commands that save the most waiting time are sent first. When responses are
// missing, as in a network partition, only occasional probes are sent until one is
// answered. It is not safe for concurrent use.
type Limiter struct {
	limits     Limits
	budget     *rate.Limiter
	inFlight   int
	unanswered int // consecutive messages without a response
	lastProbe  time.Time
}

// NewLimiter returns a limiter with a full budget.
func NewLimiter(l Limits) *Limiter {
	burst := max(1, int(burstSeconds*l.MessagesPerSecond))
	return &Limiter{limits: l, budget: rate.NewLimiter(rate.Limit(l.MessagesPerSecond), burst)}
}

// Limits returns the limits passed to NewLimiter.
func (l *Limiter) Limits() Limits { return l.limits }

// InFlight returns the number of messages in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// Select returns the targets that get a message now, most urgent first, and charges the
// budget. It reorders targets. load is the fraction of its processor share that the
// controller uses. RecordResult must be called once for each selected target.
func (l *Limiter) Select(targets []Target, load float64, now time.Time) []Target {
	if load > fullLoad {
		return nil
	}
	free := l.reserveSlots(now)
	if free <= 0 {
		return nil
	}
	slices.SortStableFunc(targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), -cmp.Compare(l.saving(a), l.saving(b)))
	})
	var selected []Target
	for _, t := range targets {
		if len(selected) >= free {
			break
		}
		if !l.isWorthwhile(t, load) {
			continue
		}
		if !l.budget.AllowN(now, 1) {
			break
		}
		selected = append(selected, t)
	}
	l.inFlight += len(selected)
	return selected
}

// reserveSlots returns how many messages may be sent now. While responses are missing, it
// reserves one probe per probeInterval.
func (l *Limiter) reserveSlots(now time.Time) int {
	if l.unanswered < maxUnanswered {
		return l.limits.MaxInFlight - l.inFlight
	}
	if l.inFlight > 0 || now.Sub(l.lastProbe) < probeInterval {
		return 0
	}
	l.lastProbe = now
	return 1
}

// isWorthwhile reports whether a message saves enough time at this load.
func (l *Limiter) isWorthwhile(t Target, load float64) bool {
	if load > busyLoad && t.Rank > 0 {
		return false
	}
	return l.limits.ExpectedWait(t.SinceHeartbeat) >= minSaving
}

// saving returns the total waiting time that a message saves over all its commands.
func (l *Limiter) saving(t Target) time.Duration {
	saved := l.limits.ExpectedWait(t.SinceHeartbeat) * time.Duration(max(1, t.Commands))
	if t.Stops {
		saved *= stopWeight
	}
	return saved
}

// RecordResult records that a message is no longer in flight, and whether the worker
// responded.
func (l *Limiter) RecordResult(responded bool) {
	l.inFlight--
	if responded {
		l.unanswered = 0
	} else {
		l.unanswered++
	}
}
