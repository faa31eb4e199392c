package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/failuredetector"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// machineState is the state of the holder's information on the tasks of a machine.
type machineState uint8

const (
	// machineUnreconciled: the machine was granted before this holder acquired
	// the shard, and its worker has not yet sent a heartbeat with this
	// holder's fencing token. A task missing from its heartbeats does not
	// count as absent, since a start sent by an earlier holder may still
	// arrive.
	machineUnreconciled machineState = iota
	// machineReconciled: the holder's list of the tasks on the machine is complete.
	machineReconciled
	// machineExpired: the worker has been silent for longer than its lease, or
	// the cloud has removed the machine. All its tasks have ended.
	machineExpired
)

// machine is a machine leased to a shard.
//
// Its state is that of the holder's information on its tasks. These are the
// transitions and the functions that make them:
//
//	(new)         -> reconciled   newMachine: granted under this lease, so it was
//	                              empty, and no other holder can have started
//	                              anything on it since
//	(new)         -> unreconciled newMachine: granted earlier
//	unreconciled  -> reconciled   markReconciled: heartbeat with this holder's token
//	unreconciled  -> expired      markLost: silent for longer than its lease
//	reconciled    -> expired      markLost: as above, or removed by the cloud
//	expired       -> reconciled   markReturned: heartbeat of a new session
//
// The other flags are independent of one another and of the state. Whether the
// machine gets tasks depends on all of them: see isSchedulable.
//
//	health             set by detectFailures, and to healthy by any message of the
//	                   worker: how long it has been silent, before its lease expires
//	removed            set by planTick, never cleared: the cloud's list lacks it.
//	                   The machine is expired as well, and released.
//	cordoned           set by recordTaskError, never cleared: its tasks fail. They
//	                   are stopped, and the machine is released.
//	slow               set by detectSlowMachines, never cleared: its tasks may end,
//	                   then the machine is released
//	reclaimAt          set and cleared by recordReclaimNotice, as the worker reports
//	                   it: the cloud will take the machine away
//	draining           set by consolidate, cleared by it when work is pending: its
//	                   tasks continue elsewhere, then the machine is released
//	releasing          set by scaleIn, never cleared: empty, and left out of the
//	                   next grant. removeMachine follows once the grant lacks it.
//	runsUnreadableJob  set and cleared by each heartbeat: it lists a task whose
//	                   job's record can't be decoded
//	orphans            likewise: it lists tasks that should not be there
type machine struct {
	lease     storage.MachineLease
	grantedAt time.Time // when it was granted under this lease; zero: before
	capacity  placement.Resources
	used      placement.Resources
	address   string

	// Its tasks.
	attempts     map[taskKey]*taskAttempt
	tasksToClear map[taskKey]uint64 // ended tasks that the worker may delete, with their attempts
	orphans      map[taskKey]uint64 // reported tasks that do not belong on the machine, to be stopped
	images       map[string]bool    // images fetched for tasks of this holder
	taskErrors   int                // consecutive errors that are attributed to the machine
	idleSince    time.Time

	// Messages from and to its worker.
	exchange      dispatch.Exchange[taskKey]
	direct        directState
	lastHeartbeat time.Time // the newest heartbeat, or answer to a direct message
	lastAnswered  time.Time // the last answer that may have renewed the worker's lease
	fenceToken    uint64    // newer fencing token that it got when it was delegated, see delegation_fences.go; 0: none
	shardFence    uint64    // its shard's fence, if the machine uses it, see shard_fences.go; 0: none

	// Its condition, see above.
	state             machineState
	health            failuredetector.State // whether the failure detector permits new tasks on it
	removed           bool                  // the leader reported that the cloud has removed it
	cordoned          bool                  // gets no tasks and is to be replaced
	slow              bool                  // its tasks take much longer than others of the same jobs
	reclaimAt         time.Time             // when the cloud takes it away; zero: no notice
	draining          bool                  // being emptied, to be released
	releasing         bool                  // to be released; stays set until the grant lacks it
	runsUnreadableJob bool                  // runs tasks of a job whose record can't be decoded
	zoneIndex         int                   // number of its zone, see failureDetector.zoneIndex
}

// newMachine returns a machine that a grant record contains for the first
// time. grantedNow is set if it was granted under the holder's present lease.
func newMachine(lease storage.MachineLease, size placement.Resources, grantedNow bool, now time.Time) *machine {
	m := &machine{
		lease:        lease,
		capacity:     size,
		attempts:     map[taskKey]*taskAttempt{},
		tasksToClear: map[taskKey]uint64{},
		orphans:      map[taskKey]uint64{},
		images:       map[string]bool{},
		lastAnswered: now,
		idleSince:    now,
	}
	if grantedNow {
		m.state = machineReconciled
		m.grantedAt = now
	}
	return m
}

// isReconciled reports whether the holder has a complete list of what runs on the
// machine: only then does a task that its worker does not list count as absent.
func (m *machine) isReconciled() bool { return m.state != machineUnreconciled }

// isExpired reports whether the machine is expired: all its tasks have ended.
func (m *machine) isExpired() bool { return m.state == machineExpired }

// markReconciled records that the worker has received this holder's fencing token.
func (m *machine) markReconciled() {
	if m.state == machineUnreconciled {
		m.state = machineReconciled
	}
}

// markReturned records a heartbeat of a machine that had expired: it has returned
// without tasks.
func (m *machine) markReturned(now time.Time) {
	m.state = machineReconciled
	m.idleSince = now
}

// markLost handles a machine that has certainly dropped all its tasks.
func (s *shard) markLost(m *machine) {
	m.state = machineExpired
	m.exchange.ReleaseAll()
	clear(m.orphans)
	clear(m.tasksToClear)
	for _, attempt := range m.attempts {
		s.dropAttempt(attempt, dropMachineLost)
	}
}

// cordon excludes a machine from placement because tasks fail on it.
func (m *machine) cordon() {
	m.cordoned = true
	slog.Warn("machine cordoned: its tasks fail", "machine", m.lease.Machine)
}

// recordReclaimNotice records the cloud's notice, forwarded by the worker,
// that it will reclaim the machine in the given number of seconds; nil: no notice. The
// first notice sets the time, since later ones repeat it with some delay.
func (m *machine) recordReclaimNotice(seconds *float64, now time.Time) {
	if seconds == nil {
		m.reclaimAt = time.Time{}
		return
	}
	if m.reclaimAt.IsZero() {
		m.reclaimAt = now.Add(time.Duration(*seconds * float64(time.Second)))
		slog.Info("machine reclaim announced", "machine", m.lease.Machine, "in_s", *seconds)
	}
}

// hasReported reports whether the machine has sent a heartbeat to this holder.
func (m *machine) hasReported() bool { return m.exchange.HasReported() }

// freeCapacity returns the capacity that placed tasks leave unused.
func (m *machine) freeCapacity() placement.Resources { return m.capacity.Sub(m.used) }

// mayRunUnreportedTasks reports whether the machine may run tasks that were not
// reported to this holder.
func (m *machine) mayRunUnreportedTasks() bool {
	return !m.isReconciled() || m.runsUnreadableJob || len(m.orphans) > 0
}

// isInService reports whether the shard counts on the machine, even if no task
// can be placed on it at the moment.
func (m *machine) isInService() bool {
	return !m.isExpired() && !m.cordoned && !m.slow && !m.releasing && m.reclaimAt.IsZero()
}

// isSchedulable reports whether new tasks may be placed on the machine, unless
// it is being drained.
func (m *machine) isSchedulable() bool {
	return m.hasReported() && m.health == failuredetector.Healthy && m.isInService() && !m.mayRunUnreportedTasks()
}

// acceptsTasks reports whether the planner may place tasks on the machine.
func (m *machine) acceptsTasks() bool {
	return m.isSchedulable() && !m.draining && m.freeTaskSlots() > 0
}

// reservedTaskSlots is the number of a machine's task slots that tiny tasks leave to others: the
// machine's capacity would be idle if tasks that take next to none of it had all slots.
const reservedTaskSlots = protocol.MaxReportedTasks / 8

// slotsFor returns how many tasks with the given needs may have one of the free slots of a
// machine. Tasks are tiny if more of them fit on the empty machine than it has slots.
func slotsFor(freeSlots int, capacity, need placement.Resources) int {
	if freeSlots <= 0 {
		return 0
	}
	if isTiny := capacity.CountFitting(need) > protocol.MaxReportedTasks; isTiny {
		return max(0, freeSlots-reservedTaskSlots)
	}
	return freeSlots
}

// hasSlotFor reports whether the machine has a slot for one more task of a job.
func (m *machine) hasSlotFor(j *job) bool {
	free := m.freeTaskSlots()
	return free > reservedTaskSlots || slotsFor(free, m.capacity, j.taskResources) > 0
}

// freeTaskSlots returns how many more tasks the machine's heartbeats can list. A task takes
// a slot from its placement until a heartbeat shows that the worker has cleared it.
func (m *machine) freeTaskSlots() int {
	return protocol.MaxReportedTasks - len(m.attempts) - len(m.tasksToClear) - len(m.orphans)
}

// machineKind is a machine type in a zone, spot or on demand.
type machineKind struct {
	MachineType string `cbor:"Breed"`
	Zone        string `cbor:"Zone"`
	Spot        bool   `cbor:"Spot"`
}

// machineRequest is a number of machines of one kind.
type machineRequest struct {
	Kind  machineKind `cbor:"Kind"`
	Count int         `cbor:"Count"`
}

// kind returns the machine's type, zone and price class.
func (m *machine) kind() machineKind {
	return machineKind{m.lease.MachineType, m.lease.Zone, m.lease.Spot}
}

// expireSilentMachines drops the tasks of machines whose workers have been
// silent for longer than their lease.
func (s *shard) expireSilentMachines(now time.Time, leaseTimeout time.Duration) {
	for _, m := range s.machines {
		if !m.isExpired() && now.Sub(m.lastAnswered) > leaseTimeout {
			slog.Warn("machine lease expired: no heartbeat, tasks lost", "machine", m.lease.Machine, "tasks", len(m.attempts))
			s.markLost(m)
		}
	}
	s.updateReconciled()
}

// detectSlowMachines marks machines on which at least two tasks, and at least
// half of all, run much longer than other tasks of the same job. No more tasks
// are placed there; running ones are left to finish, since starting them again
// would take as long.
func (s *shard) detectSlowMachines(now time.Time) {
	for _, m := range s.machines {
		overrunning := 0
		for _, attempt := range m.attempts {
			if attempt.isOverrunning(now) {
				overrunning++
			}
		}
		if !m.slow && overrunning >= 2 && 2*overrunning >= len(m.attempts) {
			m.slow = true
			slog.Warn("machine cordoned: its tasks are slow", "machine", m.lease.Machine, "slow_tasks", overrunning, "tasks", len(m.attempts))
		}
	}
}
