//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// process is a program of the project that a case has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a program of target/ that runs until the case ends. Its log goes to the
// case's temporary folder.
func (r *caseRun) start(name, program string, args ...string) error {
	path := filepath.Join(r.root, "target", program)
	log, err := os.Create(filepath.Join(r.temp, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	started := make(chan error, 1)
	go func() {
		// Pdeathsig is sent when the thread that started the process ends.
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			cmd.Wait()
			close(p.ended)
		}
		log.Close()
	}()
	if err := <-started; err != nil {
		return err
	}
	r.logf("started %s: target/%s %s", name, program, strings.Join(args, " "))
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	return nil
}

// stopAll kills what the case has started.
func (r *caseRun) stopAll() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Kill()
		<-p.ended
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		exec.Command("cp", "-r", r.temp, keep).Run()
	}
}

// run runs a program of target/ to its end and returns its standard output and status.
func (r *caseRun) run(limit time.Duration, program string, args ...string) (output []byte, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(r.root, "target", program), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := cmd.Run()
	status = 0
	if err != nil {
		status = -1
		if exit := new(exec.ExitError); errors.As(err, &exit) {
			status = exit.ExitCode()
		}
	}
	r.logf("ran target/%s %s: status %d, %d bytes", program, strings.Join(args, " "), status, stdout.Len())
	for _, line := range strings.Split(strings.TrimSpace(stderr.String()), "\n") {
		if line != "" {
			r.logf("    %.300s", line)
		}
	}
	return stdout.Bytes(), status
}

// freeAddresses returns loopback addresses with ports that are free now.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	return l, l.Addr().String(), nil
}

// writeFile writes a file in the case's temporary folder and returns its path.
func (r *caseRun) writeFile(name, text string) (string, error) {
	path := filepath.Join(r.temp, name)
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// controllerSettings returns the settings file of a controller: the values of
// prairie-puzzle-trust in DEPLOY, on loopback addresses.
func controllerSettings(index int, listen, peers []string, cloud, state string) string {
	zones := []string{"saskatoon", "regina", "saskatoon"}
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = \"reed-%d\"\nlocation = %q\nlisten = %q\npeer_bind = %q\n", index, zones[index], listen[index], peers[index])
	for i, address := range peers {
		if i != index {
			fmt.Fprintf(&b, "[[siblings]]\nhost_name = \"reed-%d\"\nlocation = %q\naddress = %q\n", i, zones[i], address)
		}
	}
	fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n", cloud, state)
	b.WriteString(`[deployment]
count = 3
zones = ["regina", "saskatoon"]
clock_error_ms = 250.0
[[deployment.teams]]
name = "cutters"
cpus = 56.0
cpus_max = 144.0
gpus = 0.0
gpus_max = 0.0
[[deployment.teams]]
name = "mazers"
cpus = 72.0
cpus_max = 112.0
gpus = 0.0
gpus_max = 0.0
[[deployment.teams]]
name = "proofers"
cpus = 112.0
cpus_max = 168.0
gpus = 0.0
gpus_max = 0.0
[deployment.workers]
report_s = 3.0
lease_s = 29.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 54.0
[deployment.state]
rps = 250.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 12
[deployment.cloud]
rps = 10.0
list_lag_s = 4.0
[deployment.limits]
cpu_share = 0.144
memory_mb = 234.0
max_sockets = 2500
`)
	return b.String()
}
