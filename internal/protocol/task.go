package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// FormatTaskName returns the wire name of a task: the job ID and the zero-based task
// index.
func FormatTaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits a task's wire name into the job ID and the task index. It
// accepts only names that FormatTaskName returns for a valid job ID.
func ParseTaskName(name string) (job string, index int, err error) {
	job, digits, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) {
		return "", 0, fmt.Errorf("task %q", name)
	}
	index, err = strconv.Atoi(digits)
	if err != nil || index < 0 || strconv.Itoa(index) != digits {
		return "", 0, fmt.Errorf("task %q", name)
	}
	return job, index, nil
}
