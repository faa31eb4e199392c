package protocol

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// Task states on a worker. Running is also a job status.
const (
	Fetching      = "fetching" // waiting for its image
	Checkpointing = "saving"   // saving a checkpoint after a stop command
	Exited        = "ended"    // see TaskStatus.Cause

	// taskWaiting is accepted from workers although the protocol specification does
	// not define such a state.
	taskWaiting = "waiting"
)

// Causes of a task's exit.
const (
	CauseDone    = "done"   // completed
	CauseStopped = "halted" // stopped by a command
	CauseFailed  = "error"
)

// Verbs of worker commands. All commands are idempotent, except that a VerbStart
// after a VerbClear starts the attempt again.
const (
	VerbStart = "start"
	VerbStop  = "halt"
	VerbClear = "clear" // removes an exited task from the worker's heartbeats
)

// maxMachineNameBytes bounds a machine's name.
const maxMachineNameBytes = 100

// TaskStatus is the status of one task in a worker's heartbeat.
type TaskStatus struct {
	Task    string `json:"part"` // see ParseTaskName
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Cause   string `json:"cause,omitempty"` // why the task exited
	// Checkpointed is set for a stopped task whose progress was saved.
	Checkpointed bool `json:"kept,omitempty"`
}

// Heartbeat reports the state of a worker and of all tasks on its machine.
type Heartbeat struct {
	Machine     string `json:"reed"`
	Address     string `json:"address"` // host and port for direct commands
	MachineType string `json:"breed"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	// Session starts at 1 and increases each time the worker's lease expires, when
	// the worker drops all its tasks.
	Session uint64 `json:"stint"`
	// Sequence increases with every heartbeat. Heartbeats are ordered by
	// (Session, Sequence).
	Sequence uint64 `json:"tally"`
	// FencingToken is the highest token that the worker has received.
	FencingToken uint64 `json:"baton"`
	// InterruptionSeconds is the time until the cloud reclaims the spot machine; nil:
	// no interruption notice was given.
	InterruptionSeconds *float64 `json:"warning_s"`
	// Tasks includes exited tasks until a VerbClear removes them.
	Tasks []TaskStatus `json:"parts"`
}

// ListsAttempt reports whether the heartbeat lists an attempt of a task, in any state. A nil
// heartbeat lists none.
func (h *Heartbeat) ListsAttempt(task string, attempt uint64) bool {
	return h != nil && slices.ContainsFunc(h.Tasks, func(t TaskStatus) bool { return t.Task == task && t.Attempt == attempt })
}

// ParseHeartbeat reads and validates a worker's heartbeat. Every error is an
// *InvalidFieldError.
func ParseHeartbeat(raw []byte) (*Heartbeat, error) {
	heartbeat := new(Heartbeat)
	if err := json.Unmarshal(raw, heartbeat); err != nil {
		return nil, &InvalidFieldError{"body", "not a worker's report"}
	}
	if err := heartbeat.Validate(); err != nil {
		return nil, err
	}
	return heartbeat, nil
}

// Validate returns an *InvalidFieldError if a required field is missing or a value is
// invalid.
func (h *Heartbeat) Validate() error {
	if h.Machine == "" || len(h.Machine) > maxMachineNameBytes || strings.ContainsAny(h.Machine, " /") {
		return &InvalidFieldError{"reed", "missing or invalid"}
	}
	if h.MachineType == "" {
		return &InvalidFieldError{"breed", "missing"}
	}
	if h.Zone == "" {
		return &InvalidFieldError{"yard", "missing"}
	}
	if h.Session == 0 {
		return &InvalidFieldError{"stint", "must be at least 1"}
	}
	for i := range h.Tasks {
		if err := h.Tasks[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

// validate checks the task status at index i of a heartbeat.
func (s *TaskStatus) validate(i int) error {
	if _, _, err := ParseTaskName(s.Task); err != nil {
		return &InvalidFieldError{"parts[" + strconv.Itoa(i) + "].part", "invalid"}
	}
	switch s.State {
	case Fetching, Running, Checkpointing, Exited, taskWaiting:
		return nil
	default:
		return &InvalidFieldError{"parts[" + strconv.Itoa(i) + "].status", "unknown"}
	}
}

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Verb    string `json:"verb"`
	Task    string `json:"part"` // see FormatTaskName
	Attempt uint64 `json:"try"`
	// GracePeriodSeconds applies to VerbStop: a task with checkpoints saves one if the
	// grace period is at least the job's CheckpointSeconds; any other task exits
	// immediately.
	GracePeriodSeconds *float64 `json:"mercy_s,omitempty"`
}

// HeartbeatResponse is the response to a heartbeat. The worker ignores it if
// FencingToken is lower than the highest token that it has received.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// DirectCommands is the body of a request that a controller sends directly to a
// worker. The worker executes the commands only if Session matches its own and
// FencingToken is not lower than the highest token that it has received. The request does
// not renew the worker's lease.
type DirectCommands struct {
	FencingToken uint64    `json:"baton"`
	Session      uint64    `json:"stint"`
	Commands     []Command `json:"orders"`
}

// Redirect directs a worker to the controller that handles its heartbeats.
type Redirect struct {
	// Controller is the name of the controller to use; empty: the worker tries the next one.
	Controller string `json:"answer_to,omitempty"`
}
