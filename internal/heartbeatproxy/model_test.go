package heartbeatproxy

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// The model advances in ticks of one second. One machine of a shard runs a task. The
// holder and a proxy observe with a delay the proxy's record, the holder's acknowledgement
// and the cancellation of a second task, which the holder starts by direct messages that
// may arrive at any later time. The worker has one heartbeat in flight: to the proxy, to
// the holder, or to a controller that relays it to the holder, where it may arrive at any
// later time.
const (
	modelCopyAge     = 4 // maximum age of a copy of the records on which a controller acts
	modelWorkerLease = 9 // how long a worker keeps its tasks after sending a heartbeat that was answered
	modelExpiry      = modelWorkerLease + 1
	modelMaxResponse = 4 // a worker discards a response that arrives later than this after its heartbeat
	modelFirstToken  = 1
	modelMachine     = "host-1"
	modelTask        = "wk-1/0"
)

var modelTiming = Timing{DelegationTimeout: 30 * time.Second, WorkerExpiry: modelExpiry * time.Second}

// storedRecords is the content of the key-value store from a tick on.
type storedRecords struct {
	from         int
	revision     uint64 // of the record that lists the machine; 0: none does
	acknowledged uint64 // the revision that the holder has acknowledged
	token        uint64 // the machine's newest fencing token
	fence        Fence  // of the acknowledgement
	cancelled    bool   // the second task's job has ended
}

// pendingWrite is a transaction in flight.
type pendingWrite struct {
	precondition    uint64 // the record's revision
	listsMachine    bool
	acknowledgement bool   // by the holder
	fence           Fence  // with it
	token           uint64 // the newest fencing token known to the holder
	unconditional   bool   // it has no precondition
}

// omissions are the safeguards that a test disables.
type omissions struct {
	acknowledgement bool // the proxy does not wait for it
	pendingStarts   bool // the holder acknowledges though a start is unanswered, without a newer token
	oldToken        bool // the proxy answers with the token as it was before the acknowledgement
	fencedStarts    bool // the acknowledgement does not name the starts
	noStarts        bool // the holder sends no direct messages to the worker
	holderUnasked   bool // a relay answers without the holder's answer
	responseTimeout bool // the worker accepts a relayed response after its timeout
	copyConditions  bool // a retransmitted write has no preconditions
}

// keptHeartbeat is a heartbeat that the proxy retains until it may answer.
type keptHeartbeat struct {
	sequence uint64 // 0: none is retained
	sentAt   int
	lists    bool // the second task is on the worker
}

// relayedHeartbeat is a heartbeat that a relay has forwarded to the holder.
type relayedHeartbeat struct {
	sequence uint64
	sentAt   int    // by the worker
	token    uint64 // the newest that the worker had received
	lists    bool   // the second task is on the worker
}

// relayedResponse is the holder's response to a relayed heartbeat, in flight to the
// worker.
type relayedResponse struct {
	sequence uint64
	sentAt   int // the heartbeat, by the worker
	token    uint64
	starts   bool // it starts the second task
	stops    bool // it stops the second task
}

// workerResponse is a proxy's response to a heartbeat, in flight to the worker.
type workerResponse struct {
	sentAt int // when the heartbeat was sent
	token  uint64
	stops  bool // it stops the second task
}

// proxyModel consists of the store with its history, the writes in flight, the holder, the
// proxy and the worker.
type proxyModel struct {
	omitted  omissions
	now      int
	history  []storedRecords
	writes   []pendingWrite
	revision uint64

	holderCopy, proxyCopy int    // the ticks of their copies of the records
	lastAnswered          int    // tick of the last heartbeat answered by the holder, or of a known delegation record
	lost                  bool   // the holder has declared the task lost
	startUnconfirmed      bool   // the holder has not received the outcome of its start
	startToken            uint64 // under which the start was last sent

	delegation *Delegation
	kept       keptHeartbeat // by the proxy

	leaseExpiresAt int            // the worker's
	workerToken    uint64         // the newest that it has received
	response       workerResponse // in flight to the worker; zero sentAt: none
	lateStarts     []uint64       // tokens of the starts in flight to the worker
	sequence       uint64         // of its newest heartbeat
	awaited        uint64         // the sequence of the relayed heartbeat that it waits for; 0: none

	relayed      []relayedHeartbeat // in flight to the holder
	responses    []relayedResponse  // in flight from the holder
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

// tick advances time by one second.
func (w *proxyModel) tick() {
	if w.now++; !w.isRunning() {
		w.lateStarts, w.startRuns, w.startUnconfirmed = nil, false, false // its next session rejects them
	}
	w.holderCopy = max(w.holderCopy, w.now-modelCopyAge+1)
	w.proxyCopy = max(w.proxyCopy, w.now-modelCopyAge+1)
	w.runHolder()
	w.observeRecords()
}

// runHolder runs the holder's periodic check: it declares a machine lost that has neither
// been answered nor listed for longer than modelExpiry.
func (w *proxyModel) runHolder() {
	if w.recordsAt(w.holderCopy).revision != 0 {
		w.lastAnswered = w.now
	}
	if w.now-w.lastAnswered > modelExpiry {
		w.lost = true
	}
}

// proxyRecords returns the proxy's copy of the records.
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

// sendRecord makes the proxy send the necessary write, which is executed at any later time
// or never.
func (w *proxyModel) sendRecord() {
	desired, records := w.delegation.Desired(w.time()), w.proxyRecords()
	if !w.delegation.NeedsWrite(desired, records) {
		return
	}
	w.delegation.BeginRemoval(desired, max(1, records[modelMachine].Revision))
	w.writes = append(w.writes, pendingWrite{precondition: records[modelMachine].Revision, listsMachine: len(desired) > 0})
}

// sendAcknowledgement makes the holder acknowledge the delegation. If a start is
// unanswered, the acknowledgement includes a newer token unless the machine has one already.
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

// sendStart makes the holder send a direct start to the worker.
func (w *proxyModel) sendStart() {
	r := w.recordsAt(w.holderCopy)
	if w.lost || r.revision != 0 || r.cancelled || w.startUnconfirmed || w.startRuns || w.omitted.noStarts {
		return
	}
	w.startUnconfirmed, w.startToken = true, r.token
	w.lateStarts = append(w.lateStarts, r.token)
}

// startArrives delivers a direct start to the worker.
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

// repeatWrite retransmits a write that is in flight.
func (w *proxyModel) repeatWrite(i int) {
	repeated := w.writes[i]
	repeated.unconditional = w.omitted.copyConditions
	w.writes = append(w.writes, repeated)
}

// executeWrite executes a write if its preconditions hold.
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

// beginHeartbeat makes the worker abandon its heartbeat in flight, if any, and create a
// new one.
func (w *proxyModel) beginHeartbeat() {
	w.sequence++
	w.awaited, w.response = 0, workerResponse{}
}

// relayHeartbeat delivers the worker's heartbeat to a controller that relays it.
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

// relayedArrives delivers a relayed heartbeat to the holder, which answers if it is the
// newest received so far.
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

// relayedResponseArrives delivers the holder's relayed response to the worker.
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

// sendHeartbeat delivers the worker's heartbeat to the proxy, which sends a response if it
// may answer.
func (w *proxyModel) sendHeartbeat() {
	w.beginHeartbeat()
	w.delegation.RecordHeartbeat(modelMachine, w.time())
	if !w.isRunning() {
		return
	}
	w.kept = keptHeartbeat{w.sequence, w.now, w.startRuns}
	w.answerKept()
}

// answerKept makes the proxy answer its retained heartbeat if it may.
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
		w.response = response // otherwise the worker has abandoned it
	}
}

// responseArrives delivers the proxy's response to the worker.
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
		w.violation = "a lease was renewed while a start to the worker was in flight"
	}
}

// answerAsHolder makes the holder answer a heartbeat, which also reports the outcome of
// its start. The response carries an unconfirmed start again, so that a late copy has no
// effect, and its stop if the job has ended.
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

// check describes a violated invariant; "" if there is none.
func (w *proxyModel) check() string {
	if w.lost && w.isRunning() {
		return "the task runs although its holder declared it lost"
	}
	if w.startRuns && w.cancelledAt != 0 && w.now > w.cancelledAt+modelCopyAge+modelWorkerLease {
		return "the task runs for longer after its cancellation than the copy age and the worker lease allow"
	}
	return w.violation
}

// events returns the possible events by name. pick selects one of count pending items.
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

// runEvents executes events in the given order and returns the first violation, or "".
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

// runRandomEvents executes random events and returns the first violation, or "".
func runRandomEvents(t *rapid.T, omitted omissions) string {
	w := newProxyModel(omitted)
	events := w.events(func(count int) int { return rapid.IntRange(0, count-1).Draw(t, "write") })
	// Events that are listed several times are drawn proportionally more often.
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
