package coordination

import (
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// job is an accepted job that has not ended, as seen by the holder of its shard.
//
// addJob adds it to the shard, and endJob removes it once its record was deleted or
// names another shard. In between, its tasks may be placed while the job is
// startable, that is, while none of five conditions holds. These are independent
// flags rather than one state, because each is set and cleared by its own event,
// and several may hold at once:
//
//	unconfirmed  set by addJob for a job older than this holder's lease, cleared
//	             by updateReconciled
//	blocked      set by newJob for a job with dependencies, cleared by
//	             resolveDependencies
//	migrating    set by migrateJobs, cleared when the write has certainly
//	             failed or, by addJob, once the record has changed
//	draining     drainUntil is set by updateDrainingJobs, and cleared by it when
//	             the job is to stay: its attempts end, then it migrates
//	ended        set by endJob, never cleared: attempts that still run are being
//	             stopped
//
// In addition, the planner skips a job that fails on every machine until
// retryAfter, see recordTaskError.
//
// A task of the job is done, has an attempt, or is pending. It becomes pending
// again when its attempt is dropped before it completed.
type job struct {
	id            string
	spec          protocol.Job
	revision      uint64
	shard         int
	submittedAt   time.Time
	submittedMS   int64
	taskResources placement.Resources // of one task
	machineTypes  map[string]bool     // nil: any

	// Tasks.
	done               storage.IndexSet
	attempts           map[int]*taskAttempt // by task
	unfinishedAttempts int                  // number of attempts whose tasks are not in done
	retry              []int                // pending tasks that had an attempt before
	nextTask           int                  // tasks from this one on have had no attempt, unless adopted

	// The record of completed tasks.
	savedCount int // number of tasks of done that the record contains
	savedAt    time.Time
	saving     bool // a write of the record is in flight

	// An unconfirmed job was accepted before this controller acquired the
	// shard, so some of its tasks may be running although no heartbeat has
	// reported them yet. None of its tasks starts until the shard is
	// reconciled.
	unconfirmed bool
	// The completion of some dependency of the job is not confirmed: none of
	// its tasks starts.
	blocked bool
	// The job is being moved to another shard: none of its tasks is placed
	// until its record has changed.
	migrating bool
	// The record was deleted or names another shard: attempts that still run have
	// to be stopped.
	ended bool

	migrationTarget      int  // shard; noMigrationTarget once the outcome of the write is known
	unconfirmedMigration bool // an unanswered write may still be applied

	// Precedence.
	withinGuarantee bool              // the job fits within its team's guarantee, see updateWithinGuarantee
	urgency         protocol.Priority // the highest of its own and of its dependents
	deadlineMS      float64           // when it should be done, Unix milliseconds; infinite: no deadline
	preemptions     map[int]int       // number of preemptions, by task

	// Errors of its tasks, see recordTaskError.
	failedMachines map[string]bool // machines on which tasks have failed since a task last completed
	backoff        time.Duration   // between the last two attempts of a job that fails on every machine
	retryAfter     time.Time

	// Waiting while another shard has spare capacity, see migration_to_spare_capacity.go.
	unplacedSince time.Time  // since when every plan has left one of its tasks unplaced; zero: the last plan did not
	waitReason    waitReason // as of the last plan
	drainUntil    time.Time  // until when its pending tasks are not placed, so that it can migrate; zero: it is not being drained

	// Run times of its tasks, to detect slow machines.
	measuredTasks   int     // tasks that completed under this holder
	measuredSeconds float64 // total run time of these

	// For latency recording.
	receivedAt  time.Time // when this controller received its record
	startableAt time.Time // when its tasks became startable; zero: when it was received
	completedAt time.Time // when the completion of its last task was recorded
}

// isComplete reports whether all tasks have completed.
func (j *job) isComplete() bool { return j.done.Len() >= j.spec.Tasks }

// isStartable reports whether only a lack of capacity or quota keeps the job's
// tasks from being placed.
func (j *job) isStartable() bool {
	return !j.unconfirmed && !j.blocked && !j.migrating && !j.ended && !j.isDraining()
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

// takePendingTask returns a task to place, or -1 if none is pending.
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

// addTaskResources adds the resources of the given number of tasks to the amount
// of the job's team.
func (j *job) addTaskResources(byTeam map[string]storage.Resources, tasks int) {
	amount := byTeam[j.spec.Team]
	amount.Cores += float64(tasks) * j.taskResources[placement.Cores]
	amount.GPUs += float64(tasks) * j.taskResources[placement.GPUs]
	byTeam[j.spec.Team] = amount
}

// addJob adds a job to the shard, or updates the revision of a job that it
// has.
func (s *shard) addJob(j *job) {
	if known := s.jobs[j.id]; known != nil {
		if j.revision > known.revision {
			// Writes under the former revision can no longer be applied.
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

// endJob handles a job whose record was deleted or names another shard: attempts
// that still run are stopped immediately, including those to which a stop command
// with a grace period was already sent.
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
