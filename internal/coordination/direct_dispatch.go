package coordination

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/failuredetector"
	"reedtrack/internal/protocol"
)

// DirectSender sends commands directly to a worker, without waiting for its
// next heartbeat.
type DirectSender func(ctx context.Context, address string, d protocol.DirectCommands) DirectAnswer

// DirectAnswer is the result of a direct message.
type DirectAnswer struct {
	Outcome DirectOutcome
	Report  *protocol.Heartbeat // the worker's state after the commands, if it answered
}

// DirectOutcome is the outcome of a direct message: whether it was carried out.
type DirectOutcome uint8

const (
	// DirectUnanswered is an unknown outcome: the message may have been carried
	// out, or may still be. It is the zero value, so an outcome that was not
	// set implies nothing.
	DirectUnanswered DirectOutcome = iota
	DirectUnsent                   // not sent: no connection was made
	DirectDone                     // carried out
	DirectRejected                 // not carried out: token or session did not match
)

// isAnswer reports whether the worker answered the message.
func (o DirectOutcome) isAnswer() bool { return o == DirectDone || o == DirectRejected }

// directState tracks direct messages to a machine.
type directState struct {
	reportedAt time.Time // when its newest heartbeat was received
	answered   bool      // a heartbeat contained a fencing token: its worker has received an answer to a heartbeat
	notBefore  time.Time // backoff: no direct message before then
	failures   int       // consecutive unanswered messages
}

// directTarget is a machine with commands to send.
type directTarget struct {
	shard   *shard
	machine *machine
}

// sendDirectMessages sends workers the commands that should not wait for their
// next heartbeats. The next answers carry the same commands until the workers
// report them, so no command depends on a direct message.
func (n *Node) sendDirectMessages() {
	for _, message := range n.buildDirectMessages() {
		go n.deliver(message)
	}
}

// buildDirectMessages returns the direct messages to send now.
func (n *Node) buildDirectMessages() []directMessage {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.holdsLease(now) {
		return nil
	}
	machines, targets := n.directTargets(now)
	if len(targets) == 0 {
		return nil
	}
	var messages []directMessage
	for _, target := range n.limiter.Select(targets, n.cpuMeter.utilization, now) {
		messages = append(messages, machines[target.Worker].buildMessage(now))
	}
	return messages
}

// directTargets lists the machines with commands that may be sent directly,
// and describes each to the limiter; Target.Worker is an index into machines.
func (n *Node) directTargets(now time.Time) (machines []directTarget, targets []dispatch.Target) {
	for _, i := range n.sortedShardIndexes() {
		s := n.shards[i]
		for _, m := range s.sortedMachines() {
			if n.records.DelegatedMachines[i][m.lease.Machine] {
				continue // its heartbeats are sent to a proxy, or soon will be: see acknowledgeableMachines
			}
			target, ok := m.directTarget(now)
			if !ok {
				continue
			}
			target.Worker = len(machines)
			machines = append(machines, directTarget{s, m})
			targets = append(targets, target)
		}
	}
	return machines, targets
}

// sortedShardIndexes returns the indexes of the shards that this controller
// holds, in ascending order.
func (n *Node) sortedShardIndexes() []int {
	var indexes []int
	for i := range n.shards {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	return indexes
}

// directTarget describes the commands pending for a machine; false if none may
// be sent directly.
func (m *machine) directTarget(now time.Time) (dispatch.Target, bool) {
	target := dispatch.Target{Rank: int(protocol.PriorityProd), SinceHeartbeat: now.Sub(m.direct.reportedAt)}
	if !m.acceptsDirect(now) {
		return target, false
	}
	maxStarts := m.maxDirectStarts()
	for _, attempt := range m.attempts {
		needsStop := attempt.stopRequested && attempt.start.IsKnown() && attempt.stopSentAt.IsZero()
		needsStart := maxStarts > 0 && m.needsStart(attempt)
		if !needsStop && !needsStart {
			continue
		}
		if needsStop {
			target.Stops = true
		}
		target.Commands++
		target.Rank = min(target.Rank, directRank(attempt.job))
	}
	return target, target.Commands > 0
}

// acceptsDirect reports whether a direct message may be sent to the machine:
// it is in use under this holder, its address is known, no earlier message is
// in flight, and the backoff after failed messages is over. Its worker must
// also have received an answer to a heartbeat. Until then the worker's lease
// runs from its start, and since a direct message renews no lease, a task
// started by one may end when that lease expires.
func (m *machine) acceptsDirect(now time.Time) bool {
	inUse := m.hasReported() && m.isReconciled() && !m.isExpired() && !m.releasing && !m.removed
	return inUse && m.direct.answered && m.address != "" && !m.exchange.InFlight() && !now.Before(m.direct.notBefore)
}

// needsStart reports whether the start of an attempt on the machine is to be
// sent directly, if the machine may get one.
func (m *machine) needsStart(attempt *taskAttempt) bool {
	return !attempt.stopRequested && !attempt.job.ended && !m.cordoned && !attempt.start.IsSent()
}

// maxDirectStarts returns how many starts the machine may get in a direct
// message. The others are sent in the answers to its heartbeats: ended attempts
// that were started directly are retained, and unconfirmed ones have to fit into
// the record of a fence.
func (m *machine) maxDirectStarts() int {
	bound := m.exchange.CountRetained()
	for _, attempt := range m.attempts {
		if attempt.start.IsUnconfirmed() {
			bound++
		}
	}
	return max(0, maxRetainedAttempts-bound)
}

// directRank ranks direct messages: those for urgent jobs and for jobs within
// a guarantee come first.
func directRank(j *job) int {
	rank := int(protocol.PriorityProd) - int(j.urgency)
	if j.urgency >= protocol.PriorityHigh || j.withinGuarantee {
		rank = 0
	}
	return rank
}

// directMessage is a message to a worker, and the attempts whose starts it
// carries.
type directMessage struct {
	directTarget
	address string
	payload protocol.DirectCommands
	tracker dispatch.Message
	starts  []*taskAttempt
}

// buildMessage builds a direct message with stops and starts, as many as fit.
// It never contains a clear: a late clear would make the worker drop an attempt
// whose start may arrive again.
func (t directTarget) buildMessage(now time.Time) directMessage {
	s, m := t.shard, t.machine
	token := s.machineToken(m)
	maxStarts := m.maxDirectStarts()
	budget := protocol.NewCommandBudget()
	message := directMessage{directTarget: t, address: m.address, tracker: m.exchange.BeginMessage(token)}
	message.payload = protocol.DirectCommands{
		FencingToken: token,
		Session:      message.tracker.Session,
		Commands:     s.stopCommands(m, budget, now, false),
	}
	for _, attempt := range m.attempts {
		if !m.needsStart(attempt) {
			continue
		}
		command := attempt.command(protocol.VerbStart)
		if len(message.starts) >= maxStarts || !budget.Reserve(command) {
			break
		}
		message.tracker.AddStart(&attempt.start)
		attempt.startSentAt = now
		message.starts = append(message.starts, attempt)
		message.payload.Commands = append(message.payload.Commands, command)
		attempt.logStart("direct", token)
	}
	return message
}

// deliver sends a direct message and records its outcome.
func (n *Node) deliver(message directMessage) {
	answer := n.direct(context.Background(), message.address, message.payload)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiter.RecordResult(answer.Outcome.isAnswer())
	s, m := message.shard, message.machine
	if n.shards[s.index] != s || s.machines[m.lease.Machine] != m {
		return // granted to another holder since, with a higher token
	}
	s.finishDirect(&message, answer, n.now())
	if !answer.Outcome.isAnswer() {
		slog.Debug("direct message failed", "machine", m.lease.Machine, "orders", len(message.payload.Commands), "outcome", answer.Outcome)
		m.direct.failures++
		m.direct.notBefore = n.now().Add(n.limiter.Limits().Backoff(m.direct.failures, rand.Float64()))
		return
	}
	m.direct.failures = 0
	if s.capacityFreed {
		s.fillMachine(m, n.teams)
	}
	if s.dirty || m.hasUnsentStart() {
		n.wakeLoops()
	}
}

// hasUnsentStart reports whether the start of any attempt on the machine has
// not been sent, for whatever reason.
func (m *machine) hasUnsentStart() bool {
	for _, attempt := range m.attempts {
		if !attempt.start.IsSent() {
			return true
		}
	}
	return false
}

// finishDirect records the outcome of a message's starts. The starts of a
// message that was carried out, or that may have been, may arrive at any time,
// also again. So may one that was rejected, if its worker lists the attempt: a
// copy was carried out before.
func (s *shard) finishDirect(message *directMessage, answer DirectAnswer, now time.Time) {
	m := message.machine
	settled := answer.Outcome == DirectUnsent || answer.Outcome == DirectRejected
	for _, attempt := range message.starts {
		isListed := answer.Report.ListsAttempt(attempt.name(), attempt.number)
		ignoresRepeats := s.guards&dispatch.WithoutRepeats != 0 && answer.Outcome == DirectDone && isListed
		if settled && !isListed || ignoresRepeats {
			message.tracker.SettleStart(&attempt.start)
		}
	}
	m.exchange.EndMessage(message.tracker, settled)
	if answer.Outcome == DirectDone {
		s.receiveDirectReport(m, answer.Report, now)
	}
}

// receiveDirectReport applies the report in a worker's answer to a direct
// message. Tasks that it lists are on the machine; the start of a task that it
// does not list may still be in flight in the answer to a heartbeat.
func (s *shard) receiveDirectReport(m *machine, report *protocol.Heartbeat, now time.Time) {
	if m.isExpired() || !m.exchange.RecordDirectStatus(report.Session, report.Sequence) {
		return
	}
	m.lastHeartbeat, m.health = now, failuredetector.Healthy
	m.recordReclaimNotice(report.InterruptionSeconds, now)
	listed := s.reconcileTasks(m, report, now, func(taskKey, protocol.TaskStatus) bool { return false })
	if s.guards&dispatch.WithoutResponseOrder != 0 {
		for key, attempt := range m.attempts {
			if attempt.start.IsSent() && !listed[key] {
				s.dropAttempt(attempt, dropAbsent)
			}
		}
	}
}
