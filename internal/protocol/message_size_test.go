package protocol

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// The largest attempt that a message can name.
const (
	longestTask    = "wk-999999999999999999/99999"
	largestAttempt = uint64(math.MaxUint64)
)

// Guards against bounds that a message exceeds: a message whose commands were all reserved
// is within the limits of requests and lines, with the longest names and numbers.
func TestReservedCommandsFitIntoMessage(t *testing.T) {
	for _, gracePeriod := range []float64{0, math.MaxFloat64, 1.2345678901234567e-6, 1.2345678901234567e20} {
		stop := Command{Verb: VerbStop, Task: longestTask, Attempt: largestAttempt, GracePeriodSeconds: &gracePeriod}
		budget := NewCommandBudget()
		var commands []Command
		for budget.Reserve(stop) {
			commands = append(commands, stop)
		}
		for _, message := range []any{
			DirectCommands{FencingToken: largestAttempt, Session: largestAttempt, Commands: commands},
			HeartbeatResponse{FencingToken: largestAttempt, Commands: commands},
		} {
			if raw, _ := json.Marshal(message); len(raw) > MaxBodyBytes || len(raw) > MaxLineBytes {
				t.Errorf("%T of %d bytes", message, len(raw))
			}
		}
	}
}

// Guards against a cancellation that takes more than one message: the stops of all tasks that a
// machine may have fit into one, and a start before a third of them.
func TestStopsOfAllTasksFitIntoMessage(t *testing.T) {
	noGracePeriod := 0.0
	start := Command{Verb: VerbStart, Task: longestTask, Attempt: largestAttempt}
	stop := Command{Verb: VerbStop, Task: longestTask, Attempt: largestAttempt, GracePeriodSeconds: &noGracePeriod}
	budget := NewCommandBudget()
	for i := range MaxReportedTasks {
		if !budget.Reserve(stop) || i%3 == 0 && !budget.Reserve(start) {
			t.Fatalf("the stops of %d tasks fit, a machine may have %d", i, MaxReportedTasks)
		}
	}
}

// Commands that belong together are reserved together or not at all.
func TestReserveKeepsCommandsTogether(t *testing.T) {
	budget := NewCommandBudget()
	start, stop := Command{Verb: VerbStart, Task: longestTask}, Command{Verb: VerbStop, Task: longestTask}
	pairs := 0
	for budget.Reserve(start, stop) {
		pairs++
	}
	before := *budget
	if pairs == 0 || budget.Reserve(start, stop) || *budget != before {
		t.Errorf("%d pairs fit, then a refused one takes space", pairs)
	}
}

// Guards against reports that a worker may not send: with MaxReportedTasks tasks a heartbeat
// is within the limit of a request, also if its encoder puts spaces between tokens.
func TestLargestHeartbeatFitsIntoRequest(t *testing.T) {
	name := strings.Repeat("m", maxMachineNameBytes)
	seconds := math.MaxFloat64
	heartbeat := Heartbeat{Machine: name, Address: name, MachineType: name, Zone: name, Session: largestAttempt, Sequence: largestAttempt,
		FencingToken: largestAttempt, InterruptionSeconds: &seconds}
	for range MaxReportedTasks {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{Task: longestTask, Attempt: largestAttempt, State: Exited, Cause: CauseStopped, Checkpointed: true})
	}
	raw, _ := json.Marshal(heartbeat)
	spaced := strings.NewReplacer(",", ", ", ":", ": ").Replace(string(raw))
	if len(spaced) > MaxBodyBytes {
		t.Errorf("%d bytes", len(spaced))
	}
}
