package coordination

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/config"
	"reedtrack/internal/emulator"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// A grant builder accepts machines until one more would exceed a limit of the store, and
// the resulting grants are within all limits.
func TestGrantBuilderKeepsLimits(t *testing.T) {
	for _, c := range []struct {
		valueKB    float64
		operations int
		nameLength int
	}{
		{1, 4, 11},
		{16, 4, 11},
		{16, 12, 100},
		{64, 12, 11},
	} {
		t.Run(fmt.Sprintf("%gKB,%dops,names%d", c.valueKB, c.operations, c.nameLength), func(t *testing.T) {
			testGrantBuilderLimits(t, c.valueKB, c.operations, c.nameLength)
		})
	}
}

func testGrantBuilderLimits(t *testing.T, valueKB float64, operations, nameLength int) {
	t.Helper()
	w := newWorld(1, nil)
	limits := &w.settings.Deployment.State
	limits.ValueKB, limits.TxnOps = valueKB, operations
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	const shards = 6
	builder := newGrantBuilder(n)
	accepted, refused := 0, 0
	for i := range 12000 {
		machine := &cloudMachine{id: fmt.Sprintf("%0*d", nameLength, i), kind: machineKind{"small", "a", true}}
		if !builder.acceptsMachine(i%shards, machine) {
			refused++
			continue
		}
		accepted++
		builder.addMachine(i%shards, storage.MachineLease{Machine: machine.id, MachineType: "small", Zone: "a", Spot: true, FencingToken: 1 << 40, GrantedAt: 1.8e9})
	}
	if accepted == 0 || refused == 0 {
		t.Fatalf("%d accepted, %d refused", accepted, refused)
	}
	total := 0
	for i, grant := range builder.grants {
		raw, _ := json.Marshal(grant)
		total += len(raw)
		if len(raw) > int(valueKB*1024) {
			t.Errorf("%d bytes for shard %d", len(raw), i)
		}
	}
	if total > protocol.MaxBodyBytes || len(builder.grants)+1 > operations {
		t.Errorf("%d bytes in %d grants", total, len(builder.grants))
	}
}

// A fully used shard returns quota once another shard needs it: beyond its fair share,
// tasks that end are not replaced.
func TestFullShardReturnsShare(t *testing.T) {
	now := time.Now()
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	s, p := busyShard(10, now)
	p.teams = map[string]teamQuota{"red": {limit: storage.Resources{Cores: 80}}}
	n.teams = p.teams
	s.shares = map[string]storage.Resources{"red": {Cores: 80}}
	s.plan(p, true, now)
	n.shards[0] = s
	n.records.Grants[0] = clusterstate.Entry[storage.Grant]{Value: storage.Grant{Quotas: s.shares}, Revision: 1}
	if s.used["red"].Cores != 80 {
		t.Fatalf("uses %v of 80", s.used["red"])
	}
	want := s.desired["red"].Cores
	n.peerStatus["n1"] = &Status{Shards: []ShardStatus{{Index: 1, Desired: map[string]storage.Resources{"red": {Cores: want}}}}}
	n.limitToFairShares(s)
	for _, m := range s.sortedMachines() {
		for _, r := range m.attempts {
			s.dropAttempt(r, dropExited)
			break
		}
		s.fillMachine(m, p.teams)
	}
	if used := s.used["red"].Cores; used > 75 {
		t.Errorf("uses %g although half is the share of another shard", used)
	}
	n.peerStatus["n1"].Shards[0].Desired = nil
	n.limitToFairShares(s)
	for _, m := range s.sortedMachines() {
		s.fillMachine(m, p.teams)
	}
	if used := s.used["red"].Cores; used != 80 {
		t.Errorf("uses %g although no other shard needs quota", used)
	}
}

// A controller's load is its measured CPU time relative to its processor share.
func TestCPUMeterMeasuresUseOfShare(t *testing.T) {
	var m cpuMeter
	at := time.Now()
	used := time.Duration(0)
	for range 20 {
		m.update(at, used, 0.1)
		at, used = at.Add(minMeterInterval), used+minMeterInterval/20
	}
	if m.utilization < 0.45 || m.utilization > 0.55 {
		t.Errorf("utilization %g, want 0.5: a twentieth of the time with a share of a tenth", m.utilization)
	}
}

// A job whose record would exceed the store's value limit is rejected permanently
// instead of being retried.
func TestTooLargeJobRecordIsRefused(t *testing.T) {
	n := New(newWorld(1, nil).settings, newWorld(1, nil).settings.Defaults(), nil, nil, nil, nil)
	rec := storage.Job{Spec: protocol.Job{ID: "wk-1", MachineTypes: []string{strings.Repeat("x", 3000)}}}
	if err := n.checkRecordSize(&rec); err != nil {
		t.Error(err)
	}
	rec.Spec.MachineTypes = append(rec.Spec.MachineTypes, rec.Spec.MachineTypes[0])
	var never *InvalidJobError
	if err := n.checkRecordSize(&rec); !errors.As(err, &never) {
		t.Errorf("%v", err)
	}
}

// A catalog larger than a value is stored in chunks, and takes effect only when all
// chunks are known.
func TestLargeCatalogIsStoredInChunks(t *testing.T) {
	n := New(newWorld(1, nil).settings, newWorld(1, nil).settings.Defaults(), nil, nil, nil, nil)
	var c protocol.Catalog
	for i := range 25 {
		b := simMachineTypes[0]
		b.Name = fmt.Sprintf("type-%d", i)
		c.MachineTypes = append(c.MachineTypes, b)
	}
	writes := catalogWrites(c, config.Limits{ValueKB: 1})
	for i, w := range writes {
		raw, _ := json.Marshal(w.Value)
		if len(raw) > 1024 {
			t.Errorf("%d bytes at %s", len(raw), w.Put)
		}
		if len(n.records.MachineTypes) != 0 {
			t.Errorf("catalog takes effect after %d of %d chunks", i, len(writes))
		}
		n.applyChange(w.Put, raw, 9)
	}
	if diff := cmp.Diff(c.MachineTypes, n.records.MachineTypes); diff != "" || len(writes) < 3 {
		t.Error(len(writes), diff)
	}
	if w := catalogWrites(protocol.Catalog{MachineTypes: simMachineTypes}, config.Limits{ValueKB: 1}); len(w) != 1 || w[0].Put != storage.CatalogKey {
		t.Error("a small catalog is not written as a single record")
	}
}

// With a small write budget, machines of many chunks are released a few chunks at a
// time: a single transaction for all of them would never be sent (inc-fdf3).
func TestReleaseWithinWriteBudget(t *testing.T) {
	w := newWorld(1, nil)
	w.settings.Deployment.State.WriteRPS = 3
	var sent []protocol.Txn
	n := New(w.settings, w.settings.Defaults(), storage.NewClientWithTransport(txnRecorder{&sent}, 1000, 3, 1), nil, nil, nil)
	n.applyChange(storage.SchemaVersionKey, []byte(`{"form":2}`), 1)
	n.applyChange(storage.GrantKey(0), []byte(`{"blocks":"in pieces","of":9,"shares":{}}`), 2)
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	n.shards[0] = s
	for k := range 6 {
		raw, _ := json.Marshal(storage.GrantChunk{Generation: 9, Machines: []storage.MachineLease{{Machine: fmt.Sprint("m", k), MachineType: "small"}}})
		n.applyChange(storage.GrantChunkKey(0, k), raw, uint64(3+k))
	}
	for _, m := range s.machines {
		m.releasing = true
	}
	n.writeGrants(t.Context())
	if len(sent) != 1 || len(sent[0].Writes) < 1 || len(sent[0].Writes) > 3 || len(s.machines) != 6 {
		t.Errorf("%d transactions %+v", len(sent), sent)
	}
}

// expectWithinLimits checks a transaction against the limits of the protocol.
func expectWithinLimits(t *testing.T, what string, txn protocol.Txn, limits config.Limits) {
	t.Helper()
	store := emulator.NewKVStore()
	store.SetLimits(int(limits.ValueKB*1024), limits.TxnOps, 0)
	raw, _ := json.Marshal(txn)
	store.Handle(t.Context(), http.MethodPost, "/multi", nil, raw)
	for _, reason := range store.TakeOversized() {
		t.Errorf("%s: %s", what, reason)
	}
}

// Guards against writes that the store refuses for ever, at every size of values: of the
// largest record of a job that is accepted, of the progress of a job of 100,000 tasks before
// and after the schema upgrade, and of the delegation of thousands of machines.
func TestLargestWritesAreWithinLimits(t *testing.T) {
	for _, valueKB := range []float64{1, 2, 16, 32, 63, 64, 200} {
		t.Run(fmt.Sprintf("values of %g KiB", valueKB), func(t *testing.T) {
			w := newWorld(1, nil)
			w.settings.Deployment.State.ValueKB = valueKB
			var sent []protocol.Txn
			n := New(w.settings, w.settings.Defaults(), storage.NewClientWithTransport(txnRecorder{&sent}, 1000, 1000, 1), nil, nil, nil)
			limits := n.storeLimits()
			for _, schema := range []int{storage.SchemaWhole, storage.SchemaChunked} {
				applyRecord(t, n, storage.SchemaVersionKey, storage.SchemaVersion{Version: schema}, uint64(2+schema))
				record := largestJobRecord(t, n)
				if _, err := n.acceptJob(t.Context(), record); err != nil {
					t.Fatal(err)
				}
				expectWithinLimits(t, "job record", sent[len(sent)-1], limits)
				expectWithinLimits(t, "progress", progressOfLargestJob(n, record), limits)
			}
			delegated, txn := delegationOfManyMachines(n)
			expectWithinLimits(t, "delegation", txn, limits)
			if written := countDelegated(txn); written != delegated || delegated == 0 {
				t.Errorf("%d machines are delegated, %d are written", delegated, written)
			}
		})
	}
}

// Guards against a catalog that the store refuses for ever: without its machine types no other
// controller acquires a shard.
func TestLargeCatalogIsWithinLimits(t *testing.T) {
	for _, c := range []struct {
		machineTypes int
		limits       config.Limits
	}{
		{700, config.Limits{ValueKB: 16, TxnOps: 12}},
		{70, config.Limits{ValueKB: 2, TxnOps: 4}},
	} {
		var catalog protocol.Catalog
		for i := range c.machineTypes {
			machineType := simMachineTypes[0]
			machineType.Name = fmt.Sprintf("type-%d", i)
			catalog.MachineTypes = append(catalog.MachineTypes, machineType)
		}
		what := fmt.Sprintf("catalog of %d types under %+v", c.machineTypes, c.limits)
		expectWithinLimits(t, what, protocol.Txn{Writes: catalogWrites(catalog, c.limits)}, c.limits)
	}
}

// largestJobRecord returns the largest record of a job of 100,000 tasks that is accepted.
func largestJobRecord(t *testing.T, n *Node) *storage.Job {
	t.Helper()
	record := &storage.Job{Spec: protocol.Job{ID: "wk-999999999999999999", Type: "array", Tasks: 100_000, MachineTypes: []string{""}}}
	fits := func(bytes int) bool {
		record.Spec.MachineTypes[0] = strings.Repeat("x", bytes)
		return n.checkRecordSize(record) == nil
	}
	largest := sort.Search(protocol.MaxBodyBytes, func(bytes int) bool { return !fits(bytes) }) - 1
	if largest < 0 || !fits(largest) {
		t.Fatal("no record is accepted")
	}
	return record
}

// progressOfLargestJob returns the first progress write of a job of which every other task is
// done, which takes the most space.
func progressOfLargestJob(n *Node, record *storage.Job) protocol.Txn {
	applyLiveJob(n, 5, record.Spec)
	j := n.newJob(n.records.Jobs[record.Spec.ID])
	for task := 0; task < j.spec.Tasks; task += 2 {
		j.done.Add(task)
	}
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	write := jobWrite{job: j, done: j.done.Len()}
	write.txn.Preconditions = jobPreconditions(s, j)
	n.addProgress(&write)
	return write.txn
}

// delegationOfManyMachines returns a delegation out of more machines than fit into a
// transaction, and the number of those that are to be delegated.
func delegationOfManyMachines(n *Node) (delegated int, txn protocol.Txn) {
	var names []string
	for i := range 8000 {
		names = append(names, fmt.Sprintf("host-%06d", i))
	}
	names = limitDelegated(names, n.storeLimits())
	return len(names), n.delegationTxn(0, names, nil)
}

// countDelegated counts the machines in a delegation.
func countDelegated(txn protocol.Txn) int {
	count := 0
	for _, write := range txn.Writes {
		count += len(write.Value.(storage.Delegation).Machines)
	}
	return count
}
