package emulator

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"

	"reedtrack/internal/protocol"
)

// Command is the command that the tasks of a job run. It is part of the job description,
// in addition to the protocol's fields.
type Command struct {
	Command []string `json:"command"` // program and arguments
	Keep    []string `json:"keep"`    // patterns of files to keep when a task ends
}

// Runner runs the commands of tasks under the program cmd/capture, which sends their
// output to output stores.
type Runner struct {
	Capture string   // path of the program
	Stores  []string // addresses of output stores
	Dir     string   // parent of the tasks' working directories and the machines' spools
	Args    []string // additional flags for the program
}

// attemptSpec describes a task attempt to run.
type attemptSpec struct {
	Job     *protocol.Job
	Task    int // index in the job
	Attempt uint64
	Machine string
	Session uint64 // of the worker
	Command Command
}

// start starts an attempt and calls ended with the exit cause when it ends. The returned
// function kills the attempt, waiting for it to start first if necessary.
func (r *Runner) start(a attemptSpec, ended func(cause string)) (kill func()) {
	dir := filepath.Join(r.Dir, a.Machine, fmt.Sprintf("%s.%d.%d", a.Job.ID, a.Task, a.Attempt))
	cmd := r.command(a, dir)
	started := make(chan struct{})
	go func() {
		// The kernel sends Pdeathsig when the thread that created the process ends, so
		// the thread must live as long as the process.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := os.MkdirAll(dir, 0o755)
		if err == nil {
			err = cmd.Start()
		}
		close(started)
		if err == nil {
			err = cmd.Wait()
		}
		if err != nil {
			slog.Debug("task failed", "job", a.Job.ID, "task", a.Task, "err", err)
			ended(protocol.CauseFailed)
			return
		}
		ended(protocol.CauseDone)
	}()
	return func() {
		<-started
		if cmd.Process != nil {
			cmd.Process.Kill()
		}
	}
}

// command returns the command of an attempt with working directory dir. Its process is
// killed when this process ends.
func (r *Runner) command(a attemptSpec, dir string) *exec.Cmd {
	args := []string{
		"--job", a.Job.ID,
		"--task", fmt.Sprint(a.Task),
		"--try", fmt.Sprint(a.Attempt),
		"--team", a.Job.Team,
		"--class", a.Job.Class,
		"--machine", a.Machine,
		"--stint", fmt.Sprint(a.Session),
		"--dir", dir,
		"--spool", filepath.Join(r.Dir, a.Machine, "spool"),
		"--to", strings.Join(r.Stores, ","),
	}
	for _, pattern := range a.Command.Keep {
		args = append(args, "--keep", pattern)
	}
	args = append(args, r.Args...)
	args = append(args, "--")
	args = append(args, a.Command.Command...)
	cmd := exec.Command(r.Capture, args...)
	cmd.Env = append(os.Environ(),
		"REEDTRACK_JOB="+a.Job.ID,
		fmt.Sprintf("REEDTRACK_TASK=%d", a.Task),
		fmt.Sprintf("REEDTRACK_TRY=%d", a.Attempt),
	)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}
