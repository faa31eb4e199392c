package heartbeatproxy

import (
	"maps"
	"slices"
	"time"
)

// Timing holds the bounds on how long a machine stays delegated.
type Timing struct {
	// DelegationTimeout is how long a desired machine may take to send its first
	// heartbeat here, and how long the holder may take to acknowledge it.
	DelegationTimeout time.Duration
	// WorkerExpiry is the silence after which a worker has dropped its tasks.
	WorkerExpiry time.Duration
}

// Record is what the key-value store shows of a machine. Only a record counts
// that the present session of this controller wrote under the shard's present
// fencing token.
type Record struct {
	Revision     uint64 // of the record that lists the machine
	Acknowledged bool   // the shard's present holder has acknowledged that revision for the machine
	Fence        Fence  // with the acknowledgement
}

// Fence is what the holder has done so that its unanswered direct starts have no
// effect on a machine any more once a proxy has answered it.
type Fence struct {
	// Token is the fencing token that the machine was given for this; 0: none
	// was. A worker that has seen it refuses what was sent before.
	Token uint64
	// Starts are the attempts that were sent before. One of them may reach the
	// worker between a heartbeat and its response, so every response has to stop
	// those whose jobs have ended, whether or not the heartbeat lists them.
	Starts []Attempt
}

// Attempt names an attempt of a task.
type Attempt struct {
	Task   string
	Number uint64
}

// Delegation is the set of machines of one shard that a controller answers for,
// or wants to. It is not safe for concurrent use.
type Delegation struct {
	timing   Timing
	active   bool // the holder is unreachable
	machines map[string]*machine
}

// New returns an inactive delegation of no machines.
func New(t Timing) *Delegation { return &Delegation{timing: t, machines: map[string]*machine{}} }

func (d *Delegation) getOrAdd(name string) *machine {
	m := d.machines[name]
	if m == nil {
		m = &machine{}
		d.machines[name] = m
	}
	return m
}

// Activate begins answering for the holder, which is unreachable. names are its
// machines in this controller's zone. All of them become desired at once, not
// only when they turn to this controller: the workers that are cut off need an
// answer before their leases expire. It does nothing on an active delegation.
func (d *Delegation) Activate(names []string, now time.Time) {
	if d.active {
		return
	}
	d.active = true
	for _, name := range names {
		d.getOrAdd(name).request(now)
	}
}

// IsActive reports whether the holder is taken for unreachable.
func (d *Delegation) IsActive() bool { return d.active }

// Deactivate ends answering for the holder: it is reachable again, or there is
// no other holder. No heartbeat is answered from now on; the records are to be
// removed as Desired shows.
func (d *Delegation) Deactivate() {
	d.active = false
	for _, m := range d.machines {
		m.cancel()
	}
}

// RecordHeartbeat records that a machine of this controller's zone has sent a
// heartbeat here, and makes it desired.
func (d *Delegation) RecordHeartbeat(name string, now time.Time) {
	if !d.active {
		return
	}
	m := d.getOrAdd(name)
	m.lastHeartbeat = now
	m.request(now)
}

// ObserveRecords records what the key-value store shows, by machine. It returns, of each
// machine that may be answered from now on, for how long it was desired and not
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

// Desired returns the sorted names of the machines that the records should list.
// Those whose time has run out are dropped first.
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

// NeedsWrite reports whether the records have to be written, given what they
// show: they don't list what is desired, or a removal that is not known to have
// failed may still take a desired machine out of them.
func (d *Delegation) NeedsWrite(desired []string, records map[string]Record) bool {
	if !slices.Equal(desired, slices.Sorted(maps.Keys(records))) {
		return true
	}
	return slices.ContainsFunc(desired, func(name string) bool {
		m := d.machines[name]
		return m != nil && m.removalRevision >= records[name].Revision
	})
}

// BeginRemoval must be called before a write is sent that lists only the kept
// machines, given in order. revision is that of the copy of the records which
// the write is based on. The other machines are not answered any more until a
// record newer than that lists them: before then the write may be carried out
// at any time, even if it went without a response.
func (d *Delegation) BeginRemoval(kept []string, revision uint64) {
	for name, m := range d.machines {
		if _, isKept := slices.BinarySearch(kept, name); !isKept && m.revision != 0 {
			m.removalRevision = revision
		}
	}
}

// CanAnswer reports whether a heartbeat of the machine may be answered. Besides,
// the caller must hold its own lease, and a copy of the records that is recent
// enough to act on.
func (d *Delegation) CanAnswer(name string) bool {
	m := d.machines[name]
	return d.active && m != nil && m.canAnswer()
}

// AwaitsAcknowledgement reports whether a heartbeat of the machine may be answered as soon
// as the records show that the holder has acknowledged it.
func (d *Delegation) AwaitsAcknowledgement(name string) bool {
	m := d.machines[name]
	return d.active && m != nil && m.desired && !m.canAnswer()
}

// Fence returns the fence of a machine. Every response to one that has a fence
// must carry its token, and stop those of its starts whose jobs have ended.
func (d *Delegation) Fence(name string) Fence {
	if m := d.machines[name]; m != nil {
		return m.fence
	}
	return Fence{}
}

// CountAnswerable returns the number of machines that CanAnswer holds for.
func (d *Delegation) CountAnswerable() int {
	n := 0
	for name := range d.machines {
		if d.CanAnswer(name) {
			n++
		}
	}
	return n
}

// IsEmpty reports whether no machine is desired or listed, so that the
// delegation can be discarded.
func (d *Delegation) IsEmpty() bool { return !d.active && len(d.machines) == 0 }
