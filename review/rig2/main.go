//go:build review

// Command review2-rig plays the cases review/4 to review/8. Each case starts the project's
// programs as separate processes on loopback addresses, with stand-ins for the state
// service, the cloud, the workers and the network between a worker and the stores. It
// writes what was sent, answered and run to record.txt in the case's folder.
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// runLimit ends a case that hangs; a case may take 120 seconds.
const runLimit = 117 * time.Second

// caseRun is one run of a case.
type caseRun struct {
	root    string // of the repository
	temp    string
	trouble bool
	begun   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

var cases = map[string]func(*caseRun) int{
	"many":      playManyTasks,
	"quota":     playFreeQuota,
	"bound":     playSmallBound,
	"limit":     playOutputBeforeLimits,
	"lastwords": playLastWords,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "task" {
		taskMain(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2-rig CASE REPOSITORY FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play runs a case and ends everything that it started.
func play(name, root, folder string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(temp)
	r := &caseRun{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: record}
	defer r.stopAll()
	r.logf("case %s, disruption %v", name, r.trouble)
	result := make(chan int, 1)
	go func() { result <- cases[name](r) }()
	status := cannotRun
	select {
	case status = <-result:
	case <-time.After(runLimit):
		r.logf("the case did not end in time")
	}
	r.logf("result %d (0 held, 1 broken, 2 could not run)", status)
	return status
}

// logf adds a line to the record, with the seconds since the start.
func (r *caseRun) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.2f  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	line = strings.ReplaceAll(strings.ReplaceAll(line, r.temp, "TEMP"), r.root, ".")
	fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// fail records why the case can't run.
func (r *caseRun) fail(format string, args ...any) int {
	r.logf("cannot run: "+format, args...)
	return cannotRun
}

// waitFor calls check until it is true; it returns false after the time limit.
func waitFor(limit time.Duration, check func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}
