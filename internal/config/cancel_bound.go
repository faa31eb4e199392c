package config

import (
	"fmt"
	"strings"
	"time"
)

// Range of the holder-lease-s setting.
const (
	minHolderLease = time.Second
	maxHolderLease = 10 * time.Minute
)

// BoundTerm is a term of an upper bound that is a sum of durations.
type BoundTerm struct {
	Name     string // the setting, or the cause of the delay
	Duration time.Duration
}

// CancelBound returns the terms of the maximum time from the commit of a cancellation
// to the key-value store, which precedes the response to the user, until no task of the
// job can still be on a machine. The bound holds under any failure and does not
// depend on a stop command reaching the task (docs/safety.md, "Cancellations").
//
// A change that lets a controller act, or a worker keep its tasks, for longer must add a
// term here. Other delays are omitted because they end when one of these does.
func (s *Settings) CancelBound(op Operator) []BoundTerm {
	workerLease := Seconds(s.Deployment.Workers.LeaseS)
	return []BoundTerm{
		// A controller acts while both its lease and its copy of the records are
		// younger than this, counted from when each was requested
		// (Timing.LeaseValidity, which is slightly shorter).
		{"holder-lease-s", op.HolderLease},
		// A worker counts its lease from when it sent its heartbeat, so this also
		// covers a response in transit, a machine that hangs and a direct command that
		// starts a task.
		{"workers.lease_s", workerLease},
		{"drift of the clocks", clockDrift(op.HolderLease) + clockDrift(workerLease)},
		{"workers' timers that fire late", s.TimerMargin()},
		// A cancellation caused by the cancellation of a dependency: see "Waiting" in
		// docs/safety.md.
		{"a turn of the controller that passes it on", s.TimerMargin()},
	}
}

// clockDrift returns how far two clocks can diverge within d.
func clockDrift(d time.Duration) time.Duration {
	return time.Duration(ClockDrift * float64(d))
}

// SumTerms returns the sum of the terms.
func SumTerms(terms []BoundTerm) time.Duration {
	var sum time.Duration
	for _, t := range terms {
		sum += t.Duration
	}
	return sum
}

// FormatTerms formats a bound as "a 8s + b 20s = 28s", rounded to milliseconds.
func FormatTerms(terms []BoundTerm) string {
	var parts []string
	for _, t := range terms {
		parts = append(parts, fmt.Sprintf("%s %v", t.Name, t.Duration.Round(time.Millisecond)))
	}
	return fmt.Sprintf("%s = %v", strings.Join(parts, " + "), SumTerms(terms).Round(time.Millisecond))
}

// CheckCancelBound checks that all tasks of a cancelled job end within workers.cancel_s
// even if the key-value store, and with it every controller that has read the
// cancellation, is unreachable for longer. If the bound is exceeded, the error names
// file and field as the invalid setting.
func (s *Settings) CheckCancelBound(file, field string, op Operator) error {
	c := checker{file}
	if op.HolderLease < minHolderLease || op.HolderLease > maxHolderLease {
		return c.errorf("holder-lease-s", "must be from %g to %g", minHolderLease.Seconds(), maxHolderLease.Seconds())
	}
	bound := s.CancelBound(op)
	if cancel := Seconds(s.Deployment.Workers.CancelS); SumTerms(bound) >= cancel {
		return c.errorf(field, "a task may be on its machine for so long after its job was cancelled: %s, which must be below workers.cancel_s %v",
			FormatTerms(bound), cancel)
	}
	return nil
}
