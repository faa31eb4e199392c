package storage

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reedtrack/internal/protocol"
)

// recordTypes maps the names in testdata/records.golden to the types of all stored records,
// and to the JSON types of grants, whose encoding differs from the Go types.
var recordTypes = map[string]any{"node": Controller{}, "term": FencingTokenCounter{}, "shard": ShardLease{}, "job": Job{}, "end": EndedJob{},
	"form": SchemaVersion{}, "mark": VersionMarker{}, "deputy": Delegation{}, "confirmation": DelegationAck{}, "part": CompletionChunk{},
	"catalog part": CatalogChunk{}, "catalog": protocol.Catalog{},
	"grant": Grant{}, "grant head": Grant{}, "piece": GrantChunk{},
	"grant JSON": grantJSON{}, "grant head JSON": chunkedGrantJSON{}, "piece JSON": grantChunkJSON{}}

// Every record decodes the output of previous versions, with and without values, and encodes
// to the same bytes. A renamed field without its previous JSON name fails here, and so does
// a new field that is missing from the golden file.
func TestRecordsGolden(t *testing.T) {
	seen := map[string]bool{}
	raw, err := os.ReadFile("testdata/records.golden")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		name, want, _ := strings.Cut(strings.TrimSpace(line), "\t")
		kind, isFull := strings.CutSuffix(name, " full")
		kind = strings.TrimSuffix(kind, " zero")
		seen[name] = true
		t.Run(name, func(t *testing.T) {
			v := reflect.New(reflect.TypeOf(recordTypes[kind]))
			if err := json.Unmarshal([]byte(want), v.Interface()); err != nil {
				t.Fatal(err)
			}
			if isFull && v.Elem().Type() != reflect.TypeFor[Grant]() { // it has two encodings, whose JSON types are checked for completeness
				for _, field := range unset(v.Elem(), kind) {
					t.Errorf("%s is zero after decoding the golden file", field)
				}
			}
			got, _ := json.Marshal(v.Interface())
			if d := cmp.Diff(want, string(got)); d != "" {
				t.Error(d)
			}
		})
	}
	for kind := range recordTypes {
		if !seen[kind+" full"] || !seen[kind+" zero"] && kind != "grant head" {
			t.Errorf("%s is not in the golden file", kind)
		}
	}
}

// unset returns the paths of fields that are zero, including those of the first element of
// each list and map.
func unset(v reflect.Value, path string) (fields []string) {
	switch {
	case v.IsZero():
		return []string{path}
	case v.Kind() == reflect.Pointer:
		return unset(v.Elem(), path)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return unset(v.Index(0), path)
	case v.Kind() == reflect.Map && v.Len() > 0:
		return unset(v.MapIndex(v.MapKeys()[0]), path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			fields = append(fields, unset(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	}
	return fields
}

// A grant's columns decode to the original leases. Confusing a column with another of the
// same type fails here.
func TestGrantGolden(t *testing.T) {
	const blocks = `{"kinds":[{"b":"g8","z":"a","s":true},{"b":"c4","z":"b"}],"names":["0host-000231","92"],"k":[0,1],"t":[7,8],"from":1700000000,"at":[0,5]}`
	want := []MachineLease{{"host-000231", "g8", "a", true, 7, 1700000000}, {"host-00022", "c4", "b", false, 8, 1700000005}}
	var g Grant
	var p GrantChunk
	if err := json.Unmarshal([]byte(`{"blocks":`+blocks+`,"shares":{"red":{"c":2,"g":3}}}`), &g); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(`{"of":9,"blocks":`+blocks+`}`), &p); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(Grant{Machines: want, Quotas: map[string]Resources{"red": {Cores: 2, GPUs: 3}}}, g); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(GrantChunk{9, want}, p); d != "" {
		t.Error(d)
	}
}

// Keys persist in the state service across versions. A changed prefix, or a changed order of
// a key's parts, fails here.
func TestKeysGolden(t *testing.T) {
	id := DelegationID{Shard: 3, Controller: "reed-1", Record: 2}
	for want, got := range map[string]string{"r/": LivePrefix, "r/leader": LeaderKey, "r/term": FencingTokenKey, "r/catalog": CatalogKey,
		"r/form": SchemaVersionKey, "r/alive/reed-1": ControllerKey("reed-1"), "r/shard/3": ShardKey(3), "r/grant/3": GrantKey(3),
		"r/job/wk-1": JobKey("wk-1"), "e/wk-1": EndedJobKey("wk-1"), "r/mark/reed-1": VersionMarkerKey("reed-1"),
		"r/piece/3/2": GrantChunkKey(3, 2), "r/done/wk-1/2": CompletionChunkKey("wk-1", 2), "r/catalog/2": CatalogChunkKey(2),
		"r/deputy/3/reed-1/2": DelegationKey(id), "r/named/3/reed-1/2": DelegationAckKey(id)} {
		if got != want {
			t.Errorf("key %s is now %s", want, got)
		}
	}
	for key, want := range map[string][]any{"r/job/wk-1": {"wk-1", true}, "r/alive/reed-1": {"reed-1", true}, "r/shard/3": {3, true},
		"r/grant/3": {3, true}, "r/mark/reed-1": {"reed-1", true}, "r/piece/3/2": {3, 2, true}, "r/done/wk-1/2": {"wk-1", 2, true},
		"r/catalog/2": {2, true}, "r/deputy/3/reed-1/2": {id, true}, "r/named/3/reed-1/2": {id, true}} {
		cut := map[string]any{"job": ParseJobKey, "alive": ParseControllerKey, "shard": ParseShardKey, "grant": ParseGrantKey, "mark": ParseVersionMarkerKey,
			"piece": ParseGrantChunkKey, "done": ParseCompletionChunkKey, "catalog": ParseCatalogChunkKey, "deputy": ParseDelegationKey, "named": ParseDelegationAckKey}[strings.Split(key, "/")[1]]
		var got []any
		for _, v := range reflect.ValueOf(cut).Call([]reflect.Value{reflect.ValueOf(key)}) {
			got = append(got, v.Interface())
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: %s", key, d)
		}
	}
}

// Requests to the state service are stable. A renamed path, parameter or field fails here.
func TestRequestsGolden(t *testing.T) {
	var got []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got = append(got, strings.TrimSpace(r.Method+" "+r.RequestURI+" "+string(raw)))
		w.Write([]byte("{}"))
	}))
	defer srv.Close()
	c, ctx := NewClient(strings.TrimPrefix(srv.URL, "http://"), 1000, 1000, 1), t.Context()
	c.Get(ctx, FencingTokenKey)
	c.ListPage(ctx, LivePrefix, "r/x")
	c.Txn(ctx, protocol.Txn{Writes: []protocol.Write{{Put: FencingTokenKey, Value: FencingTokenCounter{3}}, {Delete: JobKey("wk-1")}}})
	c.GrantLease(ctx, 9*time.Second)
	c.RenewLease(ctx, 5)
	c.RevokeLease(ctx, 5)
	c.ReadController(ctx, "reed-1")
	c.ClaimController(ctx, Controller{"reed-1", 5}, 7)
	c.Watch(ctx, LivePrefix, 8, 3*time.Second)
	if d := cmp.Diff([]string{`GET /keys/r/term`, `GET /keys?limit=1000&since=r%2Fx&under=r%2F`,
		`POST /multi {"when":[],"writes":[{"put":"r/term","data":{"n":3}},{"delete":"r/job/wk-1"}]}`,
		`POST /grants {"life_ms":9000}`, `POST /grants/5/renew {}`, `DELETE /grants/5`, `GET /keys/r/alive/reed-1`,
		`POST /multi {"when":[{"path":"r/alive/reed-1","stamp":7}],"writes":[{"put":"r/alive/reed-1","data":{"name":"reed-1","session":5},"hold":5}]}`,
		`GET /follow?since=8&under=r%2F&wait_ms=3000`}, got); d != "" {
		t.Error(d)
	}
}
