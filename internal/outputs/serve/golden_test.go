package serve_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reedtrack/internal/outputs/serve"
)

// The pages, their JSON form and the names of the metrics must not change. Templates
// resolve fields, functions and map keys only at run time, so a renamed one is found
// only by this test.
func TestPagesGolden(t *testing.T) {
	d := startDaemon(t, serve.ConcurrencyLimits{})
	writeAttempt(t, d, 3)
	writeAttempt(t, d, 4)
	varies := regexp.MustCompile(`"(received_ns|disk_bytes)":"\d+"`)
	var b strings.Builder
	for _, path := range strings.Fields(`/ /?json=1 /jobs/wk-000008 /jobs/wk-000008?json=1 /jobs/wk-000008?which=open /jobs/wk-000008?which=failed&limit=1 /jobs/wk-000008/3/artefacts
		/jobs/wk-000008/3/artefacts?json=1 /jobs/wk-x /jobs/wk-000008?which=some /jobs/wk-000008/x/log /jobs/wk-000008/5/log
		/jobs/wk-000008/3/log?tail=-1 /jobs/wk-000008/3/log?stream=both /jobs/wk-000008/3/artefacts/none /nothing /jobs/wk-000008?after=zz`) {
		code, text, h := httpGet(t, d.URL+path)
		var compact bytes.Buffer // protojson output has random whitespace
		if json.Compact(&compact, []byte(text)) == nil {
			text = varies.ReplaceAllString(compact.String(), `"$1":"N"`) + "\n"
		}
		fmt.Fprintf(&b, "%s: %d %s\n%s\n", path, code, h.Get("Content-Type"), strings.ReplaceAll(text, strings.TrimPrefix(d.URL, "http://"), "ADDRESS"))
	}
	_, text, _ := httpGet(t, d.URL+"/metrics")
	fmt.Fprintln(&b, strings.Join(regexp.MustCompile(`(?m)^# TYPE reedtrack_.*$`).FindAllString(text, -1), "\n"))
	want, err := os.ReadFile("testdata/pages.golden")
	if d := cmp.Diff(string(want), b.String()); d != "" || err != nil {
		t.Error(d, err)
	}
}
