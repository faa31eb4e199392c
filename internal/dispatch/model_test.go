package dispatch

import (
	"maps"
	"slices"

	"pgregory.net/rapid"
)

// modelWorker is a simplified worker: its attempts, its highest token and its session.
type modelWorker struct {
	token, session, sequence uint64
	attempts                 map[string]modelAttempt
}

type modelAttempt struct {
	number uint64
	ended  bool
}

// modelMessage is a direct message in flight, with its starts.
type modelMessage struct {
	token, session uint64
	message        Message
	starts         []modelStart
	abandoned      bool // the holder no longer waits for the response
	isCopy         bool // of a message that was executed before
}

type modelStart struct {
	task   string
	number uint64
	start  *Start
}

// model consists of a worker, its holder with the code under test, and the network between
// them.
type model struct {
	worker      modelWorker
	token       uint64
	exchange    Exchange[string]
	placed      map[string]*modelStart
	toClear     map[string]uint64 // ended attempts that the worker should clear
	network     []*modelMessage
	lastAttempt uint64
	disabled    DisabledGuards
}

func newModel(disabled DisabledGuards) *model {
	return &model{
		worker:   modelWorker{session: 1, attempts: map[string]modelAttempt{}},
		token:    1,
		placed:   map[string]*modelStart{},
		toClear:  map[string]uint64{},
		disabled: disabled,
	}
}

// execute makes the worker execute a start.
func (w *modelWorker) execute(s modelStart) {
	if a, ok := w.attempts[s.task]; ok && (a.number == s.number || !a.ended) {
		return
	}
	w.attempts[s.task] = modelAttempt{number: s.number}
}

// hasAttempt reports whether the worker has the attempt, running or ended.
func (w *modelWorker) hasAttempt(s *modelStart) bool {
	a, found := w.attempts[s.task]
	return found && a.number == s.number
}

// sendHeartbeat delivers a heartbeat to the holder, which responds.
func (m *model) sendHeartbeat(responseArrives bool) {
	w := &m.worker
	w.sequence++
	freshness, newSession := m.exchange.RecordHeartbeat(w.session, w.sequence)
	if freshness == Stale {
		return
	}
	for task, s := range m.placed {
		listed := w.hasAttempt(s)
		switch {
		case newSession && s.start.IsSent(), !listed && s.start.ConfirmAbsent(w.token, m.disabled):
			delete(m.placed, task)
		case listed:
			s.start.MarkReported()
			if w.attempts[task].ended {
				m.exchange.RecordEnded(task, s.number, s.start, m.token)
				m.toClear[task] = s.number
				delete(m.placed, task)
			}
		}
	}
	if newSession {
		clear(m.toClear)
	}
	m.respond(responseArrives)
}

// respond sends the due commands to the worker, which executes them if the response arrives.
func (m *model) respond(arrives bool) {
	w := &m.worker
	for task, number := range m.toClear {
		if m.exchange.CanClear(task, number, m.disabled) && arrives && w.attempts[task].number == number {
			delete(w.attempts, task)
			delete(m.toClear, task)
		}
	}
	for _, s := range m.placed {
		if s.start.IsDue() {
			s.start.MarkSentInResponse()
			if arrives {
				w.execute(*s)
			}
		}
	}
	if arrives {
		w.token = m.token
	}
}

// place places a new attempt of a task if the holder may do so.
func (m *model) place(task string) {
	if m.placed[task] != nil || m.exchange.StartMayArrive(task) || m.toClear[task] != 0 {
		return
	}
	m.lastAttempt++
	m.placed[task] = &modelStart{task: task, number: m.lastAttempt, start: &Start{}}
}

// sendMessage sends the starts that have not been sent.
func (m *model) sendMessage() {
	if !m.exchange.HasReported() || m.exchange.InFlight() {
		return
	}
	d := &modelMessage{token: m.token, session: m.exchange.Session(), message: m.exchange.BeginMessage(m.token)}
	for _, s := range m.placed {
		if !s.start.IsSent() {
			d.message.AddStart(s.start)
			d.starts = append(d.starts, *s)
		}
	}
	m.network = append(m.network, d)
}

// abandonMessages makes the holder stop waiting for responses.
func (m *model) abandonMessages() {
	for _, d := range m.network {
		if !d.abandoned {
			d.abandoned = true
			m.exchange.EndMessage(d.message, false)
		}
	}
}

// deliver delivers a message to the worker. The response arrives unless the message was
// abandoned.
func (m *model) deliver(i int) {
	d, w := m.network[i], &m.worker
	m.network = slices.Delete(m.network, i, i+1)
	accepted := d.token >= w.token && d.session == w.session
	if accepted {
		w.token = d.token
		for _, s := range d.starts {
			w.execute(s)
		}
	}
	w.sequence++
	if accepted && !d.isCopy {
		m.network = append(m.network, &modelMessage{token: d.token, session: d.session, starts: d.starts, abandoned: true, isCopy: true})
	}
	if d.abandoned {
		return
	}
	for _, s := range d.starts {
		if !accepted || m.disabled.has(WithoutRepeats) && w.attempts[s.task].number == s.number {
			d.message.SettleStart(s.start)
		}
	}
	m.exchange.EndMessage(d.message, !accepted)
	if !accepted || !m.exchange.RecordDirectStatus(w.session, w.sequence) {
		return
	}
	for task, s := range m.placed {
		if w.attempts[task].number == s.number {
			s.start.MarkReported()
		}
	}
}

// fence makes all further messages carry a higher token.
func (m *model) fence() {
	if m.disabled.has(WithoutFence) {
		m.exchange.ReleaseAll()
		return
	}
	m.token++
	m.exchange.ReleaseBelow(m.token)
}

// endAttempt ends the worker's attempt of a task.
func (m *model) endAttempt(task string) {
	if a, ok := m.worker.attempts[task]; ok {
		m.worker.attempts[task] = modelAttempt{a.number, true}
	}
}

// expireLease makes the worker drop all attempts and begin a new session.
func (m *model) expireLease() {
	m.worker.session++
	clear(m.worker.attempts)
}

// isPlaced reports whether the holder considers an attempt placed.
func (m *model) isPlaced(task string, number uint64) bool {
	p := m.placed[task]
	return p != nil && p.number == number
}

// unexpectedTask returns a task of which an attempt runs, or may be started by a message in
// flight, although the holder considers it absent; "" if there is none.
func (m *model) unexpectedTask() string {
	for _, d := range m.network {
		if d.token < m.worker.token || d.session != m.worker.session {
			continue
		}
		for _, s := range d.starts {
			a, has := m.worker.attempts[s.task]
			if has && (a.number == s.number || !a.ended) {
				continue
			}
			if !m.isPlaced(s.task, s.number) {
				return s.task
			}
		}
	}
	for task, a := range m.worker.attempts {
		if !a.ended && !m.isPlaced(task, a.number) {
			return task
		}
	}
	return ""
}

// runRandomEvents simulates random late, lost and repeated messages. It returns the first
// unexpected task, or "".
func runRandomEvents(t *rapid.T, disabled DisabledGuards) string {
	m := newModel(disabled)
	tasks := rapid.SampledFrom([]string{"a", "b"})
	events := map[string]func(){
		"heartbeat":     func() { m.sendHeartbeat(true) },
		"response lost": func() { m.sendHeartbeat(false) },
		"place":         func() { m.place(tasks.Draw(t, "task")) },
		"send message":  m.sendMessage,
		"deliver": func() {
			if len(m.network) > 0 {
				m.deliver(rapid.IntRange(0, len(m.network)-1).Draw(t, "message"))
			}
		},
		"abandon messages": m.abandonMessages,
		"attempt ends":     func() { m.endAttempt(tasks.Draw(t, "task")) },
		"lease expires":    m.expireLease,
		"fence":            m.fence,
	}
	names := slices.Sorted(maps.Keys(events))
	m.sendHeartbeat(true)
	for range rapid.IntRange(1, 40).Draw(t, "length") {
		events[rapid.SampledFrom(names).Draw(t, "event")]()
		if task := m.unexpectedTask(); task != "" {
			return task
		}
	}
	return ""
}
