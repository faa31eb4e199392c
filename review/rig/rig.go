//go:build review

// Command rig plays the cases of the review: it starts controllers as separate processes, by
// the command of the deploy file, together with stand-ins of the store, the cloud, the workers
// and the users, all on loopback addresses and the real clock.
//
// The store is the project's own emulator. The cloud and the workers are written after the
// protocol page: see cloud.go and worker.go.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"reedtrack/internal/emulator"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// site is the deployment that a case plays. The numbers are those of the site file
// prairie-puzzle-trust.toml.
type site struct {
	zones       []string // of the controllers
	reportS     float64
	leaseS      float64
	cancelS     float64
	valueKB     int
	txnOps      int
	writeRPS    int
	listLagS    float64
	memoryMB    float64
	maxSockets  int
	breeds      []breed
	capacity    map[kind]int
	upAtStart   []kind
	teams       []team
	objectives  string
	controllers int
}

// team is a team's guarantee and limit in CPUs.
type team struct {
	name          string
	cpus, cpusMax float64
}

// rig is one run of a case.
type rig struct {
	site    *site
	trouble bool
	folder  string // of the case
	tmp     string
	began   time.Time

	recordMu sync.Mutex
	record   *os.File

	// mu guards all fields below and the state of the workers.
	mu       sync.Mutex
	jobs     map[string]*job
	cloud    *cloud
	broken   []string
	nodes    []*node
	listener []io.Closer
	store    *emulator.KVStore
}

// node is a controller process.
type node struct {
	name, listen, peer, settings string
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

// job is a submitted job as its user and the workers know it.
type job struct {
	ID        string   `json:"id"`
	Class     string   `json:"jobclass"`
	Owner     string   `json:"owner"`
	Shape     string   `json:"shape"`
	Urgency   string   `json:"urgency"`
	Parts     int      `json:"parts"`
	Cores     float64  `json:"cores"`
	Cards     float64  `json:"cards"`
	RAM       float64  `json:"ram_gb"`
	Bundle    string   `json:"bundle"`
	Pull      float64  `json:"pull_gb"`
	Breeds    []string `json:"breeds"`
	Yard      *string  `json:"yard"`
	OneZone   bool     `json:"one_zone"`
	Spread    bool     `json:"spread"`
	Loaners   bool     `json:"loaners"`
	Guess     float64  `json:"guess_s"`
	SaveEvery float64  `json:"save_every_s"`
	SaveTakes float64  `json:"save_takes_s"`
	Due       *float64 `json:"due_s"`

	runS       float64 // how long a task runs
	acceptedAt time.Time
	status     string // last answer to its user
	doneTasks  map[int]bool
	saved      map[int]float64 // seconds of run time in the checkpoints, by task
	starts     int
}

func main() {
	log.SetFlags(0)
	if len(os.Args) != 3 {
		log.Print("usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		log.Printf("no case %q", os.Args[1])
		os.Exit(exitNotRun)
	}
	r, err := newRig(play.site(), os.Args[2])
	if err != nil {
		log.Print(err)
		os.Exit(exitNotRun)
	}
	code := exitNotRun
	err = r.start()
	if err == nil {
		code, err = play.run(r)
	}
	if err != nil {
		r.note("not run: %v", err)
		code = exitNotRun
	}
	r.stop()
	r.note("exit %d", code)
	os.Exit(code)
}

// play is a case: the deployment, and the run, which returns an exit code.
type play struct {
	site func() *site
	run  func(r *rig) (int, error)
}

func newRig(s *site, folder string) (*rig, error) {
	tmp, err := os.MkdirTemp("", "reedtrack-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &rig{
		site:    s,
		trouble: os.Getenv("TROUBLE") != "0",
		folder:  folder,
		tmp:     tmp,
		began:   time.Now(),
		record:  record,
		jobs:    map[string]*job{},
	}, nil
}

// note writes a line to record.txt, with the seconds since the run began.
func (r *rig) note(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a stand-in on a free loopback port and returns its address.
func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go server.Serve(l)
	r.mu.Lock()
	r.listener = append(r.listener, server)
	r.mu.Unlock()
	return l.Addr().String(), nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts the stand-ins and the controllers, and waits until one of them is ready.
func (r *rig) start() error {
	r.store = emulator.NewKVStore()
	r.store.SetLimits(r.site.valueKB<<10, r.site.txnOps, r.site.writeRPS)
	storeAddress, err := r.serve(r.store)
	if err != nil {
		return err
	}
	r.cloud = newCloud(r)
	cloudAddress, err := r.serve(r.cloud)
	if err != nil {
		return err
	}
	for i := range r.site.controllers {
		n := &node{name: fmt.Sprintf("reed-%d", i)}
		if n.listen, err = freeAddress(); err != nil {
			return err
		}
		if n.peer, err = freeAddress(); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	for i, n := range r.nodes {
		n.settings = filepath.Join(r.tmp, n.name+".toml")
		text := r.settingsTOML(i, storeAddress, cloudAddress)
		if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := r.startNode(n); err != nil {
			return err
		}
	}
	r.cloud.bootInitial()
	return r.awaitReady(15 * time.Second)
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startNode starts a controller by the command of the deploy file.
func (r *rig) startNode(n *node) error {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return errors.New("deploy/service.toml has no run command")
	}
	words := append(strings.Fields(string(match[1])), n.settings)
	n.cmd = exec.Command(words[0], words[1:]...)
	logFile, err := os.OpenFile(filepath.Join(r.tmp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd.Stderr = logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	r.note("controller %s started: %s", n.name, strings.Join(words[:len(words)-1], " "))
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() {
		err := cmd.Wait()
		r.note("controller %s ended: %v", n.name, err)
		logFile.Close()
		close(exited)
	}()
	return nil
}

// stop ends all processes and stand-ins.
func (r *rig) stop() {
	for _, n := range r.nodes {
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
	r.mu.Lock()
	if r.cloud != nil {
		r.cloud.ended = true
	}
	listeners := r.listener
	r.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.tmp)
	} else {
		log.Print(r.tmp)
	}
}

// awaitReady waits until every controller answers GET /up with 200.
func (r *rig) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range r.nodes {
		for !isUp(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.note("all controllers answer /up with 200")
	return nil
}

func isUp(n *node) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.listen + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// settingsTOML returns the settings of a controller, as DEPLOY shows them.
func (r *rig) settingsTOML(index int, store, cloudAddress string) string {
	s := r.site
	var b strings.Builder
	self := r.nodes[index]
	fmt.Fprintf(&b, "host_name = %q\nlocation = %q\nlisten = %q\npeer_bind = %q\n", self.name, s.zones[index%len(s.zones)], self.listen, self.peer)
	for i, n := range r.nodes {
		if i != index {
			fmt.Fprintf(&b, "\n[[siblings]]\nhost_name = %q\nlocation = %q\naddress = %q\n", n.name, s.zones[i%len(s.zones)], n.peer)
		}
	}
	fmt.Fprintf(&b, "\n[services]\ncloud = %q\nstate = %q\n", cloudAddress, store)
	fmt.Fprintf(&b, "\n[deployment]\ncount = %d\nzones = [\"regina\", \"saskatoon\"]\nclock_error_ms = 250.0\n", len(r.nodes))
	for _, t := range s.teams {
		fmt.Fprintf(&b, "\n[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpusMax)
	}
	b.WriteString(s.objectives)
	fmt.Fprintf(&b, "\n[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 4.0\ncancel_s = %.1f\n", s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(&b, "\n[deployment.state]\nrps = 250.0\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", float64(s.writeRPS), float64(s.valueKB), s.txnOps)
	fmt.Fprintf(&b, "\n[deployment.cloud]\nrps = 10.0\nlist_lag_s = %.1f\n", s.listLagS)
	fmt.Fprintf(&b, "\n[deployment.limits]\ncpu_share = 0.144\nmemory_mb = %.1f\nmax_sockets = %d\n", s.memoryMB, s.maxSockets)
	return b.String()
}

// request sends a user's request to a controller, as the load balancer would choose one, and
// returns the status and the body. Status 0: no response.
func (r *rig) request(method, path string, body []byte, timeout time.Duration) (int, []byte, string) {
	n := r.nodes[rand.IntN(len(r.nodes))]
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+n.listen+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, n.name
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, n.name
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, n.name
	}
	return resp.StatusCode, raw, n.name
}

// submit submits a job until it is accepted, as users do: 5 s for a response, a second
// between two attempts, 60 s in all.
func (r *rig) submit(j *job) error {
	raw, err := json.Marshal(j)
	if err != nil {
		return err
	}
	j.doneTasks, j.saved = map[int]bool{}, map[int]float64{}
	r.mu.Lock()
	r.jobs[j.ID] = j // its description can be fetched from now on
	r.mu.Unlock()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Second) {
		status, answer, name := r.request(http.MethodPost, "/v1/jobs", raw, 5*time.Second)
		r.note("user: POST /v1/jobs %s at %s: %d %s", raw, name, status, bytes.TrimSpace(answer))
		switch status {
		case http.StatusOK, http.StatusCreated:
			r.mu.Lock()
			j.acceptedAt, j.status = time.Now(), "pending"
			r.mu.Unlock()
			return nil
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return fmt.Errorf("%s is refused: %d %s", j.ID, status, answer)
		}
	}
	return fmt.Errorf("%s is not accepted", j.ID)
}

// poll asks for a job's status once.
func (r *rig) poll(j *job) string {
	status, answer, name := r.request(http.MethodGet, "/v1/jobs/"+j.ID, nil, 2*time.Second)
	var reply struct {
		Status        string
		Done, Running int
	}
	if status == http.StatusOK && json.Unmarshal(answer, &reply) == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if j.status != reply.Status {
			r.note("user: GET /v1/jobs/%s at %s: %d %s", j.ID, name, status, bytes.TrimSpace(answer))
		}
		j.status = reply.Status
		return reply.Status
	}
	r.note("user: GET /v1/jobs/%s at %s: %d %s", j.ID, name, status, bytes.TrimSpace(answer))
	return ""
}
