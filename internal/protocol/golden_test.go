package protocol

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// wireTypes maps names in testdata/wire.golden to the messages exchanged with users,
// workers, the cloud and the key-value store.
var wireTypes = map[string]any{"report": Heartbeat{}, "orders": HeartbeatResponse{}, "direct": DirectCommands{}, "redirect": Redirect{},
	"catalog": Catalog{}, "rental": MachineRequest{}, "machine names": MachineNames{}, "machine list": MachineList{},
	"item": KeyValue{}, "items": RangeResponse{}, "txn": Txn{}, "txn result": TxnResponse{}, "grant": LeaseGrant{}, "changes": WatchResponse{},
	"job": Job{}, "job status": JobStatus{}, "job waits": JobDependencies{}, "failure": ErrorResponse{}}

// Guards wire compatibility: every message decodes what earlier versions wrote, with
// and without values, and encodes to the same bytes. A field that lost its JSON name
// fails the test, and so does a new field that is missing from the golden file.
func TestWireGolden(t *testing.T) {
	seen := map[string]bool{}
	raw, err := os.ReadFile("testdata/wire.golden")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		name, want, _ := strings.Cut(strings.TrimSpace(line), "\t")
		kind, isFull := strings.CutSuffix(name, " full")
		kind = strings.TrimSuffix(kind, " zero")
		seen[name] = true
		t.Run(name, func(t *testing.T) {
			v := reflect.New(reflect.TypeOf(wireTypes[kind]))
			if err := json.Unmarshal([]byte(want), v.Interface()); err != nil {
				t.Fatal(err)
			}
			if isFull {
				for _, field := range unsetFields(v.Elem(), kind) {
					t.Errorf("%s is not read from the golden file", field)
				}
			}
			got, _ := json.Marshal(v.Interface())
			if d := cmp.Diff(want, string(got)); d != "" {
				t.Error(d)
			}
			var parsed any
			switch name {
			case "job full": // a submission has the fields of the record
				parsed, err = ParseJob([]byte(want))
			case "report full":
				parsed, err = ParseHeartbeat([]byte(want))
			default:
				return
			}
			if d := cmp.Diff(v.Interface(), parsed); d != "" || err != nil {
				t.Error(d, err)
			}
		})
	}
	for kind := range wireTypes {
		if !seen[kind+" full"] || !seen[kind+" zero"] {
			t.Errorf("%s is not in the golden file", kind)
		}
	}
}

// unsetFields returns the paths of the zero fields, including those in the first element of each slice.
func unsetFields(v reflect.Value, path string) (fields []string) {
	switch {
	case v.IsZero():
		return []string{path}
	case v.Kind() == reflect.Pointer:
		return unsetFields(v.Elem(), path)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return unsetFields(v.Index(0), path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			fields = append(fields, unsetFields(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	}
	return fields
}

// Guards the error texts that users get for a field that is missing or has the wrong
// type, including the field's wire name.
func TestJobErrorsGolden(t *testing.T) {
	var all map[string]any
	json.Unmarshal([]byte(strings.TrimSuffix(validSubmission, "}")+`,"due_s":1,"breeds":["g8"],"waits_on":["wk-1"],"yard":"a"}`), &all)
	var b strings.Builder
	for _, field := range slices.Sorted(maps.Keys(all)) {
		for _, v := range []any{nil, map[string]int{}} {
			job := maps.Clone(all)
			job[field] = v
			raw, _ := json.Marshal(job)
			_, err := ParseJob(raw)
			fmt.Fprintf(&b, "%s %v: %v\n", field, v, err)
		}
	}
	want, _ := os.ReadFile("testdata/errors.golden")
	if d := cmp.Diff(string(want), b.String()); d != "" {
		t.Error(d)
	}
}
