package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// controllerProcess is a controller in a separate process that can be killed and
// restarted.
type controllerProcess struct {
	t            *testing.T
	listen       string // address for users and workers
	settingsFile string
	cmd          *exec.Cmd
	ended        chan struct{} // closed when the process has ended
	log          logBuffer
}

// start starts the process, or restarts it after it was killed.
func (p *controllerProcess) start() {
	p.t.Helper()
	cmd := exec.Command(os.Args[0], "--config", p.settingsFile)
	cmd.Env = append(os.Environ(), runAsDaemon+"=1")
	cmd.Stderr = &p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
}

// kill kills the process and reports an error if it has already exited by itself.
func (p *controllerProcess) kill() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Errorf("the process exited by itself: %v", p.cmd.ProcessState)
	default:
	}
	p.cmd.Process.Kill()
	<-p.ended
}

// isUp reports whether the controller's health check succeeds.
func (p *controllerProcess) isUp() bool {
	_, ok := p.get("/up")
	return ok
}

// job returns the controller's response for a job, or "" if there is none.
func (p *controllerProcess) job(id string) string {
	answer, _ := p.get("/v1/jobs/" + id)
	return answer
}

// get returns the response body, and whether there is a response with status 200.
func (p *controllerProcess) get(path string) (string, bool) {
	resp, err := http.Get("http://" + p.listen + path)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return "", false
	}
	return string(body), true
}

// logBuffer collects the log of all successive processes of a controller.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// hasLine reports whether a line contains all of the texts.
func (l *logBuffer) hasLine(texts ...string) bool {
	for line := range strings.Lines(l.String()) {
		missing := false
		for _, text := range texts {
			missing = missing || !strings.Contains(line, text)
		}
		if !missing {
			return true
		}
	}
	return false
}

// reserveAddress returns a free address with a loopback IP address that only the n-th
// listener of this test process uses. A port of 127.0.0.1 could be taken before a
// controller listens on it, since each connection of a test that runs concurrently uses
// such a port and holds it for a minute after it is closed.
func reserveAddress(t *testing.T, n int) string {
	t.Helper()
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8%250, pid%256, 1+n))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
