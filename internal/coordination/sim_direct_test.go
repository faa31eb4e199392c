package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// delayedCommands selects the direct commands that are delayed: the sender receives no
// answer, and they are executed once, late, if token and session still match.
type delayedCommands struct {
	share    float64
	maxDelay time.Duration // upper bound of the delay; the lower is minCommandDelay
	verb     string        // only messages with a command of this verb; empty: all
	from     []int         // only messages from these controllers; nil: all
}

const (
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 16 * time.Second // unless a fault sets maxDelay
)

// delays reports whether a message is delayed.
func (h *delayedCommands) delays(from int, d *protocol.DirectCommands, chance float64) bool {
	if chance >= h.share || h.from != nil && !slices.Contains(h.from, from) {
		return false
	}
	return h.verb == "" || slices.ContainsFunc(d.Commands, func(o protocol.Command) bool { return o.Verb == h.verb })
}

// simCommand is a direct message in flight to a worker.
type simCommand struct {
	w       *world
	from    int
	sender  *Node
	address string
	protocol.DirectCommands
	sentAt  time.Time
	delayed bool // delivered after its sender has timed out
}

// Baseline losses of direct messages without an injected fault: a few percent are never
// sent, some arrive up to a minute late, and the answers of some are lost.
const (
	unsentPercent = 4
	latePercent   = 10
	lostPercent   = 4
	directTimeout = 4 * time.Second // how long a controller waits for the answer
)

// direct delivers what a controller sends directly to a worker.
func (w *world) direct(from int, sender *Node, address string, d protocol.DirectCommands) DirectAnswer {
	c := &simCommand{w: w, from: from, sender: sender, address: address, DirectCommands: d, sentAt: time.Now()}
	w.mu.Lock()
	w.checkCommand(c)
	cut, roll := w.workers[address] != nil && !w.reaches(w.workers[address].request.Zone, w.nodes[from]), w.random.IntN(100)
	pause, slow := time.Until(w.nodes[from].pausedUntil), time.Duration(0)
	if w.directDelay > 0 {
		slow = time.Duration(w.random.Int64N(int64(w.directDelay)))
	}
	delay := time.Duration(1+w.random.IntN(30)) * time.Millisecond
	late := time.Duration(w.random.IntN(60)) * time.Second
	if c.delayed = w.delayedCommands.delays(from, &d, w.random.Float64()); c.delayed {
		late = minCommandDelay + time.Duration(w.random.Int64N(int64(w.delayedCommands.maxDelay-minCommandDelay)))
	}
	w.mu.Unlock()
	// The process may be paused between reading the clock and sending.
	time.Sleep(delay + max(pause, 0))
	if roll < unsentPercent {
		return DirectAnswer{Outcome: DirectUnsent}
	}
	answer := make(chan DirectAnswer, 1)
	w.spawn(func() {
		time.Sleep(slow)
		if roll < unsentPercent+latePercent || cut || c.delayed {
			time.Sleep(late)
		}
		if a, ok := c.deliver(slow); ok && roll < 100-lostPercent && !c.delayed {
			answer <- a
		}
	})
	select {
	case a := <-answer:
		time.Sleep(delay)
		return a
	case <-time.After(directTimeout):
		if w.disabledGuards.binding {
			return DirectAnswer{Outcome: DirectUnsent}
		}
		return DirectAnswer{}
	}
}

// checkCommand checks a direct message of a controller to a worker; the caller holds the
// world's lock.
func (w *world) checkCommand(c *simCommand) {
	for _, o := range c.Commands {
		if o.Verb == protocol.VerbClear {
			w.violationf("a clear is sent directly to %s, and may arrive late", c.address)
		}
	}
	w.checkSize("direct message to "+c.address, len(c.Commands), protocol.MaxBodyBytes, c.DirectCommands)
	w.checkTokenOwner(c.address, c.FencingToken, c.sender)
}

// checkSize checks that a message with a number of entries is within a size limit of the
// protocol. The caller holds the world's lock.
func (w *world) checkSize(what string, entries, maxBytes int, message any) {
	if entries*protocol.MaxTaskStatusBytes < maxBytes/2 {
		return // far below the limit: the encoding is not worth its time
	}
	w.recordEventLocked("a message of half its largest size")
	if raw, _ := json.Marshal(message); len(raw) > maxBytes {
		w.violationf("too_large: %s has %d bytes in %d entries", what, len(raw), entries)
	}
}

// machineTokenKey is a machine and a fencing token that it received.
type machineTokenKey struct {
	machine string
	token   uint64
}

// checkTokenOwner checks that no other process has commanded a machine with the same
// token: late commands of one holder would be indistinguishable from those of the next.
// The caller holds the world's lock.
func (w *world) checkTokenOwner(machine string, token uint64, holder *Node) {
	at := machineTokenKey{machine, token}
	if first, ok := w.tokenOwners[at]; ok && first != holder {
		w.violationf("two processes command %s with token %d", machine, token)
	}
	w.tokenOwners[at] = holder
}

// deliver makes the worker execute the message if its token and session allow it. It returns
// false if no worker answers.
func (c *simCommand) deliver(slow time.Duration) (DirectAnswer, bool) {
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	m := c.awaitReceiver()
	if m == nil {
		return DirectAnswer{}, false
	}
	accepted := c.isAccepted(m)
	a := DirectAnswer{Outcome: DirectRejected}
	if c.delayed {
		c.recordLateCommand(m, accepted)
	}
	if accepted {
		a.Outcome = DirectDone
		m.token = c.FencingToken
		if m.cannotSend {
			w.recordEventLocked("direct command to a machine that can't send")
		}
		if slow > 3*time.Second && len(m.tasks) > 0 {
			w.recordEventLocked("direct command held for seconds")
		}
		m.execute(c.Commands, c.sentAt)
		c.scheduleCopy()
	}
	a.Report = m.report()
	return a, true
}

// awaitReceiver returns the worker that the message reaches, or nil. On a machine that hangs
// the message stays in the socket until the machine resumes. The caller holds the world's lock,
// which is released meanwhile.
func (c *simCommand) awaitReceiver() *simWorker {
	w := c.w
	m := w.workers[c.address]
	for m != nil && time.Now().Before(m.hungUntil) && w.ctx.Err() == nil {
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
	}
	if m == nil || m.dead || m.session == 0 || m.cannotReceive || w.ctx.Err() != nil {
		return nil
	}
	return m
}

// isAccepted reports whether the worker's token and session allow the message.
func (c *simCommand) isAccepted(m *simWorker) bool {
	m.checkLease(time.Now())
	return c.FencingToken >= m.token && c.Session == m.session
}

// recordLateCommand records the circumstances of a late command, to prove that a scenario
// took place.
func (c *simCommand) recordLateCommand(m *simWorker, accepted bool) {
	w := c.w
	outcome := "refused"
	if accepted {
		outcome = "carried out"
	}
	w.recordEventLocked("late command " + outcome)
	if time.Since(c.sentAt) > time.Minute {
		w.recordEventLocked("command a minute late " + outcome)
	}
	if c.Session < m.session {
		w.recordEventLocked("late command to the machine's next session " + outcome)
	}
	if c.FencingToken < m.token {
		w.recordEventLocked("late command arrives after the next holder's")
	}
	if w.nodes[c.from].node != c.sender {
		w.recordEventLocked("late command of a process that has ended " + outcome)
	}
	if m.cannotSend {
		w.recordEventLocked("late command to a machine that can't send " + outcome)
	}
	if w.releasePending[m.id] {
		w.recordEventLocked("late command to a machine whose release is in flight")
	}
	for _, o := range c.Commands {
		id, _, _ := protocol.ParseTaskName(o.Task)
		t := m.tasks[o.Task]
		if _, ok := w.cancelConfirmedAt[id]; ok && o.Verb == protocol.VerbStart {
			w.recordEventLocked("late start of a cancelled job " + outcome)
			if m.resumedAt.After(c.sentAt) {
				w.recordEventLocked("late start of a cancelled job on a machine that hung in between")
			}
		}
		switch {
		case o.Verb == protocol.VerbStart && w.taskWorker[o.Task] != nil && w.taskWorker[o.Task] != m:
			w.recordEventLocked("late start of a task that runs elsewhere " + outcome)
		case o.Verb == protocol.VerbStart && t != nil && t.attempt == o.Attempt && t.status == protocol.Exited:
			w.recordEventLocked("late start of an attempt that has ended there")
		case o.Verb == protocol.VerbStop && (t == nil || t.attempt != o.Attempt):
			w.recordEventLocked("late stop of an attempt that is gone")
		case o.Verb == protocol.VerbStop && t != nil && t.attempt == o.Attempt && accepted:
			w.recordEventLocked("late stop of a present attempt")
		}
	}
	if len(c.Commands) > 1 {
		w.recordEventLocked("late batch of commands")
	} else {
		w.recordEventLocked("late single command")
	}
}
