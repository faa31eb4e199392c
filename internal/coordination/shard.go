package coordination

import (
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/latency"
	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

// shard is a unit of jobs, machine leases and quota shares that this controller holds.
//
// Its life cycle:
//
//	acquired    by newShard, when the shard's lease names this controller: the
//	            machines may run tasks of an earlier holder, so jobs older than
//	            the lease are unconfirmed, and machines that have not reported
//	            count in full against every quota
//	reconciled  by updateReconciled, once each of the machines has reported or
//	            expired: tasks that no heartbeat lists are absent, and all jobs
//	            are confirmed
//	lost        when the lease names another holder or has a newer revision: the
//	            Node discards the shard and all its state
//
// A machine granted under the current lease leaves the shard reconciled; one that was
// granted earlier and appears late returns the shard to acquired, except for jobs that
// are already confirmed. For the life cycles of the shard's content see job, machine and
// taskAttempt.
type shard struct {
	index        int
	fencingToken uint64
	revision     uint64
	acquiredAt   time.Time
	reconciled   bool
	attemptCount uint64 // attempts placed under this lease

	machines    map[string]*machine
	machineList []*machine // machines sorted by name; nil if out of date
	// All machines that may run unreported tasks, and possibly some that no
	// longer do. The set avoids an iteration over all machines for each heartbeat.
	unconfirmed map[*machine]bool

	jobs  map[string]*job
	queue []*job // jobs with pending tasks, in the order of the last plan
	// Jobs whose records can't be decoded, which are left unchanged.
	unreadable map[string]bool

	// Quota, by team.
	shares    map[string]storage.Resources // limits of the shard's usage
	used      map[string]storage.Resources // usage of its attempts
	shareCaps map[string]storage.Resources // fair shares, for teams whose quota another shard is short of

	// From the leader's last reply.
	booting        []machineRequest
	bootingVersion uint64
	bootBatches    map[machineKind][]bootBatch // batches of booting machines, oldest first

	// Demand reported to the leader, as of the last plan.
	scaleOut      []machineRequest
	desired       map[string]storage.Resources // by team: usage plus needs of pending tasks
	smallestTask  map[string]storage.Resources // by team: the minimum that a pending task needs
	suitableKinds []machineKind

	// Reported to the other controllers, with the state from which it is derived.
	stalls             map[string]*shareStall       // by team: shares for which the shard lacks machines
	startable          map[string]storage.Resources // the part of desired that the shard has machines for, for teams whose share is stalled
	spareCapacity      []spareCapacity              // free capacity that no pending task of the shard can use
	migrationCheckedAt time.Time                    // when migrations to spare capacity elsewhere were last checked

	// The newest fence of the shard, see shard_fences.go.
	fenceToken uint64    // 0: none
	fencedAt   time.Time // when its token was first known

	// Writes of the grant, see writeGrants.
	grantWritePending bool      // a write of the grant has not been answered yet
	grantRevision     uint64    // revision of the last grant write that succeeded
	grantWrittenAt    time.Time // when that write succeeded
	grantAttemptedAt  time.Time // when the last write began
	sharesLoweredAt   time.Time // when the quota shares were last lowered

	// Conditions that wake the loops.
	capacityFreed bool // capacity has been freed since tasks were last placed
	dirty         bool // a change requires a plan or write without delay

	latency *latency.Recorder
	guards  dispatch.DisabledGuards // tests disable them one at a time
}

// newShard returns a newly acquired shard without machines and jobs.
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
		bootBatches:  map[machineKind][]bootBatch{},
	}
}

// machineToken returns the fencing token to send to the workers of a machine: the newest
// of the tokens of the shard, of the machine lease and of the fences that it uses.
func (s *shard) machineToken(m *machine) uint64 {
	return max(s.fencingToken, m.lease.FencingToken, m.fenceToken, m.shardFence)
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
		// A newer token means that the machine was released and granted again.
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

// removeMachine removes a machine that is no longer granted, with its tasks.
func (s *shard) removeMachine(m *machine) {
	for _, attempt := range m.attempts {
		s.dropAttempt(attempt, dropUngranted)
	}
	delete(s.machines, m.lease.Machine)
}

// unreportedCapacity sums the free capacity of machines that may run unreported tasks. It
// counts in full against every team's quota.
func (s *shard) unreportedCapacity() storage.Resources {
	var total storage.Resources
	for m := range s.unconfirmed {
		if s.machines[m.lease.Machine] != m || !m.mayRunUnreportedTasks() {
			delete(s.unconfirmed, m)
			continue
		}
		total.Cores += max(0, m.capacity[placement.Cores]-m.used[placement.Cores])
		total.GPUs += max(0, m.capacity[placement.GPUs]-m.used[placement.GPUs])
	}
	return total
}

// updateReconciled marks the shard as reconciled once every machine is; from then on, tasks
// that no heartbeat lists are absent.
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

// bootingCount returns the number of the shard's booting machines.
func (s *shard) bootingCount() int {
	count := 0
	for _, request := range s.booting {
		count += request.Count
	}
	return count
}
