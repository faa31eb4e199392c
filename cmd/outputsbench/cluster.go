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
	// joinDelay is the time after which every store has discovered all others.
	joinDelay = 3 * time.Second
	// startTimeout is the time limit for the start of a store. It allows for a store
	// that has lost its index and rebuilds it from all of its data.
	startTimeout = 60 * time.Second
)

// noLimits are settings with limits too high to take effect.
const noLimits = `<attempt><mb>100000</mb><kb-per-s>10000000</kb-per-s></attempt>`

// platformSettings is a template of the platform's settings, of which stores use those
// of the state service. Its parameter is the address of the state service.
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

// storeCluster is an emulated key-value store and several stores of outputs, which run as
// separate processes.
type storeCluster struct {
	bin          string // executable of the stores
	dir          string // contains each store's data directory and log
	platformFile string
	outputsFile  string
	stateServer  *http.Server
	stores       []*storeProcess
}

// newStoreCluster starts a number of stores in two zones. settings is the content of the
// element outputs in the stores' settings file.
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

// storeProcess is one store of a cluster.
type storeProcess struct {
	cluster *storeCluster
	name    string
	zone    string
	addr    string
	cmd     *exec.Cmd // nil if the store does not run
}

func (s *storeProcess) dataDir() string { return filepath.Join(s.cluster.dir, s.name) }

// newClient returns a client of this store only.
func (s *storeProcess) newClient() (*client.Client, error) {
	return client.New([]string{s.addr}, "", "")
}

// start starts the store and waits until it listens.
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
	return fmt.Errorf("store %s does not listen; its log is in %s", s.name, s.cluster.dir)
}

func (s *storeProcess) kill() {
	if s.cmd != nil {
		s.cmd.Process.Kill()
		s.cmd.Wait()
		s.cmd = nil
	}
}

// residentMB returns the store's current and peak resident memory in MB.
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

// diskBytes returns the total size of the files in the store's data directory.
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
