package coordination

import (
	"fmt"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// nextEvents returns the events that may happen next, by name. They are played in the
// order of their names, which determines what a bounded search reaches.
func (x *explorer) nextEvents() map[string]func() {
	events := map[string]func(){}
	for i, w := range x.workers {
		x.addHeartbeatEvents(events, i, w)
		s, m := x.machineOf(i)
		if m == nil {
			continue
		}
		x.addProxyEvents(events, i, w, s, m)
		x.addDirectMessageEvents(events, i, s, m)
		x.addTaskEvents(events, i, w)
		x.addHolderEvents(events, i, w, s, m)
	}
	for k, d := range x.direct {
		x.addDeliveryEvents(events, fmt.Sprintf("%s%d", modelWorkerName(d.to), k), d)
	}
	for k, c := range x.copies {
		events[fmt.Sprintf("again %s%d", modelWorkerName(c.to), k)] = func() { x.deliverCopy(c) }
	}
	x.addClusterEvents(events)
	return events
}

// addHeartbeatEvents adds the exchange of heartbeats between a worker and its holder.
func (x *explorer) addHeartbeatEvents(events map[string]func(), i int, w *modelWorker) {
	at := modelWorkerName(i)
	if !w.awaitsAnswer {
		events["report "+at] = func() { w.report, w.awaitsAnswer = x.heartbeatOf(i), true }
	}
	if w.report != nil {
		events["hears "+at] = func() { x.receiveReport(i, w.report); w.report = nil }
	}
	if w.answer != nil {
		events["answer "+at] = func() { x.receiveAnswer(w) }
	}
	if w.awaitsAnswer && (w.report != nil || w.answer != nil) {
		events["give up "+at] = func() {
			if w.report != nil && len(x.late) < x.bounds.late {
				x.late = append(x.late, w.report)
			}
			w.report, w.answer, w.awaitsAnswer = nil, nil, false
		}
	}
}

// addProxyEvents adds the answer of a heartbeat proxy, which replaces the holder's once
// the holder has acknowledged that no start is in flight, and the fencing of a start
// that is in flight.
func (x *explorer) addProxyEvents(events map[string]func(), i int, w *modelWorker, s *shard, m *machine) {
	if w.report != nil && x.bounds.proxyAnswers > 0 && m.isReconciled() && (!m.hasStartInFlight() || x.fault == faultProxyDuringStart) {
		events["proxy answers "+modelWorkerName(i)] = func() {
			x.bounds.proxyAnswers--
			w.report, w.awaitsAnswer = nil, false
			x.answerByProxy(w, s.machineToken(m))
		}
	}
	if m.hasStartInFlight() && x.bounds.fences > 0 {
		events["fence "+modelWorkerName(i)] = func() {
			x.bounds.fences--
			x.lastToken++
			m.fenceToken = x.lastToken
		}
	}
	if m.exchange.CountRetained() > 0 && x.bounds.shardFences > 0 {
		events["fence shard "+modelWorkerName(i)] = func() {
			x.bounds.shardFences--
			x.lastToken++
			s.applyFence(x.lastToken, x.now)
		}
	}
}

// addDirectMessageEvents adds the placement of the task and direct messages, with or
// without commands.
func (x *explorer) addDirectMessageEvents(events map[string]func(), i int, s *shard, m *machine) {
	at := modelWorkerName(i)
	send := func() {
		message := directTarget{s, m}.buildMessage(x.now)
		x.direct = append(x.direct, &modelMessage{to: i, message: message, payload: message.payload, holder: s})
	}
	if s == x.holder && x.canPlace(m) {
		events["place "+at] = func() { s.place(x.job, x.job.takePendingTask(), m) }
	}
	if _, ok := m.directTarget(x.now.Add(time.Second)); ok && x.sent < x.bounds.sent {
		events["direct "+at] = func() {
			x.sent++
			send()
		}
	}
	if !m.exchange.InFlight() && m.hasReported() && x.bounds.emptyMessages > 0 {
		events["ask "+at] = func() {
			x.bounds.emptyMessages--
			send()
		}
	}
}

// addTaskEvents adds the end of a worker's tasks and the expiry of its lease.
func (x *explorer) addTaskEvents(events map[string]func(), i int, w *modelWorker) {
	at := modelWorkerName(i)
	for name, task := range w.tasks {
		if task.active && x.ends < x.bounds.ends {
			events["end "+at] = func() {
				x.ends++
				w.tasks[name] = modelTask{attempt: task.attempt, cause: protocol.CauseStopped}
			}
			events["done "+at] = func() {
				x.ends++
				x.taskDone = true
				w.tasks[name] = modelTask{attempt: task.attempt, cause: protocol.CauseDone}
			}
		}
	}
	if x.expires < x.bounds.expires && (len(w.tasks) > 0 || w.renewed) {
		events["expire "+at] = func() {
			x.expires++
			w.session++
			w.tasks, w.answer, w.report, w.awaitsAnswer, w.renewed = map[string]modelTask{}, nil, nil, false, false
		}
	}
}

// addHolderEvents adds what a holder may detect or decide about a machine.
func (x *explorer) addHolderEvents(events map[string]func(), i int, w *modelWorker, s *shard, m *machine) {
	at := modelWorkerName(i)
	// Silent for longer than the lease: the worker's lease has expired since its last
	// answer, and no answer is in flight.
	if (w.session > m.exchange.Session() || x.fault == faultEarlyExpiry) && m.hasReported() && !w.renewed && w.answer == nil && !m.isExpired() {
		events["silent "+at] = func() { s.markLost(m); s.updateReconciled() }
	}
	for _, attempt := range m.attempts {
		if attempt.start.IsSent() && !attempt.stopRequested && x.bounds.stop > 0 {
			events["stop "+at] = func() { attempt.stopRequested = true }
		}
	}
	isEmpty := len(m.attempts) == 0 || x.fault == faultReleasesNonEmpty
	if s == x.holder && x.other == nil && x.bounds.releases > 0 && m.isReconciled() && m.hasReported() && isEmpty && len(m.orphans) == 0 {
		events["hand back "+at] = func() { x.moveMachineToOtherShard(at, s, m) }
	}
}

// moveMachineToOtherShard moves a machine from the holder's shard to another shard.
func (x *explorer) moveMachineToOtherShard(name string, s *shard, m *machine) {
	for _, attempt := range m.attempts {
		s.dropAttempt(attempt, dropUngranted)
	}
	delete(s.machines, name)
	s.machineList = nil
	x.lastToken++
	x.other = newShard(1, storage.ShardLease{FencingToken: 1}, 1, x.now)
	x.other.guards = x.guards
	grant := storage.Grant{Machines: []storage.MachineLease{{Machine: name, MachineType: "small", Zone: "a", FencingToken: x.lastToken}}}
	x.other.setGrant(grant, modelMachineSize, x.now)
}

// addDeliveryEvents adds the possible outcomes of a direct message.
func (x *explorer) addDeliveryEvents(events map[string]func(), at string, d *modelMessage) {
	if d.reply == nil {
		events["arrives "+at] = func() { x.deliver(d) }
		if x.bounds.earlyCopies > 0 {
			events["copy before "+at] = func() {
				x.bounds.earlyCopies--
				d.copied = true
				x.deliverCopy(&modelCopy{d.to, d.payload})
			}
		}
		if !d.timedOut && !d.copied {
			events["not sent "+at] = func() { x.finishDirect(d, DirectAnswer{Outcome: DirectUnsent}); x.removeMessage(d) }
		}
		if !d.timedOut {
			events["unanswered "+at] = func() { x.finishDirect(d, DirectAnswer{}); d.timedOut = true }
		}
	} else if !d.timedOut {
		events["replied "+at] = func() { x.finishDirect(d, *d.reply); x.removeMessage(d) }
		events["reply lost "+at] = func() { x.finishDirect(d, DirectAnswer{}); x.removeMessage(d) }
	}
}

// addClusterEvents adds a late heartbeat, the job's cancellation and a failover.
func (x *explorer) addClusterEvents(events map[string]func()) {
	if len(x.late) > 0 {
		events["late report"] = func() {
			report := x.late[0]
			x.late = nil
			if s, m := x.machineOf(int(report.Machine[0] - 'a')); m != nil {
				s.receiveHeartbeat(m, report, x.now)
			}
		}
	}
	if !x.cancelled && !x.taskDone && x.bounds.cancel > 0 {
		events["cancel"] = func() {
			x.cancelled = true
			x.holder.endJob("wk-1")
		}
	}
	if x.bounds.failovers > 0 {
		events["take over"] = x.failOver
	}
}

// failOver gives the holder's shard to a new holder.
func (x *explorer) failOver() {
	x.bounds.failovers--
	var machines []int
	for i := range x.workers {
		if x.holder.machines[modelWorkerName(i)] != nil {
			machines = append(machines, i)
		}
	}
	x.holder = x.newHolder(machines...)
	if !x.cancelled {
		x.addJob(1) // older than the lease
	}
	if x.fault == faultSkipsReconciliation {
		for _, m := range x.holder.machines {
			m.state = machineReconciled
		}
		x.holder.updateReconciled()
	}
}
