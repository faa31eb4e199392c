//go:build review

// Package review runs the scripts of the cases:
//
//	go test -tags review ./review -run TestCaseSick -v
//
// They need the build of deploy/service.toml and review/build.sh.
package review

import (
	"os/exec"
	"testing"
)

// runCase runs a case's script and fails if the rule was broken or the case could not run.
func runCase(t *testing.T, folder string) {
	t.Helper()
	if out, err := exec.Command("bash", folder+"/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("%s/run.sh: %v (1: the rule was broken, 2: it could not run); see %s/record.txt\n%s", folder, err, folder, out)
	}
}

func TestCaseSick(t *testing.T) { runCase(t, "1") }

func TestCaseLateCommand(t *testing.T) { runCase(t, "2") }

func TestCaseSlow(t *testing.T) { runCase(t, "3") }
