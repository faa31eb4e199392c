package coordination

import (
	"fmt"
	"time"

	"reedtrack/internal/protocol"
)

// repeatedCommands selects the direct commands of which a copy arrives again after they
// were executed, whether or not they were answered.
type repeatedCommands struct {
	share    float64
	maxDelay time.Duration // upper bound of the delay; the lower is minCopyDelay
}

// minCopyDelay is the minimum delay of a copy, below the time that a process takes to restart.
const minCopyDelay = 100 * time.Millisecond

// scheduleCopy delivers an executed message once more, if the fault selects it. The caller
// holds the world's lock.
func (c *simCommand) scheduleCopy() {
	w, repeated := c.w, c.w.repeatedCommands
	if repeated.share == 0 || w.random.Float64() >= repeated.share {
		return
	}
	delay := minCopyDelay + time.Duration(w.random.Int64N(int64(repeated.maxDelay-minCopyDelay)))
	w.spawn(func() {
		time.Sleep(delay)
		c.deliverCopy(delay)
	})
}

// deliverCopy makes the worker execute the message again, if token and session still allow
// it. Nobody waits for the answer.
func (c *simCommand) deliverCopy(delay time.Duration) {
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	m := c.awaitReceiver()
	if m == nil {
		return
	}
	accepted := c.isAccepted(m)
	c.recordCopy(m, delay, accepted)
	if accepted {
		m.token = c.FencingToken
		m.execute(c.Commands, c.sentAt)
	}
	m.report() // the answer, which increments the sequence number
}

// recordCopy records the circumstances of a copy, to prove that a scenario took place.
func (c *simCommand) recordCopy(m *simWorker, delay time.Duration, accepted bool) {
	w := c.w
	outcome := " refused"
	if accepted {
		outcome = " carried out"
	}
	w.recordEventLocked("copy of a command" + outcome)
	for what, happened := range map[string]bool{
		"copy within a second":               delay < time.Second,
		"copy over a minute late":            delay > time.Minute,
		"copy of a process that has ended":   w.nodes[c.from].node != c.sender,
		"copy to a machine behind a proxy":   m.answeredByProxy,
		"copy to the machine's next session": c.Session < m.session,
		"copy after a newer token":           c.FencingToken < m.token,
		"copy after the next holder's first": w.tokenOwners[machineTokenKey{m.id, m.token}] != c.sender,
	} {
		if happened {
			w.recordEventLocked(what)
		}
	}
	for _, o := range c.Commands {
		if o.Verb == protocol.VerbStart {
			c.recordCopiedStart(m, o, outcome)
		}
	}
}

// recordCopiedStart records what had become of a start's attempt when its copy arrived.
func (c *simCommand) recordCopiedStart(m *simWorker, o protocol.Command, outcome string) {
	w := c.w
	id, _, _ := protocol.ParseTaskName(o.Task)
	record := func(what string) {
		w.recordEventLocked(what)
		w.recordEventLocked(what + outcome)
	}
	if cause := m.endedAttempts[attemptName(o.Task, o.Attempt)]; cause != "" {
		record("copy of a start that ended " + cause)
	}
	if elsewhere := w.taskWorker[o.Task]; elsewhere != nil && elsewhere != m {
		record("copy of a start whose task runs elsewhere")
	}
	if t := m.tasks[o.Task]; t != nil && t.attempt > o.Attempt {
		record("copy of a start whose task was placed there again")
	}
	if _, ok := w.cancelConfirmedAt[id]; ok {
		record("copy of a start of a cancelled job")
	}
}

// attemptName identifies an attempt of a task.
func attemptName(task string, attempt uint64) string { return fmt.Sprintf("%s@%d", task, attempt) }
