package capture

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Exit statuses of a command that did not exit by itself, by the convention of shells.
const (
	exitNotExecutable = 126
	exitNotFound      = 127
	exitSignalBase    = 128 // plus the signal number
)

// Status is the exit status of a command.
type Status struct {
	Exit   int
	Signal syscall.Signal // 0: none
}

// execute runs the command and passes its output to admit. If admit is nil, the command
// inherits standard output and error.
func execute(c *Config, admit func(*pb.Record)) (status Status, cause string, err error) {
	cmd := exec.Command(c.Command[0], c.Command[1:]...)
	cmd.Dir, cmd.Stdin = c.Attempt.Dir, os.Stdin
	// A task must not outlive its capture. The kernel sends Pdeathsig when the thread that
	// created the process exits, so the goroutine keeps that thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var pipes outputPipes
	if admit == nil {
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	} else if err := pipes.connect(cmd, admit); err != nil {
		return Status{Exit: exitNotExecutable}, causeNotStarted, err
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGQUIT, syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Stop(signals)
	err = cmd.Start()
	pipes.closeWriters()
	if err != nil {
		pipes.drain(c.PipeTimeout)
		if admit != nil {
			message := fmt.Appendf(nil, "reedtrack capture: %v\n", err)
			admit(&pb.Record{AtNs: time.Now().UnixNano(), Stream: pb.Stream_STREAM_STDERR, Data: message})
		}
		return Status{Exit: startFailureExit(err)}, causeNotStarted, err
	}
	ended := make(chan struct{})
	go forwardSignals(cmd.Process, signals, ended)
	err = cmd.Wait()
	close(ended)
	pipes.drain(c.PipeTimeout)
	status, cause = endStatus(cmd.ProcessState)
	return status, cause, nil
}

// startFailureExit returns the exit status that reports a failed start.
func startFailureExit(err error) int {
	if errors.Is(err, exec.ErrNotFound) || errors.Is(err, os.ErrNotExist) {
		return exitNotFound
	}
	return exitNotExecutable
}

// endStatus returns the status of a command that has ended, and the cause of its end.
func endStatus(state *os.ProcessState) (Status, string) {
	ws, _ := state.Sys().(syscall.WaitStatus)
	if ws.Signaled() {
		return Status{Exit: exitSignalBase + int(ws.Signal()), Signal: ws.Signal()}, causeSignal
	}
	return Status{Exit: ws.ExitStatus()}, causeExit
}

// forwardSignals forwards signals to a process until it has ended.
func forwardSignals(process *os.Process, signals <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case sig := <-signals:
			process.Signal(sig)
		case <-ended:
			return
		}
	}
}

// outputPipes are the pipes from a command's standard output and error.
type outputPipes struct {
	readers, writers []*os.File
	wg               sync.WaitGroup // of the reading goroutines
}

// connect creates the pipes of a command that has not been started, and starts reading
// them.
func (p *outputPipes) connect(cmd *exec.Cmd, admit func(*pb.Record)) error {
	for _, stream := range []pb.Stream{pb.Stream_STREAM_STDOUT, pb.Stream_STREAM_STDERR} {
		r, w, err := os.Pipe()
		if err != nil {
			p.closeWriters()
			return err
		}
		if stream == pb.Stream_STREAM_STDOUT {
			cmd.Stdout = w
		} else {
			cmd.Stderr = w
		}
		p.readers, p.writers = append(p.readers, r), append(p.writers, w)
		p.wg.Go(func() { readPipe(r, stream, admit) })
	}
	return nil
}

// closeWriters closes this process's copies of the write ends, so that readers get EOF
// when the command ends.
func (p *outputPipes) closeWriters() {
	for _, w := range p.writers {
		w.Close()
	}
}

// drain reads the remaining data and closes the pipes. Child processes of the command may
// still hold the write ends open, so it stops after the timeout.
func (p *outputPipes) drain(timeout time.Duration) {
	for _, r := range p.readers {
		r.SetReadDeadline(time.Now().Add(timeout))
	}
	p.wg.Wait()
	for _, r := range p.readers {
		r.Close()
	}
}

// readPipe passes the data from a pipe to admit, one record for each read.
func readPipe(r *os.File, stream pb.Stream, admit func(*pb.Record)) {
	buf := make([]byte, outputs.MaxRecord)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			admit(&pb.Record{AtNs: time.Now().UnixNano(), Stream: stream, Data: append([]byte(nil), buf[:n]...)})
		}
		if err != nil {
			return
		}
	}
}
