package coordination

import (
	"cmp"
	"slices"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/protocol"
)

// A message to a worker is limited in size, see protocol.CommandBudget. Commands that don't
// fit are left out: they stay due, nothing records them as sent, and a later message carries
// them. Stops have precedence, since cancelled tasks have to end in time.

// buildCommands returns the commands in the answer to a heartbeat.
func (s *shard) buildCommands(m *machine, now time.Time) []protocol.Command {
	budget := protocol.NewCommandBudget()
	stops := s.stopCommands(m, budget, now, true)
	commands := s.clearCommands(m, budget)
	commands = append(commands, stops...)
	if m.isReconciled() && !m.cordoned && !m.releasing {
		commands = append(commands, s.startCommands(m, budget, now)...)
	}
	m.lastAnswered = now
	return commands
}

// clearCommands returns the commands that make the worker delete ended tasks.
// It returns an empty list rather than nil, since the encoding of the answer
// differs.
func (s *shard) clearCommands(m *machine, budget *protocol.CommandBudget) []protocol.Command {
	commands := []protocol.Command{}
	for key, attempt := range m.tasksToClear {
		j := s.jobs[key.job]
		if j != nil && j.done.Contains(key.task) && j.savedCount < j.done.Len() {
			// The worker keeps the result until the job's record has it.
			continue
		}
		if !m.exchange.CanClear(key, attempt, s.guards) {
			continue // its start may arrive, also again, and would then start it
		}
		command := newCommand(protocol.VerbClear, key, attempt)
		if !budget.Reserve(command) {
			break
		}
		commands = append(commands, command)
	}
	return commands
}

// startCommands returns the starts that the answer to a heartbeat has to
// carry: those not sent yet, and those sent directly that the worker has not
// reported yet.
func (s *shard) startCommands(m *machine, budget *protocol.CommandBudget, now time.Time) []protocol.Command {
	var commands []protocol.Command
	for _, attempt := range m.attempts {
		if attempt.stopRequested || attempt.job.ended || !attempt.start.IsDue() {
			continue
		}
		command := attempt.command(protocol.VerbStart)
		if !budget.Reserve(command) {
			break
		}
		attempt.start.MarkSentInResponse()
		if attempt.startSentAt.IsZero() {
			attempt.startSentAt = now
		}
		commands = append(commands, command)
		attempt.logStart("answer", s.machineToken(m))
	}
	return commands
}

// stopCommands returns the stop commands that are due on a machine: for
// orphans, which get no time to save a checkpoint, and for attempts, those
// first whose stop was never sent or was sent longest ago. inAnswer is set for
// the answer to a heartbeat, which repeats starts that may still be in flight.
func (s *shard) stopCommands(m *machine, budget *protocol.CommandBudget, now time.Time, inAnswer bool) []protocol.Command {
	var commands []protocol.Command
	for key, number := range m.orphans {
		command := stopCommand(key, number, 0)
		if !budget.Reserve(command) {
			break
		}
		commands = append(commands, command)
	}
	for _, attempt := range m.attemptsToStop() {
		startFirst := inAnswer && s.mustStartBeforeStop(attempt)
		stops := attempt.stopCommands(startFirst)
		if !budget.Reserve(stops...) {
			break
		}
		if startFirst {
			attempt.start.MarkSentInResponse()
		}
		attempt.stopSentAt = now
		commands = append(commands, stops...)
	}
	return commands
}

// attemptsToStop returns the attempts on the machine that are to be stopped and may be on it,
// those first whose stop was sent longest ago.
func (m *machine) attemptsToStop() []*taskAttempt {
	var attempts []*taskAttempt
	for _, attempt := range m.attempts {
		if attempt.stopRequested && attempt.start.IsSent() {
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, func(a, b *taskAttempt) int {
		return cmp.Or(a.stopSentAt.Compare(b.stopSentAt), cmp.Compare(a.number, b.number), cmp.Compare(a.key.task, b.key.task))
	})
	return attempts
}

// mustStartBeforeStop reports whether the start of an attempt that is to be
// stopped may still be in flight in a direct message. A worker does not start an
// attempt twice, so after another start the late duplicate has no effect.
func (s *shard) mustStartBeforeStop(attempt *taskAttempt) bool {
	return attempt.start.IsUnconfirmed() && s.guards&dispatch.WithoutStartBeforeStop == 0
}

// stopCommands returns the commands that stop the attempt, after its start if
// startFirst is set. They must not be sent in different messages.
func (a *taskAttempt) stopCommands(startFirst bool) []protocol.Command {
	stop := stopCommand(a.key, a.number, a.gracePeriod)
	if !startFirst {
		return []protocol.Command{stop}
	}
	return []protocol.Command{a.command(protocol.VerbStart), stop}
}

// stopCommand returns the command to stop an attempt of a task after a grace
// period in seconds.
func stopCommand(key taskKey, attempt uint64, gracePeriod float64) protocol.Command {
	command := newCommand(protocol.VerbStop, key, attempt)
	command.GracePeriodSeconds = &gracePeriod
	return command
}
