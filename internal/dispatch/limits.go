package dispatch

import "time"

// Limits are the bounds on direct messages that don't change while a controller
// runs.
type Limits struct {
	HeartbeatInterval time.Duration // of workers, give or take a quarter
	MessagesPerSecond float64       // at most
	MaxInFlight       int           // messages under way at once, at most
}

const (
	// messageCost is the processor time of one message with its response.
	messageCost = 350 * time.Microsecond
	// messageShare is the part of its processor share that a controller may
	// spend on messages.
	messageShare = 0.2
	// maxInFlight bounds the messages under way, whatever the number of sockets.
	maxInFlight = 64
	// socketsPerMessage: one in so many sockets is for direct messages.
	socketsPerMessage = 24
)

// LimitsFor derives limits from the workers' heartbeat interval and from what a
// controller has: its share of a processor (0: a whole one) and its sockets (0:
// not known).
func LimitsFor(heartbeatInterval time.Duration, cpuShare float64, sockets int) Limits {
	if cpuShare <= 0 {
		cpuShare = 1
	}
	l := Limits{
		HeartbeatInterval: heartbeatInterval,
		MessagesPerSecond: cpuShare * messageShare / messageCost.Seconds(),
		MaxInFlight:       maxInFlight,
	}
	if sockets > 0 {
		l.MaxInFlight = max(1, min(l.MaxInFlight, sockets/socketsPerMessage))
	}
	return l
}

// ExpectedWait returns how long commands would wait for the worker's next
// heartbeat, on average. It is 0 if that is overdue: the worker may be
// unreachable, and a message would not reach it either.
func (l Limits) ExpectedWait(sinceHeartbeat time.Duration) time.Duration {
	earliest, latest := l.HeartbeatInterval*3/4, l.HeartbeatInterval*5/4
	switch {
	case sinceHeartbeat < earliest:
		return l.HeartbeatInterval - sinceHeartbeat
	case sinceHeartbeat < latest:
		return (latest - sinceHeartbeat) / 2
	default:
		return 0
	}
}

// maxDoublings bounds how far Backoff grows.
const maxDoublings = 5

// Backoff returns how long a worker that has not responded to so many messages
// in a row gets none. Responses to its heartbeats carry its commands meanwhile.
// jitter, from 0 to 1, keeps workers that became unreachable together from being
// retried together.
func (l Limits) Backoff(failures int, jitter float64) time.Duration {
	d := l.HeartbeatInterval << min(failures, maxDoublings)
	return d + time.Duration(jitter*float64(d)/2)
}
