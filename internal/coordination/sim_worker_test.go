package coordination

import (
	"net/http"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

type simWorker struct {
	w                *world
	id               string
	request          protocol.MachineRequest
	machineType      protocol.MachineType
	createdAt        time.Time
	bootedAt         time.Time
	dead             bool
	session          uint64
	sequence         uint64
	token            uint64
	warningS         *float64
	lastAcknowledged time.Time // when the last answered heartbeat was sent
	tasks            map[string]*simTask
	failing          bool
	cannotReceive    bool // answers and direct commands to it are lost
	cannotSend       bool // it can't reach any controller
	hungUntil        time.Time
	resumedAt        time.Time // when its last hang ended
	changed          bool
	endedAttempts    map[string]string // causes of the ended attempts, by attemptName
	answeredByProxy  bool              // the last answer that it obeyed was a proxy's
	controller       int
	leaseEpoch       uint64 // incremented with the session, to drop late answers
	trace            heartbeatTrace
}

type simTask struct {
	name       string
	job        *protocol.Job
	attempt    uint64
	status     string
	cause      string
	nextChange time.Time
	active     bool      // occupies the machine
	orderedAt  time.Time // when its start command was created
}

// die ends a worker; the caller holds the world's lock.
func (m *simWorker) die() {
	m.dead = true
	for _, t := range m.tasks {
		if t.active && (t.job.OneZone || t.job.Zone != "") {
			m.w.recordEventLocked("a job of one zone loses a machine")
		}
		m.stopTask(t)
	}
	m.tasks = map[string]*simTask{}
}

func (m *simWorker) stopTask(t *simTask) {
	if t.active {
		t.active = false
		if at, ok := m.w.cancelConfirmedAt[t.job.ID]; ok {
			m.w.longestAfterCancel = max(m.w.longestAfterCancel, time.Since(at))
			if time.Now().Before(m.hungUntil) {
				m.w.recordEventLocked("cancelled task ended on a machine that hung")
			}
		}
		delete(m.w.taskWorker, t.name)
		m.w.teamCores[t.job.Team] -= t.job.Cores
	}
}

// exitTask ends a task; it stays in the reports.
func (m *simWorker) exitTask(t *simTask, cause string) {
	m.stopTask(t)
	t.status, t.cause = protocol.Exited, cause
	if m.endedAttempts == nil {
		m.endedAttempts = map[string]string{}
	}
	m.endedAttempts[attemptName(t.name, t.attempt)] = cause
}

// startTask starts a task and checks the invariants.
func (m *simWorker) startTask(t *simTask) {
	w, j := m.w, t.job
	w.startCount++
	if o := w.taskWorker[t.name]; o != nil {
		w.violationf("ran_twice: %s on %s and %s", t.name, o.id, m.id)
	}
	if at, ok := w.cancelConfirmedAt[j.ID]; ok && time.Since(at).Seconds() > w.settings.Deployment.Workers.CancelS {
		w.violationf("ran_cancelled: %s starts", t.name)
	} else if ok {
		w.recordEventLocked("a start after a confirmed cancellation") // its command was in flight
		if late := t.orderedAt.Sub(at); late > w.settings.Defaults().HolderLease {
			w.violationf("started_cancelled: %s, ordered %v after its cancellation was confirmed", t.name, late)
		}
	}
	for _, id := range j.DependsOn {
		if !w.allDone(id) {
			w.violationf("too_early: %s before %s", t.name, id)
		}
	}
	if !isAllowedOn(j, m) {
		w.violationf("wrong_place: %s on %s", t.name, m.id)
	}
	same := 1
	for name, o := range w.taskWorker {
		if id, _, _ := protocol.ParseTaskName(name); id != j.ID {
			continue
		}
		if o.request.Zone == m.request.Zone {
			same++
		} else if j.OneZone {
			w.violationf("wrong_place: %s not in one zone", t.name)
		}
	}
	if j.Spread && same > (j.Tasks+1)/2 {
		w.violationf("wrong_place: %s not spread", t.name)
	}
	w.taskWorker[t.name] = m
	t.active = true
	w.teamCores[j.Team] += j.Cores
	if w.firstStartedAt[j.ID].IsZero() {
		w.firstStartedAt[j.ID] = time.Now()
	}
	for _, team := range w.settings.Deployment.Teams {
		if team.Name == j.Team && w.teamCores[j.Team] > team.CPUsMax+1e-6 {
			w.violationf("quota: %s uses %g of %g", j.Team, w.teamCores[j.Team], team.CPUsMax)
		}
		if team.Name == j.Team && w.teamCores[j.Team]+j.Cores > team.CPUsMax {
			w.recordEventLocked(j.Team + " is at its limit")
		}
	}
}

func (m *simWorker) run(boot time.Duration) {
	time.Sleep(boot)
	w := m.w
	w.mu.Lock()
	m.session, m.lastAcknowledged, m.controller = 1, time.Now(), w.random.IntN(len(w.nodes))
	w.mu.Unlock()
	next := time.Now()
	busy := false
	for w.ctx.Err() == nil {
		w.mu.Lock()
		now := time.Now()
		if m.dead {
			w.mu.Unlock()
			return
		}
		if now.Before(m.hungUntil) {
			m.checkLease(now) // it may resume only within its lease
			m.resumedAt = m.hungUntil
			w.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		m.step(now)
		send := !busy && (now.After(next) || m.changed && now.After(next.Add(-2500*time.Millisecond)))
		var rep *protocol.Heartbeat
		if send {
			m.changed = false
			next = now.Add(time.Duration(2250+w.random.IntN(1500)) * time.Millisecond)
			rep = m.report()
			busy = true
		}
		node, epoch := m.controller, m.leaseEpoch
		w.mu.Unlock()
		if rep != nil {
			w.spawn(func() {
				m.send(rep, node, epoch, now)
				w.mu.Lock()
				busy = false
				w.mu.Unlock()
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkLease ends the session if no heartbeat was answered for the length of the lease.
func (m *simWorker) checkLease(now time.Time) {
	if now.Sub(m.lastAcknowledged).Seconds() > m.w.settings.Deployment.Workers.LeaseS {
		for _, t := range m.tasks {
			if t.active {
				m.w.recordEventLocked("a worker's lease ends with a task on it")
				m.w.recordLeaseEnd(m, t, now)
			}
			m.stopTask(t)
		}
		m.tasks = map[string]*simTask{}
		m.session++
		m.leaseEpoch++
		m.lastAcknowledged, m.changed = now, true
	}
}

// step advances the tasks and checks the lease.
func (m *simWorker) step(now time.Time) {
	m.checkLease(now)
	for _, t := range m.tasks {
		if t.status == protocol.Exited || now.Before(t.nextChange) {
			if at, ok := m.w.cancelConfirmedAt[t.job.ID]; ok && t.active && now.Sub(at).Seconds() > m.w.settings.Deployment.Workers.CancelS {
				m.w.violationf("ran_cancelled: %s is on %s", t.name, m.id)
			}
			continue
		}
		m.changed = true
		switch t.status {
		case protocol.Fetching:
			m.startTask(t)
			t.status = protocol.Running
			t.nextChange = now.Add(config.Seconds(t.job.EstimatedSeconds * (0.5 + m.w.random.Float64())))
			if m.failing {
				t.nextChange = now
			}
			if t.job.IsService() {
				t.nextChange = now.Add(time.Hour)
			}
			if m.w.done[t.name] {
				t.nextChange = now
			}
			if time.Since(m.bootedAt) < 3*time.Second && m.w.quickBoots {
				m.w.recordEventLocked("task started on a newly booted machine")
			}
		case protocol.Running:
			cause := protocol.CauseDone
			if m.failing {
				cause = protocol.CauseFailed
			}
			m.exitTask(t, cause)
			if !m.failing {
				m.w.done[t.name] = true
				m.w.recordTaskEnd(t.job)
			}
		case protocol.Checkpointing:
			m.exitTask(t, protocol.CauseStopped)
		}
	}
}

func (m *simWorker) report() *protocol.Heartbeat {
	m.sequence++
	r := &protocol.Heartbeat{Machine: m.id, Address: m.id, MachineType: m.request.MachineType, Zone: m.request.Zone, Spot: m.request.Spot,
		Session: m.session, Sequence: m.sequence, FencingToken: m.token, InterruptionSeconds: m.warningS}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.status, Cause: t.cause})
	}
	m.w.checkSize("heartbeat of "+m.id, len(r.Tasks), protocol.MaxBodyBytes, r)
	return r
}

func (m *simWorker) send(r *protocol.Heartbeat, to int, epoch uint64, sent time.Time) {
	w := m.w
	time.Sleep(time.Duration(1+w.intn(30))*time.Millisecond + w.heartbeatLatency())
	w.mu.Lock()
	n, cut, pause := w.nodes[to].node, !w.reaches(m.request.Zone, w.nodes[to]) || m.cannotSend, time.Until(w.nodes[to].pausedUntil)
	held := w.heldHeartbeats > 0 && w.random.IntN(w.heldHeartbeats) == 0
	late := time.Duration(4+w.random.IntN(40)) * time.Second
	if pause > 4*time.Second { // it waits in the socket of a paused process
		held, late = true, pause
	}
	if !cut {
		w.copyHeartbeat(r, to)
	}
	w.mu.Unlock()
	status, orders, answerTo := 0, protocol.HeartbeatResponse{}, ""
	trace := tracedHeartbeat{sentAt: sent, to: w.nodes[to].name, sequence: r.Sequence, outcome: heartbeatDelivered}
	switch {
	case cut:
		trace.outcome = heartbeatCutOff
	case held:
		trace.outcome, trace.lost = heartbeatDelayed, true
		trace.renews = n != nil && n.mayAnswerMachine(m.id)
	case n == nil:
		trace.outcome = heartbeatRefused
	}
	var answered time.Time
	holds := false    // the answering controller holds the machine's shard
	relayed := false  // the answer is the holder's, relayed by another controller
	if held && !cut { // delivered too late for the worker to wait for the answer
		w.spawn(func() {
			time.Sleep(late)
			if n := w.node(to); n != nil && w.ctx.Err() == nil {
				n.Heartbeat(r)
			}
		})
		time.Sleep(4 * time.Second)
	} else if n != nil && !cut {
		time.Sleep(max(pause, 0))
		answer := n.Heartbeat(r)
		status, orders, answerTo = answer.Status, answer.Response, answer.RedirectTo
		answered, holds, relayed = time.Now(), n.holdsMachine(m.id), answer.RelayedTo != ""
		time.Sleep(time.Duration(1+w.intn(30))*time.Millisecond + w.heartbeatLatency())
		if w.chance(w.heartbeatAnswers) || w.losesRenewal(m.id, status) { // the answer is lost
			time.Sleep(4 * time.Second)
			trace.outcome, trace.renews = heartbeatAnswerLost, status == 200
			trace.lost = status == 200 || status == 421
			status = 0
		}
	}
	w.mu.Lock()
	defer func() { m.trace.add(trace) }() // under the world's lock
	if pause := time.Until(w.nodes[to].pausedUntil); pause > 0 && status != 0 {
		w.mu.Unlock() // the answer was created but not sent
		time.Sleep(min(pause, 4*time.Second))
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if m.dead {
		return
	}
	if m.cannotReceive && status == 200 {
		w.recordEventLocked("heartbeat answered whose sender can't receive")
	}
	if m.cannotReceive || time.Since(sent) > 4*time.Second {
		status = 0
	}
	trace.status, trace.redirect, trace.token, trace.tookS = status, answerTo, orders.FencingToken, time.Since(sent).Seconds()
	switch {
	case status == 200:
		if m.leaseEpoch != epoch || orders.FencingToken < m.token {
			trace.outcome = heartbeatAnswerDropped
			return
		}
		if !holds && !relayed && orders.FencingToken > m.token && m.token > 0 {
			w.recordEventLocked("a heartbeat proxy answers under a newer token")
		}
		if orders.FencingToken > m.token {
			m.token, m.changed = orders.FencingToken, true
		}
		w.checkSize("answer to "+m.id, len(orders.Commands), protocol.MaxLineBytes, orders)
		m.lastAcknowledged = sent
		m.answeredByProxy = !relayed && !holds
		switch {
		case relayed: // its token was checked where the holder answered, see simPeer
			w.recordEventLocked("a heartbeat is answered by a relay")
		case holds:
			w.checkTokenOwner(m.id, orders.FencingToken, n)
		default:
			w.checkProxyAnswer(m, orders)
			if w.disabledGuards.proxyStops {
				orders.Commands = nil
			}
		}
		m.execute(orders.Commands, answered)
	case status == 421 && answerTo != "" && answerTo != w.nodes[to].name:
		for i, o := range w.nodes {
			if o.name == answerTo {
				m.controller = i
			}
		}
		m.changed = true
	default:
		m.controller = (to + 1) % len(w.nodes)
		m.changed = true
	}
}

// losesRenewal reports whether an answer that would renew a worker's lease is to be lost.
func (w *world) losesRenewal(machine string, status int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status != http.StatusOK || w.answersToLose[machine] == 0 {
		return false
	}
	w.answersToLose[machine]--
	return true
}

// execute executes commands that were created at the given time; the caller holds the
// world's lock.
func (m *simWorker) execute(orders []protocol.Command, made time.Time) {
	for _, o := range orders {
		t := m.tasks[o.Task]
		switch o.Verb {
		case protocol.VerbStart:
			m.start(o, t, made)
		case protocol.VerbStop:
			if t == nil || t.attempt != o.Attempt || t.status == protocol.Exited {
				continue
			}
			m.changed = true
			gracePeriod := 0.0
			if o.GracePeriodSeconds != nil {
				gracePeriod = *o.GracePeriodSeconds
			}
			if t.status == protocol.Running && t.job.CheckpointIntervalSeconds > 0 && gracePeriod >= t.job.CheckpointSeconds {
				t.status, t.nextChange = protocol.Checkpointing, time.Now().Add(config.Seconds(t.job.CheckpointSeconds))
			} else if t.status != protocol.Checkpointing || gracePeriod == 0 {
				m.exitTask(t, protocol.CauseStopped)
			}
		case protocol.VerbClear:
			if t != nil && t.attempt == o.Attempt && t.status == protocol.Exited {
				delete(m.tasks, o.Task)
			}
		}
	}
}

func (m *simWorker) start(o protocol.Command, t *simTask, made time.Time) {
	m.changed = true
	if t != nil && t.attempt == o.Attempt {
		return
	}
	id, _, _ := protocol.ParseTaskName(o.Task)
	j := m.w.specs[id]
	cause := ""
	free := m.machineType.Cores
	for _, x := range m.tasks {
		if x.status != protocol.Exited {
			free -= x.job.Cores
		}
	}
	switch {
	case t != nil && t.status != protocol.Exited:
		return // in use
	case j == nil:
		return
	case free < j.Cores-1e-9:
		cause = "full"
	}
	n := &simTask{orderedAt: made, name: o.Task, job: j, attempt: o.Attempt, status: protocol.Fetching, nextChange: time.Now().Add(config.Seconds(j.ImageGB))}
	if cause != "" {
		n.status, n.cause = protocol.Exited, cause
	}
	m.tasks[o.Task] = n
}
