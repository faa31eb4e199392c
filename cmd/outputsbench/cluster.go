package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"reedtrack/internal/emulator"
	"reedtrack/internal/outputs/client"
)

const (
	// joinDelay is how long stores take until each has heard of all others.
	joinDelay = 3 * time.Second
	// startTimeout bounds the start of a store; one that has lost the index of much
	// data reads all of it.
	startTimeout = 60 * time.Second
)

// noLimits are settings under which stores take as much as they can.
const noLimits = `<attempt><mb>100000</mb><kb-per-s>10000000</kb-per-s></attempt>`

// platformSettings are those of the platform, of which stores use the state
// service's. The address of that is filled in.
const platformSettings = `host_name = "bench"
location = "a"
listen = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "%s"
[deployment]
count = 1
zones = ["a", "b"]
[deployment.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 24.0
[deployment.state]
rps = 5000.0
write_rps = 5000.0
value_kb = 32.0
txn_ops = 12
[deployment.cloud]
rps = 10.0
list_lag_s = 1.0
`

// storeCluster is an emulated key-value store and some stores of outputs as processes.
type storeCluster struct {
	bin          string // the program of the stores
	dir          string // holds each store's data directory and log
	platformFile string
	outputsFile  string
	stateServer  *http.Server
	stores       []*storeProcess
}

// newStoreCluster starts so many stores in two zones. The settings are the content of the
// element outputs.
func newStoreCluster(bin, dir string, stores int, settings string) (*storeCluster, error) {
	f := &storeCluster{
		bin:          bin,
		dir:          dir,
		platformFile: filepath.Join(dir, "platform.toml"),
		outputsFile:  filepath.Join(dir, "outputs.xml"),
		stateServer:  &http.Server{Handler: emulator.NewKVStore()},
	}
	if err := f.start(stores, settings); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *storeCluster) start(stores int, settings string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go f.stateServer.Serve(ln)
	if err := os.WriteFile(f.platformFile, fmt.Appendf(nil, platformSettings, ln.Addr()), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(f.outputsFile, []byte("<reedtrack><outputs>"+settings+"</outputs></reedtrack>"), 0o644); err != nil {
		return err
	}
	for i := range stores {
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		zone := string(rune('a' + i%2))
		f.stores = append(f.stores, &storeProcess{cluster: f, name: fmt.Sprint("s", i), zone: zone, addr: addr})
	}
	for _, s := range f.stores {
		if err := s.start(); err != nil {
			return err
		}
	}
	if stores > 1 {
		time.Sleep(joinDelay)
	}
	return nil
}

func (f *storeCluster) stop() {
	for _, s := range f.stores {
		s.kill()
	}
	f.stateServer.Close()
}

func (f *storeCluster) addresses() []string {
	var addrs []string
	for _, s := range f.stores {
		addrs = append(addrs, s.addr)
	}
	return addrs
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// storeProcess is a store of a fleet.
type storeProcess struct {
	cluster *storeCluster
	name    string
	zone    string
	addr    string
	cmd     *exec.Cmd // nil: it does not run
}

func (s *storeProcess) dataDir() string { return filepath.Join(s.cluster.dir, s.name) }

// newClient returns a client of this store alone.
func (s *storeProcess) newClient() (*client.Client, error) {
	return client.New([]string{s.addr}, "", "")
}

// start runs the store and returns when it listens.
func (s *storeProcess) start() error {
	log, err := os.OpenFile(s.dataDir()+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.cluster.bin, "serve", "--config", s.cluster.platformFile, "--operator", s.cluster.outputsFile,
		"--name", s.name, "--zone", s.zone, "--listen", s.addr, "--data", s.dataDir())
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.cmd = cmd
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", s.addr)
		if err == nil {
			conn.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not listen; its log is in %s", s.name, s.cluster.dir)
}

func (s *storeProcess) kill() {
	if s.cmd != nil {
		s.cmd.Process.Kill()
		s.cmd.Wait()
		s.cmd = nil
	}
}

// residentMB returns the store's resident memory in MB: now, and the most so far.
func (s *storeProcess) residentMB() (now, peak float64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}

// diskBytes is what the files of the store's data directory take.
func (s *storeProcess) diskBytes() int64 {
	var total int64
	filepath.Walk(s.dataDir(), func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			total += info.Size()
		}
		return nil
	})
	return total
}
