package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// programDir is the directory of the programs under test, which are built once.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "outputs-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programDir = dir
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

var buildPrograms = sync.OnceValue(func() error {
	for _, name := range []string{"outputs", "capture"} {
		if out, err := exec.Command("go", "build", "-o", programPath(name), "reedtrack/cmd/"+name).CombinedOutput(); err != nil {
			return fmt.Errorf("%w\n%s", err, out)
		}
	}
	return nil
})

func programPath(name string) string { return filepath.Join(programDir, name) }

// storeProcess is a store that runs as a separate process, with the spool directory of
// its captures.
type storeProcess struct {
	t     *testing.T
	dir   string
	spool string
	addr  string
	args  []string
	cmd   *exec.Cmd
	log   bytes.Buffer
}

// startStoreProcess starts a single store, with one copy.
func startStoreProcess(t *testing.T) *storeProcess {
	t.Helper()
	if err := buildPrograms(); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := &storeProcess{t: t, dir: dir, spool: filepath.Join(dir, "spool"), addr: freeAddress(t)}
	operator := filepath.Join(dir, "outputs.xml")
	const settings = "<reedtrack><outputs><copies>1</copies><attempt><kb-per-s>100000</kb-per-s></attempt></outputs></reedtrack>"
	if err := os.WriteFile(operator, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	s.args = []string{"serve", "--operator", operator, "--name", "s0", "--zone", "a", "--listen", s.addr, "--data", s.dataDir()}
	s.start()
	t.Cleanup(s.kill)
	return s
}

// freeAddress returns a free address. It is not on 127.0.0.1, where connections of
// other tests could take the port before it is used.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.200:0", 1+os.Getpid()>>8%250, os.Getpid()%256))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (s *storeProcess) dataDir() string { return filepath.Join(s.dir, "data") }

// start runs the store and waits until it listens.
func (s *storeProcess) start() {
	s.t.Helper()
	s.cmd = exec.Command(programPath("outputs"), s.args...)
	s.cmd.Stderr = &s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", s.addr)
		if err == nil {
			conn.Close()
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("store does not listen; its log: %s", s.log.String())
		}
	}
}

func (s *storeProcess) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

// capture returns a capture command for a task of team red, with a token in its
// environment.
func (s *storeProcess) capture(job string, more ...string) *exec.Cmd {
	args := []string{"--job", job, "--task", "0", "--try", "1", "--team", "red", "--to", s.addr, "--spool", s.spool, "--dir", s.dir}
	cmd := exec.Command(programPath("capture"), append(args, more...)...)
	cmd.Env = append(os.Environ(), "REEDTRACK_TOKEN=not-for-tasks")
	return cmd
}

// read runs a reader command on the store and returns its output.
func (s *storeProcess) read(args ...string) string {
	s.t.Helper()
	cmd := exec.Command(programPath("outputs"), append(args, "--store", s.addr)...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		s.t.Errorf("%v: %v\n%s", args, err, stderr.String())
	}
	return string(out)
}

// exitState describes how a process has ended.
type exitState struct {
	status int
	signal syscall.Signal // 0 if the process exited
}

func runToEnd(cmd *exec.Cmd) exitState {
	cmd.Run()
	wait := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if wait.Signaled() {
		return exitState{signal: wait.Signal()}
	}
	return exitState{status: wait.ExitStatus()}
}

func TestCapturePassesExitStatusOn(t *testing.T) {
	store := startStoreProcess(t)
	scripts := map[string]exitState{
		"exit 0":                     {status: 0},
		"exit 7":                     {status: 7},
		"exit 255":                   {status: 255},
		"kill -TERM $$":              {signal: syscall.SIGTERM},
		"kill -KILL $$":              {signal: syscall.SIGKILL},
		"kill -SEGV $$":              {signal: syscall.SIGSEGV},
		`test -z "$REEDTRACK_TOKEN"`: {status: 0}, // the task must not see the token
	}
	for script, want := range scripts {
		if got := runToEnd(store.capture("wk-000001", "--", "sh", "-c", script)); got != want {
			t.Errorf("%s: ended with %+v, want %+v", script, got, want)
		}
	}
	if got := runToEnd(store.capture("wk-000001", "--", "no-such-program")); got.status != 127 {
		t.Errorf("no such program: ended with %+v, want status 127", got)
	}
	if got := runToEnd(store.capture("wk-1x", "--", "true")); got.status != 2 {
		t.Errorf("invalid job: ended with %+v, want status 2", got)
	}
}

func TestSignalIsForwardedToTask(t *testing.T) {
	store := startStoreProcess(t)
	cmd := store.capture("wk-000002", "--", "sh", "-c", "trap 'echo caught; exit 9' TERM; echo ready; while :; do sleep 0.05; done")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Wait()
	if cmd.ProcessState.ExitCode() != 9 {
		t.Errorf("the task's status after a signal: %v, want 9", cmd.ProcessState)
	}
}

// When a capture is killed while the store is unavailable, its task is killed too, and
// --recover ships the output written so far.
func TestKilledCaptureLeavesRecoverableSpool(t *testing.T) {
	store := startStoreProcess(t)
	store.kill()
	pidFile := filepath.Join(store.dir, "pid")
	cmd := store.capture("wk-000003", "--", "sh", "-c", "echo $$ > "+pidFile+"; i=0; while :; do i=$((i+1)); echo line $i; done")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond)
	cmd.Process.Kill()
	cmd.Wait()
	if pid := readPID(pidFile); pid == 0 || !endsSoon(pid) {
		t.Errorf("task process %d still runs after its capture was killed", pid)
	}
	store.start()
	out, err := exec.Command(programPath("capture"), "--recover", store.spool, "--to", store.addr).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "1 attempts shipped") {
		t.Errorf("recover: %v\n%s", err, out)
	}
	lines := strings.Split(strings.TrimSpace(store.read("logs", "wk-000003/0")), "\n")
	if len(lines) < 100 {
		t.Errorf("%d lines recovered, want at least 100", len(lines))
	}
	for i, line := range lines[:len(lines)-1] { // the last line may be truncated
		if line != fmt.Sprintf("line %d", i+1) {
			t.Fatalf("line %d is %q", i+1, line)
		}
	}
	if list := store.read("logs", "wk-000003"); !strings.Contains(list, "end not seen") {
		t.Errorf("listing does not contain \"end not seen\":\n%s", list)
	}
}

// readPID reads a process ID from a file; 0 if there is none.
func readPID(file string) int {
	raw, _ := os.ReadFile(file)
	pid, _ := strconv.Atoi(strings.TrimSpace(string(raw)))
	return pid
}

// endsSoon reports whether a process ends within a second; a zombie counts as ended.
func endsSoon(pid int) bool {
	for range 100 {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || strings.Contains(string(stat), ") Z ") {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// A store that is repeatedly killed while a task writes loses no acknowledged output.
func TestKilledStoreLosesNothingAcknowledged(t *testing.T) {
	const lines = 3000
	store := startStoreProcess(t)
	script := fmt.Sprintf("i=0; while [ $i -lt %d ]; do i=$((i+1)); echo line $i; [ $((i%%10)) = 0 ] && sleep 0.005; done", lines)
	cmd := store.capture("wk-000004", "--drain", "20s", "--", "sh", "-c", script)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for i := range 8 {
		time.Sleep(time.Duration(60+17*i) * time.Millisecond)
		store.kill()
		store.start()
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v\n%s", err, stderr.String())
	}
	var want strings.Builder
	for i := range lines {
		fmt.Fprintf(&want, "line %d\n", i+1)
	}
	if got := store.read("logs", "wk-000004/0"); got != want.String() {
		t.Errorf("output has %d bytes, want %d", len(got), want.Len())
	}
	store.kill()
	out, err := exec.Command(programPath("outputs"), "verify", store.dataDir()).Output()
	if err != nil || !strings.Contains(string(out), `"damaged":0`) {
		t.Errorf("verify: %s, %v", out, err)
	}
}
