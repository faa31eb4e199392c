package protocol

import (
	"encoding/json"
	"regexp"
)

// Priority orders jobs; higher values are scheduled first.
type Priority uint8

// Priorities, from the lowest to the highest.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProd
)

// priorities holds the wire names of the priorities.
var priorities = map[string]Priority{
	"low":    PriorityLow,
	"normal": PriorityNormal,
	"high":   PriorityHigh,
	"prod":   PriorityProd,
}

// Types of a job.
const (
	JobTypeArray   = "array"    // independent tasks that run to completion
	JobTypeGang    = "group"    // tasks that start and run together
	JobTypeService = "standing" // replicas that run until the job is cancelled
)

// Job statuses reported to users. Running is also a task state.
const (
	Pending   = "pending" // no task is running
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"
)

// FieldDependsOn is the wire name of Job.DependsOn.
const FieldDependsOn = "waits_on"

// Job is a submitted job, in the form in which it is received and stored.
type Job struct {
	ID       string `json:"id"`
	Class    string `json:"jobclass"`
	Team     string `json:"owner"`
	Type     string `json:"shape"`   // one of the JobType constants
	Priority string `json:"urgency"` // wire name; see PriorityLevel
	Tasks    int    `json:"parts"`   // number of tasks; indices start at 0

	// Resources that each task requires.
	Cores    float64 `json:"cores"`
	GPUs     float64 `json:"cards"`
	MemoryGB float64 `json:"ram_gb"`

	// The container image that a machine must fetch before the task can start.
	Image   string  `json:"bundle"`
	ImageGB float64 `json:"pull_gb"`

	// Placement constraints.
	MachineTypes []string `json:"breeds,omitempty"`   // allowed types; empty: any
	Zone         string   `json:"yard,omitempty"`     // the only allowed zone; empty: any
	OneZone      bool     `json:"one_zone,omitempty"` // all tasks must be in the same zone
	Spread       bool     `json:"spread,omitempty"`   // at most half of the tasks, rounded up, in one zone
	Spot         bool     `json:"loaners,omitempty"`  // spot machines are allowed

	// EstimatedSeconds is the owner's estimate of a task's run time, excluding the
	// image fetch; 0 for services. Estimates are often off by half.
	EstimatedSeconds float64 `json:"guess_s"`
	// CheckpointIntervalSeconds is the run time between two checkpoints; 0: the task
	// saves none and loses its progress when it is stopped.
	CheckpointIntervalSeconds float64 `json:"save_every_s,omitempty"`
	// CheckpointSeconds is the time that a task needs to save a checkpoint when it is
	// stopped.
	CheckpointSeconds float64 `json:"save_takes_s,omitempty"`
	// DeadlineSeconds is the time from submission within which the job should be
	// complete; nil: no deadline.
	DeadlineSeconds *float64 `json:"due_s,omitempty"`

	// DependsOn holds the IDs of the jobs that must be done before this one starts,
	// sorted and without duplicates.
	DependsOn []string `json:"waits_on,omitempty"`
}

// IsService reports whether the job's tasks run until the job is cancelled.
func (j *Job) IsService() bool { return j.Type == JobTypeService }

// IsGang reports whether the job's tasks start and run together. The protocol
// specification omits this job type; see docs/questions.md.
func (j *Job) IsGang() bool { return j.Type == JobTypeGang }

// PriorityLevel returns the job's priority as a number.
func (j *Job) PriorityLevel() Priority { return priorities[j.Priority] }

// JobStatus reports a job's progress to users.
type JobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`    // completed tasks
	Running int    `json:"running"` // running tasks
}

// JobDependencies lists for users the jobs that a job still depends on.
type JobDependencies struct {
	ID        string      `json:"id"`
	DependsOn []JobStatus `json:"waits_on"`
}

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID reports whether id is a well-formed job ID, such as wk-000412.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// ExtractJobID returns the job ID of a submission whose other fields may be invalid.
func ExtractJobID(raw []byte) (id string, ok bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil || json.Unmarshal(fields["id"], &id) != nil || !ValidJobID(id) {
		return "", false
	}
	return id, true
}
