package coordination

import (
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/failuredetector"
	"reedtrack/internal/protocol"
)

// Reconciliation works in both directions. A heartbeat lists what is on a machine,
// and this holder's view is updated to match. The answer carries the commands that
// make the machine match the plan. Neither relies on the delivery of the other:
// each heartbeat lists all tasks, and a command is sent again until a heartbeat
// reports its effect.

// receiveHeartbeat applies a worker's heartbeat. It returns false for a
// heartbeat that must not be answered: one that is older than the last, or
// from a session whose lease has expired.
func (s *shard) receiveHeartbeat(m *machine, report *protocol.Heartbeat, now time.Time) bool {
	firstHeartbeat := !m.hasReported()
	sameSession := !firstHeartbeat && report.Session == m.exchange.Session()
	sequence, newSession := m.exchange.RecordHeartbeat(report.Session, report.Sequence)
	if sequence == dispatch.Stale {
		return false
	}
	if newSession {
		s.dropSentAttempts(m)
	}
	if m.isExpired() && sameSession {
		// By this controller's clock the worker's lease has expired, but the
		// worker has not detected that yet. It does before it can apply an answer.
		return false
	}
	m.address, m.direct.reportedAt = report.Address, now
	m.lastHeartbeat, m.health = now, failuredetector.Healthy
	if report.FencingToken > 0 {
		m.direct.answered = true
	}
	s.followWorkerToken(m, report.FencingToken)
	if sequence == dispatch.Overtaken {
		// A newer answer to a direct message already reported the tasks
		// that it lists. The worker still waits for commands.
		return true
	}
	if firstHeartbeat || m.isExpired() {
		s.capacityFreed = true
	}
	if m.isExpired() {
		m.markReturned(now)
	}
	if report.FencingToken >= max(s.fencingToken, m.lease.FencingToken) {
		m.markReconciled()
	}
	m.recordReclaimNotice(report.InterruptionSeconds, now)
	s.reconcileMachine(m, report, now)
	s.updateReconciled()
	return true
}

// reconcileMachine updates this holder's view of a machine to match its
// heartbeat.
func (s *shard) reconcileMachine(m *machine, report *protocol.Heartbeat, now time.Time) {
	slotsBefore := m.freeTaskSlots()
	clear(m.orphans)
	clear(m.tasksToClear)
	m.runsUnreadableJob = false
	s.unconfirmed[m] = true // until unreportedCapacity has checked it: the heartbeat may list unknown tasks
	listed := s.reconcileTasks(m, report, now, func(key taskKey, reported protocol.TaskStatus) bool {
		s.reconcileUnknownTask(m, key, reported, now)
		return m.attempts[key] != nil && m.attempts[key].number == reported.Attempt
	})
	s.dropAbsentAttempts(m, listed, report.FencingToken)
	if slotsBefore <= reservedTaskSlots && m.freeTaskSlots() > slotsBefore {
		s.capacityFreed = true // by tasks that the worker has cleared
	}
}

// reconcileTasks applies the tasks that a report lists, and returns the keys
// of those that belong to this holder. For an unknown task, adopt decides
// whether it belongs to the holder now.
func (s *shard) reconcileTasks(m *machine, report *protocol.Heartbeat, now time.Time, adopt func(taskKey, protocol.TaskStatus) bool) map[taskKey]bool {
	listed := make(map[taskKey]bool, len(report.Tasks))
	for _, task := range report.Tasks {
		key := parseTaskKey(task.Task)
		if attempt := m.attempts[key]; attempt != nil && attempt.number == task.Attempt {
			listed[key] = true
			s.updateAttempt(m, attempt, task, now)
		} else if adopt(key, task) {
			listed[key] = true
		}
	}
	return listed
}

// updateAttempt applies the reported status of a known attempt.
func (s *shard) updateAttempt(m *machine, attempt *taskAttempt, reported protocol.TaskStatus, now time.Time) {
	attempt.start.MarkReported()
	if reported.State == protocol.Running && attempt.status != protocol.Running {
		attempt.startedAt = now
		s.recordStarted(attempt)
	}
	attempt.status = reported.State
	if reported.State != protocol.Exited {
		return
	}
	switch reported.Cause {
	case protocol.CauseDone:
		s.recordTaskDone(m, attempt, now)
	case protocol.CauseFailed:
		s.dirty = true
		s.recordTaskError(m, attempt.job, now)
	}
	m.exchange.RecordEnded(attempt.key, reported.Attempt, &attempt.start, s.machineToken(m))
	s.dropAttempt(attempt, dropExited)
	m.tasksToClear[attempt.key] = reported.Attempt
}

// recordTaskDone handles an attempt that ended without an error. A service's
// task is started again; any other task has completed.
func (s *shard) recordTaskDone(m *machine, attempt *taskAttempt, now time.Time) {
	j := attempt.job
	if !j.spec.IsService() {
		s.completeTask(j, attempt.key.task)
	}
	if !attempt.startedAt.IsZero() && !attempt.adopted {
		s.recordFinished(attempt, now)
		j.measuredTasks++
		j.measuredSeconds += now.Sub(attempt.startedAt).Seconds()
	}
	m.taskErrors = 0
	clear(j.failedMachines)
	j.backoff = 0
}

// completeTask records a completed task. If it completes the job, the shard is
// marked as changed, since the end of a job should not wait for the next
// regular write.
func (s *shard) completeTask(j *job, task int) {
	j.markDone(task)
	s.dirty = s.dirty || j.isComplete()
}

// A machine is cordoned after maxTaskErrors consecutive task errors. A job that has
// failed on maxMachinesFailedOn machines is delayed, each time for twice as long.
const (
	maxTaskErrors        = 2
	maxMachinesFailedOn  = 3
	minTaskErrorDelay    = 2 * time.Second
	maxTaskErrorDelay    = time.Minute
	taskErrorDelayFactor = 2
)

// recordTaskError attributes a task's error. Usually the machine is at fault
// and is cordoned after two consecutive errors; a job that fails on several
// machines without ever completing a task is delayed instead.
func (s *shard) recordTaskError(m *machine, j *job, now time.Time) {
	if j.failedMachines == nil {
		j.failedMachines = map[string]bool{}
	}
	j.failedMachines[m.lease.Machine] = true
	if len(j.failedMachines) >= maxMachinesFailedOn && j.done.Len() == 0 {
		j.backoff = min(max(taskErrorDelayFactor*j.backoff, minTaskErrorDelay), maxTaskErrorDelay)
		j.retryAfter = now.Add(j.backoff)
		return
	}
	m.taskErrors++
	if m.taskErrors >= maxTaskErrors && !m.cordoned {
		m.cordon()
	}
}

// reconcileUnknownTask handles a reported task that this holder did not place:
// it is adopted if an earlier holder placed it, cleared if it has ended, and
// otherwise stopped as an orphan.
func (s *shard) reconcileUnknownTask(m *machine, key taskKey, reported protocol.TaskStatus, now time.Time) {
	j := s.jobs[key.job]
	switch {
	case s.unreadable[key.job]:
		m.runsUnreadableJob = true
	case reported.State == protocol.Exited:
		if j != nil && !j.spec.IsService() && reported.Cause == protocol.CauseDone && key.task < j.spec.Tasks {
			s.completeTask(j, key.task)
		}
		m.tasksToClear[key] = reported.Attempt
	case s.canAdopt(j, key.task, m):
		s.adoptAttempt(j, key, m, reported, now)
	default:
		m.orphans[key] = reported.Attempt
	}
}

// canAdopt reports whether a reported task that this holder did not place may
// be an attempt of an earlier holder that is still needed: the task is pending,
// and the job is older than the lease or the machine has not been reconciled.
func (s *shard) canAdopt(j *job, task int, m *machine) bool {
	return j != nil && task < j.spec.Tasks && j.isTaskPending(task) && (!m.isReconciled() || j.unconfirmed)
}
