package dispatch

import "time"

// Limits are the bounds on direct messages that are constant while a controller runs.
type Limits struct {
	HeartbeatInterval time.Duration // mean interval of workers; each interval varies by ±25 %
	MessagesPerSecond float64       // maximum rate
	MaxInFlight       int           // maximum number of concurrent messages
}

const (
	// messageCost is the processor time of one message with its response.
	messageCost = 350 * time.Microsecond
	// messageShare is the fraction of its processor share that a controller may
	// spend on messages.
	messageShare = 0.2
	// maxInFlight bounds the concurrent messages regardless of the number of sockets.
	maxInFlight = 64
	// socketsPerMessage is the number of sockets per concurrent direct message.
	socketsPerMessage = 24
)

// LimitsFor derives limits from the workers' heartbeat interval and the controller's
// resources: its share of a processor (0: an entire processor) and its number of sockets
// (0: unknown).
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

// ExpectedWait returns the average time until the worker's next heartbeat. It is 0 if the
// heartbeat is overdue: the worker may be unreachable, and a message would not reach it
// either.
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

// Backoff returns how long a worker gets no direct messages after the given number of
// consecutive failures. Its commands are then sent in responses to its heartbeats. jitter,
// from 0 to 1, prevents workers that became unreachable simultaneously from being retried
// simultaneously.
func (l Limits) Backoff(failures int, jitter float64) time.Duration {
	d := l.HeartbeatInterval << min(failures, maxDoublings)
	return d + time.Duration(jitter*float64(d)/2)
}
