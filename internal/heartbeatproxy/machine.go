package heartbeatproxy

import "time"

// machine is the delegation of one machine: what this controller wants, and
// what the key-value store shows.
type machine struct {
	desired      bool // it is to be listed in a record
	desiredSince time.Time
	// leftToHolder keeps it from becoming desired again before the holder is
	// reachable: the holder does not acknowledge it.
	leftToHolder  bool
	lastHeartbeat time.Time // to this controller; zero: none

	revision     uint64 // of the record that lists it; 0: none does
	acknowledged bool   // by the holder, under that very revision
	fence        Fence  // with the acknowledgement
	// unacknowledgedSince is valid while the machine is desired and not
	// acknowledged.
	unacknowledgedSince time.Time
	// removalRevision is the revision of the records as of which the last write
	// without the machine was sent; 0: none was. That write may be carried out
	// later for as long as the record is not newer.
	removalRevision uint64
}

// request makes the machine desired, unless it is left to its holder.
func (m *machine) request(now time.Time) {
	if m.desired || m.leftToHolder {
		return
	}
	m.desired, m.desiredSince, m.unacknowledgedSince = true, now, now
}

// cancel ends what this controller wants, until it is requested again.
func (m *machine) cancel() {
	m.desired, m.leftToHolder, m.lastHeartbeat = false, false, time.Time{}
}

// observe records what the key-value store shows.
func (m *machine) observe(record Record, now time.Time) {
	if m.acknowledged && !record.Acknowledged {
		m.unacknowledgedSince = now
	}
	m.revision, m.acknowledged, m.fence = record.Revision, record.Acknowledged, record.Fence
}

// expire ends a desire that has come to nothing. A machine that sends no
// heartbeats here reaches its holder, or is dead; one that is not acknowledged
// drops its tasks. Both are for the holder to judge.
func (m *machine) expire(timing Timing, now time.Time) {
	switch {
	case !m.desired:
	case m.isSilent(timing, now):
		m.desired = false
	case !m.acknowledged && now.Sub(m.unacknowledgedSince) > timing.DelegationTimeout:
		m.desired, m.leftToHolder = false, true
	}
}

// isSilent reports whether a desired machine has not sent a first heartbeat in
// time, or none for so long that it has dropped its tasks.
func (m *machine) isSilent(timing Timing, now time.Time) bool {
	if m.lastHeartbeat.IsZero() {
		return now.Sub(m.desiredSince) > timing.DelegationTimeout
	}
	return now.Sub(m.lastHeartbeat) > timing.WorkerExpiry
}

// canAnswer reports whether the holder counts on heartbeats of the machine being
// answered here, and will for as long as they are.
func (m *machine) canAnswer() bool {
	return m.desired && m.acknowledged && m.revision > m.removalRevision
}
