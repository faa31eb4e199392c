package coordination

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// writeKind classifies a controller's transaction by what it writes.
type writeKind string

const (
	delegationWrite writeKind = "delegation"
	ackWrite        writeKind = "acknowledgement"
	removalWrite    writeKind = "removal of a delegation"
	jobEndWrite     writeKind = "job end"
	progressWrite   writeKind = "job progress"
	grantWrite      writeKind = "holder's grant"
	migrationWrite  writeKind = "migration"
	schemaWrite     writeKind = "schema version"
	staleWrite      writeKind = "stale chunk"
)

// writeKindOf returns the kind of a transaction, or an empty string if it is none of the
// above.
func writeKindOf(txn protocol.Txn) writeKind {
	key, deletes := txn.Writes[0].Put+txn.Writes[0].Delete, txn.Writes[0].Delete != ""
	_, isDelegation := storage.ParseDelegationKey(key)
	_, isAck := storage.ParseDelegationAckKey(key)
	_, isJob := storage.ParseJobKey(key)
	_, _, isChunk := storage.ParseCompletionChunkKey(key)
	_, isMarker := storage.ParseVersionMarkerKey(key)
	_, isGrant := storage.ParseGrantKey(key)
	_, _, isGrantChunk := storage.ParseGrantChunkKey(key)
	isHolders := len(txn.Preconditions) > 0 && strings.HasPrefix(txn.Preconditions[0].Key, "r/shard/")
	switch {
	case isDelegation && deletes:
		return removalWrite
	case isDelegation:
		return delegationWrite
	case isAck && !deletes:
		return ackWrite
	case isMarker || key == storage.SchemaVersionKey:
		return schemaWrite
	case isChunk && deletes && !isHolders:
		return staleWrite
	case !isHolders:
		return ""
	case isChunk:
		return progressWrite
	case isJob && deletes:
		return jobEndWrite
	case isJob:
		return migrationWrite
	case isGrant || isGrantChunk:
		return grantWrite
	}
	return ""
}

// delayCaseRun is a run of a case: it decides the outcomes of writes and observes the
// machines.
type delayCaseRun struct {
	*delayCase
	w                 *world
	mu                sync.Mutex // guards all below; acquired before the locks of the world and the nodes
	machines          []*partitionedMachine
	attempts          map[string]int
	sent              map[string]bool   // kinds of writes that each controller has sent since the partition
	forced            map[writeKind]int // the highest unanswered attempt of each kind
	lateCommits       []time.Duration   // when late writes were committed, since the partition
	redirectsByDenied int               // heartbeats redirected by deniedController while another could answer
	precedingWrites   map[string]int    // unanswered other writes of each controller
	log               []string
	leftoverRecords   []string // delegations and acknowledgements that were not removed
}

// sinceCut returns the time since the last partition began.
func (o *delayCaseRun) sinceCut() time.Duration {
	return time.Since(o.w.startedAt) - o.lastPartition().at
}

// logf appends a line with the current time to the log.
func (o *delayCaseRun) logf(format string, a ...any) {
	o.log = append(o.log, fmt.Sprintf("%.2f ", o.sinceCut().Seconds())+fmt.Sprintf(format, a...))
}

// decide returns the outcome of a controller's transaction.
func (o *delayCaseRun) decide(sender string, txn protocol.Txn) forcedOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	kind := writeKindOf(txn)
	if kind == "" {
		return forcedOutcome{}
	}
	write := fmt.Sprintf("%s %s %s", sender, kind, txn.Writes[0].Put+txn.Writes[0].Delete)
	o.attempts[write]++
	attempt := o.attempts[write]
	o.recordSent(sender, kind, txn)
	isCompeting := slices.Contains(o.competingWrites, kind) && !o.sent[sender+string(kind)]
	if isCompeting && o.isHeld(sender, kind) || kind == delegationWrite && o.deniedController == sender {
		return forcedOutcome{refused: true}
	}
	outcome := forcedOutcome{}
	if attempt <= o.unanswered[kind] || isCompeting && o.isCompetingWriteDue(sender) {
		outcome.late = lateWriteDelay
		o.forced[kind] = max(o.forced[kind], attempt)
		if isCompeting {
			o.sent[sender+string(kind)] = true
			o.precedingWrites[sender]++
		}
	}
	if outcome.late > 0 || kind == delegationWrite || kind == ackWrite || kind == removalWrite {
		o.logf("%s attempt %d, unanswered %v", write, attempt, outcome.late > 0)
		outcome.done = func(status int) {
			o.mu.Lock()
			defer o.mu.Unlock()
			if outcome.late > 0 {
				o.lateCommits = append(o.lateCommits, o.sinceCut())
			}
			o.logf("%s attempt %d committed: status %d", write, attempt, status)
		}
	}
	return outcome
}

// isHeld reports whether another kind of write is refused until it can precede a
// delegation or an acknowledgement.
func (o *delayCaseRun) isHeld(sender string, kind writeKind) bool {
	since := o.sinceCut()
	if since < 0 {
		return since > -rejectBeforePartition || kind == schemaWrite
	}
	return o.concerns(sender) && since < competingWriteDelay
}

// isCompetingWriteDue reports whether another kind of write may now precede a delegation
// or an acknowledgement, starting within the last second before these are due.
func (o *delayCaseRun) isCompetingWriteDue(sender string) bool {
	return o.concerns(sender) && o.sinceCut() >= competingWriteDelay && o.sinceCut() < maxProxyDelay
}

// concerns reports whether a controller is a proxy of the first cut-off machine or, with
// beforeAck, its holder.
func (o *delayCaseRun) concerns(sender string) bool {
	if len(o.machines) == 0 {
		return false
	}
	m := o.machines[0]
	if o.beforeAck {
		return m.holder.name == sender
	}
	return slices.ContainsFunc(o.w.nodes, func(n *simNode) bool { return n.name == sender && n.zone == m.worker.request.Zone })
}

// recordSent records the steps that a write represents for its machines.
func (o *delayCaseRun) recordSent(sender string, kind writeKind, txn protocol.Txn) {
	step := map[writeKind]string{delegationWrite: delegationSent, ackWrite: ackSent}[kind]
	if step == "" || o.sinceCut() < 0 {
		return
	}
	o.sent[sender+string(kind)] = true
	value, _ := json.Marshal(txn.Writes[0].Value)
	for _, m := range o.machines {
		if strings.Contains(string(value), strconv.Quote(m.worker.id)) {
			o.recordStep(m, step)
		}
	}
}

// recordStep records the first time that a machine reaches a step.
func (o *delayCaseRun) recordStep(m *partitionedMachine, step string) {
	if _, found := m.steps[step]; !found {
		m.steps[step] = o.sinceCut()
	}
}

// run installs the decision hook on all store links and observes the partition.
func (o *delayCaseRun) run() {
	for _, n := range o.w.nodes {
		n.storeLink.mu.Lock()
		n.storeLink.decideOutcome = func(txn protocol.Txn) forcedOutcome { return o.decide(n.name, txn) }
		n.storeLink.mu.Unlock()
	}
	time.Sleep(-o.sinceCut() + time.Millisecond)
	o.findMachines()
	for o.sinceCut() < min(o.lastPartition().duration, 30*sec) {
		o.mu.Lock()
		for _, m := range o.machines {
			o.observe(m)
		}
		o.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	o.countRedirects()
}

// findMachines finds the machines that run a task and whose holder is in the other zone.
func (o *delayCaseRun) findMachines() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	isActive := func(task *simTask) bool { return task.active }
	for _, id := range slices.Sorted(maps.Keys(o.w.workers)) {
		worker := o.w.workers[id]
		if worker.dead || !slices.ContainsFunc(slices.Collect(maps.Values(worker.tasks)), isActive) {
			continue
		}
		for _, n := range o.w.nodes {
			if n.zone != worker.request.Zone && n.node.holdsMachine(id) {
				n.node.mu.Lock()
				shard := n.node.records.ShardOfMachine[id]
				n.node.mu.Unlock()
				o.machines = append(o.machines, &partitionedMachine{worker: worker, shard: shard, holder: n, session: worker.session, steps: map[string]time.Duration{}})
			}
		}
	}
	// The busiest holder is in zone a: it is put first in the role whose writes are delayed.
	slices.SortStableFunc(o.machines, func(a, b *partitionedMachine) int { return cmp.Compare(a.worker.request.Zone, b.worker.request.Zone) })
	if o.beforeAck {
		slices.Reverse(o.machines)
	}
}

// observe records the steps visible at a machine's holder, its proxies and its worker.
func (o *delayCaseRun) observe(m *partitionedMachine) {
	holder, id := m.holder.node, m.worker.id
	holder.mu.Lock()
	if holder.records.DelegatedMachines[m.shard][id] {
		o.recordStep(m, visibleToHolder)
	}
	holder.mu.Unlock()
	answerable := slices.ContainsFunc(o.w.nodes, func(n *simNode) bool { return n.zone == m.worker.request.Zone && n.node.mayAnswerMachine(id) })
	if answerable {
		o.recordStep(m, visibleToProxy)
	}
	if answerable != m.answerable {
		o.logf("%s may be answered: %v", id, answerable)
	}
	m.answerable = answerable
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	if m.worker.session == m.session && m.worker.lastAcknowledged.Sub(o.w.startedAt) > o.lastPartition().at {
		o.recordStep(m, firstAnswer)
	}
}

// countRedirects counts, once a proxy could answer a worker, the redirects by
// deniedController, and those of them that led to the unreachable holder.
func (o *delayCaseRun) countRedirects() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	for _, m := range o.machines {
		shown, found := m.steps[visibleToProxy]
		from := o.w.startedAt.Add(o.lastPartition().at + shown)
		heartbeats := m.worker.trace.heartbeats
		for i, h := range heartbeats {
			if !found || h.to != o.deniedController || h.status != http.StatusMisdirectedRequest || h.sentAt.Before(from) {
				continue
			}
			o.redirectsByDenied++
			if i+1 < len(heartbeats) && heartbeats[i+1].outcome == heartbeatCutOff {
				m.holderRedirects++
			}
		}
		o.log = append(o.log, m.worker.id+" "+o.describeHeartbeats(m))
	}
}

// describeHeartbeats lists a machine's heartbeats from the partition to its first answer.
func (o *delayCaseRun) describeHeartbeats(m *partitionedMachine) string {
	var text strings.Builder
	for _, h := range m.worker.trace.heartbeats {
		at := h.sentAt.Sub(o.w.startedAt) - o.lastPartition().at
		if answered, found := m.steps[firstAnswer]; at > -sec && (!found || at < answered) {
			fmt.Fprintf(&text, " %.2f %s %s %d;", at.Seconds(), h.to, h.outcome, h.status)
		}
	}
	return text.String()
}
