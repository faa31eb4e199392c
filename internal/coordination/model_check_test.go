package coordination

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// The explorer is a bounded model checker. It plays every order of events between
// holders, which are the real code, and simple models of two workers and of a network
// that loses and delays messages. The one task of one core fits on either worker.
//
// In every state it determines which attempts run or could still be started by a message
// in flight. The holder that may place the task must track all of them; then no task runs
// twice, beyond a quota, or after a confirmed cancellation.

const modelWorkerCount = 2

type modelWorker struct {
	token               uint64
	session             uint64
	sequence            uint64
	tasks               map[string]modelTask        // by task name
	report              *protocol.Heartbeat         // sent, and not yet received by the holder
	awaitsAnswer        bool                        // of a heartbeat
	answer              *protocol.HeartbeatResponse // in flight
	answeredAfterCancel bool                        // the answer was made after the cancellation
	renewed             bool                        // has received an answer in its current session
	renewedAfterCancel  bool                        // has received an answer that was made after the cancellation
}

type modelTask struct {
	attempt uint64
	active  bool
	cause   string
}

// modelMessage is a direct message to a worker.
type modelMessage struct {
	to       int
	message  directMessage
	payload  protocol.DirectCommands
	timedOut bool          // its sender no longer waits
	copied   bool          // a copy of it was delivered before
	reply    *DirectAnswer // the answer in flight, once the message was executed
	holder   *shard
}

// modelCopy is a copy of a direct message that was carried out, and may be again.
type modelCopy struct {
	to      int
	payload protocol.DirectCommands
}

// searchBounds limits how often the rarer events happen, so that the search reaches
// greater depths.
type searchBounds struct {
	sent          int
	emptyMessages int
	attempts      int
	ends          int
	expires       int
	late          int
	cancel        int
	failovers     int
	releases      int
	stop          int
	proxyAnswers  int
	fences        int
	copies        int // copies of messages that were carried out
	earlyCopies   int // copies that arrive before the message itself
	shardFences   int
}

// holderFault is a deliberate fault of a holder.
type holderFault string

const (
	faultNone                holderFault = ""
	faultSkipsReconciliation holderFault = "reconciliation skipped"     // counts machines as reconciled right after a failover
	faultReleasesNonEmpty    holderFault = "non-empty machine released" // releases a machine that is not empty
	faultProxyDuringStart    holderFault = "proxy during start"         // lets a proxy answer while a start is in flight
	faultEarlyExpiry         holderFault = "early expiry"               // considers tasks lost before the worker's lease has expired
)

// explorer is one state of holders, workers and network.
type explorer struct {
	guards    dispatch.DisabledGuards
	bounds    searchBounds
	fault     holderFault
	holder    *shard // of the job and, unless released, of both machines
	other     *shard // of a machine that was released
	job       *job
	workers   [modelWorkerCount]*modelWorker
	direct    []*modelMessage
	copies    []*modelCopy          // copies of direct messages that were carried out
	late      []*protocol.Heartbeat // heartbeats that timed out at their workers
	cancelled bool                  // the job was cancelled
	taskDone  bool
	sent      int // direct messages so far
	ends      int
	expires   int
	lastToken uint64
	now       time.Time
}

// newExplorer returns a state with both machines reconciled and nothing placed.
func newExplorer(g dispatch.DisabledGuards, b searchBounds, fault holderFault) *explorer {
	x := &explorer{guards: g, bounds: b, fault: fault, now: time.Unix(1e9, 0), lastToken: 10}
	for i := range x.workers {
		x.workers[i] = &modelWorker{session: 1, tasks: map[string]modelTask{}}
	}
	x.holder = x.newHolder(0, 1)
	x.addJob(9)
	for range 2 {
		for i := range x.workers {
			for _, e := range []string{"report ", "hears ", "answer "} {
				x.nextEvents()[e+modelWorkerName(i)]()
			}
		}
	}
	return x
}

// modelWorkerName returns the name of a worker and its machine.
func modelWorkerName(i int) string { return string(rune('a' + i)) }

// modelMachineSize is the size of every machine: capacity for the one task.
func modelMachineSize(string) (placement.Resources, bool) { return placement.Resources{1, 0, 4}, true }

// newHolder returns a holder of some machines under a new fencing token.
func (x *explorer) newHolder(machines ...int) *shard {
	x.lastToken++
	s := newShard(0, storage.ShardLease{FencingToken: x.lastToken}, 5, x.now)
	s.guards = x.guards
	var g storage.Grant
	for _, i := range machines {
		// Granted under an earlier lease, so that the machines have to report first.
		g.Machines = append(g.Machines, storage.MachineLease{Machine: modelWorkerName(i), MachineType: "small", Zone: "a", FencingToken: 1})
	}
	s.setGrant(g, modelMachineSize, x.now)
	s.reconciled = false
	s.updateReconciled()
	s.shares = map[string]storage.Resources{"red": {Cores: 1}}
	return s
}

func (x *explorer) addJob(stamp uint64) {
	x.job = &job{id: "wk-1", revision: stamp, taskResources: placement.Resources{1, 0, 1},
		spec: protocol.Job{ID: "wk-1", Team: "red", Type: "array", Tasks: 1, Cores: 1}}
	if x.taskDone {
		x.job.done.Add(0)
	}
	x.holder.addJob(x.job)
}

// machineOf returns a worker's machine and the shard that it is granted to.
func (x *explorer) machineOf(i int) (*shard, *machine) {
	for _, s := range []*shard{x.holder, x.other} {
		if s != nil && s.machines[modelWorkerName(i)] != nil {
			return s, s.machines[modelWorkerName(i)]
		}
	}
	return nil, nil
}

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

// messagesInFlight lists the direct messages and copies that may still arrive.
func (x *explorer) messagesInFlight() []modelCopy {
	var all []modelCopy
	for _, d := range x.direct {
		if d.reply == nil {
			all = append(all, modelCopy{d.to, d.payload})
		}
	}
	for _, c := range x.copies {
		all = append(all, *c)
	}
	return all
}

// violation describes how this state could violate an invariant; empty if it can't.
func (x *explorer) violation() string {
	type at struct {
		worker  int
		attempt uint64
	}
	var startable []at // attempts that run, or may still be started by a message in flight
	active := 0
	for i, w := range x.workers {
		for _, t := range w.tasks {
			if t.active {
				active++
				startable = append(startable, at{i, t.attempt})
			}
		}
	}
	if active > 1 {
		return "ran_twice: on both workers"
	}
	for _, inFlight := range x.messagesInFlight() {
		w := x.workers[inFlight.to]
		if !w.accepts(inFlight.payload) {
			continue
		}
		for _, o := range inFlight.payload.Commands {
			if t, ok := w.tasks[o.Task]; o.Verb == protocol.VerbStart && (!ok || !t.active && t.attempt != o.Attempt) {
				startable = append(startable, at{inFlight.to, o.Attempt})
				if x.cancelled && w.renewedAfterCancel {
					return "ran_cancelled: a message in flight can start it although the worker's lease was renewed after the cancellation"
				}
			}
		}
	}
	for _, c := range startable {
		m := x.holder.machines[modelWorkerName(c.worker)]
		if m == nil {
			return fmt.Sprintf("attempt %d can start on machine %s, which was released", c.attempt, modelWorkerName(c.worker))
		}
		if !m.isReconciled() || len(m.orphans) > 0 {
			continue // counts as fully used, and no unconfirmed job starts
		}
		if r := m.attempts[taskKey{"wk-1", 0}]; r == nil || r.number != c.attempt {
			return fmt.Sprintf("attempt %d runs or can start on machine %s, and its holder does not track it", c.attempt, modelWorkerName(c.worker))
		}
	}
	return ""
}

// sequences lists the distinct sequence numbers in the state, in ascending order.
func (x *explorer) sequences() []uint64 {
	var all []uint64
	for i, w := range x.workers {
		all = append(all, w.sequence)
		if w.report != nil {
			all = append(all, w.report.Sequence)
		}
		if _, m := x.machineOf(i); m != nil {
			heartbeat, message := m.exchange.Sequences()
			all = append(all, heartbeat, message)
		}
	}
	for _, d := range x.direct {
		if d.reply != nil {
			all = append(all, d.reply.Report.Sequence)
		}
	}
	for _, report := range x.late {
		all = append(all, report.Sequence)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// stateKey identifies a state. Sequence numbers are replaced by their rank.
func (x *explorer) stateKey() string {
	all := x.sequences()
	rank := func(t uint64) int { return sort.Search(len(all), func(i int) bool { return all[i] >= t }) }
	var b strings.Builder
	p := func(f string, a ...any) { fmt.Fprintf(&b, f, a...) }
	rep := func(r *protocol.Heartbeat) {
		if r != nil {
			p("<%s %d %d %d %v>", r.Machine, r.Session, rank(r.Sequence), r.FencingToken, r.Tasks)
		}
	}
	p("%v%v%d%d%d%d%v|", x.cancelled, x.taskDone, x.sent, x.ends, x.expires, x.lastToken, x.bounds)
	for i, w := range x.workers {
		p("%d %d %d %v%v%v%v%v", w.token, w.session, rank(w.sequence), w.tasks, w.awaitsAnswer, w.renewed, w.renewedAfterCancel, w.answeredAfterCancel)
		rep(w.report)
		if w.answer != nil {
			p("ans%d%s", w.answer.FencingToken, formatCommands(w.answer.Commands))
		}
		s, m := x.machineOf(i)
		if m == nil {
			continue
		}
		r, n := m.exchange.Sequences()
		p("[%d %d %d %d %v %v%v%v %v %v", s.fencingToken, m.exchange.Session(), rank(r), rank(n), m.exchange.DebugState(), m.isReconciled(), m.isExpired(), m.hasReported(), m.tasksToClear, m.orphans)
		for k, r := range m.attempts {
			p("{%v %d %+v %v %v %s}", k, r.number, r.start, r.stopRequested, r.stopSentAt.IsZero(), r.status)
		}
		p("%d %d %d]", m.fenceToken, m.shardFence, s.fenceToken)
	}
	for _, d := range x.direct {
		p("D%d %d %d %v%v %v%s %v", d.to, d.payload.FencingToken, d.payload.Session, d.timedOut, d.copied, d.message.tracker, formatCommands(d.payload.Commands), d.holder == x.holder)
		if d.reply != nil {
			p("%d", d.reply.Outcome)
			rep(d.reply.Report)
		}
	}
	for _, c := range x.copies {
		p("C%d %d %d %s", c.to, c.payload.FencingToken, c.payload.Session, formatCommands(c.payload.Commands))
	}
	for _, r := range x.late {
		rep(r)
	}
	j := x.job
	p("J%v%v%d%v%d %d %v", j.unconfirmed, j.ended, j.nextTask, j.retry, x.holder.attemptCount, j.done.Len(), len(j.failedMachines))
	return b.String()
}

func formatCommands(orders []protocol.Command) string {
	var list []string
	for _, o := range orders {
		list = append(list, fmt.Sprint(o.Verb, o.Task, o.Attempt))
	}
	return strings.Join(list, ",")
}

// explore searches all orders of events breadth first until maxStates states are known,
// or all. Each state is reached by replaying its events from the start, as the state of
// the real code can't be copied.
func explore(g dispatch.DisabledGuards, b searchBounds, fault holderFault, maxStates int) (states int, trace []string, violation string) {
	seen := map[string]bool{}
	play := func(events []string) *explorer {
		x := newExplorer(g, b, fault)
		for _, e := range events {
			x.nextEvents()[e]()
		}
		return x
	}
	queue := [][]string{nil}
	seen[play(nil).stateKey()] = true
	for len(queue) > 0 && len(seen) < maxStates {
		at := queue[0]
		queue = queue[1:]
		for _, e := range slices.Sorted(maps.Keys(play(at).nextEvents())) {
			next := append(slices.Clip(at), e)
			x := play(next)
			if k := x.stateKey(); !seen[k] {
				seen[k] = true
				if why := x.violation(); why != "" {
					return len(seen), next, why
				}
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil, ""
}

// In any order of messages a task can start only where its holder expects it. With a
// guard disabled, or with a deliberately faulty holder, the same search finds a
// violation. REEDTRACK_EXPLORE sets the number of states explored per case.
func TestStartsModelChecked(t *testing.T) {
	maxStates := 4000
	fmt.Sscan(os.Getenv("REEDTRACK_EXPLORE"), &maxStates)
	for name, c := range map[string]struct {
		bounds searchBounds
		guards dispatch.DisabledGuards // disabled to verify that the search finds a violation
		fault  holderFault             // injected for the same purpose
		factor int                     // how many times more states the fault needs; 0: once
	}{
		"messages lost and late": {searchBounds{sent: 2, attempts: 2, ends: 1, late: 1}, dispatch.WithoutBinding, faultNone, 0},
		"answer lost":            {searchBounds{sent: 1, emptyMessages: 1, attempts: 2}, dispatch.WithoutResponseOrder, faultNone, 0},
		"ended early":            {searchBounds{sent: 1, attempts: 2, ends: 1}, dispatch.WithoutDeferredClear, faultNone, 0},
		"cancelled":              {searchBounds{sent: 1, attempts: 1, cancel: 1, ends: 1}, dispatch.WithoutStartBeforeStop, faultNone, 0},
		"stopped":                {searchBounds{sent: 2, attempts: 2, stop: 1}, dispatch.WithoutDeferredClear, faultNone, 0},
		"failover":               {searchBounds{sent: 2, attempts: 2, failovers: 1, ends: 1}, 0, faultSkipsReconciliation, 0},
		"machine released":       {searchBounds{sent: 1, attempts: 2, releases: 1, ends: 1}, 0, faultReleasesNonEmpty, 0},
		"proxy answers":          {searchBounds{sent: 1, attempts: 2, cancel: 1, proxyAnswers: 2}, 0, faultProxyDuringStart, 0},
		"fenced":                 {searchBounds{sent: 1, attempts: 2, cancel: 1, proxyAnswers: 2, fences: 1}, 0, faultProxyDuringStart, 0},
		"repeated":               {searchBounds{sent: 2, attempts: 2, ends: 1, copies: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"repeated, cancelled":    {searchBounds{sent: 1, attempts: 1, ends: 1, cancel: 1, copies: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"repeated, fenced":       {searchBounds{sent: 1, attempts: 1, ends: 1, copies: 1, shardFences: 1}, dispatch.WithoutFence, faultNone, 3},
		"repeated, failover":     {searchBounds{sent: 1, attempts: 2, ends: 1, copies: 1, failovers: 1}, 0, faultSkipsReconciliation, 0},
		"repeated, released":     {searchBounds{sent: 1, attempts: 2, ends: 1, copies: 1, releases: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"repeated before":        {searchBounds{sent: 1, attempts: 2, ends: 1, earlyCopies: 1}, dispatch.WithoutBinding, faultNone, 0},
		"repeated, proxy":        {searchBounds{sent: 1, attempts: 2, ends: 1, copies: 1, proxyAnswers: 1, shardFences: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"lease expired":          {searchBounds{sent: 1, attempts: 2, expires: 1, ends: 1}, 0, faultEarlyExpiry, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			maxStates := maxStates * max(1, c.factor)
			states, trace, why := explore(0, c.bounds, faultNone, maxStates)
			if why != "" {
				t.Errorf("%s\n%s", why, strings.Join(trace, "\n"))
			}
			t.Logf("%d states", states)
			if states, trace, why = explore(c.guards, c.bounds, c.fault, maxStates); why == "" {
				t.Errorf("injected fault not detected in %d states", states)
			}
			t.Logf("with the fault: %s after %d events, %d states: %s", why, len(trace), states, strings.Join(trace, ", "))
		})
	}
}
