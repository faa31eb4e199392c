package heartbeatproxy

import (
	"maps"
	"slices"
	"time"
)

// Timing holds the bounds on how long a machine stays delegated.
type Timing struct {
	// DelegationTimeout bounds the time until a desired machine sends its first
	// heartbeat here, and the time until the holder acknowledges it.
	DelegationTimeout time.Duration
	// WorkerExpiry is the silence after which a worker has dropped its tasks.
	WorkerExpiry time.Duration
}

// Record is the state of a machine's delegation in the key-value store. Only records
// written by the current session of this controller under the shard's current fencing
// token are valid.
type Record struct {
	Revision     uint64 // of the record that lists the machine
	Acknowledged bool   // the shard's current holder has acknowledged that revision for the machine
	Fence        Fence  // part of the acknowledgement
}

// Fence prevents unanswered direct starts of the holder from taking effect on a machine
// after a proxy has answered the machine's heartbeat.
type Fence struct {
	// Token is the fencing token issued to the machine for this purpose; 0 if none was
	// issued. A worker that has received it rejects messages with older tokens.
	Token uint64
	// Starts are the attempts whose starts were sent before. One of them may reach the
	// worker between a heartbeat and its response, so every response must stop those
	// whose jobs have ended, whether or not the heartbeat lists them.
	Starts []Attempt
}

// Attempt names an attempt of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// Delegation is the set of machines of one shard whose heartbeats a controller answers or
// intends to answer. It is not safe for concurrent use.
type Delegation struct {
	timing   Timing
	active   bool // the holder is unreachable
	machines map[string]*machine
}

// New returns an inactive delegation without machines.
func New(t Timing) *Delegation { return &Delegation{timing: t, machines: map[string]*machine{}} }

func (d *Delegation) getOrAdd(name string) *machine {
	m := d.machines[name]
	if m == nil {
		m = &machine{}
		d.machines[name] = m
	}
	return m
}

// Activate begins answering in place of the unreachable holder. names are the holder's
// machines in this controller's zone. All of them become desired at once, before they
// contact this controller, because workers that can't reach the holder need a response
// before their leases expire. Activate has no effect on an active delegation.
func (d *Delegation) Activate(names []string, now time.Time) {
	if d.active {
		return
	}
	d.active = true
	for _, name := range names {
		d.getOrAdd(name).request(now)
	}
}

// IsActive reports whether the holder is considered unreachable.
func (d *Delegation) IsActive() bool { return d.active }

// Deactivate stops answering in place of the holder, because the holder is reachable again
// or the shard has no other holder. Heartbeats are no longer answered, and Desired no
// longer returns the machines, so that the caller removes their records.
func (d *Delegation) Deactivate() {
	d.active = false
	for _, m := range d.machines {
		m.cancel()
	}
}

// RecordHeartbeat records a heartbeat that a machine of this controller's zone has sent to
// this controller, and makes the machine desired.
func (d *Delegation) RecordHeartbeat(name string, now time.Time) {
	if !d.active {
		return
	}
	m := d.getOrAdd(name)
	m.lastHeartbeat = now
	m.request(now)
}

// ObserveRecords records the state in the key-value store, by machine. For each machine
// that may be answered from now on, it returns how long the machine was desired but not
// acknowledged.
func (d *Delegation) ObserveRecords(records map[string]Record, now time.Time) (delays []time.Duration) {
	for name := range records {
		d.getOrAdd(name)
	}
	for name, m := range d.machines {
		could := m.canAnswer()
		m.observe(records[name], now)
		if d.active && m.canAnswer() && !could {
			delays = append(delays, now.Sub(m.unacknowledgedSince))
		}
	}
	return delays
}

// Desired returns the sorted names of the machines that the records should list, after
// dropping those that have timed out.
func (d *Delegation) Desired(now time.Time) []string {
	var names []string
	for name, m := range d.machines {
		m.expire(d.timing, now)
		if m.desired {
			names = append(names, name)
		} else if m.revision == 0 && !d.active {
			delete(d.machines, name)
		}
	}
	slices.Sort(names)
	return names
}

// NeedsWrite reports whether the records must be written: either they don't list exactly
// the desired machines, or a pending removal whose result is unknown may still remove a
// desired machine from them.
func (d *Delegation) NeedsWrite(desired []string, records map[string]Record) bool {
	if !slices.Equal(desired, slices.Sorted(maps.Keys(records))) {
		return true
	}
	return slices.ContainsFunc(desired, func(name string) bool {
		m := d.machines[name]
		return m != nil && m.removalRevision >= records[name].Revision
	})
}

// BeginRemoval must be called before a write is sent that lists only the kept machines,
// which are given in sorted order. revision is the revision of the records on which the
// write is based. The other machines are not answered until a newer record lists them:
// until then the write may be executed at any time, even if it got no response.
func (d *Delegation) BeginRemoval(kept []string, revision uint64) {
	for name, m := range d.machines {
		if _, isKept := slices.BinarySearch(kept, name); !isKept && m.revision != 0 {
			m.removalRevision = revision
		}
	}
}

// CanAnswer reports whether a heartbeat of the machine may be answered. The caller must
// additionally hold a valid lease and a sufficiently recent copy of the records.
func (d *Delegation) CanAnswer(name string) bool {
	m := d.machines[name]
	return d.active && m != nil && m.canAnswer()
}

// AwaitsAcknowledgement reports whether the machine is desired but its heartbeats can't be
// answered until the records show the holder's acknowledgement.
func (d *Delegation) AwaitsAcknowledgement(name string) bool {
	m := d.machines[name]
	return d.active && m != nil && m.desired && !m.canAnswer()
}

// Fence returns the fence of a machine. Every response to a fenced machine must carry the
// fence's token, and stop those of its starts whose jobs have ended.
func (d *Delegation) Fence(name string) Fence {
	if m := d.machines[name]; m != nil {
		return m.fence
	}
	return Fence{}
}

// CountAnswerable returns the number of machines for which CanAnswer is true.
func (d *Delegation) CountAnswerable() int {
	n := 0
	for name := range d.machines {
		if d.CanAnswer(name) {
			n++
		}
	}
	return n
}

// IsEmpty reports whether the delegation is inactive and no machine is desired or listed,
// so that it can be discarded.
func (d *Delegation) IsEmpty() bool { return !d.active && len(d.machines) == 0 }
