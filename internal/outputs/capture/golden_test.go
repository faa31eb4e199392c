package capture

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A spool may be shipped by a capture of another version than the one that wrote it, so
// the JSON names in its files must not change.
func TestSpoolFilesGolden(t *testing.T) {
	raw, err := os.ReadFile("testdata/spool.golden")
	if err != nil {
		t.Fatal(err)
	}
	names := ""
	for line := range strings.Lines(string(raw)) {
		name, want, _ := strings.Cut(strings.TrimSpace(line), "\t")
		names += name + ","
		v := map[string]any{"about": new(AttemptInfo), "ended": new(Result), "progress": new(progress)}[strings.Fields(name)[0]]
		if err := json.Unmarshal([]byte(want), v); err != nil {
			t.Fatal(name, err)
		}
		got, _ := json.Marshal(v)
		if d := cmp.Diff(want, string(got)); d != "" {
			t.Error(name, d)
		}
	}
	if names != "about zero,about full,ended zero,ended full,progress zero,progress full," {
		t.Error("golden file has rows", names)
	}
	if names := []string{attemptFile, resultFile, progressFile}; strings.Join(names, " ") != "about.json ended.json acked.json" {
		t.Error("unexpected names of spool files:", names)
	}
}
