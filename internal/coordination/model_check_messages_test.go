package coordination

import (
	"maps"
	"slices"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

func (x *explorer) canPlace(m *machine) bool {
	j := x.job
	return !x.cancelled && x.holder.jobs[j.id] == j && !j.unconfirmed && j.pendingTasks() > 0 && j.canPlaceOn(m) && m.freeCapacity().Fits(j.taskResources) &&
		x.holder.remainingQuota(j, map[string]teamQuota{"red": {limit: storage.Resources{Cores: 1}}}, x.holder.unreportedCapacity()) > 0 && int(x.holder.attemptCount) < x.bounds.attempts
}

func (x *explorer) heartbeatOf(i int) *protocol.Heartbeat {
	w := x.workers[i]
	w.sequence++
	r := &protocol.Heartbeat{Machine: modelWorkerName(i), Address: modelWorkerName(i), MachineType: "small", Zone: "a", Session: w.session, Sequence: w.sequence, FencingToken: w.token}
	for _, name := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[name]
		st := protocol.TaskStatus{Task: name, Attempt: t.attempt, State: protocol.Running}
		if !t.active {
			st.State, st.Cause = protocol.Exited, t.cause
		}
		r.Tasks = append(r.Tasks, st)
	}
	return r
}

func (x *explorer) receiveReport(i int, r *protocol.Heartbeat) {
	s, m := x.machineOf(i)
	if m == nil || !s.receiveHeartbeat(m, r, x.now) {
		x.workers[i].awaitsAnswer = false // 503
		return
	}
	o := &protocol.HeartbeatResponse{FencingToken: s.machineToken(m), Commands: s.buildCommands(m, x.now)}
	x.workers[i].answer, x.workers[i].answeredAfterCancel = o, x.cancelled
}

func (x *explorer) receiveAnswer(w *modelWorker) {
	o := w.answer
	w.answer, w.awaitsAnswer = nil, false
	if o.FencingToken < w.token {
		return
	}
	w.token, w.renewed = o.FencingToken, true
	w.renewedAfterCancel = w.renewedAfterCancel || w.answeredAfterCancel
	w.execute(o.Commands, x)
}

// answerByProxy renews a worker's lease and stops the worker's cancelled tasks.
func (x *explorer) answerByProxy(w *modelWorker, token uint64) {
	if token < w.token {
		return
	}
	w.token, w.renewed, w.renewedAfterCancel = token, true, w.renewedAfterCancel || x.cancelled
	for name, t := range w.tasks {
		if x.cancelled && t.active {
			w.tasks[name] = modelTask{attempt: t.attempt, cause: protocol.CauseStopped}
		}
	}
}

func (w *modelWorker) execute(orders []protocol.Command, x *explorer) {
	for _, o := range orders {
		t, ok := w.tasks[o.Task]
		switch o.Verb {
		case protocol.VerbStart:
			if !ok || !t.active && t.attempt != o.Attempt {
				w.tasks[o.Task] = modelTask{attempt: o.Attempt, active: true}
			}
		case protocol.VerbStop:
			if ok && t.active && t.attempt == o.Attempt {
				w.tasks[o.Task] = modelTask{attempt: o.Attempt, cause: protocol.CauseStopped}
			}
		case protocol.VerbClear:
			if ok && !t.active && t.attempt == o.Attempt {
				delete(w.tasks, o.Task)
			}
		}
	}
}

func (x *explorer) deliver(d *modelMessage) {
	w := x.workers[d.to]
	a := &DirectAnswer{Outcome: DirectRejected}
	if w.accepts(d.payload) {
		a.Outcome = DirectDone
		w.token = d.payload.FencingToken
		w.execute(d.payload.Commands, x)
		if x.bounds.copies > 0 {
			x.bounds.copies--
			x.copies = append(slices.Clone(x.copies), &modelCopy{d.to, d.payload})
		}
	}
	a.Report = x.heartbeatOf(d.to)
	if d.reply = a; d.timedOut {
		x.removeMessage(d)
	}
}

// deliverCopy makes the worker carry out a message again, if it still accepts it.
func (x *explorer) deliverCopy(c *modelCopy) {
	w := x.workers[c.to]
	x.copies = slices.DeleteFunc(slices.Clone(x.copies), func(o *modelCopy) bool { return o == c })
	if w.accepts(c.payload) {
		w.token = c.payload.FencingToken
		w.execute(c.payload.Commands, x)
	}
	w.sequence++ // the answer, which nobody receives
}

// accepts reports whether the worker carries out a direct message.
func (w *modelWorker) accepts(payload protocol.DirectCommands) bool {
	return payload.FencingToken >= w.token && payload.Session == w.session
}

func (x *explorer) removeMessage(d *modelMessage) {
	x.direct = slices.DeleteFunc(slices.Clone(x.direct), func(o *modelMessage) bool { return o == d })
}

func (x *explorer) finishDirect(d *modelMessage, a DirectAnswer) {
	if s, m := x.machineOf(d.to); s == d.holder && m == d.message.machine {
		s.finishDirect(&d.message, a, x.now)
	}
}
