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

// writeKind is what a transaction of a controller writes.
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

// kindOf returns the kind of a transaction; empty: none of those above.
func kindOf(txn protocol.Txn) writeKind {
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

// delayOrder plays a case: it decides the fates of writes and follows the machines.
type delayOrder struct {
	*delayCase
	w        *world
	mu       sync.Mutex // guards all below; locked before the world's and the nodes'
	machines []*partitionedMachine
	attempts map[string]int
	sent     map[string]bool   // what each controller has sent since the cut
	forced   map[writeKind]int // the greatest attempt of each kind that was unanswered
	landings []time.Duration   // when writes were carried out late, since the cut
	asked    int               // heartbeats that the muted controller redirected while another might answer
	inTheWay map[string]int    // how many other writes of each controller were unanswered
	log      []string
	leftOver []string // delegations and acknowledgements that stand though nobody wants them
}

// sinceCut returns the time since the last cut began.
func (o *delayOrder) sinceCut() time.Duration {
	return time.Since(o.w.startedAt) - o.lastPartition().at
}

// logf notes what happens now.
func (o *delayOrder) logf(format string, a ...any) {
	o.log = append(o.log, fmt.Sprintf("%.2f ", o.sinceCut().Seconds())+fmt.Sprintf(format, a...))
}

// decide returns the fate of a transaction of a controller.
func (o *delayOrder) decide(sender string, txn protocol.Txn) forcedFate {
	o.mu.Lock()
	defer o.mu.Unlock()
	kind := kindOf(txn)
	if kind == "" {
		return forcedFate{}
	}
	first := fmt.Sprintf("%s %s %s", sender, kind, txn.Writes[0].Put+txn.Writes[0].Delete)
	o.attempts[first]++
	attempt := o.attempts[first]
	o.recordSent(sender, kind, txn)
	isOther := slices.Contains(o.competingWrites, kind) && !o.sent[sender+string(kind)]
	if isOther && o.isHeld(sender, kind) || kind == delegationWrite && o.deniedController == sender {
		return forcedFate{refused: true}
	}
	fate := forcedFate{}
	if attempt <= o.unanswered[kind] || isOther && o.isDue(sender) {
		fate.late = lateWriteDelay
		o.forced[kind] = max(o.forced[kind], attempt)
		if isOther {
			o.sent[sender+string(kind)] = true
			o.inTheWay[sender]++
		}
	}
	if fate.late > 0 || kind == delegationWrite || kind == ackWrite || kind == removalWrite {
		o.logf("%s attempt %d, unanswered %v", first, attempt, fate.late > 0)
		fate.done = func(status int) {
			o.mu.Lock()
			defer o.mu.Unlock()
			if fate.late > 0 {
				o.landings = append(o.landings, o.sinceCut())
			}
			o.logf("%s attempt %d carried out: %d", first, attempt, status)
		}
	}
	return fate
}

// isHeld reports whether another write is held until it can be in the way.
func (o *delayOrder) isHeld(sender string, kind writeKind) bool {
	since := o.sinceCut()
	if since < 0 {
		return since > -rejectBeforePartition || kind == schemaWrite
	}
	return o.concerns(sender) && since < competingWriteDelay
}

// isDue reports whether another write may now be in the way of a delegation or of an
// acknowledgement, from the second before these are due.
func (o *delayOrder) isDue(sender string) bool {
	return o.concerns(sender) && o.sinceCut() >= competingWriteDelay && o.sinceCut() < maxProxyDelay
}

// concerns reports whether a controller is a proxy of the first cut-off machine or, with
// beforeAck, its holder.
func (o *delayOrder) concerns(sender string) bool {
	if len(o.machines) == 0 {
		return false
	}
	m := o.machines[0]
	if o.beforeAck {
		return m.holder.name == sender
	}
	return slices.ContainsFunc(o.w.nodes, func(n *simNode) bool { return n.name == sender && n.zone == m.worker.rental.Zone })
}

// recordSent records the steps that a write is for its machines.
func (o *delayOrder) recordSent(sender string, kind writeKind, txn protocol.Txn) {
	step := map[writeKind]string{delegationWrite: delegationSent, ackWrite: ackSent}[kind]
	if step == "" || o.sinceCut() < 0 {
		return
	}
	o.sent[sender+string(kind)] = true
	value, _ := json.Marshal(txn.Writes[0].Value)
	for _, m := range o.machines {
		if strings.Contains(string(value), strconv.Quote(m.worker.id)) {
			o.reach(m, step)
		}
	}
}

// reach records the first time that a machine has come to a step.
func (o *delayOrder) reach(m *partitionedMachine, step string) {
	if _, found := m.steps[step]; !found {
		m.steps[step] = o.sinceCut()
	}
}

// run attaches the hook to all links and follows the cut.
func (o *delayOrder) run() {
	for _, n := range o.w.nodes {
		n.wire.mu.Lock()
		n.wire.decideFate = func(txn protocol.Txn) forcedFate { return o.decide(n.name, txn) }
		n.wire.mu.Unlock()
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
	o.countDetours()
}

// findMachines finds the machines with a task whose holder is in the other zone.
func (o *delayOrder) findMachines() {
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
			if n.zone != worker.rental.Zone && n.node.holdsMachine(id) {
				n.node.mu.Lock()
				shard := n.node.records.ShardOfMachine[id]
				n.node.mu.Unlock()
				o.machines = append(o.machines, &partitionedMachine{worker: worker, shard: shard, holder: n, session: worker.session, steps: map[string]time.Duration{}})
			}
		}
	}
	// The busiest holder is in zone a: it comes first in the role that is held up.
	slices.SortStableFunc(o.machines, func(a, b *partitionedMachine) int { return cmp.Compare(a.worker.rental.Zone, b.worker.rental.Zone) })
	if o.beforeAck {
		slices.Reverse(o.machines)
	}
}

// observe records the steps that show at a machine's holder, its proxies and its worker.
func (o *delayOrder) observe(m *partitionedMachine) {
	holder, id := m.holder.node, m.worker.id
	holder.mu.Lock()
	if holder.records.DelegatedMachines[m.shard][id] {
		o.reach(m, visibleToHolder)
	}
	holder.mu.Unlock()
	answerable := slices.ContainsFunc(o.w.nodes, func(n *simNode) bool { return n.zone == m.worker.rental.Zone && n.node.mayAnswerMachine(id) })
	if answerable {
		o.reach(m, visibleToProxy)
	}
	if answerable != m.answerable {
		o.logf("%s may be answered: %v", id, answerable)
	}
	m.answerable = answerable
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	if m.worker.session == m.session && m.worker.lastAcknowledged.Sub(o.w.startedAt) > o.lastPartition().at {
		o.reach(m, firstAnswer)
	}
}

// countDetours counts what workers met once a proxy might answer them: redirects of the
// muted controller, and those after which they went to the cut-off holder.
func (o *delayOrder) countDetours() {
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
			o.asked++
			if i+1 < len(heartbeats) && heartbeats[i+1].fate == heartbeatCutOff {
				m.holderRedirects++
			}
		}
		o.log = append(o.log, m.worker.id+" "+o.describeHeartbeats(m))
	}
}

// describeHeartbeats lists a machine's heartbeats from the cut to its first answer.
func (o *delayOrder) describeHeartbeats(m *partitionedMachine) string {
	var text strings.Builder
	for _, h := range m.worker.trace.heartbeats {
		at := h.sentAt.Sub(o.w.startedAt) - o.lastPartition().at
		if answered, found := m.steps[firstAnswer]; at > -sec && (!found || at < answered) {
			fmt.Fprintf(&text, " %.2f %s %s %d;", at.Seconds(), h.to, h.fate, h.status)
		}
	}
	return text.String()
}
