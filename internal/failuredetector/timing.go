package failuredetector

import "time"

// Timing holds the interval from which all thresholds follow.
type Timing struct {
	HeartbeatInterval time.Duration // of workers, give or take a quarter
}

// SuspectAfter returns the silence after which a machine gets no new tasks. It
// has then missed a heartbeat: two of them are at most 5/4 of the interval
// apart.
func (t Timing) SuspectAfter() time.Duration { return t.HeartbeatInterval * 3 / 2 }

// UnreachableAfter returns the silence after which the capacity of a suspect
// machine is not waited for any longer when scaling out would replace it. A
// worker whose heartbeat got lost would have been heard by then: it turns to
// another controller after 5 s at the latest, which sends it back.
func (t Timing) UnreachableAfter() time.Duration { return t.HeartbeatInterval * 5 / 2 }

// FewSilentAfter returns the silence of a few machines that is no coincidence. A worker
// whose heartbeat got lost waits 4 s, and tries the controllers that it can't reach,
// before it is heard again: until then it may have missed two heartbeats.
func (t Timing) FewSilentAfter() time.Duration { return t.HeartbeatInterval * 4 }

// ReopenDelay returns how long a controller that has stepped down opens no
// session. The leader gives a shard to the live controller that has least: one
// that were back at once, and still isolated, would be preferred for what the
// next isolated controller gives up.
func (t Timing) ReopenDelay() time.Duration { return 2 * t.SuspectAfter() }
