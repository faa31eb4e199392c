// Command outputsbench benchmarks stores of outputs on one machine.
//
// The stores run as separate processes. Throughput is reported relative to a plain
// loop of write and sync on the same disk in the same run, so that results from
// different machines can be compared. The benchmark kills is a test: it repeatedly
// kills stores and checks that no acknowledged output is lost.
//
//	go build -o target/ ./cmd/... && target/outputsbench --bin target/outputs all
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/alecthomas/kong"
)

// Units of sizes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	megabyte = 1e6
	gigabyte = 1e9
)

// allBenchmarks selects every benchmark on the command line.
const allBenchmarks = "all"

// options defines the command line.
type options struct {
	Bin          string        `default:"target/outputs" help:"The program that is measured."`
	Dir          string        `default:"" help:"Where its data goes; a temporary directory if absent."`
	RateDuration time.Duration `name:"seconds" default:"10s" help:"How long each figure that is a rate is measured."`
	Kills        int           `default:"1000" help:"How often stores are killed."`
	Tasks        int           `default:"100000" help:"Tasks of the large job."`
	GB           float64       `default:"1" help:"Output for the restart, in GB of 100 B lines."`
	Benchmarks   []string      `name:"what" arg:"" optional:"" help:"throughput, latency, restart, large, repair, kills, or all."`
}

// benchmark is one benchmark. Its function prints the results and stores its data in
// dir.
type benchmark struct {
	name string
	run  func(o *options, ctx context.Context, dir string) error
}

var benchmarks = []benchmark{
	{"throughput", (*options).throughput},
	{"latency", (*options).latency},
	{"restart", (*options).restart},
	{"large", (*options).largeJob},
	{"repair", (*options).repair},
	{"kills", (*options).kills},
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures stores of task outputs."))
	if err := o.run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "outputsbench:", err)
		os.Exit(1)
	}
}

// run runs the selected benchmarks. After a failure it keeps the data and logs of the
// stores.
func (o *options) run(ctx context.Context) error {
	dir := o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "outputsbench-"); err != nil {
			return err
		}
	}
	fmt.Printf("%d processors, %s, data in %s\n", runtime.NumCPU(), runtime.Version(), dir)
	for _, b := range benchmarks {
		if !o.isSelected(b.name) {
			continue
		}
		fmt.Printf("\n== %s\n", b.name)
		subDir := filepath.Join(dir, b.name)
		if err := os.MkdirAll(subDir, 0o755); err != nil {
			return err
		}
		if err := b.run(o, ctx, subDir); err != nil {
			return fmt.Errorf("%s: %w", b.name, err)
		}
		os.RemoveAll(subDir)
	}
	if o.Dir == "" {
		os.RemoveAll(dir)
	}
	return nil
}

func (o *options) isSelected(name string) bool {
	return len(o.Benchmarks) == 0 || slices.Contains(o.Benchmarks, allBenchmarks) || slices.Contains(o.Benchmarks, name)
}

// capturePath returns the path of the program capture, which is expected in the same
// directory as the measured program.
func (o *options) capturePath() string { return filepath.Join(filepath.Dir(o.Bin), "capture") }

// percentile returns the quantile of a list of durations for a share from 0 to 1. It
// sorts the list in place.
func percentile(durations []time.Duration, share float64) time.Duration {
	slices.Sort(durations)
	if len(durations) == 0 {
		return 0
	}
	i := min(len(durations)-1, int(share*float64(len(durations))))
	return durations[i].Round(10 * time.Microsecond)
}
