package config

import "time"

// ClockDrift is the maximum drift between two monotonic clocks, as a fraction of elapsed
// time. The protocol specifies this value.
const ClockDrift = 0.0005

const (
	// timerLateness is the maximum delay of a timer on a busy machine.
	timerLateness = 500 * time.Millisecond
	// leaseSafetyMargin is how long before the expiry of its lease a holder stops acting,
	// in addition to the allowance for clock drift.
	leaseSafetyMargin = 100 * time.Millisecond
)

// Timing holds the durations on which the safety arguments in docs/safety.md depend.
type Timing struct {
	HolderLease   time.Duration // a controller's lease, as granted by the key-value store
	LeaseValidity time.Duration // how long a lease holder may act after it sent a renewal
	WorkerTimeout time.Duration // time without heartbeats after which a worker has certainly dropped its tasks
}

// Timing derives the durations from both settings files. The two sides of a lease use
// different clocks, so the holder's time is shortened and the observer's time extended by
// the maximum drift between them.
func (s *Settings) Timing(op Operator) Timing {
	workerLease := Seconds(s.Deployment.Workers.LeaseS)
	return Timing{
		HolderLease:   op.HolderLease,
		LeaseValidity: op.HolderLease - mutualDrift(op.HolderLease) - leaseSafetyMargin,
		WorkerTimeout: workerLease + mutualDrift(workerLease) + s.TimerMargin(),
	}
}

// TimerMargin returns the allowance for timers that fire late and for responses in
// transit.
func (s *Settings) TimerMargin() time.Duration {
	return Seconds(s.Deployment.Workers.ReportS/2) + timerLateness
}

// mutualDrift returns how far two clocks can diverge within d when they drift from true
// time in opposite directions.
func mutualDrift(d time.Duration) time.Duration {
	return time.Duration(2 * ClockDrift * float64(d))
}
