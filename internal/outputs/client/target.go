package client

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"reedtrack/internal/protocol"
)

// maxTasks is the maximum number of tasks of a job; their indices are 0 to maxTasks-1.
const maxTasks = 100000

// Target identifies a job or one of its tasks, as given on a command line.
type Target struct {
	Job  string
	Task *uint32 // nil: all tasks of the job
}

// ParseTarget parses JOB or JOB/TASK.
func ParseTarget(text string) (Target, error) {
	job, taskText, hasTask := strings.Cut(text, "/")
	if !protocol.ValidJobID(job) {
		return Target{}, fmt.Errorf("%q is no job; they look like wk-000412, and a task of one like wk-000412/3", text)
	}
	if !hasTask {
		return Target{Job: job}, nil
	}
	task, err := strconv.ParseUint(taskText, 10, 32)
	if err != nil || task >= maxTasks {
		return Target{}, fmt.Errorf("%q is no task; they look like wk-000412/3", text)
	}
	return Target{Job: job, Task: proto.Uint32(uint32(task))}, nil
}
