//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lastWords is the last line that a task writes, from which people learn why it crashed.
const lastWords = "LAST WORDS: maze 17 has no solution"

// taskStatus is the exit status of a task that crashes.
const taskStatus = 3

// taskMain is the program of a task: task WAIT BYTES LINGER. It waits, writes that many bytes
// as fast as it can, then a file and its last line, and fails, after LINGER.
func taskMain(args []string) {
	wait, _ := time.ParseDuration(args[0])
	size, _ := strconv.Atoi(args[1])
	linger, _ := time.ParseDuration(args[2])
	time.Sleep(wait)
	line := []byte(strings.Repeat("solving maze 17, step after step. ", 30) + "\n")
	block := bytes.Repeat(line, 64)
	tail := "\n" + lastWords + "\n"
	for left := size - len(tail); left > 0; {
		n, err := os.Stdout.Write(block[:min(left, len(block))])
		if err != nil {
			os.Exit(1)
		}
		left -= n
	}
	os.WriteFile("proof.txt", []byte("proof of maze 17\n"), 0o644)
	os.Stdout.WriteString(tail)
	time.Sleep(linger)
	os.Exit(taskStatus)
}

// defaultBound is the default bound of an attempt's output, in MiB.
const defaultBound = 64

// startStores starts the state service and two output stores, in two zones, with the
// settings of deploy/outputs.xml that matter here (all are the defaults), but for the bound of
// an attempt's output in MiB.
func startStores(r *caseRun, bound int) (stores []string, err error) {
	state, err := startState(r)
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(8)
	if err != nil {
		return nil, err
	}
	settings, err := r.writeFile("reed-0.toml", controllerSettings(0, addresses[:3], addresses[3:6], addresses[6], state))
	if err != nil {
		return nil, err
	}
	operator, err := r.writeFile("outputs.xml", fmt.Sprintf("<reedtrack><outputs><copies>2</copies><attempt><mb>%d</mb><kb-per-s>1024</kb-per-s><artefact-mb>1024</artefact-mb></attempt></outputs></reedtrack>\n", bound))
	if err != nil {
		return nil, err
	}
	stores = addresses[6:]
	for i, zone := range []string{"saskatoon", "regina"} {
		name := "store-" + strconv.Itoa(i)
		if err := r.start(name, "outputs", "serve", "--config", settings, "--operator", operator, "--name", name, "--zone", zone,
			"--listen", stores[i], "--data", filepath.Join(r.temp, name)); err != nil {
			return nil, err
		}
	}
	ready := waitFor(15*time.Second, func() bool {
		for _, address := range stores {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return false
			}
			c.Close()
		}
		return true
	})
	if !ready {
		return nil, os.ErrDeadlineExceeded
	}
	time.Sleep(2 * time.Second) // until both are members
	return stores, nil
}

// holdingNetwork is the network between a worker and the stores. Until a given time it holds
// back what the worker sends, and delivers it in order afterwards.
type holdingNetwork struct {
	mu    sync.Mutex
	until time.Time
}

func (h *holdingNetwork) holdFor(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Now().Add(d)
}

func (h *holdingNetwork) wait() {
	h.mu.Lock()
	until := h.until
	h.mu.Unlock()
	time.Sleep(time.Until(until))
}

// link forwards connections to a store, and returns its own address.
func (h *holdingNetwork) link(store string) (string, error) {
	l, address, err := listen()
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go h.forward(in, store)
		}
	}()
	return address, nil
}

func (h *holdingNetwork) forward(in net.Conn, store string) {
	defer in.Close()
	h.wait()
	out, err := net.Dial("tcp", store)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		io.Copy(in, out)
		in.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			h.wait()
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// capture runs a task as a worker does, through capture.
func (r *caseRun) capture(job, spool string, to []string, flags []string, task ...string) (status int, err error) {
	dir := filepath.Join(r.temp, "work-"+job)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	args := []string{"--job", job, "--task", "0", "--try", "1", "--team", "mazers", "--class", "solvecheck", "--machine", "host-000001",
		"--dir", dir, "--keep", "proof.txt", "--spool", spool, "--to", strings.Join(to, ",")}
	args = append(append(args, flags...), "--", filepath.Join(r.root, "target", "review2-rig"), "task")
	_, status = r.run(60*time.Second, "capture", append(args, task...)...)
	return status, nil
}

// readBack reads what the stores have of a task, as its owner does, and reports whether its
// last line and its file are there.
func (r *caseRun) readBack(job string, stores []string, wantFile bool) bool {
	at := strings.Join(stores, ",")
	list, _ := r.run(10*time.Second, "outputs", "logs", job, "--store", at)
	for _, line := range strings.Split(strings.TrimSpace(string(list)), "\n") {
		r.logf("    %s", line)
	}
	log, _ := r.run(20*time.Second, "outputs", "logs", job+"/0", "--raw", "--store", at)
	hasLast := bytes.Contains(log, []byte(lastWords))
	r.logf("the log read back has %d bytes; its last line is there: %v", len(log), hasLast)
	if !wantFile {
		return hasLast
	}
	file, _ := r.run(10*time.Second, "outputs", "fetch", job+"/0", "proof.txt", "-o", "-", "--store", at)
	hasFile := string(file) == "proof of maze 17\n"
	r.logf("the file that the task left can be fetched: %v", hasFile)
	return hasLast && hasFile
}

// playOutputBeforeLimits: the network between a worker and the stores holds packets back for
// 6 s while a task writes 120 MB and crashes.
func playOutputBeforeLimits(r *caseRun) int {
	stores, err := startStores(r, defaultBound)
	if err != nil {
		return r.fail("%v", err)
	}
	network := new(holdingNetwork)
	var to []string
	for _, store := range stores {
		address, err := network.link(store)
		if err != nil {
			return r.fail("%v", err)
		}
		to = append(to, address)
	}
	const hold = 6 * time.Second
	if r.trouble {
		network.holdFor(hold)
		r.logf("the network between the worker and the stores holds packets back for %v", hold)
	}
	const job = "wk-000501"
	spool := filepath.Join(r.temp, "spool")
	status, err := r.capture(job, spool, to, nil, "0s", "120000000", "0s")
	if err != nil || status != taskStatus {
		return r.fail("the task did not run: %v, status %d", err, status)
	}
	r.recoverSpool(spool, to)
	if r.readBack(job, stores, true) {
		return ruleHeld
	}
	return ruleBroken
}

// recoverSpool does what a worker does with what a capture has left. It is repeated, in case
// that a first try has ended for the stores' rate only.
func (r *caseRun) recoverSpool(spool string, to []string) {
	for range 2 {
		if left, _ := os.ReadDir(spool); len(left) > 0 {
			r.run(40*time.Second, "capture", "--recover", spool, "--to", strings.Join(to, ","))
		}
	}
}

// playSmallBound: the operators keep 2 MiB of an attempt's output, and a task writes 20 MB and
// crashes. No machine, store or network has a fault.
func playSmallBound(r *caseRun) int {
	stores, err := startStores(r, 2)
	if err != nil {
		return r.fail("%v", err)
	}
	size := "20000000"
	if !r.trouble {
		size = "1000000"
	}
	const job = "wk-000701"
	spool := filepath.Join(r.temp, "spool")
	// The task waits until the capture has the bound from the stores.
	status, err := r.capture(job, spool, stores, nil, "2s", size, "0s")
	if err != nil || status != taskStatus {
		return r.fail("the task did not run: %v, status %d", err, status)
	}
	r.recoverSpool(spool, stores)
	if r.readBack(job, stores, true) {
		return ruleHeld
	}
	return ruleBroken
}

// playLastWords: a task writes faster than its bound of 28 KB a second allows, and crashes.
// The capture holds it up for a moment, as it should, and drops the end of its output.
func playLastWords(r *caseRun) int {
	stores, err := startStores(r, defaultBound)
	if err != nil {
		return r.fail("%v", err)
	}
	// Output beyond what may be written at once (8 MiB and 64 KiB) is held up. What is over it
	// is less than two pipes hold.
	const size = 8<<20 + 64<<10 + 126<<10
	linger := "12s" // without the disruption the task lives on after it wrote
	if r.trouble {
		linger = "0s"
	}
	const job = "wk-000601"
	status, err := r.capture(job, filepath.Join(r.temp, "spool"), stores, []string{"--rate-kb", "28"}, "2s", strconv.Itoa(size), linger)
	if err != nil || status != taskStatus {
		return r.fail("the task did not run: %v, status %d", err, status)
	}
	if r.readBack(job, stores, true) {
		return ruleHeld
	}
	return ruleBroken
}
