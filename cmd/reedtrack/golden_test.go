package main

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reedtrack/internal/coordination"
	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Error(d)
	}
}

// commandLines are run by TestCommandsGolden in directory testdata.
var commandLines = strings.Split(`reedtrack --help
reedtrack daemon --help
reedtrack check --help
reedtrack submit --help
reedtrack status --help
reedtrack withdraw --help
reedtrack demo --help
reedtrack version --help
reedtrack logs --help
reedtrack artefacts --help
reedtrack fetch --help
outputs --help
outputs serve --help
outputs check --help
outputs token --help
outputs verify --help
capture --help
standin --help
outputsbench --help
reedtrack check --config settings.toml
reedtrack check --config settings.toml --operator operator.xml
reedtrack check --config operator.xml
reedtrack check --config settings.toml --operator settings.toml
reedtrack check
reedtrack status job
reedtrack status --server 127.0.0.1:1 job
outputs check --config settings.toml --operator operator.xml --name s0 --zone a --data d
outputs check --name s0 --zone a --data d --operator settings.toml
outputs token --role all --team red`, "\n")

// Guards the help texts, the output of the check commands and the exit statuses of the
// programs. kong derives the names of commands and flags from Go fields without a name tag,
// so a renamed field can change the command line.
func TestCommandsGolden(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "reedtrack/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var b strings.Builder
	for _, line := range commandLines {
		args := strings.Fields(line)
		cmd := exec.Command(filepath.Join(dir, args[0]), args[1:]...)
		cmd.Dir, cmd.Env = "testdata", []string{"PATH=/nowhere"}
		out, err := cmd.CombinedOutput()
		if err != nil && !errors.As(err, new(*exec.ExitError)) {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "$ %s\n%sexit status %d\n\n", line, out, cmd.ProcessState.ExitCode())
	}
	compareGolden(t, "testdata/commands.golden", b.String())
}

// Guards error responses to users and workers, and the names, types and labels of metrics,
// against a renamed route, label or response field.
func TestAnswersGolden(t *testing.T) {
	server, operators := transport.NewServer(coordination.Service{}, 1).Handler, transport.NewOperatorServer(nil).Handler
	var b strings.Builder
	for _, c := range [][3]string{{"POST", "/v1/jobs", ""}, {"POST", "/v1/jobs", `{"id":"x","jobclass":"a","owner":"a","shape":"a","urgency":"a","bundle":"a"}`}, {"POST", "/v1/jobs", strings.Repeat("x", protocol.MaxBodyBytes+1)},
		{"GET", "/v1/jobs", ""}, {"GET", "/v1/jobs/x", ""}, {"GET", "/v1/jobs/x/waits", ""}, {"POST", "/v1/jobs/x/withdraw", ""},
		{"GET", "/v1/jobs/x/withdraw", ""}, {"POST", "/checkin", ""}, {"POST", "/checkin", `{"reed":"m"}`}, {"POST", "/checkin", `{"reed":"m","breed":"b"}`},
		{"POST", "/checkin", `{"reed":"m","breed":"b","yard":"z"}`}, {"POST", "/checkin", `{"reed":"m","breed":"b","yard":"z","stint":1,"parts":[{}]}`},
		{"POST", "/checkin", `{"reed":"m","breed":"b","yard":"z","stint":1,"parts":[{"part":"wk-1/0"}]}`}, {"GET", "/elsewhere", ""}} {
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(c[0], c[1], strings.NewReader(c[2])))
		fmt.Fprintf(&b, "%s %s %.70s: %d %q %s\n", c[0], c[1], c[2], w.Code, w.Header()["Content-Type"], strings.TrimSpace(w.Body.String()))
	}
	w := httptest.NewRecorder()
	operators.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	metrics := regexp.MustCompile(`(?m) [-+.e0-9]+$`).ReplaceAllString(w.Body.String(), "")
	own := regexp.MustCompile(`(?m)^(# TYPE )?reedtrack_.*$`).FindAllString(metrics, -1)
	fmt.Fprintf(&b, "\n%s\n", strings.Join(own, "\n"))
	compareGolden(t, "testdata/answers.golden", b.String())
}
