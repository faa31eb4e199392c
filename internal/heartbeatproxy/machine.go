package heartbeatproxy

import "time"

// machine is the delegation of one machine: the state desired by this controller and the
// state in the key-value store.
type machine struct {
	desired      bool // should be listed in a record
	desiredSince time.Time
	// leftToHolder prevents the machine from becoming desired again before the
	// holder is reachable, because the holder did not acknowledge it.
	leftToHolder  bool
	lastHeartbeat time.Time // received by this controller; zero: none

	revision     uint64 // of the record that lists the machine; 0: none
	acknowledged bool   // by the holder, for exactly that revision
	fence        Fence  // part of the acknowledgement
	// unacknowledgedSince is valid while the machine is desired and not
	// acknowledged.
	unacknowledgedSince time.Time
	// removalRevision is the revision of the records on which the last write without
	// the machine was based; 0: none was sent. That write may still be executed while
	// the record is not newer.
	removalRevision uint64
}

// request makes the machine desired, unless it is left to its holder.
func (m *machine) request(now time.Time) {
	if m.desired || m.leftToHolder {
		return
	}
	m.desired, m.desiredSince, m.unacknowledgedSince = true, now, now
}

// cancel makes the machine undesired until it is requested again.
func (m *machine) cancel() {
	m.desired, m.leftToHolder, m.lastHeartbeat = false, false, time.Time{}
}

// observe records the state in the key-value store.
func (m *machine) observe(record Record, now time.Time) {
	if m.acknowledged && !record.Acknowledged {
		m.unacknowledgedSince = now
	}
	m.revision, m.acknowledged, m.fence = record.Revision, record.Acknowledged, record.Fence
}

// expire makes the machine undesired after a timeout. A machine that sends no heartbeats
// here either reaches its holder or has failed; one that is not acknowledged drops its
// tasks. Both cases are left to the holder.
func (m *machine) expire(timing Timing, now time.Time) {
	switch {
	case !m.desired:
	case m.isSilent(timing, now):
		m.desired = false
	case !m.acknowledged && now.Sub(m.unacknowledgedSince) > timing.DelegationTimeout:
		m.desired, m.leftToHolder = false, true
	}
}

// isSilent reports whether a desired machine has not sent its first heartbeat in time, or
// has sent none for so long that it has dropped its tasks.
func (m *machine) isSilent(timing Timing, now time.Time) bool {
	if m.lastHeartbeat.IsZero() {
		return now.Sub(m.desiredSince) > timing.DelegationTimeout
	}
	return now.Sub(m.lastHeartbeat) > timing.WorkerExpiry
}

// canAnswer reports whether the holder relies on this controller to answer heartbeats of
// the machine, and no pending removal can change that.
func (m *machine) canAnswer() bool {
	return m.desired && m.acknowledged && m.revision > m.removalRevision
}
