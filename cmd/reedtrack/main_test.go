package main

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"reedtrack/internal/config"
	"reedtrack/internal/transport"
)

// runAsDaemon is an environment variable that makes the test binary run as the daemon. It
// is set for the processes that tests start.
const runAsDaemon = "REEDTRACK_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"invalid setting", &config.FieldError{File: "f", Field: "listen", Reason: "missing"}, 2},
		{"invalid argument", usageError{errors.New("no job id")}, 2},
		{"refused", &transport.RefusedError{}, 1},
		{"no answer", fmt.Errorf("%w: timeout", transport.ErrRetriesExhausted), 3},
		{"other", errors.New("failed"), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if code := exitCode(c.err); code != c.want {
				t.Errorf("exit code %d for %v, want %d", code, c.err, c.want)
			}
		})
	}
}

func TestJobPathRefusesInvalidIDs(t *testing.T) {
	if path, err := jobPath("wk-000412"); err != nil || path != "/v1/jobs/wk-000412" {
		t.Errorf("path %q, %v", path, err)
	}
	_, err := jobPath("412")
	if code := exitCode(err); err == nil || code != exitUsage {
		t.Errorf("error %v with exit code %d, want one with %d", err, code, exitUsage)
	}
}
