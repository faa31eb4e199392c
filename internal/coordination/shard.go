package coordination

import (
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/latency"
	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

// shard is a unit of jobs, machine leases and quota shares that this controller
// holds.
//
// Its life cycle:
//
//	acquired    newShard, when the shard's lease names this controller: its
//	            machines may run tasks of an earlier holder, so jobs older than
//	            the lease are unconfirmed and machines that have not reported
//	            count in full against every quota
//	reconciled  updateReconciled, once each of its machines has reported or
//	            expired: what is not listed is absent, and all jobs are confirmed
//	lost        when the lease names another holder, or has a newer revision: the
//	            Node discards the shard, and with it all that was known
//
// A machine granted under the present lease leaves the shard reconciled; one
// granted earlier that shows up late makes it acquired again, but for the jobs
// that are confirmed already. What is in the shard has life cycles of its own:
// see job, machine and taskAttempt.
type shard struct {
	index        int
	fencingToken uint64
	revision     uint64
	acquiredAt   time.Time
	reconciled   bool
	attemptCount uint64 // attempts placed under this lease

	machines    map[string]*machine
	machineList []*machine // machines by name; nil: to be sorted again
	// All machines that may run tasks which no heartbeat has reported, and
	// perhaps some that no longer do. It is kept as a set so that a heartbeat
	// does not cost a look at every machine.
	unconfirmed map[*machine]bool

	jobs  map[string]*job
	queue []*job // jobs with pending tasks, in the order of the last plan
	// Jobs whose records can't be decoded: they are left as they are.
	unreadable map[string]bool

	// Quota, by team.
	shares    map[string]storage.Resources // what the shard may use
	used      map[string]storage.Resources // what its attempts use
	shareCaps map[string]storage.Resources // fair shares of teams that another shard is short of

	// What the leader last answered.
	booting        []machineRequest
	bootingVersion uint64
	boots          map[machineKind][]bootBatch // batches of booting machines, oldest first

	// What this controller asks of the leader, as the last plan found it.
	scaleOut      []machineRequest
	desired       map[string]storage.Resources // by team: used and pending
	smallestTask  map[string]storage.Resources // the least that a pending task needs, by team
	suitableKinds []machineKind

	// What the other controllers are told of this shard's machines.
	stalls        map[string]*shareStall       // shares that no machine can use, by team
	startable     map[string]storage.Resources // what of desired there are machines for, of teams whose share is stalled
	room          []machineRoom                // free capacity that no task of the shard takes
	roomCheckedAt time.Time                    // when it was last looked whether jobs should go to room in another shard

	// Writes of the grant, see writeGrants.
	grantWritePending bool      // a write of the grant has not been answered yet
	grantRevision     uint64    // revision of the last grant write that succeeded
	grantWrittenAt    time.Time // when that one succeeded
	grantAttemptedAt  time.Time // when the last write began
	sharesLoweredAt   time.Time // when the quota shares were last lowered

	// What wakes the loops.
	capacityFreed bool // capacity has been freed since tasks were last placed
	dirty         bool // something changed that the next plan or write should not wait for

	latency *latency.Recorder
	guards  dispatch.DisabledGuards // disabled one at a time by tests
}

// newShard returns a shard that this controller has just acquired, without
// machines and jobs.
func newShard(index int, record storage.ShardLease, revision uint64, now time.Time) *shard {
	return &shard{
		index:        index,
		fencingToken: record.FencingToken,
		revision:     revision,
		acquiredAt:   now,
		machines:     map[string]*machine{},
		unconfirmed:  map[*machine]bool{},
		jobs:         map[string]*job{},
		shares:       map[string]storage.Resources{},
		used:         map[string]storage.Resources{},
		shareCaps:    map[string]storage.Resources{},
		desired:      map[string]storage.Resources{},
		smallestTask: map[string]storage.Resources{},
		stalls:       map[string]*shareStall{},
		startable:    map[string]storage.Resources{},
		boots:        map[machineKind][]bootBatch{},
	}
}

// machineToken returns the fencing token that workers of this machine are
// given: the newest of the shard's, that of the machine lease and that of a fence.
func (s *shard) machineToken(m *machine) uint64 {
	return max(s.fencingToken, m.lease.FencingToken, m.fenceToken)
}

// setGrant applies a changed grant record.
func (s *shard) setGrant(grant storage.Grant, machineSize func(string) (placement.Resources, bool), now time.Time) {
	s.shares = grant.Quotas
	if s.shares == nil {
		s.shares = map[string]storage.Resources{}
	}
	s.machineList = nil
	granted := map[string]bool{}
	for _, lease := range grant.Machines {
		granted[lease.Machine] = true
		known := s.machines[lease.Machine]
		// A newer token: the machine was released and granted again.
		if known == nil || lease.FencingToken > known.lease.FencingToken {
			size, _ := machineSize(lease.MachineType)
			s.addMachine(lease, size, now)
		}
	}
	for _, m := range s.machines {
		if !granted[m.lease.Machine] {
			s.removeMachine(m)
		}
	}
}

// addMachine adds a newly granted machine to the shard.
func (s *shard) addMachine(lease storage.MachineLease, size placement.Resources, now time.Time) {
	grantedNow := lease.FencingToken > s.fencingToken
	m := newMachine(lease, size, grantedNow, now)
	s.machines[lease.Machine] = m
	s.unconfirmed[m] = true
	s.reconciled = s.reconciled && grantedNow
}

// removeMachine removes a machine that the grant lacks, with its tasks.
func (s *shard) removeMachine(m *machine) {
	for _, attempt := range m.attempts {
		s.dropAttempt(attempt)
	}
	delete(s.machines, m.lease.Machine)
}

// unreportedCapacity sums the free capacity of machines that may run unreported
// tasks: it counts in full against every team's quota.
func (s *shard) unreportedCapacity() storage.Resources {
	var total storage.Resources
	for m := range s.unconfirmed {
		if s.machines[m.lease.Machine] != m || !m.mayRunUnreportedTasks() {
			delete(s.unconfirmed, m)
			continue
		}
		total.Cores += max(0, m.size[placement.Cores]-m.used[placement.Cores])
		total.GPUs += max(0, m.size[placement.GPUs]-m.used[placement.GPUs])
	}
	return total
}

// updateReconciled marks the shard as reconciled once every machine is; from
// then on a task that no heartbeat lists is absent.
func (s *shard) updateReconciled() {
	if s.reconciled {
		return
	}
	for m := range s.unconfirmed {
		if s.machines[m.lease.Machine] == m && !m.isReconciled() {
			return
		}
	}
	s.reconciled, s.dirty = true, true
	for _, j := range s.jobs {
		s.recordConfirmed(j)
		j.unconfirmed = false
	}
}

// bootingCount counts the machines that boot for the shard.
func (s *shard) bootingCount() int {
	count := 0
	for _, request := range s.booting {
		count += request.Count
	}
	return count
}
