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
	// maxProxyDelay is the target for a machine that a cut between zones separates from
	// its holder: from the start of the cut to its first answer by a heartbeat proxy.
	maxProxyDelay = 6 * sec
	// lateWriteDelay is after how long an unanswered write is carried out.
	lateWriteDelay = 12 * sec
	// rejectBeforePartition is how long before a cut other writes are refused, so that one is
	// pending in the cut.
	rejectBeforePartition = 10 * sec
	// competingWriteDelay is when that one is let go: delegations are due 2 s after the start of
	// the cut, and acknowledgements with them.
	competingWriteDelay = 1200 * time.Millisecond
	// lastPartitionEnd is when no cut of any case lasts any more.
	lastPartitionEnd = 120 * sec
)

// partitionedMachine is a machine with a task that a cut separates from its holder, and when
// each step towards its first answer was made, since the cut.
type partitionedMachine struct {
	worker          *simWorker
	shard           int
	holder          *simNode
	session         uint64
	steps           map[string]time.Duration
	answerable      bool // some proxy may answer it
	holderRedirects int  // ways over the cut-off holder while a proxy might answer
}

const (
	delegationSent  = "delegation sent"
	visibleToHolder = "shown at the holder"
	ackSent         = "acknowledgement sent"
	visibleToProxy  = "shown at the proxy"
	firstAnswer     = "answered"
)

// delayCase forces where time goes between a cut and the first answer of a proxy.
type delayCase struct {
	name       string
	cuts       []fault           // none: one from 60 s to 120 s
	unanswered map[writeKind]int // how many first attempts of each key get no answer
	// executedAfter is when one of them has to be carried out at least, since the last cut.
	executedAfter time.Duration
	// others are kinds of other writes of which the first gets no answer, from the second
	// on before the delegation is due, of each proxy, or with beforeAck the
	// acknowledgement, of the holder.
	others    []writeKind
	beforeAck bool
	mute      string // this controller's delegations are refused
	inCI      bool   // it is played without -all too
}

// partitionAt returns a cut between the zones.
func partitionAt(at, duration time.Duration) fault {
	return fault{at: at, kind: zonesSeparated, duration: duration}
}

var delayCases = append([]delayCase{
	{name: "nothing forced"},
	{name: "a first delegation", unanswered: map[writeKind]int{delegationWrite: 1}},
	{name: "b first acknowledgement", unanswered: map[writeKind]int{ackWrite: 1}},
	{name: "c first delegation and acknowledgement", inCI: true, unanswered: map[writeKind]int{delegationWrite: 1, ackWrite: 1}},
	{name: "e late delegation after the repeated one", unanswered: map[writeKind]int{delegationWrite: 1}, executedAfter: lateWriteDelay},
	{name: "e late delegation after the cut", inCI: true, unanswered: map[writeKind]int{delegationWrite: 1}, cuts: []fault{partitionAt(60*sec, 8*sec)}, executedAfter: 9 * sec},
	{name: "e late acknowledgement after the cut", unanswered: map[writeKind]int{ackWrite: 1}, cuts: []fault{partitionAt(60*sec, 8*sec)}, executedAfter: 9 * sec},
	{name: "f late removal", inCI: true, unanswered: map[writeKind]int{removalWrite: 1}, cuts: []fault{partitionAt(60*sec, 10*sec), partitionAt(71*sec, 49*sec)}, executedAfter: 2 * sec},
	{name: "g another proxy may answer", inCI: true, mute: "n2"},
	{name: "h first two of both", inCI: true, unanswered: map[writeKind]int{delegationWrite: 2, ackWrite: 2}},
}, competingWriteCases()...)

// competingWriteCases are the cases in which another write is in the way.
func competingWriteCases() (cases []delayCase) {
	kinds := []writeKind{jobEndWrite, progressWrite, grantWrite, migrationWrite, staleWrite}
	for _, kind := range append(kinds, schemaWrite) {
		cases = append(cases, delayCase{name: fmt.Sprintf("d %s before the delegation", kind), others: []writeKind{kind}},
			delayCase{name: fmt.Sprintf("d %s before the acknowledgement", kind), others: []writeKind{kind}, beforeAck: true})
	}
	cases = append(cases, delayCase{name: "d several before the delegation", others: kinds, inCI: true},
		delayCase{name: "d several before the acknowledgement", others: kinds, beforeAck: true})
	return cases
}

// lastPartition returns the cut whose delays are measured.
func (c *delayCase) lastPartition() fault { return c.cuts[len(c.cuts)-1] }

// play plays the case with a seed: long jobs run in both zones, and short ones cause
// the other writes. Nothing is lost by chance.
func (c delayCase) play(t *testing.T, seed uint64) *delayOrder {
	if len(c.cuts) == 0 {
		c.cuts = []fault{partitionAt(60*sec, 60*sec)}
	}
	o := &delayOrder{delayCase: &c, attempts: map[string]int{}, sent: map[string]bool{}, forced: map[writeKind]int{}, inTheWay: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		o.w = newWorld(seed, nil)
		isCrowded := len(c.others) == 1 && c.others[0] == migrationWrite // jobs migrate where room is short
		if !isCrowded {
			o.w.allowMachines(24)
			o.w.fillMachines = 1 // several shards get jobs
		}
		o.w.linkLoss, o.w.txnFailureRate, o.w.script = linkLoss{}, 0, c.cuts
		longJobs, shortJobs := 24, 0
		if isCrowded {
			longJobs = 16
		}
		if len(c.others) > 0 {
			shortJobs = 12
		}
		if slices.Contains(c.others, schemaWrite) {
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

// setSchema writes a schema version into the store before the controllers start.
func (w *world) setSchema(t *testing.T, version int) {
	body, err := json.Marshal(protocol.Txn{Preconditions: []protocol.Precondition{}, Writes: []protocol.Write{{Put: storage.SchemaVersionKey, Value: storage.SchemaVersion{Version: version}}}})
	if err != nil {
		t.Fatal(err)
	}
	if status, _ := w.store.Handle(t.Context(), http.MethodPost, "/multi", nil, body); status != http.StatusOK {
		t.Fatalf("schema version: status %d", status)
	}
}

// isOrderReached reports whether the forced order has taken place.
func (o *delayOrder) isOrderReached() bool {
	for kind, count := range o.unanswered {
		if o.forced[kind] < count {
			return false
		}
	}
	hasLanded := slices.ContainsFunc(o.landings, func(at time.Duration) bool { return at > o.executedAfter })
	mostInTheWay := slices.Max(append(slices.Collect(maps.Values(o.inTheWay)), 0))
	return len(o.machines) > 0 && (len(o.unanswered) == 0 || hasLanded) &&
		mostInTheWay >= min(len(o.others), 2) && (o.mute == "" || o.asked > 0)
}

// recordLeftoverRecords notes, after all cuts and at the end, which delegations and
// acknowledgements stand.
func (o *delayOrder) recordLeftoverRecords() {
	for _, at := range []time.Duration{lastPartitionEnd + 2*lateWriteDelay, 800 * sec} {
		time.Sleep(at - time.Since(o.w.startedAt))
		for _, key := range o.w.store.Keys() {
			_, isDelegation := storage.ParseDelegationKey(key)
			_, isAck := storage.ParseDelegationAckKey(key)
			if isDelegation || isAck {
				o.leftOver = append(o.leftOver, fmt.Sprintf("%s stands at %v", key, at))
			}
		}
	}
}

// checkDelays checks the target for each machine, and logs how the time was spent.
func (o *delayOrder) checkDelays(t *testing.T, seed uint64) {
	for _, m := range o.machines {
		split := fmt.Sprintf("seed %d: %s in zone %s, shard %d of %s:", seed, m.worker.id, m.worker.rental.Zone, m.shard, m.holder.name)
		for _, step := range []string{delegationSent, visibleToHolder, ackSent, visibleToProxy, firstAnswer} {
			if at, found := m.steps[step]; found {
				split += fmt.Sprintf(" %s %.2f", step, at.Seconds())
			} else {
				split += " never " + step
			}
		}
		t.Log(split)
		if at, found := m.steps[firstAnswer]; !found || at > maxProxyDelay {
			t.Errorf("seed %d: %s not answered by a proxy within %v of the cut", seed, m.worker.id, maxProxyDelay)
		}
		if m.holderRedirects > 0 {
			t.Errorf("seed %d: %s went to its cut-off holder %d times though another proxy might answer", seed, m.worker.id, m.holderRedirects)
		}
	}
	t.Logf("seed %d, times since the cut:\n%s", seed, strings.Join(o.log, "\n"))
}

// delaySeeds is how many seeds of a case -all plays at least. CI plays a few cases, each
// until a seed brings its order about; maxDelaySeeds is how many are tried for that.
const (
	delaySeeds    = 8
	maxDelaySeeds = 40
)

// Guards against machines behind a cut that get no answer in time since the writes that
// delegate them wait for one another, or for the answer to another write.
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
				if lost := keptLeases(o.w); lost != "" {
					t.Errorf("seed %d: %s", seed, lost)
				}
				if len(o.leftOver) > 0 {
					t.Errorf("seed %d: nobody wants them, but %s", seed, strings.Join(o.leftOver, ", "))
				}
				if o.isOrderReached() {
					proven++
				}
				t.Logf("seed %d: brought about: %v", seed, o.isOrderReached())
				o.checkDelays(t, seed)
			}
			if proven == 0 {
				t.Errorf("none of %d seeds brought the order about", maxDelaySeeds)
			}
		})
	}
}
