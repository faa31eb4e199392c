package failuredetector

import "time"

// Timing holds the interval from which all thresholds are derived.
type Timing struct {
	HeartbeatInterval time.Duration // mean interval of workers; each interval varies by ±25 %
}

// SuspectAfter returns the silence after which a machine gets no new tasks. It has then
// missed a heartbeat: consecutive heartbeats are at most 5/4 of the interval apart.
func (t Timing) SuspectAfter() time.Duration { return t.HeartbeatInterval * 3 / 2 }

// UnreachableAfter returns the silence after which scaling out may replace the capacity
// of a suspect machine. A heartbeat that was merely lost would have been retried by then:
// the worker contacts another controller after at most 5 s, which redirects it here.
func (t Timing) UnreachableAfter() time.Duration { return t.HeartbeatInterval * 5 / 2 }

// FewSilentAfter returns the silence after which individual lost heartbeats no longer
// explain why a few machines are silent. After a lost heartbeat a worker waits 4 s and
// tries unreachable controllers before its next heartbeat arrives, and may have missed
// two heartbeats by then.
func (t Timing) FewSilentAfter() time.Duration { return t.HeartbeatInterval * 4 }

// ReopenDelay returns how long a controller waits after stepping down before it opens a
// new session. The leader grants a shard to the least loaded live controller, so a
// controller that returned immediately while still isolated would be preferred for the shards
// of the next isolated controller.
func (t Timing) ReopenDelay() time.Duration { return 2 * t.SuspectAfter() }
