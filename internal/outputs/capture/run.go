package capture

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/spool"
)

const (
	secretBytes  = 32
	runNameBytes = 6 // of the run ID, in the name of a spool: enough to distinguish the writers of one attempt
)

// Config configures the capture of a command.
type Config struct {
	Attempt       AttemptInfo // Run sets Secret and BegunNs
	Stores        *client.Client
	Spool         string        // parent directory of the machine's spools
	SpoolBytes    int64         // maximum size of this spool
	Limits        Limits        // combined with those of the stores; the lower one applies
	ArtefactBytes uint64        // maximum total size of the artefacts
	DrainTimeout  time.Duration // for shipping the remaining output after the command's end
	PipeTimeout   time.Duration // for output of child processes after the command's end
	Command       []string
}

// Run runs the command and ships its output. The status is the command's even if its
// output could not be kept or shipped; the error reports that.
func Run(ctx context.Context, c Config) (Status, error) {
	a := &c.Attempt
	a.Secret = make([]byte, secretBytes)
	rand.Read(a.Secret)
	a.BegunNs = time.Now().UnixNano()
	sp, err := openSpool(&c)
	if err != nil {
		// Run the task even though its output can't be kept.
		slog.Error("spool not opened", "spool", c.Spool, "err", err)
		status, _, startErr := execute(&c, nil)
		return status, errors.Join(fmt.Errorf("output not kept: %w", err), startErr)
	}
	defer sp.Close()
	adm := newAdmission(sp, c.Limits)
	ship, err := newShipper(sp, a, c.Stores)
	if err != nil {
		return Status{}, err
	}
	ship.added = adm.added
	ship.onLimits = func(o *pb.OpenResponse) {
		limits := c.Limits
		limits.Bytes = lowerLimit(limits.Bytes, o.AttemptBytes)
		limits.BytesPerSecond = lowerLimit(limits.BytesPerSecond, o.AttemptBytesPerS)
		adm.setLimits(limits)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended, shipped := make(chan struct{}), make(chan error, 1)
	go func() { shipped <- ship.openAndShip(ctx, ended) }()
	status, cause, runErr := execute(&c, adm.admit)
	adm.close()
	result := newResult(&c, sp.Dir(), status, cause)
	if err := writeJSON(filepath.Join(sp.Dir(), resultFile), result); err != nil {
		slog.Error("task result not written to the spool", "err", err)
	}
	close(ended)
	drain := time.AfterFunc(c.DrainTimeout, cancel)
	defer drain.Stop()
	if err = <-shipped; err == nil {
		err = ship.seal(ctx, result)
	}
	if err != nil {
		return status, errors.Join(runErr, fmt.Errorf("output not shipped in whole, the rest is in %s (capture --recover %s ships it): %w", sp.Dir(), c.Spool, err))
	}
	return status, errors.Join(runErr, os.RemoveAll(sp.Dir()))
}

// openSpool creates the spool of an attempt and writes the attempt's description to it.
func openSpool(c *Config) (*spool.Spool, error) {
	a := &c.Attempt
	run := hex.EncodeToString(outputs.RunFromSecret(a.Secret)[:runNameBytes])
	name := fmt.Sprintf("%s.%d.%d.%s", a.Job, a.Task, a.Try, run)
	sp, err := spool.Open(filepath.Join(c.Spool, name), c.SpoolBytes, tailBytes(c.Limits))
	if err != nil {
		return nil, err
	}
	if err := writeJSON(filepath.Join(sp.Dir(), attemptFile), a); err != nil {
		sp.Close()
		return nil, err
	}
	return sp, nil
}

// newResult returns the result of a command, and copies its artefacts to the spool.
func newResult(c *Config, spoolDir string, status Status, cause string) *Result {
	r := &Result{AtNs: time.Now().UnixNano(), Exit: int32(status.Exit), Cause: cause}
	if status.Signal != 0 {
		r.Signal = unix.SignalName(status.Signal)
	}
	r.Files, r.Refused = collect(c.Attempt.Dir, spoolDir, c.Attempt.Keep, c.ArtefactBytes)
	return r
}

// lowerLimit returns the lower of two limits; 0 means no limit.
func lowerLimit(a, b uint64) uint64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
