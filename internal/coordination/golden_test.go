package coordination

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"reedtrack/internal/protocol"
)

// Controllers of two versions exchange status messages. Each message decodes what the
// previous version encoded, with and without values, and encodes to the same bytes. A
// renamed field without its former CBOR name fails here, in the messages or in nested
// types, and so does a new field until the golden file contains it. Maps have one
// element because their encoding order is not fixed.
func TestStatusGolden(t *testing.T) {
	messages := map[string]any{"status": Status{}, "reply": StatusReply{}, "shard status": ShardStatus{}, "shard reply": ShardReply{}}
	seen := map[string]bool{}
	raw, err := os.ReadFile("testdata/status.golden")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		name, want, _ := strings.Cut(strings.TrimSpace(line), "\t")
		kind, isFull := strings.CutSuffix(name, " full")
		kind = strings.TrimSuffix(kind, " zero")
		seen[name] = true
		t.Run(name, func(t *testing.T) {
			v := reflect.New(reflect.TypeOf(messages[kind]))
			bytes, err := hex.DecodeString(want)
			if err == nil {
				err = cbor.Unmarshal(bytes, v.Interface())
			}
			if err != nil {
				t.Fatal(err)
			}
			if isFull {
				for _, field := range unsetFields(v.Elem(), kind) {
					t.Errorf("%s is not read from the golden file", field)
				}
			}
			got, _ := cbor.Marshal(v.Interface())
			if want != hex.EncodeToString(got) {
				was, _ := cbor.Diagnose(bytes)
				is, _ := cbor.Diagnose(got)
				t.Error(cmp.Diff(was, is))
			}
		})
	}
	for kind := range messages {
		if !seen[kind+" full"] || !seen[kind+" zero"] {
			t.Errorf("%s is not in the golden file", kind)
		}
	}
}

// A status of the previous version, which lacks the startable tasks and the spare capacity of
// shards, decodes as before, and one without such values is encoded as that version did.
func TestStatusOfFormerVersion(t *testing.T) {
	raw, err := os.ReadFile("testdata/status.former.golden")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		name, want, _ := strings.Cut(strings.TrimSpace(line), "\t")
		bytes, err := hex.DecodeString(want)
		if err != nil || !strings.HasPrefix(name, "status ") {
			continue
		}
		var status Status
		if err := cbor.Unmarshal(bytes, &status); err != nil {
			t.Fatal(err)
		}
		for _, shard := range status.Shards {
			if shard.Startable != nil || shard.SpareCapacity != nil || shard.quotaClaim("red").Startable != nil {
				t.Errorf("%s: decoded as %+v", name, shard)
			}
		}
		if got, _ := cbor.Marshal(status); hex.EncodeToString(got) != want {
			t.Errorf("%s: encoding differs from the golden file", name)
		}
	}
}

// unsetFields returns the paths of exported fields that are zero, including those in the first
// element of each list and map.
func unsetFields(v reflect.Value, path string) (fields []string) {
	switch {
	case v.IsZero():
		return []string{path}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		return unsetFields(v.Index(0), path)
	case v.Kind() == reflect.Map && v.Len() > 0:
		return unsetFields(v.MapIndex(v.MapKeys()[0]), path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				fields = append(fields, unsetFields(v.Field(i), path+"."+f.Name)...)
			}
		}
	}
	return fields
}

// Guards the answers to refused requests: renaming an error or a field of one fails here
// if it changes the status, the text or the reported field.
func TestRefusalsGolden(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{&protocol.InvalidFieldError{Field: "parts", Reason: "missing"}, `400 {"error":"parts: missing","field":"parts"}`},
		{fmt.Errorf("x: %w", &InvalidJobError{"cores", "too many"}), `422 {"error":"cores: too many","field":"cores"}`},
		{ErrUnavailable, `503 {"error":"can't decide now"}`},
		{errors.New("other"), `503 {"error":"other"}`},
	} {
		status, answer := errorResponse(c.err)
		raw, _ := json.Marshal(answer)
		if got := fmt.Sprintf("%d %s", status, raw); got != c.want {
			t.Errorf("%v: %s, want %s", c.err, got, c.want)
		}
	}
}
