package coordination

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

const (
	// maxProxyDelay is the target for the time between the start of a partition that
	// separates a machine from its holder and the machine's first answer by a heartbeat
	// proxy.
	maxProxyDelay = 6 * sec
	// lateWriteDelay is the delay after which an unanswered write is executed.
	lateWriteDelay = 12 * sec
	// rejectBeforePartition is how long before a partition competing writes are rejected,
	// so that one of them is pending during the partition.
	rejectBeforePartition = 10 * sec
	// competingWriteDelay is when the pending write is let through. Delegations are due 2
	// s after the start of the partition, and acknowledgements with them.
	competingWriteDelay = 1200 * time.Millisecond
	// lastPartitionEnd is when the partitions of all cases have ended.
	lastPartitionEnd = 120 * sec
)

// partitionedMachine is a machine with a task that a partition separates from its holder,
// with the times of the steps towards its first answer, since the start of the partition.
type partitionedMachine struct {
	worker          *simWorker
	shard           int
	holder          *simNode
	session         uint64
	steps           map[string]time.Duration
	answerable      bool // a proxy may answer it
	holderRedirects int  // redirects to the unreachable holder while a proxy might answer
}

const (
	delegationSent  = "delegation sent"
	visibleToHolder = "shown at the holder"
	ackSent         = "acknowledgement sent"
	visibleToProxy  = "shown at the proxy"
	firstAnswer     = "answered"
)

// delayCase forces a delay at a given step between the start of a partition and the first
// answer of a proxy.
type delayCase struct {
	name       string
	partitions []fault           // default: one from 60 s to 120 s
	unanswered map[writeKind]int // number of first attempts per key that get no answer
	// executedAfter is the minimum time after the start of the last partition at which one
	// of them must be executed.
	executedAfter time.Duration
	// competingWrites are kinds of other writes by each proxy or, with beforeAck, by the
	// holder. They are rejected until competingWriteDelay, which is less than one second
	// before the delegation and the acknowledgement are due. Then the first write of each
	// kind gets no answer.
	competingWrites  []writeKind
	beforeAck        bool
	deniedController string // controller whose delegations are rejected
	inCI             bool   // run without -all too
}

// partitionAt returns a network partition between the zones.
func partitionAt(at, duration time.Duration) fault {
	return fault{at: at, kind: zonesSeparated, duration: duration}
}

var delayCases = append([]delayCase{
	{name: "no forced order"},
	{name: "unanswered delegation", unanswered: map[writeKind]int{delegationWrite: 1}},
	{name: "unanswered acknowledgement", unanswered: map[writeKind]int{ackWrite: 1}},
	{name: "unanswered delegation and acknowledgement", inCI: true, unanswered: map[writeKind]int{delegationWrite: 1, ackWrite: 1}},
	{name: "late delegation after the repeated one", unanswered: map[writeKind]int{delegationWrite: 1}, executedAfter: lateWriteDelay},
	{name: "late delegation after the partition", inCI: true, unanswered: map[writeKind]int{delegationWrite: 1}, partitions: []fault{partitionAt(60*sec, 8*sec)}, executedAfter: 9 * sec},
	{name: "late acknowledgement after the partition", unanswered: map[writeKind]int{ackWrite: 1}, partitions: []fault{partitionAt(60*sec, 8*sec)}, executedAfter: 9 * sec},
	{name: "late removal", inCI: true, unanswered: map[writeKind]int{removalWrite: 1}, partitions: []fault{partitionAt(60*sec, 10*sec), partitionAt(71*sec, 49*sec)}, executedAfter: 2 * sec},
	{name: "another proxy may answer", inCI: true, deniedController: "n2"},
	{name: "two unanswered delegations and acknowledgements", inCI: true, unanswered: map[writeKind]int{delegationWrite: 2, ackWrite: 2}},
}, competingWriteCases()...)

// competingWriteCases returns the cases in which another write delays the delegation or
// the acknowledgement.
func competingWriteCases() (cases []delayCase) {
	kinds := []writeKind{jobEndWrite, progressWrite, grantWrite, migrationWrite, staleWrite}
	for _, kind := range append(kinds, schemaWrite) {
		cases = append(cases, delayCase{name: fmt.Sprintf("%s before the delegation", kind), competingWrites: []writeKind{kind}},
			delayCase{name: fmt.Sprintf("%s before the acknowledgement", kind), competingWrites: []writeKind{kind}, beforeAck: true})
	}
	cases = append(cases, delayCase{name: "several writes before the delegation", competingWrites: kinds, inCI: true},
		delayCase{name: "several writes before the acknowledgement", competingWrites: kinds, beforeAck: true})
	return cases
}

// lastPartition returns the partition for which the delays are measured.
func (c *delayCase) lastPartition() fault { return c.partitions[len(c.partitions)-1] }

// play runs the case with a seed: long jobs run in both zones, and short jobs cause the
// competing writes. Nothing is lost at random.
func (c delayCase) play(t *testing.T, seed uint64) *delayCaseRun {
	if len(c.partitions) == 0 {
		c.partitions = []fault{partitionAt(60*sec, 60*sec)}
	}
	o := &delayCaseRun{delayCase: &c, attempts: map[string]int{}, sent: map[string]bool{}, forced: map[writeKind]int{}, precedingWrites: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		o.w = newWorld(seed, nil)
		isCrowded := len(c.competingWrites) == 1 && c.competingWrites[0] == migrationWrite // jobs migrate only when capacity is scarce
		if !isCrowded {
			o.w.allowMachines(24)
			o.w.fillMachines = 1 // so that several shards get jobs
		}
		o.w.linkLoss, o.w.txnFailureRate, o.w.script = linkLoss{}, 0, c.partitions
		longJobs, shortJobs := 24, 0
		if isCrowded {
			longJobs = 16
		}
		if len(c.competingWrites) > 0 {
			shortJobs = 12
		}
		if slices.Contains(c.competingWrites, schemaWrite) {
			o.w.setSchema(t, storage.SchemaLatest-1)
		}
		o.w.adjustJob = func(k int, j *protocol.Job, u *user) {
			inBothZones(100)(k, j, u)
			if !isCrowded {
				j.Cores, j.Tasks, u.submitAfter = 2, 2, time.Duration(k)*sec/2
			}
			if k >= longJobs {
				j.Tasks, j.Cores, j.EstimatedSeconds, u.submitAfter = 5, 1, 4, time.Duration(20+3*(k-longJobs))*sec
			}
		}
		o.w.onStart = func() {
			o.w.spawn(o.run)
			o.w.spawn(o.recordLeftoverRecords)
		}
		o.w.play(longJobs+shortJobs, 150*sec, 700*sec)
	})
	return o
}

// setSchema writes a schema version to the store before the controllers start.
func (w *world) setSchema(t *testing.T, version int) {
	body, err := json.Marshal(protocol.Txn{Preconditions: []protocol.Precondition{}, Writes: []protocol.Write{{Put: storage.SchemaVersionKey, Value: storage.SchemaVersion{Version: version}}}})
	if err != nil {
		t.Fatal(err)
	}
	if status, _ := w.store.Handle(t.Context(), http.MethodPost, "/multi", nil, body); status != http.StatusOK {
		t.Fatalf("schema version: status %d", status)
	}
}

// isOrderReached reports whether the forced order of events has occurred.
func (o *delayCaseRun) isOrderReached() bool {
	for kind, count := range o.unanswered {
		if o.forced[kind] < count {
			return false
		}
	}
	hasLateCommit := slices.ContainsFunc(o.lateCommits, func(at time.Duration) bool { return at > o.executedAfter })
	maxPrecedingWrites := slices.Max(append(slices.Collect(maps.Values(o.precedingWrites)), 0))
	return len(o.machines) > 0 && (len(o.unanswered) == 0 || hasLateCommit) &&
		maxPrecedingWrites >= min(len(o.competingWrites), 2) && (o.deniedController == "" || o.redirectsByDenied > 0)
}

// recordLeftoverRecords records which delegations and acknowledgements exist after all
// partitions and at the end.
func (o *delayCaseRun) recordLeftoverRecords() {
	for _, at := range []time.Duration{lastPartitionEnd + 2*lateWriteDelay, 800 * sec} {
		time.Sleep(at - time.Since(o.w.startedAt))
		for _, key := range o.w.store.Keys() {
			_, isDelegation := storage.ParseDelegationKey(key)
			_, isAck := storage.ParseDelegationAckKey(key)
			if isDelegation || isAck {
				o.leftoverRecords = append(o.leftoverRecords, fmt.Sprintf("%s exists at %v", key, at))
			}
		}
	}
}

// checkDelays checks the target for each machine and logs the time of each step.
func (o *delayCaseRun) checkDelays(t *testing.T, seed uint64) {
	for _, m := range o.machines {
		split := fmt.Sprintf("seed %d: %s in zone %s, shard %d of %s:", seed, m.worker.id, m.worker.request.Zone, m.shard, m.holder.name)
		for _, step := range []string{delegationSent, visibleToHolder, ackSent, visibleToProxy, firstAnswer} {
			if at, found := m.steps[step]; found {
				split += fmt.Sprintf(" %s %.2f", step, at.Seconds())
			} else {
				split += " never " + step
			}
		}
		t.Log(split)
		if at, found := m.steps[firstAnswer]; !found || at > maxProxyDelay {
			t.Errorf("seed %d: %s not answered by a proxy within %v of the start of the partition", seed, m.worker.id, maxProxyDelay)
		}
		if m.holderRedirects > 0 {
			t.Errorf("seed %d: %s was redirected to its unreachable holder %d times although another proxy could answer", seed, m.worker.id, m.holderRedirects)
		}
	}
	t.Logf("seed %d, times since the start of the partition:\n%s", seed, strings.Join(o.log, "\n"))
}

// delaySeeds is the minimum number of seeds that -all runs per case. CI runs a few cases,
// each until a seed reaches the forced order; maxDelaySeeds is how many seeds are tried
// for that.
const (
	delaySeeds    = 8
	maxDelaySeeds = 40
)

// Guards against machines behind a partition that get no answer in time because the writes
// that delegate them wait for each other, or for the response to another write.
func TestDelegationDelayOrder(t *testing.T) {
	for _, c := range delayCases {
		if !c.inCI && !*all {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			proven := 0
			for seed := uint64(1); seed <= maxDelaySeeds && (proven == 0 || *all && seed <= delaySeeds); seed++ {
				o := c.play(t, seed)
				o.w.check(t)
				if lost := leaseExpiryViolation(o.w); lost != "" {
					t.Errorf("seed %d: %s", seed, lost)
				}
				if len(o.leftoverRecords) > 0 {
					t.Errorf("seed %d: leftover records: %s", seed, strings.Join(o.leftoverRecords, ", "))
				}
				if o.isOrderReached() {
					proven++
				}
				t.Logf("seed %d: forced order reached: %v", seed, o.isOrderReached())
				o.checkDelays(t, seed)
			}
			if proven == 0 {
				t.Errorf("none of %d seeds reached the forced order", maxDelaySeeds)
			}
		})
	}
}
