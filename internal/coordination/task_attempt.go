package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
)

// taskKey identifies a task within a shard.
type taskKey struct {
	job  string
	task int
}

// parseTaskKey returns the key of a task from its name on the wire.
func parseTaskKey(name string) taskKey {
	id, num, _ := protocol.ParseTaskName(name)
	return taskKey{id, num}
}

// taskAttempt is one attempt of a task that is, or may be, on a machine. It
// counts against its machine's capacity and its team's quota for as long as it
// exists.
//
// Its life cycle, with the function that makes each transition:
//
//	placed      place: the task has been assigned to a machine, to which no start
//	            has been sent yet
//	start sent  startCommands, or buildMessage for a direct message: it may be on
//	            the machine from now on
//	reported    updateAttempt: a heartbeat lists it; its status is starting or running.
//	            An attempt that an earlier holder placed begins here, see adoptAttempt.
//	dropped     dropAttempt: it is certainly not, or no longer, on the machine,
//	            and the task is pending again unless it completed
//
// start tracks the first three of these, since a start sent directly may arrive
// late: see package dispatch. An attempt is dropped when
//
//   - it is reported as exited (updateAttempt),
//   - a heartbeat that must list it does not (dropAbsentAttempts),
//   - the worker has begun a new session (dropSentAttempts),
//   - its machine has expired or was removed (markLost) or left the grant
//     (removeMachine),
//   - its start was not sent yet and it is no longer needed there
//     (dropUnsent).
//
// stopRequested is independent of this: if the start of an attempt was sent, every
// answer carries a stop command for it until it is reported as exited.
type taskAttempt struct {
	key           taskKey
	job           *job
	machine       *machine
	number        uint64 // attempt number on the wire; grows with every attempt of the shard
	status        string // as last reported
	start         dispatch.Start
	startedAt     time.Time // when it was first reported running
	adopted       bool      // found running by this holder, placed by an earlier one
	stopRequested bool      // it is to be stopped
	gracePeriod   float64   // seconds it is given to save a checkpoint before it is killed
	stopSentAt    time.Time // when a stop command was last sent; zero: not yet
	// For latency recording.
	placedAt    time.Time
	startSentAt time.Time // when the start command was sent
}

// requestStop requests that the attempt is stopped, with a grace period in
// seconds to save a checkpoint. The command is sent with the next answer, or
// directly.
func (a *taskAttempt) requestStop(gracePeriod float64) {
	a.stopRequested = true
	a.gracePeriod = gracePeriod
}

// secondsRunning returns for how many seconds an attempt has been known to
// run.
func (a *taskAttempt) secondsRunning(now time.Time) float64 {
	if a.startedAt.IsZero() {
		return 0
	}
	return now.Sub(a.startedAt).Seconds()
}

// isOverrunning reports whether an attempt has run more than twice as long as
// the job's completed tasks did on average. At least minMeasured tasks must
// have completed.
func (a *taskAttempt) isOverrunning(now time.Time) bool {
	const (
		minMeasured  = 3
		extraSeconds = 2 // so that very short tasks don't count as slow
	)
	j := a.job
	if j.measuredTasks < minMeasured || a.status != protocol.Running {
		return false
	}
	average := j.measuredSeconds / float64(j.measuredTasks)
	return now.Sub(a.startedAt).Seconds() > 2*average+extraSeconds
}

// logStart logs that a start of the attempt is sent, in an answer or directly.
func (a *taskAttempt) logStart(way string, token uint64) {
	slog.Debug("start sent", "job", a.key.job, "task", a.key.task, "attempt", a.number, "machine", a.machine.lease.Machine,
		"fencing_token", token, "session", a.machine.exchange.Session(), "way", way)
}

// name returns the name of the attempt's task on the wire.
func (a *taskAttempt) name() string { return protocol.FormatTaskName(a.key.job, a.key.task) }

// command returns a command for the attempt, without further arguments.
func (a *taskAttempt) command(verb string) protocol.Command {
	return newCommand(verb, a.key, a.number)
}

// newCommand returns a command for an attempt of a task.
func newCommand(verb string, key taskKey, attempt uint64) protocol.Command {
	return protocol.Command{Verb: verb, Task: protocol.FormatTaskName(key.job, key.task), Attempt: attempt}
}

// place assigns a task to a machine; the start command is sent with the next
// answer.
func (s *shard) place(j *job, task int, m *machine) *taskAttempt {
	s.attemptCount++
	attempt := &taskAttempt{
		key:     taskKey{j.id, task},
		job:     j,
		machine: m,
		number:  s.fencingToken<<20 + s.attemptCount,
	}
	s.recordPlaced(attempt)
	s.attachAttempt(attempt)
	return attempt
}

// adoptAttempt takes over an attempt that an earlier holder of the shard
// placed and that a heartbeat reports.
func (s *shard) adoptAttempt(j *job, key taskKey, m *machine, reported protocol.TaskStatus, now time.Time) {
	attempt := &taskAttempt{
		key:       key,
		job:       j,
		machine:   m,
		number:    reported.Attempt,
		status:    reported.State,
		startedAt: now,
		adopted:   true,
	}
	attempt.start.MarkReported()
	s.attachAttempt(attempt)
}

// attachAttempt adds an attempt to its machine and job, and counts it against
// its team's quota.
func (s *shard) attachAttempt(a *taskAttempt) {
	j, m := a.job, a.machine
	m.attempts[a.key] = a
	m.used = m.used.Add(j.taskResources)
	m.images[j.spec.Image] = true
	if j.attempts[a.key.task] == nil && !j.done.Contains(a.key.task) {
		j.unfinishedAttempts++
	}
	j.attempts[a.key.task] = a
	j.addTaskResources(s.used, 1)
}

// dropReason is what proves that an attempt is not, or no longer, on its machine.
type dropReason string

const (
	dropExited      dropReason = "reported as exited"
	dropAbsent      dropReason = "not listed by a heartbeat"
	dropNewSession  dropReason = "new session of the worker"
	dropMachineLost dropReason = "machine expired or removed"
	dropUngranted   dropReason = "machine left the grant"
	dropNotSent     dropReason = "start not sent"
)

// dropAttempt removes an attempt that is certainly no longer on its machine.
func (s *shard) dropAttempt(a *taskAttempt, reason dropReason) {
	j, m := a.job, a.machine
	if m.attempts[a.key] != a {
		return
	}
	slog.Debug("attempt dropped", "job", a.key.job, "task", a.key.task, "attempt", a.number, "machine", m.lease.Machine, "reason", string(reason))
	s.capacityFreed = true
	s.recordLost(a)
	delete(m.attempts, a.key)
	m.used = m.used.Sub(j.taskResources)
	if j.attempts[a.key.task] == a {
		delete(j.attempts, a.key.task)
		if !j.done.Contains(a.key.task) {
			j.unfinishedAttempts--
		}
	}
	if !j.done.Contains(a.key.task) {
		j.retry = append(j.retry, a.key.task)
	}
	s.releaseQuota(j)
}

// releaseQuota subtracts one task of a job from its team's usage.
func (s *shard) releaseQuota(j *job) {
	usage := s.used[j.spec.Team]
	usage.Cores = subtractAmount(usage.Cores, j.taskResources[placement.Cores])
	usage.GPUs = subtractAmount(usage.GPUs, j.taskResources[placement.GPUs])
	s.used[j.spec.Team] = usage
}

// subtractAmount returns a-b, or zero if that is negative or only a rounding
// error.
func subtractAmount(a, b float64) float64 {
	const roundingError = 1e-6
	if rest := a - b; rest >= roundingError {
		return rest
	}
	return 0
}

// dropUnsent drops an attempt whose start was not sent yet, so that it can't
// be on the machine. It reports whether that was the case.
func (s *shard) dropUnsent(a *taskAttempt) bool {
	if a.start.IsSent() {
		return false
	}
	s.dropAttempt(a, dropNotSent)
	return true
}

// dropUnsentAttempts drops the attempts on a machine whose starts were not
// sent yet.
func (s *shard) dropUnsentAttempts(m *machine) {
	for _, attempt := range m.attempts {
		s.dropUnsent(attempt)
	}
}

// dropSentAttempts drops all attempts sent to a machine whose worker has begun
// a new session: those started before have ended, and starts still in flight
// are refused.
func (s *shard) dropSentAttempts(m *machine) {
	for _, attempt := range m.attempts {
		if attempt.start.IsSent() {
			s.dropAttempt(attempt, dropNewSession)
		}
	}
}

// dropAbsentAttempts drops attempts that a heartbeat must list but does not. A
// worker has one heartbeat in flight at a time. If an earlier answer carried
// an attempt's start and the worker does not list the attempt now, it has
// discarded it with that answer or no longer keeps it. token is the newest fencing
// token that the worker has received.
func (s *shard) dropAbsentAttempts(m *machine, listed map[taskKey]bool, token uint64) {
	for key, attempt := range m.attempts {
		if !listed[key] && attempt.start.ConfirmAbsent(token, s.guards) {
			s.dropAttempt(attempt, dropAbsent)
		}
	}
}
