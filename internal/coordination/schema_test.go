package coordination

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// Records of the previous version (testdata/production, written by its code) are read
// without loss, and before the schema upgrade this version writes the same bytes: a field
// unknown to the other version would be lost when it rewrites a record.
func TestPreviousVersionRecords(t *testing.T) {
	for name, record := range map[string]any{
		"job":       new(storage.Job),
		"job-plain": new(storage.Job),
		"end":       new(storage.EndedJob),
		"shard":     new(storage.ShardLease),
		"term":      new(storage.FencingTokenCounter),
		"node":      new(storage.Controller),
		"grant":     new(storage.Grant),
	} {
		t.Run(name, func(t *testing.T) {
			previous := readProduction(t, name+".json")
			if err := json.Unmarshal(previous, record); err != nil {
				t.Fatal(err)
			}
			if written, _ := json.Marshal(record); !bytes.Equal(written, bytes.TrimSpace(previous)) {
				t.Errorf("\n%s\nis written as\n%s", previous, written)
			}
		})
	}
}

// Messages of the previous version between controllers are read without loss and written
// as the same bytes.
func TestPreviousVersionMessages(t *testing.T) {
	encoding, _ := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	for name, message := range map[string]any{
		"status": new(Status),
		"reply":  new(StatusReply),
	} {
		t.Run(name, func(t *testing.T) {
			previous := readProduction(t, name+".cbor")
			if err := cbor.Unmarshal(previous, message); err != nil {
				t.Fatal(err)
			}
			if written, _ := encoding.Marshal(message); !bytes.Equal(written, previous) {
				t.Errorf("written as %x, not %x", written, previous)
			}
		})
	}
}

// readProduction reads a file written by the previous version.
func readProduction(t *testing.T, file string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata/production", file))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A grant in chunks is equivalent to one in a single record. A version without support for
// chunks can't decode the head, so it never treats the shard as one without machines.
func TestSplitGrant(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	n.applyChange(storage.GrantKey(0), readProduction(t, "grant.json"), 7)
	before := n.records.Grants[0].Value
	n.applyChange(storage.SchemaVersionKey, []byte(`{"form":2}`), 8)
	w.settings.Deployment.State.Next = nil
	n.records.Leader.Revision = 5
	w.settings.Deployment.State.ValueKB = 0.35 // one machine per chunk
	revision, steps := uint64(9), 0
	for ; steps < 20; steps++ {
		txn, _ := n.nextSplitTxn()
		if txn == nil {
			break
		}
		for _, put := range txn.Writes {
			raw, _ := json.Marshal(put.Value)
			n.applyChange(put.Put, raw, revision)
		}
		revision++
		if n.records.Grants[0].Value.Generation == 0 && !reflect.DeepEqual(before, n.records.Grants[0].Value) {
			t.Fatal("chunks take effect before the grant is split")
		}
	}
	after := n.records.Grants[0].Value
	if steps < 2 || len(n.records.GrantChunks[0]) < 2 || after.Generation != 7 || !reflect.DeepEqual(before.Machines, after.Machines) || !reflect.DeepEqual(before.Quotas, after.Quotas) {
		t.Errorf("after %d steps and %d chunks\n%+v\nis not\n%+v", steps, len(n.records.GrantChunks[0]), after, before)
	}
	head, _ := json.Marshal(after)
	var asPreviousVersion struct {
		Blocks struct {
			Names []string `json:"names"`
		} `json:"blocks"`
	}
	if json.Unmarshal(head, &asPreviousVersion) == nil {
		t.Error("the previous version would decode the grant as one without machines")
	}
	// A chunk that can't be decoded leaves the shard unchanged.
	n.applyChange(storage.GrantChunkKey(0, 0), []byte(`{"of":7,"blocks":{"names":["0x"]}}`), revision)
	if !reflect.DeepEqual(after, n.records.Grants[0].Value) {
		t.Error("a chunk that can't be decoded changes the shard's machines")
	}
	// A newer schema version is not supported.
	n.applyChange(storage.SchemaVersionKey, fmt.Appendf(nil, `{"form":%d}`, storage.SchemaLatest+1), revision+1)
	if n.records.SupportsSchema() {
		t.Error("supports an unknown schema version")
	}
}

// The upgrade requires the markers of all controllers, whether they are up or not, and is
// performed by the leader. A marker of an older version does not count and is rewritten.
func TestSchemaNeedsAllVersionMarkers(t *testing.T) {
	w := newWorld(1, nil)
	var sent []protocol.Txn
	n := New(w.settings, w.settings.Defaults(), storage.NewClientWithTransport(txnRecorder{&sent}, 1000, 1000, 1), nil, nil, nil)
	n.session.id, n.records.Leader.Value = 4, storage.Controller{Name: "n0", Session: 4}
	n.applyChange(storage.VersionMarkerKey("n0"), []byte(`{"form":2}`), 7)
	n.applyChange(storage.VersionMarkerKey("n1"), []byte(`{"form":2}`), 8)
	n.applyChange(storage.VersionMarkerKey("n2"), []byte(`{"form":2}`), 9)
	n.applyChange(storage.SchemaVersionKey, []byte(`{"form":2}`), 9)
	newest := 0
	for _, want := range []string{storage.VersionMarkerKey("n0"), "", "", storage.SchemaVersionKey, ""} {
		sent = nil
		n.advanceSchema(t.Context())
		got := ""
		if len(sent) > 0 {
			got = sent[0].Writes[0].Put
		}
		if got != want {
			t.Fatalf("with %d markers: writes %q, want %q", newest, got, want)
		}
		schema := fmt.Appendf(nil, `{"form":%d}`, storage.SchemaLatest)
		switch newest {
		case 0, 1, 2:
			n.applyChange(storage.VersionMarkerKey(fmt.Sprint("n", newest)), schema, uint64(10+newest))
			newest++
		case 3:
			n.applyChange(storage.SchemaVersionKey, schema, 20)
		}
	}
	if !n.records.SplitGrantsEnabled() || !n.records.HeartbeatProxiesEnabled() {
		t.Error("not upgraded")
	}
}

// applyChange applies one change to the replicated records.
func (n *Node) applyChange(path string, data []byte, revision uint64) {
	change := protocol.Change{Put: path, Value: data, Revision: revision}
	if data == nil {
		change = protocol.Change{Delete: path, Revision: revision}
	}
	n.applyAll([]protocol.Change{change})
}
