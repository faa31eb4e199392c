// Command standin emulates the key-value store, the cloud and its workers on the
// loopback interface, so that reedtrack can be tried out on one machine. It writes
// settings files for three controllers into a directory and runs until it is interrupted.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"reedtrack/internal/emulator"
	"reedtrack/internal/protocol"
)

const (
	cloudAddress = "127.0.0.1:8070"
	storeAddress = "127.0.0.1:8071"
	controllers  = 3

	// In seconds. Both are short so that failures are detected quickly.
	heartbeatS   = 1
	workerLeaseS = 10

	// captureDrain is how long a stopped capture program may continue to send output.
	captureDrain = "10s"
)

type flags struct {
	Dir     string   `arg:"" name:"dir" help:"Folder for the controllers' settings; made if need be."`
	Capture string   `name:"capture" placeholder:"PROGRAM" help:"Run the commands that jobs are described with through this program (cmd/capture)."`
	Stores  []string `name:"store" env:"REEDTRACK_STORE" placeholder:"HOST:PORT" help:"Addresses of the stores that keep their outputs."`
}

// machineTypes are the machine types of the emulated cloud.
var machineTypes = []protocol.MachineType{
	{Name: "small", Cores: 4, MemoryGB: 16, ImageCacheGB: 50, FetchGBPerSecond: 1, HourlyRate: 0.3, SpotHourlyRate: 0.1, BootSeconds: 3, Zones: []string{"a", "b"}},
	{Name: "big", Cores: 16, MemoryGB: 64, ImageCacheGB: 50, FetchGBPerSecond: 1, HourlyRate: 1.1, SpotHourlyRate: 0.4, BootSeconds: 5, Zones: []string{"a"}},
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Stand-ins for trying reedtrack out on one machine."))
	if err := run(&f); err != nil {
		log.Fatal(err)
	}
}

// run serves the emulators until the process is interrupted or one of them fails.
func run(f *flags) error {
	site := newSite()
	if err := writeSettings(f.Dir, site); err != nil {
		return err
	}
	fleet, err := newFleet(f, site)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := make(chan error, 2)
	go func() { failed <- http.ListenAndServe(storeAddress, emulator.NewSiteKVStore()) }()
	go func() { failed <- http.ListenAndServe(cloudAddress, fleet) }()
	fmt.Printf("state service on %s, cloud on %s\n", storeAddress, cloudAddress)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	fleet.Stop()
	return nil
}

// newSite returns the description of the deployment.
func newSite() *emulator.Site {
	site := &emulator.Site{
		Cloud:      cloudAddress,
		KVStore:    storeAddress,
		Zones:      []string{"a", "b"},
		ReportS:    heartbeatS,
		LeaseS:     workerLeaseS,
		CloudRPS:   10,
		ListLagS:   1,
		NextLimits: true,
	}
	for i := range controllers {
		site.Listen = append(site.Listen, fmt.Sprintf("127.0.0.1:808%d", i))
		site.PeerBind = append(site.PeerBind, fmt.Sprintf("127.0.0.1:809%d", i))
	}
	return site
}

// writeSettings writes the settings file of each controller into dir.
func writeSettings(dir string, site *emulator.Site) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i := range controllers {
		path := filepath.Join(dir, emulator.ControllerName(i)+".toml")
		if err := os.WriteFile(path, []byte(site.SettingsTOML(i)), 0o644); err != nil {
			return err
		}
		fmt.Println("wrote", path)
	}
	return nil
}

// newFleet returns the emulated fleet. Its tasks run real commands if a capture program is
// given.
func newFleet(f *flags, site *emulator.Site) (*emulator.Fleet, error) {
	addresses := map[string]string{}
	for i, address := range site.Listen {
		addresses[emulator.ControllerName(i)] = address
	}
	fleet := emulator.NewFleet(machineTypes, addresses, heartbeatS, workerLeaseS)
	if f.Capture == "" {
		return fleet, nil
	}
	if len(f.Stores) == 0 {
		return nil, errors.New("--capture requires --store, the addresses of the output stores")
	}
	work, err := filepath.Abs(filepath.Join(f.Dir, "work"))
	if err != nil {
		return nil, err
	}
	fleet.Runner = &emulator.Runner{Capture: f.Capture, Stores: f.Stores, Dir: work, Args: []string{"--drain", captureDrain}}
	return fleet, nil
}
