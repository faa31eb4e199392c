package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	demoControllerCount = 3
	demoStoreCount      = 2

	// demoRestartDelay is the delay before a killed process is restarted: long enough to
	// see how the others behave without it.
	demoRestartDelay = 8 * time.Second
	// demoStopTimeout is how long a process may take to exit before it is killed.
	demoStopTimeout = 5 * time.Second
	// demoStartTimeout is how long a process may take to start listening.
	demoStartTimeout = 15 * time.Second
	// demoStartPoll is the interval between checks of whether a process listens.
	demoStartPoll = 50 * time.Millisecond
)

// demoProcess is a process of the demo.
type demoProcess struct {
	name    string
	args    []string // program and arguments
	address string   // address that it listens on once it has started
	pid     int      // of the most recent start
}

// demoProcesses writes the operators' settings files and returns the processes in startup
// order.
func demoProcesses(dir string, programs map[string]string) ([]*demoProcess, error) {
	processes := []*demoProcess{{
		name:    "standin",
		address: demoCloud,
		args:    []string{programs["standin"], dir, "--capture", programs["capture"], "--store", demoStores},
	}}
	for i := range demoControllerCount {
		operatorFile, err := writeDemoOperator(dir, i)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("reed-%d", i)
		processes = append(processes, &demoProcess{
			name:    name,
			address: fmt.Sprintf("127.0.0.1:808%d", i),
			args:    []string{programs["reedtrack"], "--config", filepath.Join(dir, name+".toml"), "--operator", operatorFile},
		})
	}
	for i := range demoStoreCount {
		name, address := fmt.Sprintf("store-%d", i), fmt.Sprintf("127.0.0.1:811%d", i)
		processes = append(processes, &demoProcess{
			name:    name,
			address: address,
			args: []string{programs["outputs"], "serve",
				"--config", filepath.Join(dir, "reed-0.toml"),
				"--operator", demoOperatorFile(dir, 0),
				"--name", name,
				"--zone", string(rune('a' + i)),
				"--listen", address,
				"--data", filepath.Join(dir, name),
			},
		})
	}
	return processes, nil
}

func demoOperatorFile(dir string, index int) string {
	return filepath.Join(dir, fmt.Sprintf("operator-%d.xml", index))
}

// writeDemoOperator writes the operators' settings file of a controller and returns its
// path. The output stores read the section about outputs.
func writeDemoOperator(dir string, index int) (string, error) {
	file := demoOperatorFile(dir, index)
	text := fmt.Sprintf(`<reedtrack>
  <status-listen>127.0.0.1:810%d</status-listen>
  <outputs>
    <page>http://127.0.0.1:8110</page>
    <copies>2</copies>
    <repair><every-s>3</every-s><after-s>5</after-s></repair>
  </outputs>
</reedtrack>
`, index)
	return file, os.WriteFile(file, []byte(text), 0o644)
}

// logPath returns the path of the process's log file.
func (p *demoProcess) logPath(dir string) string { return filepath.Join(dir, p.name+".log") }

// start starts a process and restarts it whenever it exits, until ctx ends.
func (p *demoProcess) start(ctx context.Context, dir string, running *sync.WaitGroup) error {
	log, err := os.OpenFile(p.logPath(dir), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	started := make(chan error, 1)
	running.Add(1)
	go func() {
		defer running.Done()
		defer log.Close()
		// The kernel sends Pdeathsig when the thread that created the process ends, so
		// the thread must live as long as the process.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		p.supervise(ctx, log, started)
	}()
	return <-started
}

// supervise runs a process and restarts it until ctx ends. It sends the result of the
// first start on started.
func (p *demoProcess) supervise(ctx context.Context, log *os.File, started chan<- error) {
	for first := true; ; first = false {
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
		err := cmd.Start()
		if err == nil {
			p.pid = cmd.Process.Pid
		}
		if first {
			started <- err
		}
		if err != nil {
			return
		}
		unregister := context.AfterFunc(ctx, func() { stopProcess(cmd.Process) })
		err = cmd.Wait()
		if ended := !unregister(); ended {
			return
		}
		fmt.Printf("%s exited (%v), restarting in %v\n", p.name, err, demoRestartDelay)
		select {
		case <-ctx.Done():
			return
		case <-time.After(demoRestartDelay):
		}
		fmt.Printf("%s starts again\n", p.name)
	}
}

// stopProcess sends SIGTERM to a process and kills it if it does not exit in time.
func stopProcess(process *os.Process) {
	process.Signal(syscall.SIGTERM)
	time.AfterFunc(demoStopTimeout, func() { process.Kill() })
}

// waitListening waits until the process listens on its address.
func (p *demoProcess) waitListening(ctx context.Context) error {
	for deadline := time.Now().Add(demoStartTimeout); ; time.Sleep(demoStartPoll) {
		conn, err := net.Dial("tcp", p.address)
		if err == nil {
			conn.Close()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}
