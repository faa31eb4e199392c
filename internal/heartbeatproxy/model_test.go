package heartbeatproxy

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// The model counts time in ticks of a second. One machine of a shard runs a
// task. Its holder and a proxy each follow, with a delay, the proxy's record, the
// holder's acknowledgement and the cancellation of a second task, which the
// holder starts by direct messages that may arrive at any later time. The worker
// has one heartbeat in flight: to the proxy, to the holder, or to a controller that
// relays it to the holder, where it may arrive at any later time.
const (
	modelCopyAge     = 4 // a copy of the records on which a controller acts is younger than this
	modelWorkerLease = 9 // a worker keeps its tasks for so long after it sent a heartbeat that was answered
	modelExpiry      = modelWorkerLease + 1
	modelMaxResponse = 4 // a worker drops a response that comes so long after its heartbeat
	modelFirstToken  = 1
	modelMachine     = "host-1"
	modelTask        = "wk-1/0"
)

var modelTiming = Timing{DelegationTimeout: 30 * time.Second, WorkerExpiry: modelExpiry * time.Second}

// storedRecords is what the key-value store contains from a tick on.
type storedRecords struct {
	from         int
	revision     uint64 // of the record that lists the machine; 0: none does
	acknowledged uint64 // the revision that the holder has acknowledged
	token        uint64 // the machine's newest fencing token
	fence        Fence  // of the acknowledgement
	cancelled    bool   // the second task's job has ended
}

// pendingWrite is a transaction that is under way.
type pendingWrite struct {
	precondition    uint64 // the record's revision
	listsMachine    bool
	acknowledgement bool   // by the holder
	fence           Fence  // with it
	token           uint64 // the newest fencing token as the holder knows it
	unconditional   bool   // it has no precondition
}

// omissions are the safeguards that a test leaves out.
type omissions struct {
	acknowledgement bool // the proxy does not wait for it
	pendingStarts   bool // the holder acknowledges though a start is unanswered, without a newer token
	oldToken        bool // the proxy answers with the token as it was before the acknowledgement
	fencedStarts    bool // the acknowledgement does not name the starts
	noStarts        bool // nothing is sent straight to the worker
	holderUnasked   bool // a relay answers without the holder's answer
	responseTimeout bool // the worker takes a relayed response that it has given up
	copyConditions  bool // a copy of a write has no preconditions
}

// keptHeartbeat is a heartbeat that the proxy keeps until it may answer.
type keptHeartbeat struct {
	sequence uint64 // 0: none is kept
	sentAt   int
	lists    bool // the second task is on the worker
}

// relayedHeartbeat is a heartbeat that a relay has sent to the holder.
type relayedHeartbeat struct {
	sequence uint64
	sentAt   int    // by the worker
	token    uint64 // the newest that the worker had seen
	lists    bool   // the second task is on the worker
}

// relayedResponse is the holder's response to a relayed heartbeat, under way to the
// worker.
type relayedResponse struct {
	sequence uint64
	sentAt   int // the heartbeat, by the worker
	token    uint64
	starts   bool // it starts the second task
	stops    bool // it stops the second task
}

// workerResponse is a proxy's response to a heartbeat, under way to the worker.
type workerResponse struct {
	sentAt int // when the heartbeat was sent
	token  uint64
	stops  bool // it stops the second task
}

// proxyModel is the store with its past, the writes under way, and the holder,
// the proxy and the worker.
type proxyModel struct {
	omitted  omissions
	now      int
	history  []storedRecords
	writes   []pendingWrite
	revision uint64

	holderCopy, proxyCopy int    // the ticks as of which their copies of the records are
	lastAnswered          int    // by the holder, or listed by a record that it knows
	lost                  bool   // the holder has taken the task for lost
	startUnconfirmed      bool   // the holder doesn't know what became of its start
	startToken            uint64 // under which it was sent last

	delegation *Delegation
	kept       keptHeartbeat // by the proxy

	leaseExpiresAt int            // the worker's
	workerToken    uint64         // the newest that it has seen
	response       workerResponse // under way to it; zero sentAt: none
	lateStarts     []uint64       // tokens of the starts under way to the worker
	sequence       uint64         // of its newest heartbeat
	awaited        uint64         // the sequence of the relayed heartbeat that it waits for; 0: none

	relayed      []relayedHeartbeat // under way to the holder
	responses    []relayedResponse  // under way from it
	holderNewest uint64             // the newest sequence that the holder has received
	startRuns    bool               // the second task is on the worker
	cancelledAt  int                // when the second task's job ended; 0: it has not
	violation    string
}

func newProxyModel(omitted omissions) *proxyModel {
	return &proxyModel{
		omitted:        omitted,
		now:            1,
		history:        []storedRecords{{token: modelFirstToken}},
		delegation:     New(modelTiming),
		leaseExpiresAt: modelWorkerLease,
		revision:       1,
		workerToken:    modelFirstToken,
	}
}

func (w *proxyModel) time() time.Time { return time.Unix(int64(1e9+w.now), 0) }

// recordsAt returns the records as of a tick.
func (w *proxyModel) recordsAt(tick int) storedRecords {
	for _, r := range slices.Backward(w.history) {
		if r.from <= tick {
			return r
		}
	}
	return w.history[0]
}

// isRunning reports whether the worker still has its task.
func (w *proxyModel) isRunning() bool { return w.now <= w.leaseExpiresAt }

// tick lets a second pass.
func (w *proxyModel) tick() {
	if w.now++; !w.isRunning() {
		w.lateStarts, w.startRuns, w.startUnconfirmed = nil, false, false // its next session refuses them
	}
	w.holderCopy = max(w.holderCopy, w.now-modelCopyAge+1)
	w.proxyCopy = max(w.proxyCopy, w.now-modelCopyAge+1)
	w.runHolder()
	w.observeRecords()
}

// runHolder is what a holder does all the time: it takes a machine for lost that
// has neither been answered nor listed for long enough.
func (w *proxyModel) runHolder() {
	if w.recordsAt(w.holderCopy).revision != 0 {
		w.lastAnswered = w.now
	}
	if w.now-w.lastAnswered > modelExpiry {
		w.lost = true
	}
}

// proxyRecords returns what the proxy's copy shows.
func (w *proxyModel) proxyRecords() map[string]Record {
	r := w.recordsAt(w.proxyCopy)
	if r.revision == 0 {
		return nil
	}
	record := Record{Revision: r.revision, Acknowledged: r.acknowledged == r.revision || w.omitted.acknowledgement}
	if record.Acknowledged {
		record.Fence = r.fence
	}
	return map[string]Record{modelMachine: record}
}

func (w *proxyModel) observeRecords() { w.delegation.ObserveRecords(w.proxyRecords(), w.time()) }

// sendRecord has the proxy send what is to be written; it is carried out at any
// later time, or never.
func (w *proxyModel) sendRecord() {
	desired, records := w.delegation.Desired(w.time()), w.proxyRecords()
	if !w.delegation.NeedsWrite(desired, records) {
		return
	}
	w.delegation.BeginRemoval(desired, max(1, records[modelMachine].Revision))
	w.writes = append(w.writes, pendingWrite{precondition: records[modelMachine].Revision, listsMachine: len(desired) > 0})
}

// sendAcknowledgement has the holder send one. If a start is unanswered it goes
// with a newer token, unless the machine has one already.
func (w *proxyModel) sendAcknowledgement() {
	r := w.recordsAt(w.holderCopy)
	if r.revision == 0 || w.lost {
		return
	}
	write := pendingWrite{precondition: r.revision, acknowledgement: true, token: r.token}
	if r.token > modelFirstToken {
		write.fence.Token = r.token
	}
	if w.startUnconfirmed && !w.omitted.pendingStarts {
		if w.startToken >= r.token {
			write.fence.Token = r.token + 1
		}
		if !w.omitted.fencedStarts {
			write.fence.Starts = []Attempt{{Task: modelTask, Number: 1}}
		}
	}
	w.writes = append(w.writes, write)
}

// sendStart has the holder send a start straight to the worker.
func (w *proxyModel) sendStart() {
	r := w.recordsAt(w.holderCopy)
	if w.lost || r.revision != 0 || r.cancelled || w.startUnconfirmed || w.startRuns || w.omitted.noStarts {
		return
	}
	w.startUnconfirmed, w.startToken = true, r.token
	w.lateStarts = append(w.lateStarts, r.token)
}

// startArrives has a direct start reach the worker.
func (w *proxyModel) startArrives() {
	if len(w.lateStarts) == 0 {
		return
	}
	token := w.lateStarts[0]
	w.lateStarts = w.lateStarts[1:]
	if w.isRunning() && token >= w.workerToken {
		w.workerToken, w.startRuns = token, true
	}
}

// cancel ends the second task's job.
func (w *proxyModel) cancel() {
	if w.cancelledAt != 0 {
		return
	}
	w.cancelledAt = w.now
	next := w.history[len(w.history)-1]
	next.from, next.cancelled = w.now, true
	w.history = append(w.history, next)
}

// repeatWrite has a write that is under way sent once more.
func (w *proxyModel) repeatWrite(i int) {
	repeated := w.writes[i]
	repeated.unconditional = w.omitted.copyConditions
	w.writes = append(w.writes, repeated)
}

// executeWrite carries a write out, if the record is still as it was read.
func (w *proxyModel) executeWrite(i int) {
	write := w.writes[i]
	w.writes = slices.Delete(w.writes, i, i+1)
	next := w.history[len(w.history)-1]
	isCurrent := next.revision == write.precondition && (!write.acknowledgement || next.token == write.token)
	if !isCurrent && !write.unconditional {
		return
	}
	w.revision++
	next.from = w.now
	switch {
	case write.acknowledgement:
		next.acknowledged, next.fence = write.precondition, write.fence
		next.token = max(next.token, write.fence.Token)
	case write.listsMachine:
		next.revision = w.revision
	default:
		next.revision = 0
	}
	w.history = append(w.history, next)
}

// beginHeartbeat has the worker give up the heartbeat that it has in flight, if any,
// and make a new one.
func (w *proxyModel) beginHeartbeat() {
	w.sequence++
	w.awaited, w.response = 0, workerResponse{}
}

// relayHeartbeat has the worker's heartbeat reach a controller that relays it.
func (w *proxyModel) relayHeartbeat() {
	if !w.isRunning() {
		return
	}
	w.beginHeartbeat()
	w.awaited = w.sequence
	w.relayed = append(w.relayed, relayedHeartbeat{w.sequence, w.now, w.workerToken, w.startRuns})
	if w.omitted.holderUnasked {
		w.responses = append(w.responses, relayedResponse{sequence: w.sequence, sentAt: w.now, token: w.workerToken})
	}
}

// relayedArrives has a relayed heartbeat reach the holder, which answers if it is the
// newest that it has received.
func (w *proxyModel) relayedArrives(i int) {
	heartbeat := w.relayed[i]
	w.relayed = slices.Delete(w.relayed, i, i+1)
	r := w.recordsAt(w.holderCopy)
	if w.lost || heartbeat.sequence <= w.holderNewest || r.token < heartbeat.token {
		return
	}
	w.holderNewest, w.lastAnswered = heartbeat.sequence, w.now
	if heartbeat.lists || heartbeat.token > w.startToken {
		w.startUnconfirmed = false
	}
	w.responses = append(w.responses, relayedResponse{
		sequence: heartbeat.sequence,
		sentAt:   heartbeat.sentAt,
		token:    r.token,
		starts:   w.startUnconfirmed,
		stops:    r.cancelled && (w.startUnconfirmed || heartbeat.lists),
	})
}

// relayedResponseArrives has the worker receive the holder's response from the relay.
func (w *proxyModel) relayedResponseArrives(i int) {
	response := w.responses[i]
	w.responses = slices.Delete(w.responses, i, i+1)
	isAwaited := response.sequence == w.awaited && w.now-response.sentAt <= modelMaxResponse
	if !isAwaited && !w.omitted.responseTimeout || !w.isRunning() || response.token < w.workerToken {
		return
	}
	w.awaited = 0
	w.workerToken, w.leaseExpiresAt = response.token, max(w.leaseExpiresAt, response.sentAt+modelWorkerLease)
	if response.starts {
		w.startRuns, w.lateStarts = true, nil
	}
	if response.stops {
		w.startRuns = false
	}
}

// sendHeartbeat has the worker's heartbeat reach the proxy, which answers if it
// may. The response is under way from then on.
func (w *proxyModel) sendHeartbeat() {
	w.beginHeartbeat()
	w.delegation.RecordHeartbeat(modelMachine, w.time())
	if !w.isRunning() {
		return
	}
	w.kept = keptHeartbeat{w.sequence, w.now, w.startRuns}
	w.answerKept()
}

// answerKept has the proxy answer the heartbeat that it keeps, if it may.
func (w *proxyModel) answerKept() {
	if w.kept.sequence == 0 || !w.delegation.CanAnswer(modelMachine) {
		return
	}
	heartbeat := w.kept
	w.kept = keptHeartbeat{}
	fence := w.delegation.Fence(modelMachine)
	response := workerResponse{sentAt: heartbeat.sentAt, token: max(modelFirstToken, fence.Token)}
	if w.omitted.oldToken {
		response.token = modelFirstToken
	}
	if w.recordsAt(w.proxyCopy).cancelled {
		response.stops = heartbeat.lists || len(fence.Starts) > 0
	}
	if heartbeat.sequence == w.sequence {
		w.response = response // otherwise the worker has given it up
	}
}

// responseArrives has the worker receive the proxy's response.
func (w *proxyModel) responseArrives() {
	response := w.response
	w.response = workerResponse{}
	if response.sentAt == 0 || !w.isRunning() || w.now-response.sentAt > modelMaxResponse || response.token < w.workerToken {
		return
	}
	w.workerToken, w.leaseExpiresAt = response.token, max(w.leaseExpiresAt, response.sentAt+modelWorkerLease)
	if response.stops {
		w.startRuns = false
	}
	if slices.ContainsFunc(w.lateStarts, func(token uint64) bool { return token >= w.workerToken }) {
		w.violation = "renews the lease of a worker to which a start is under way"
	}
}

// answerAsHolder has the holder answer a heartbeat, which also tells it what
// became of its start. The response carries a start that is unconfirmed, so that
// a copy has no effect, and its stop if the job has ended.
func (w *proxyModel) answerAsHolder() {
	r := w.recordsAt(w.holderCopy)
	if w.lost || !w.isRunning() || r.token < w.workerToken {
		return
	}
	w.beginHeartbeat()
	w.holderNewest = w.sequence
	isFenced := w.workerToken > w.startToken
	w.workerToken = r.token
	w.lastAnswered, w.leaseExpiresAt = w.now, w.now+modelWorkerLease
	if w.startUnconfirmed && !isFenced {
		w.startRuns, w.lateStarts = true, nil
	}
	w.startUnconfirmed = false
	if r.cancelled {
		w.startRuns = false
	}
}

// check returns a violation, or "".
func (w *proxyModel) check() string {
	if w.lost && w.isRunning() {
		return "runs though its holder took it for lost"
	}
	if w.startRuns && w.cancelledAt != 0 && w.now > w.cancelledAt+modelCopyAge+modelWorkerLease {
		return "runs for longer after its cancellation than a copy of the records and a lease last"
	}
	return w.violation
}

// events returns what may happen next, by name; pick selects one of so many
// writes that are under way.
func (w *proxyModel) events(pick func(count int) int) map[string]func() {
	return map[string]func(){
		"tick":                    w.tick,
		"heartbeat":               w.sendHeartbeat,
		"heartbeat, response":     func() { w.sendHeartbeat(); w.responseArrives() },
		"response arrives":        w.responseArrives,
		"kept answered":           w.answerKept,
		"kept answered, response": func() { w.answerKept(); w.responseArrives() },
		"send record":             w.sendRecord,
		"send acknowledgement":    w.sendAcknowledgement,
		"send start":              w.sendStart,
		"start arrives":           w.startArrives,
		"cancel":                  w.cancel,
		"activate":                func() { w.delegation.Activate([]string{modelMachine}, w.time()) },
		"deactivate":              func() { w.delegation.Deactivate() },
		"holder copy updated":     func() { w.holderCopy = w.now },
		"proxy copy updated":      func() { w.proxyCopy = w.now; w.observeRecords() },
		"write executed": func() {
			if len(w.writes) > 0 {
				w.executeWrite(pick(len(w.writes)))
			}
		},
		"newest write executed": func() {
			if len(w.writes) > 0 {
				w.executeWrite(len(w.writes) - 1)
			}
		},
		"write repeated": func() {
			if len(w.writes) > 0 {
				w.repeatWrite(pick(len(w.writes)))
			}
		},
		"holder answers":  w.answerAsHolder,
		"relay heartbeat": w.relayHeartbeat,
		"relayed heartbeat arrives": func() {
			if len(w.relayed) > 0 {
				w.relayedArrives(pick(len(w.relayed)))
			}
		},
		"relayed response arrives": func() {
			if len(w.responses) > 0 {
				w.relayedResponseArrives(pick(len(w.responses)))
			}
		},
	}
}

// runEvents plays events in the given order, and returns the first violation, or "".
func runEvents(omitted omissions, names []string) string {
	w := newProxyModel(omitted)
	events := w.events(func(int) int { return 0 })
	for _, name := range names {
		events[name]()
		if violation := w.check(); violation != "" {
			return violation
		}
	}
	return ""
}

// runRandomEvents plays random events, and returns the first violation, or "".
func runRandomEvents(t *rapid.T, omitted omissions) string {
	w := newProxyModel(omitted)
	events := w.events(func(count int) int { return rapid.IntRange(0, count-1).Draw(t, "write") })
	// Events that are listed several times are drawn as much more often.
	weighted := []string{
		"tick", "tick", "tick", "tick",
		"heartbeat, response", "heartbeat, response",
		"heartbeat", "response arrives",
		"send record", "send record",
		"send acknowledgement", "send acknowledgement",
		"write executed", "write executed",
		"write repeated",
		"kept answered", "kept answered, response",
		"activate", "deactivate",
		"send start", "start arrives",
		"cancel",
		"holder copy updated", "holder copy updated",
		"proxy copy updated", "proxy copy updated",
		"holder answers",
		"relay heartbeat", "relay heartbeat",
		"relayed heartbeat arrives", "relayed heartbeat arrives",
		"relayed response arrives", "relayed response arrives",
	}
	for range rapid.IntRange(1, 150).Draw(t, "length") {
		events[rapid.SampledFrom(weighted).Draw(t, "event")]()
		if violation := w.check(); violation != "" {
			return violation
		}
	}
	return ""
}
