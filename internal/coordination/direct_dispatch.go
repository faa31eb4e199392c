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

// DirectSender sends commands directly to a worker, without waiting for its next
// heartbeat.
type DirectSender func(ctx context.Context, address string, d protocol.DirectCommands) DirectAnswer

// DirectAnswer is the outcome of a direct message.
type DirectAnswer struct {
	Outcome DirectOutcome
	Report  *protocol.Heartbeat // the worker's state after the commands, if it answered
}

// DirectOutcome is what is known of a direct message.
type DirectOutcome uint8

const (
	// DirectUnanswered says nothing: the message may have been carried out, or may
	// still be. It is the zero value, so an outcome that nobody set claims
	// nothing.
	DirectUnanswered DirectOutcome = iota
	DirectUnsent                   // it never left: no connection was made
	DirectDone                     // carried out
	DirectRejected                 // not carried out: token or session did not match
)

// isAnswer reports whether the worker answered the message.
func (o DirectOutcome) isAnswer() bool { return o == DirectDone || o == DirectRejected }

// directState is what is known of direct messages to a machine.
type directState struct {
	reportedAt time.Time // when its newest heartbeat was received
	answered   bool      // an answer to a heartbeat is known to have reached its worker
	notBefore  time.Time // no direct message before then
	failures   int       // messages in a row that were not answered
}

// directTarget is a machine that has commands to be sent.
type directTarget struct {
	shard   *shard
	machine *machine
}

// sendDirectMessages sends to workers what should not wait for their next
// heartbeats. The next answer carries it as well until the worker reports it,
// so nothing depends on a direct message.
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

// directTargets lists the machines with commands that may be sent directly, and
// what the limiter needs to know of each; Worker is the index of its machine.
func (n *Node) directTargets(now time.Time) (machines []directTarget, targets []dispatch.Target) {
	for _, i := range n.sortedShardIndexes() {
		s := n.shards[i]
		for _, m := range s.sortedMachines() {
			if n.records.DelegatedMachines[i][m.lease.Machine] {
				continue // its heartbeats go to a proxy, or are about to: see acknowledgeable
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

// sortedShardIndexes lists the indexes of the shards that this controller
// holds.
func (n *Node) sortedShardIndexes() []int {
	var indexes []int
	for i := range n.shards {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	return indexes
}

// directTarget describes the commands that wait for a machine; false if there
// are none that may be sent directly.
func (m *machine) directTarget(now time.Time) (dispatch.Target, bool) {
	target := dispatch.Target{Rank: int(protocol.PriorityProd), SinceHeartbeat: now.Sub(m.direct.reportedAt)}
	if !m.acceptsDirect(now) {
		return target, false
	}
	for _, run := range m.attempts {
		needsStop := run.stopRequested && run.start.IsKnown() && run.stopSentAt.IsZero()
		if !needsStop && !m.needsStart(run) {
			continue
		}
		if needsStop {
			target.Stops = true
		}
		target.Commands++
		target.Rank = min(target.Rank, directRank(run.job))
	}
	return target, target.Commands > 0
}

// acceptsDirect reports whether a direct message may be sent to the machine: it is
// in use under this holder, its address is known, the last message is settled,
// and the backoff after messages that failed is over. The worker must have got an
// answer to a heartbeat: until then its lease runs from its start, and what is started
// on it by a direct message, which renews no lease, may end with that.
func (m *machine) acceptsDirect(now time.Time) bool {
	inUse := m.hasReported() && m.isReconciled() && !m.isExpired() && !m.releasing && !m.removed
	return inUse && m.direct.answered && m.address != "" && !m.exchange.InFlight() && !now.Before(m.direct.notBefore)
}

// needsStart reports whether the start of an attempt on the machine waits to be
// sent.
func (m *machine) needsStart(run *taskAttempt) bool {
	return !run.stopRequested && !run.job.ended && !m.cordoned && !run.start.IsSent()
}

// directRank orders direct messages: urgent work and work within a guarantee
// first.
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

// buildMessage builds a direct message. It carries stops and starts and never a
// clear: a late clear would have the worker forget an attempt whose start may
// arrive once more.
func (t directTarget) buildMessage(now time.Time) directMessage {
	s, m := t.shard, t.machine
	message := directMessage{directTarget: t, address: m.address, tracker: m.exchange.BeginMessage()}
	message.payload = protocol.DirectCommands{
		FencingToken: s.machineToken(m),
		Session:      message.tracker.Session,
		Commands:     s.stopCommands(m, now),
	}
	for key, run := range m.attempts {
		if !m.needsStart(run) {
			continue
		}
		message.tracker.AddStart(&run.start)
		run.startSentAt, run.directToken = now, message.payload.FencingToken
		message.starts = append(message.starts, run)
		start := protocol.Command{Verb: protocol.VerbStart, Task: protocol.FormatTaskName(key.job, key.task), Attempt: run.number}
		message.payload.Commands = append(message.payload.Commands, start)
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
		return // another holder has it by now, with a higher token
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

// hasUnsentStart reports whether some attempt on the machine has not been sent
// to it, whatever the reason.
func (m *machine) hasUnsentStart() bool {
	for _, run := range m.attempts {
		if !run.start.IsSent() {
			return true
		}
	}
	return false
}

// finishDirect records what became of a message's starts. Those of a message that
// was not answered stay unconfirmed, and so does the message: they may arrive at
// any later moment.
func (s *shard) finishDirect(message *directMessage, answer DirectAnswer, now time.Time) {
	m := message.machine
	listed := map[taskKey]uint64{}
	if answer.Outcome == DirectDone {
		for _, t := range answer.Report.Tasks {
			listed[parseTaskKey(t.Task)] = t.Attempt
		}
	}
	settled := answer.Outcome != DirectUnanswered
	for _, run := range message.starts {
		switch {
		case answer.Outcome == DirectUnanswered:
		case answer.Outcome == DirectDone && listed[run.key] != run.number:
			settled = false // answered without listing the attempt
		default:
			message.tracker.SettleStart(&run.start)
		}
	}
	m.exchange.EndMessage(message.tracker, settled)
	if answer.Outcome == DirectDone {
		s.receiveDirectReport(m, answer.Report, now)
	}
}

// receiveDirectReport applies the report in a worker's answer to a direct
// message. It tells what is on the machine; what it does not list may be on its
// way in the answer to a heartbeat.
func (s *shard) receiveDirectReport(m *machine, report *protocol.Heartbeat, now time.Time) {
	if m.isExpired() || !m.exchange.RecordDirectStatus(report.Session, report.Sequence) {
		return
	}
	m.lastHeartbeat, m.health = now, failuredetector.Healthy
	m.recordReclaimNotice(report.InterruptionSeconds, now)
	listed := s.reconcileTasks(m, report, now, func(taskKey, protocol.TaskStatus) bool { return false })
	if s.guards&dispatch.WithoutResponseOrder != 0 {
		for key, run := range m.attempts {
			if run.start.IsSent() && !listed[key] {
				s.dropAttempt(run)
			}
		}
	}
}
