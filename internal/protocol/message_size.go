package protocol

import "strconv"

// Size limits of messages, in bytes.
const (
	// MaxBodyBytes bounds the body of every request, whoever sends it.
	MaxBodyBytes = 64 << 10
	// MaxLineBytes bounds each line of a response to a worker or a user.
	MaxLineBytes = 64 << 10
)

// Upper bounds on the encoded size of parts of messages, in bytes. They allow for the
// largest numbers, and for encoders that put a space between tokens.
const (
	// MaxTaskStatusBytes bounds a TaskStatus in a heartbeat.
	MaxTaskStatusBytes = 128
	// heartbeatOverheadBytes bounds a Heartbeat without its tasks.
	heartbeatOverheadBytes = 1 << 10
	// commandListOverheadBytes bounds a HeartbeatResponse or DirectCommands without commands.
	commandListOverheadBytes = 128
	// commandOverheadBytes bounds a Command without the values of its fields.
	commandOverheadBytes = len(`{"verb":"","part":"","try":,"mercy_s":},`)
	// maxFloatBytes bounds a float64.
	maxFloatBytes = 25
)

// MaxReportedTasks is the number of tasks that a worker can always list in a heartbeat, which
// is a request and must not exceed MaxBodyBytes. No machine may be given more tasks, counting
// those that have exited and are not cleared.
const MaxReportedTasks = (MaxBodyBytes - heartbeatOverheadBytes) / MaxTaskStatusBytes

// CommandBudget is the space for commands in one message to a worker: in a response, of which
// no line may exceed MaxLineBytes, or in a direct request of at most MaxBodyBytes.
type CommandBudget struct {
	freeBytes int
}

// NewCommandBudget returns the space of a message without commands.
func NewCommandBudget() *CommandBudget {
	return &CommandBudget{freeBytes: min(MaxBodyBytes, MaxLineBytes) - commandListOverheadBytes}
}

// Reserve reserves space for commands that belong together, and reports whether all of them
// fit. If not, none of them may be sent in the message.
func (b *CommandBudget) Reserve(commands ...Command) bool {
	size := 0
	for i := range commands {
		size += commands[i].maxBytes()
	}
	if size > b.freeBytes {
		return false
	}
	b.freeBytes -= size
	return true
}

// maxBytes returns an upper bound on the command's encoded size in bytes.
func (c *Command) maxBytes() int {
	var digits [20]byte // of the largest uint64
	attempt := strconv.AppendUint(digits[:0], c.Attempt, 10)
	size := commandOverheadBytes + len(c.Verb) + len(c.Task) + len(attempt)
	switch {
	case c.GracePeriodSeconds == nil:
	case *c.GracePeriodSeconds == 0:
		size += len("0")
	default:
		size += maxFloatBytes
	}
	return size
}
