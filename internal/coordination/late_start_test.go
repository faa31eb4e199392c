package coordination

import (
	"testing"
	"time"

	"reedtrack/internal/protocol"
)

// A task of a job is started directly and the answer is lost; the task runs to its end.
// From then on no task of that job was placed on that machine any more, for as long as
// the machine was leased, since a copy of the start may still arrive: but only another
// attempt of that same task would be in its way, and a completed task has none. Jobs
// waited beside a machine of their own shard that was nearly empty. In 240 plays of the
// row of slow links, with a limit of 40 s instead of 90 (a trial), wk-000035 was left
// waiting five times; in four of them a machine with room had a line such as
// `host-000009 big used 8/16 schedulable true, may arrive [wk-000035/3 ...]`.
func TestLostAnswerKeepsNoOtherTaskAway(t *testing.T) {
	now := time.Now()
	s, m, j := oneTask(now)
	j.spec.Tasks = 2
	attempt := startUnanswered(s, m, j, protocol.CauseDone, now)
	if len(s.buildCommands(m, now)) != 0 || !m.exchange.StartMayArrive(attempt.key) {
		t.Fatal("the machine is told to forget the attempt, though a copy of its start may arrive")
	}
	if !j.done.Contains(0) || j.pendingTasks() != 1 {
		t.Fatalf("%d tasks pending", j.pendingTasks())
	}
	if !j.canPlaceOn(m) {
		t.Error("the second task can't be placed beside the first, which has completed")
	}
}

// A stopped task keeps only itself away: another pending task of its job is placed there
// in its place.
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
		t.Error("the stopped task is placed where a copy of its start may arrive")
	}
	if task := j.takePendingTask(); task != 0 {
		t.Errorf("task %d is pending elsewhere, not the stopped one", task)
	}
}

// The task itself stays away while it may have another attempt: a service's task, and one
// that was stopped.
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
// heartbeat report the attempt, which it returns, as ended.
func startUnanswered(s *shard, m *machine, j *job, cause string, now time.Time) *taskAttempt {
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
	attempt := s.place(j, j.takePendingTask(), m)
	message := directTarget{s, m}.buildMessage(now)
	s.finishDirect(&message, DirectAnswer{}, now)
	exited := protocol.TaskStatus{Task: "wk-1/0", Attempt: attempt.number, State: protocol.Exited, Cause: cause}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2, Tasks: []protocol.TaskStatus{exited}}, now)
	return attempt
}
