package coordination

import (
	"testing"
	"time"

	"reedtrack/internal/protocol"
)

// Guards against a lost answer to a direct start that keeps the whole job off the machine.
// The start may still arrive later, which conflicts only with another attempt of the same
// task, and a completed task has none. Before, no task of the job was placed on the machine
// for as long as it was leased, and jobs waited despite a nearly empty machine in their own
// shard: wk-000035 in 5 of 240 trial runs of the scenario of slow links, with a limit of 40 s
// instead of 90 s. In four of them a machine with free capacity had a line such as
// `host-000009 big used 8/16 schedulable true, may arrive [wk-000035/3 ...]`.
func TestLostAnswerKeepsNoOtherTaskAway(t *testing.T) {
	now := time.Now()
	s, m, j := oneTask(now)
	j.spec.Tasks = 2
	attempt := startUnanswered(s, m, j, protocol.CauseDone, now)
	if len(s.buildCommands(m, now)) != 0 || !m.exchange.StartMayArrive(attempt.key) {
		t.Fatal("the machine is instructed to clear the attempt although its start may still arrive")
	}
	if !j.done.Contains(0) || j.pendingTasks() != 1 {
		t.Fatalf("%d tasks pending", j.pendingTasks())
	}
	if !j.canPlaceOn(m) {
		t.Error("the second task can't be placed although the first has completed")
	}
}

// A stopped task whose start may still arrive is not placed on the machine again, but
// another pending task of its job is.
func TestStoppedTaskKeepsNoOtherTaskAway(t *testing.T) {
	now := time.Now()
	s, m, j := oneTask(now)
	j.spec.Tasks = 2
	startUnanswered(s, m, j, protocol.CauseStopped, now)
	if j.pendingTasks() != 2 || !j.canPlaceOn(m) {
		t.Fatalf("%d pending, can be placed %v", j.pendingTasks(), j.canPlaceOn(m))
	}
	if task := j.takeTaskFor(m); task != 1 {
		t.Fatalf("task %d is placed", task)
	}
	j.attempts[1], j.unfinishedAttempts = &taskAttempt{}, 1
	if j.canPlaceOn(m) || j.takeTaskFor(m) >= 0 {
		t.Error("the stopped task is placed on the machine where its start may still arrive")
	}
	if task := j.takePendingTask(); task != 0 {
		t.Errorf("task %d is pending for other machines, want the stopped one", task)
	}
}

// A task that may have another attempt is kept off the machine while its start may still
// arrive: a service's task, and a stopped one.
func TestLostAnswerKeepsTheTaskItselfAway(t *testing.T) {
	for cause, kind := range map[string]string{protocol.CauseDone: "standing", protocol.CauseStopped: "array"} {
		now := time.Now()
		s, m, j := oneTask(now)
		j.spec.Type = kind
		startUnanswered(s, m, j, cause, now)
		if j.pendingTasks() != 1 || j.canPlaceOn(m) {
			t.Errorf("%s: %d pending, can be placed %v", kind, j.pendingTasks(), j.canPlaceOn(m))
		}
	}
}

// startUnanswered starts a job's first task directly, loses the answer, and has the next
// heartbeat report the attempt as ended. It returns the attempt.
func startUnanswered(s *shard, m *machine, j *job, cause string, now time.Time) *taskAttempt {
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
	attempt := s.place(j, j.takePendingTask(), m)
	message := directTarget{s, m}.buildMessage(now)
	s.finishDirect(&message, DirectAnswer{}, now)
	exited := protocol.TaskStatus{Task: "wk-1/0", Attempt: attempt.number, State: protocol.Exited, Cause: cause}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2, Tasks: []protocol.TaskStatus{exited}}, now)
	return attempt
}
