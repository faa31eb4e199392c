package coordination

import (
	"testing"
	"time"

	"reedtrack/internal/protocol"
)

// startAnswered starts a job's first task directly and has its worker answer, then report the
// attempt as ended. It returns the attempt.
func startAnswered(s *shard, m *machine, j *job, cause string, now time.Time) *taskAttempt {
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
	attempt := s.place(j, j.takePendingTask(), m)
	message := directTarget{s, m}.buildMessage(now)
	running := protocol.TaskStatus{Task: "wk-1/0", Attempt: attempt.number, State: protocol.Running}
	status := &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2, Tasks: []protocol.TaskStatus{running}}
	s.finishDirect(&message, DirectAnswer{Outcome: DirectDone, Report: status}, now)
	exited := protocol.TaskStatus{Task: "wk-1/0", Attempt: attempt.number, State: protocol.Exited, Cause: cause}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 3, FencingToken: 2, Tasks: []protocol.TaskStatus{exited}}, now)
	return attempt
}

// Guards against a task that runs twice because a copy of its answered start arrives after
// its worker has cleared the attempt.
func TestAnsweredStartIsNotClearedUnderItsToken(t *testing.T) {
	for _, cause := range []string{protocol.CauseDone, protocol.CauseFailed, protocol.CauseStopped, "full"} {
		now := time.Now()
		s, m, j := oneTask(now)
		startAnswered(s, m, j, cause, now)
		for _, command := range s.buildCommands(m, now) {
			if command.Verb == protocol.VerbClear {
				t.Errorf("%s: the worker is told to clear an attempt whose start it would accept again", cause)
			}
		}
	}
}

// No rule is violated if answered direct commands arrive a second time, after their tasks
// failed and were placed elsewhere, were cancelled or completed, and their processes are back
// within a second.
func TestRepeatedCommandsRunNoTaskTwice(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, w *world) {
		w.withDependencies = false
		w.allowMachines(24)
		w.maxTasks = 3
		w.adjustJob = func(k int, j *protocol.Job, u *user) {
			j.EstimatedSeconds, u.submitAfter = 25, time.Duration(k)*sec*3/2
		}
		w.script = append(cancelFaults(3, 0, 30*sec, 50*sec, 70*sec),
			fault{at: 5 * sec, kind: directRepeated, share: 0.9, maxDelay: 20 * sec, duration: 110 * sec},
			fault{at: 20 * sec, kind: machinesFailTasks, count: 5, duration: 15 * sec},
			fault{at: 60 * sec, kind: machinesFailTasks, count: 5, duration: 15 * sec},
			fault{at: 45 * sec, kind: controllerEnds, target: targetBusiest, duration: 300 * time.Millisecond})
		w.play(70, 120*sec, 400*sec)
		if len(w.events["copy of a command carried out"]) == 0 {
			t.Error("no copy was carried out")
		}
	})
}

// Guards against a start that is sent elsewhere because its message was refused, although a copy
// of the message was carried out before.
func TestRejectedStartOfListedAttemptStaysBound(t *testing.T) {
	for _, isListed := range []bool{false, true} {
		now := time.Now()
		s, m, j := oneTask(now)
		s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
		attempt := s.place(j, j.takePendingTask(), m)
		message := directTarget{s, m}.buildMessage(now)
		status := &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 3}
		if isListed {
			status.Tasks = []protocol.TaskStatus{{Task: "wk-1/0", Attempt: attempt.number, State: protocol.Running}}
		}
		s.finishDirect(&message, DirectAnswer{Outcome: DirectRejected, Report: status}, now)
		if s.dropUnsent(attempt) == isListed {
			t.Errorf("listed %v: the task is released: %v", isListed, !isListed)
		}
	}
}
