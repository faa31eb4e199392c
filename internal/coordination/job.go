package coordination

import (
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// job is an accepted job that has not ended, as its shard's holder sees it.
//
// It enters the shard with addJob and leaves it with endJob, once its record is
// gone or shows another shard. In between its tasks may be placed while the job
// is startable: none of five conditions keeps them back. These are independent
// flags rather than one state, since each is set and cleared by an event of its
// own, and several may hold at once:
//
//	unconfirmed  set by addJob for a job older than this holder's lease, cleared
//	             by updateReconciled
//	blocked      set by newJob for a job with dependencies, cleared by
//	             resolveDependencies
//	migrating    set by migrateJobs, cleared when the write is refused for
//	             certain or, by addJob, once the record has changed
//	leaving      set by updateLeaving, cleared by it when the job is to stay: its
//	             attempts end, then it migrates
//	ended        set by endJob, for good: what still runs is being stopped
//
// Besides, the planner leaves out a job that fails everywhere until retryAfter,
// see recordTaskError.
//
// A task of the job is done, has an attempt, or is pending. It becomes pending
// again when its attempt is dropped before it completed.
type job struct {
	id           string
	spec         protocol.Job
	revision     uint64
	shard        int
	submittedAt  time.Time
	submittedMS  int64
	need         placement.Resources // of one task
	machineTypes map[string]bool     // nil: any

	// Tasks.
	done               storage.IndexSet
	attempts           map[int]*taskAttempt // by task
	unfinishedAttempts int                  // how many of attempts are not in done
	retry              []int                // pending tasks that had an attempt before
	nextTask           int                  // tasks from here on had none, unless adopted

	// The record of completed tasks.
	savedCount int // how many of done the record shows
	savedAt    time.Time
	saving     bool // a write of the record has not been answered yet

	// An unconfirmed job was accepted before this controller acquired the
	// shard, so tasks of it may be running that no heartbeat has reported yet.
	// None of its tasks starts until the shard is reconciled.
	unconfirmed bool
	// A dependency of the job is not known to be completed: none of its tasks
	// starts.
	blocked bool
	// The job is being moved to another shard: none of its tasks is placed
	// until its record has changed.
	migrating bool
	// The record is gone: what still runs has to be stopped.
	ended bool

	migrationTarget      int  // shard; noMigrationTarget once the outcome of the write is known
	unconfirmedMigration bool // a write that was not answered may still be applied

	// Precedence.
	withinGuarantee bool              // it fits within its team's guarantee, see updateWithinGuarantee
	urgency         protocol.Priority // the highest of its own and of its dependents
	deadlineMS      float64           // when it should be done, Unix milliseconds; infinite: no deadline
	preemptions     map[int]int       // by task: how often it was preempted

	// Errors of its tasks, see recordTaskError.
	failedOn   map[string]bool // machines on which tasks failed since one completed
	backoff    time.Duration   // between the last two attempts of a job that fails everywhere
	retryAfter time.Time

	// Waiting beside room in another shard, see migration_to_room.go.
	unplacedSince time.Time  // since when every plan has left a task of it without a machine; zero: the last did not
	waitReason    waitReason // why, as of the last plan
	leavingUntil  time.Time  // until when it is held back to leave the shard; zero: it is not

	// How long its tasks take, to find slow machines.
	measuredTasks   int     // tasks that completed under this holder
	measuredSeconds float64 // how long those ran in total

	// For the latency record.
	receivedAt  time.Time // when this controller received its record
	startableAt time.Time // when its tasks became startable; zero: when it was received
	completedAt time.Time // when its last task was seen to complete
}

// isComplete reports whether all tasks have completed.
func (j *job) isComplete() bool { return j.done.Len() >= j.spec.Tasks }

// isStartable reports whether nothing but a lack of capacity or quota keeps the
// job's tasks from being placed.
func (j *job) isStartable() bool {
	return !j.unconfirmed && !j.blocked && !j.migrating && !j.ended && !j.isLeaving()
}

// pendingTasks counts tasks that are neither completed nor placed.
func (j *job) pendingTasks() int { return j.spec.Tasks - j.done.Len() - j.unfinishedAttempts }

// markDone records a completed task.
func (j *job) markDone(task int) {
	if j.done.Add(task) && j.attempts[task] != nil {
		j.unfinishedAttempts--
	}
}

// isTaskPending reports whether a task is neither completed nor placed.
func (j *job) isTaskPending(task int) bool {
	return !j.done.Contains(task) && j.attempts[task] == nil
}

// takePendingTask returns a task to place, or -1 if there is none.
func (j *job) takePendingTask() int {
	for len(j.retry) > 0 {
		task := j.retry[len(j.retry)-1]
		j.retry = j.retry[:len(j.retry)-1]
		if j.isTaskPending(task) {
			return task
		}
	}
	for ; j.nextTask < j.spec.Tasks; j.nextTask++ {
		if j.isTaskPending(j.nextTask) {
			j.nextTask++
			return j.nextTask - 1
		}
	}
	return -1
}

// addNeed adds what so many tasks of the job need to its team's amount.
func (j *job) addNeed(byTeam map[string]storage.Resources, tasks int) {
	amount := byTeam[j.spec.Team]
	amount.Cores += float64(tasks) * j.need[placement.Cores]
	amount.GPUs += float64(tasks) * j.need[placement.GPUs]
	byTeam[j.spec.Team] = amount
}

// addJob adds a job to the shard, or updates its record's revision.
func (s *shard) addJob(j *job) {
	if known := s.jobs[j.id]; known != nil {
		if j.revision > known.revision {
			// Whatever was written under the former revision can't be applied
			// any more.
			known.revision = j.revision
			known.migrating, known.unconfirmedMigration = false, false
		}
		return
	}
	// A record older than the lease may belong to tasks that the former holder
	// started.
	j.unconfirmed = j.revision <= s.revision && !s.reconciled
	j.attempts, j.unfinishedAttempts = map[int]*taskAttempt{}, 0
	s.jobs[j.id] = j
}

// endJob handles a job whose record is gone: what still runs is stopped at
// once, also where a stop with a grace period was sent before.
func (s *shard) endJob(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.ended = true
	for _, attempt := range j.attempts {
		if s.dropUnsent(attempt) {
			continue
		}
		attempt.requestStop(0)
		attempt.stopSentAt = time.Time{}
	}
	delete(s.jobs, id)
}
