//go:build review

// Package tests2 runs the cases review/4 to review/8 as tests, so that KNOWN-RED.txt can
// name them:
//
//	go test -tags review -timeout 10m ./review/tests2 -run TEST
//
// The programs must have been built: the build of deploy/service.toml, then
// review/build-2.sh. Each test passes once the rule holds.
package tests2

import (
	"errors"
	"os/exec"
	"testing"
)

// playCase runs a case's script with its disruption, and fails if the rule was broken.
func playCase(t *testing.T, folder string) {
	t.Helper()
	output, err := exec.Command("../" + folder + "/run.sh").CombinedOutput()
	status := 0
	if exit := new(exec.ExitError); errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	switch status {
	case 0:
	case 1:
		t.Errorf("the rule was broken:\n%s", output)
	default:
		t.Fatalf("the case could not run, status %d:\n%s", status, output)
	}
}

// The end and the files of a task that wrote much while the stores were out of reach are kept.
func TestReview2OutputBeforeLimitsIsKept(t *testing.T) { playCase(t, "4") }

// The last words of a task that writes fast and then crashes are kept.
func TestReview2LastWordsAreKept(t *testing.T) { playCase(t, "5") }

// No response to a worker has a line over 64 KiB.
func TestReview2LinesToWorkersAreBounded(t *testing.T) { playCase(t, "6") }

// A job does not wait beside room while its team is under its limit.
func TestReview2FreeQuotaIsUsed(t *testing.T) { playCase(t, "7") }

// The end and the files of an output are kept where its bound is small.
func TestReview2SmallBoundIsKept(t *testing.T) { playCase(t, "8") }
