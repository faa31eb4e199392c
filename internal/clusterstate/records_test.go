package clusterstate

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// newTestRecords returns empty records with a deadline of one minute for every job.
func newTestRecords() *Records {
	return New(func(*storage.Job) float64 { return 60 })
}

// put returns the change that writes a value: a string as it is, anything else encoded as
// JSON.
func put(t *testing.T, key string, value any, revision uint64) protocol.Change {
	t.Helper()
	raw, ok := value.(string)
	if !ok {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		raw = string(encoded)
	}
	return protocol.Change{Put: key, Value: json.RawMessage(raw), Revision: revision}
}

// job returns the record of a job of three tasks.
func job(shard int, completed string) storage.Job {
	return storage.Job{Spec: protocol.Job{ID: "wk-1", Tasks: 3}, Shard: shard, Completed: completed, AcceptedAtMS: 1}
}

func machines(names ...string) []storage.MachineLease {
	var leases []storage.MachineLease
	for _, name := range names {
		leases = append(leases, storage.MachineLease{Machine: name, MachineType: "small", Zone: "a", FencingToken: 1})
	}
	return leases
}

// Changes of a job are reported with its previous record and its completed tasks, in the
// order of the transactions.
func TestJobChanges(t *testing.T) {
	r := newTestRecords()
	changes := r.Apply([]protocol.Change{put(t, storage.JobKey("wk-1"), job(0, "0-1"), 5)})
	first, ok := changes[0].(JobChange)
	if len(changes) != 1 || !ok || first.ID != "wk-1" || first.Previous != nil || first.Current != r.Jobs["wk-1"] || first.Done.Len() != 2 {
		t.Fatalf("new job: %+v", changes)
	}
	if jr := r.Jobs["wk-1"]; jr.Revision != 5 || jr.DoneCount != 2 || jr.DeadlineSeconds != 60 {
		t.Errorf("%+v", jr)
	}
	r.Jobs["wk-1"].Dependencies = DependencyState{Unblocked: true, UnblockedMS: 7, DeadlineMS: math.Inf(1)}
	changes = r.Apply([]protocol.Change{put(t, storage.JobKey("wk-1"), job(1, "0-1"), 6), {Delete: storage.JobKey("wk-1"), Revision: 7}})
	moved, ended := changes[0].(JobChange), changes[1].(JobChange)
	if len(changes) != 2 || moved.Previous != first.Current || moved.Current.Record.Shard != 1 || moved.Current.Dependencies != first.Current.Dependencies {
		t.Errorf("moved job: %+v", moved)
	}
	if ended.Previous != moved.Current || ended.Current != nil || len(r.Jobs) != 0 || r.AppliedRevision != 7 {
		t.Errorf("ended job: %+v", ended)
	}
	if changes := r.Apply([]protocol.Change{{Delete: storage.JobKey("wk-1"), Revision: 8}}); len(changes) != 0 {
		t.Errorf("end of an unknown job: %+v", changes)
	}
}

// A job record that can't be decoded leaves the previous one in place until a readable one
// is applied.
func TestUnreadableJob(t *testing.T) {
	r := newTestRecords()
	r.Apply([]protocol.Change{put(t, storage.JobKey("wk-1"), job(0, "0-1"), 5)})
	for i, bad := range []any{"no record", job(0, "9")} {
		changes := r.Apply([]protocol.Change{put(t, storage.JobKey("wk-1"), bad, uint64(6+i))})
		if unreadable, ok := changes[0].(UnreadableRecord); len(changes) != 1 || !ok || unreadable.Key != storage.JobKey("wk-1") || unreadable.Err == nil {
			t.Errorf("%v: %+v", bad, changes)
		}
		if jr := r.Jobs["wk-1"]; jr == nil || jr.Revision != 5 || !r.UnreadableJobs["wk-1"] {
			t.Errorf("%v: %+v", bad, jr)
		}
	}
	r.Apply([]protocol.Change{put(t, storage.JobKey("wk-1"), job(0, "0-1"), 9)})
	if r.Jobs["wk-1"].Revision != 9 || r.UnreadableJobs["wk-1"] {
		t.Error("a readable record does not replace the unreadable one")
	}
}

// Completed tasks are counted in the job's own record and its chunks. A chunk that this
// controller wrote counts until a newer one is applied.
func TestCompletionChunks(t *testing.T) {
	r := newTestRecords()
	done, err := storage.ParseIndexSet("0-2", 3)
	if err != nil {
		t.Fatal(err)
	}
	two := storage.CompletionChunk{FirstIndex: 0, Completed: done.EncodeChunk(0, 2)}
	three := storage.CompletionChunk{FirstIndex: 0, Completed: done.EncodeChunk(0, 3)}
	r.Apply([]protocol.Change{put(t, storage.JobKey("wk-1"), job(0, ""), 5), put(t, storage.CompletionChunkKey("wk-1", 0), two, 5)})
	if r.Jobs["wk-1"].DoneCount != 2 {
		t.Errorf("%d done, want 2", r.Jobs["wk-1"].DoneCount)
	}
	r.AddCompletionChunks("wk-1", []storage.CompletionChunk{three}, 6)
	r.AddCompletionChunks("wk-1", []storage.CompletionChunk{two}, 4)
	if done, err := r.DoneTasks(r.Jobs["wk-1"]); err != nil || done.Len() != 3 {
		t.Errorf("%d done, want 3: %v", done.Len(), err)
	}
	r.Apply([]protocol.Change{{Delete: storage.CompletionChunkKey("wk-1", 0), Revision: 7}})
	if len(r.CompletionChunks) != 0 || r.Jobs["wk-1"].DoneCount != 0 {
		t.Error("deleted chunks are still counted")
	}
}

// A changed grant is reported once per transaction, with whether its head has changed.
// Each machine belongs to one shard.
func TestGrants(t *testing.T) {
	r := newTestRecords()
	head := storage.Grant{Generation: 9, Quotas: map[string]storage.Resources{"red": {Cores: 4}}}
	changes := r.Apply([]protocol.Change{
		put(t, storage.GrantChunkKey(0, 1), storage.GrantChunk{Generation: 9, Machines: machines("m2")}, 5),
		put(t, storage.GrantChunkKey(0, 0), storage.GrantChunk{Generation: 9, Machines: machines("m1")}, 5),
		put(t, storage.GrantChunkKey(0, 2), storage.GrantChunk{Generation: 8, Machines: machines("stale")}, 5),
		put(t, storage.GrantKey(0), head, 5)})
	change, ok := changes[0].(GrantChange)
	if len(changes) != 1 || !ok || change.Shard != 0 || !change.HeadChanged || !reflect.DeepEqual(change.Grant.Machines, machines("m1", "m2")) {
		t.Fatalf("%+v", changes)
	}
	if want := map[string]int{"m1": 0, "m2": 0}; !reflect.DeepEqual(r.ShardOfMachine, want) {
		t.Errorf("%v, want %v", r.ShardOfMachine, want)
	}
	changes = r.Apply([]protocol.Change{
		put(t, storage.GrantChunkKey(0, 1), storage.GrantChunk{Generation: 9}, 6),
		put(t, storage.GrantKey(1), storage.Grant{Machines: machines("m2")}, 6)})
	if len(changes) != 2 {
		t.Fatalf("%+v", changes)
	}
	for _, change := range changes {
		if change := change.(GrantChange); change.HeadChanged != (change.Shard == 1) {
			t.Errorf("%+v", change)
		}
	}
	if want := map[string]int{"m1": 0, "m2": 1}; !reflect.DeepEqual(r.ShardOfMachine, want) {
		t.Errorf("%v, want %v", r.ShardOfMachine, want)
	}
	before := r.Grants[0]
	changes = r.Apply([]protocol.Change{put(t, storage.GrantChunkKey(0, 0), `{"of":9,"blocks":{"names":["0x"]}}`, 7)})
	if _, ok := changes[0].(UnreadableRecord); len(changes) != 1 || !ok || !reflect.DeepEqual(before, r.Grants[0]) || r.GrantChunks[0][0].Bytes >= 0 {
		t.Errorf("chunk that can't be decoded: %+v", changes)
	}
	if changes := r.Apply([]protocol.Change{{Delete: storage.GrantKey(1), Revision: 8}}); len(changes) != 0 || len(r.Grants) != 1 || len(r.ShardOfMachine) != 1 {
		t.Errorf("deleted grant: %+v %v", changes, r.ShardOfMachine)
	}
}

// Each feature is enabled from its schema version on. A version that is newer than this
// controller's, or can't be decoded, is not supported.
func TestSchemaGates(t *testing.T) {
	for _, test := range []struct {
		schema                    string
		chunked, proxies, support bool
	}{
		{`{"form":1}`, false, false, true},
		{`{"form":2}`, true, false, true},
		{`{"form":3}`, true, true, true},
		{fmt.Sprintf(`{"form":%d}`, storage.SchemaLatest+1), true, true, false},
		{`none`, true, true, false},
	} {
		r := newTestRecords()
		if r.SplitGrantsEnabled() || r.HeartbeatProxiesEnabled() || !r.SupportsSchema() {
			t.Error("features are enabled, or the schema is unsupported, without a schema version")
		}
		changes := r.Apply([]protocol.Change{put(t, storage.SchemaVersionKey, test.schema, 5)})
		if r.SplitGrantsEnabled() != test.chunked || r.CompletionChunksEnabled() != test.chunked || r.DependenciesEnabled() != test.chunked ||
			r.HeartbeatProxiesEnabled() != test.proxies || r.SupportsSchema() != test.support {
			t.Errorf("%s: %+v", test.schema, r.SchemaVersion)
		}
		change, ok := changes[0].(SchemaChange)
		if !ok || change.Version != r.SchemaVersion.Value.Version || change.Completed != (test.chunked && test.schema != "none") {
			t.Errorf("%s: %+v", test.schema, changes)
		}
		if unreadable := len(changes) == 2; unreadable != (test.schema == "none") {
			t.Errorf("%s: %+v", test.schema, changes)
		}
	}
}

// Only controllers whose marker has the latest schema version count as upgraded.
func TestCountUpgraded(t *testing.T) {
	r := newTestRecords()
	for i, version := range []int{storage.SchemaLatest, storage.SchemaLatest - 1, storage.SchemaLatest} {
		changes := r.Apply([]protocol.Change{put(t, storage.VersionMarkerKey(fmt.Sprint("n", i)), storage.VersionMarker{Version: version}, uint64(5+i))})
		if len(changes) != 1 || changes[0] != (VersionMarkerChange{}) {
			t.Errorf("%+v", changes)
		}
	}
	if r.CountUpgraded() != 2 {
		t.Errorf("%d upgraded, want 2", r.CountUpgraded())
	}
}

// A catalog in chunks is used once all its chunks have one revision, and is kept when its
// record is deleted.
func TestCatalog(t *testing.T) {
	r := newTestRecords()
	small, big := protocol.MachineType{Name: "small", Cores: 4, MemoryGB: 8}, protocol.MachineType{Name: "big", Cores: 32, GPUs: 4, MemoryGB: 64}
	chunk := func(k int, machineType protocol.MachineType, revision uint64) protocol.Change {
		return put(t, storage.CatalogChunkKey(k), storage.CatalogChunk{ChunkCount: 2, MachineTypes: []protocol.MachineType{machineType}}, revision)
	}
	r.Apply([]protocol.Change{chunk(0, small, 5), chunk(1, big, 6)})
	if r.MachineTypes != nil {
		t.Errorf("chunks of two revisions are combined: %+v", r.MachineTypes)
	}
	r.Apply([]protocol.Change{chunk(0, small, 6)})
	if !reflect.DeepEqual(r.MachineTypes, []protocol.MachineType{small, big}) {
		t.Errorf("%+v", r.MachineTypes)
	}
	r.Apply([]protocol.Change{put(t, storage.CatalogKey, protocol.Catalog{MachineTypes: []protocol.MachineType{small}}, 7), {Delete: storage.CatalogKey, Revision: 8}})
	if !reflect.DeepEqual(r.MachineTypes, []protocol.MachineType{small}) {
		t.Errorf("%+v", r.MachineTypes)
	}
	if size, ok := r.MachineSize("big"); !ok || size != SizeOf(big) {
		t.Errorf("size of a type that is no longer offered: %v", size)
	}
	if _, ok := r.MachineSize("other"); ok {
		t.Error("an unknown type has a size")
	}
}

// The machines in all delegation records of a shard are delegated, regardless of the proxy.
func TestDelegations(t *testing.T) {
	r := newTestRecords()
	first, second := storage.DelegationID{Shard: 1, Controller: "n0"}, storage.DelegationID{Shard: 1, Controller: "n1"}
	r.Apply([]protocol.Change{
		put(t, storage.DelegationKey(first), storage.Delegation{Machines: []string{"m1"}}, 5),
		put(t, storage.DelegationKey(second), storage.Delegation{Machines: []string{"m1", "m2"}}, 6),
		put(t, storage.DelegationAckKey(second), storage.DelegationAck{DelegationRevision: 6}, 7)})
	if want := map[string]bool{"m1": true, "m2": true}; !reflect.DeepEqual(r.DelegatedMachines[1], want) || r.DelegationAcks[second].Value.DelegationRevision != 6 {
		t.Errorf("%v, want %v", r.DelegatedMachines[1], want)
	}
	r.Apply([]protocol.Change{{Delete: storage.DelegationKey(second), Revision: 8}, {Delete: storage.DelegationAckKey(second), Revision: 8}})
	if want := map[string]bool{"m1": true}; !reflect.DeepEqual(r.DelegatedMachines[1], want) || len(r.DelegationAcks) != 0 {
		t.Errorf("%v, want %v", r.DelegatedMachines[1], want)
	}
}

// A controller's session is reported with each change of its key; 0 if the key is deleted.
func TestControllerChanges(t *testing.T) {
	r := newTestRecords()
	changes := r.Apply([]protocol.Change{put(t, storage.ControllerKey("n0"), storage.Controller{Name: "n0", Session: 4}, 5), {Delete: storage.ControllerKey("n0"), Revision: 6}})
	if want := []Change{ControllerChange{"n0", 4}, ControllerChange{"n0", 0}}; !reflect.DeepEqual(changes, want) {
		t.Errorf("%+v, want %+v", changes, want)
	}
	sentAt := time.Unix(7, 0)
	if r.MarkSynced(sentAt); !r.Loaded || r.SyncedAt != sentAt {
		t.Error("not synced")
	}
}
