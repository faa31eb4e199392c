package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// demoCmd starts a complete deployment on the loopback interface. Each component is a
// separate process of the production program, so that any of them can be killed.
type demoCmd struct {
	Dir      string        `name:"dir" placeholder:"DIR" help:"Where settings, logs and outputs go, and stay; a temporary directory if absent."`
	Duration time.Duration `name:"for" help:"End by itself after this time."`
}

// Addresses of the demo. They must match those in cmd/standin and demoProcesses.
const (
	demoControllers = "127.0.0.1:8080,127.0.0.1:8081,127.0.0.1:8082"
	demoStores      = "127.0.0.1:8110,127.0.0.1:8111"
	demoStatusPage  = "http://127.0.0.1:8100"
	demoCloud       = "127.0.0.1:8070"
)

// demoPorts are the ports used by the processes of the demo.
var demoPorts = []int{8070, 8071, 8080, 8081, 8082, 8090, 8091, 8092, 8100, 8101, 8102, 8110, 8111}

// Run runs the demo until it is interrupted or its duration has passed.
func (d *demoCmd) Run() error {
	if err := checkDemoPorts(); err != nil {
		return usageError{err}
	}
	programs, err := findDemoPrograms()
	if err != nil {
		return usageError{err}
	}
	dir, removeDir, err := d.makeDir()
	if err != nil {
		return err
	}
	defer removeDir()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if d.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Duration)
		defer cancel()
	}
	processes, err := demoProcesses(dir, programs)
	if err != nil {
		return err
	}
	// The processes are stopped together when the demo ends, independently of ctx, so
	// that a demo interrupted during startup also stops those already started.
	processCtx, stopProcesses := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() {
		fmt.Println("\nending")
		stopProcesses()
		running.Wait()
	}()
	for _, p := range processes {
		if err := p.start(processCtx, dir, &running); err != nil {
			return err
		}
		if err := p.waitListening(ctx); err != nil {
			return fmt.Errorf("%s: %w; its log is %s", p.name, err, p.logPath(dir))
		}
		fmt.Printf("%-8s at %s, process %d\n", p.name, p.address, p.pid)
	}
	if err := submitDemoJobs(ctx); err != nil {
		return err
	}
	printDemoGuide(dir, programs, processes)
	<-ctx.Done()
	return nil
}

// checkDemoPorts returns an error if a port is in use.
func checkDemoPorts() error {
	for _, port := range demoPorts {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return fmt.Errorf("the demo needs port %d, which is in use: %w", port, err)
		}
		listener.Close()
	}
	return nil
}

// makeDir creates the demo's directory if necessary. It returns the absolute path and a
// function that removes the directory if it is temporary.
func (d *demoCmd) makeDir() (dir string, remove func(), err error) {
	dir, remove = d.Dir, func() {}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "reedtrack-demo-"); err != nil {
			return "", nil, err
		}
		temporary := dir
		remove = func() { os.RemoveAll(temporary) }
	}
	if dir, err = filepath.Abs(dir); err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		remove()
		return "", nil, err
	}
	return dir, remove, nil
}

// printDemoGuide prints commands to try while the demo runs.
func printDemoGuide(dir string, programs map[string]string, processes []*demoProcess) {
	pids := map[string]int{}
	for _, p := range processes {
		pids[p.name] = p.pid
	}
	fmt.Print(strings.NewReplacer(
		"{page}", demoStatusPage,
		"{dir}", dir,
		"{controllers}", demoControllers,
		"{stores}", demoStores,
		"{reedtrack}", programs["reedtrack"],
		"{store pid}", fmt.Sprint(pids["store-0"]),
		"{controller pid}", fmt.Sprint(pids["reed-1"]),
		"{restart delay}", demoRestartDelay.String(),
	).Replace(demoGuide))
}

const demoGuide = `
operators' page   {page}        outputs   http://127.0.0.1:8110/jobs/wk-000001
logs and outputs  {dir}

In another terminal:

    export REEDTRACK_SERVER={controllers} REEDTRACK_STORE={stores}
    {reedtrack} status wk-000001 --wait
    {reedtrack} logs wk-000003/0 --follow        # while it runs
    {reedtrack} logs wk-000002                   # each attempt; some fail and are tried again
    {reedtrack} logs wk-000002 --failed
    {reedtrack} logs wk-000002/0 --try all
    {reedtrack} artefacts wk-000001
    {reedtrack} fetch wk-000001/3 proofs/3.txt -o -
    curl http://127.0.0.1:8111/jobs/wk-000001/3/log?tail=5

Kill something, and look again; what was killed comes back after {restart delay}:

    kill -9 {store pid}     # a store
    kill -9 {controller pid}     # a controller

Ctrl-C ends it all.
`
