package protocol

import (
	"encoding/json"
	"strconv"
	"strings"
)

// States of a task on a worker. Running is the status of a job as well.
const (
	Fetching      = "fetching" // waiting for its image
	Checkpointing = "saving"   // was told to stop and saves a checkpoint
	Exited        = "ended"    // TaskStatus.Cause says why

	// taskWaiting is accepted from workers though the protocol's text has no
	// such state.
	taskWaiting = "waiting"
)

// Causes of a task's exit.
const (
	CauseDone    = "done"   // completed
	CauseStopped = "halted" // stopped by a command
	CauseFailed  = "error"
)

// Verbs of a command to a worker. Every command can be repeated, except that a
// VerbStart after a VerbClear starts the attempt once more.
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
	Cause   string `json:"cause,omitempty"` // why it exited
	// Checkpointed tells of a stopped task that its progress was saved.
	Checkpointed bool `json:"kept,omitempty"`
}

// Heartbeat is a worker's report of itself and of all tasks on its machine.
type Heartbeat struct {
	Machine     string `json:"reed"`
	Address     string `json:"address"` // host and port for direct commands
	MachineType string `json:"breed"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	// Session is the worker's session. It starts at 1 and increases each time
	// the worker's lease expires; the worker then has forgotten all its tasks.
	Session uint64 `json:"stint"`
	// Sequence increases with every heartbeat. The heartbeat with the larger
	// (Session, Sequence) is the newer one.
	Sequence uint64 `json:"tally"`
	// FencingToken is the highest token that the worker has seen.
	FencingToken uint64 `json:"baton"`
	// InterruptionSeconds is the time until the cloud takes the spot machine
	// away; nil: no notice.
	InterruptionSeconds *float64 `json:"warning_s"`
	// Tasks holds exited tasks as well, until a VerbClear removes them.
	Tasks []TaskStatus `json:"parts"`
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

// Validate returns an *InvalidFieldError for a heartbeat that lacks a field or has a
// value that no worker sends.
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

// validate checks the status at index i of a heartbeat's tasks.
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
	// GracePeriodSeconds belongs to a VerbStop: a task with checkpoints saves one
	// if it has at least the job's CheckpointSeconds for it, and every other task
	// exits at once.
	GracePeriodSeconds *float64 `json:"mercy_s,omitempty"`
}

// HeartbeatResponse answers a heartbeat. The worker drops it if FencingToken is
// lower than one that it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// DirectCommands is the body of a request that a controller sends straight to a
// worker. The worker executes it only if Session is its own and FencingToken is
// no lower than one that it has seen. It does not renew the worker's lease.
type DirectCommands struct {
	FencingToken uint64    `json:"baton"`
	Session      uint64    `json:"stint"`
	Commands     []Command `json:"orders"`
}

// Redirect tells a worker where to send its heartbeats.
type Redirect struct {
	// Controller is the name of that controller; empty: the worker tries the next.
	Controller string `json:"answer_to,omitempty"`
}
