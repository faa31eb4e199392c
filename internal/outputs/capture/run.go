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
	runNameBytes = 6 // of the run, in the name of a spool: enough to tell writers of one attempt apart
)

// Config says what to run and where its output goes.
type Config struct {
	Attempt       AttemptInfo // without secret and beginning
	Stores        *client.Client
	Spool         string        // directory of all spools of the machine
	SpoolBytes    int64         // of this spool
	Limits        Limits        // until the stores tell theirs; the lower ones hold
	ArtefactBytes uint64        // of all artefacts together
	DrainTimeout  time.Duration // after the command's end, for what is not shipped yet
	PipeTimeout   time.Duration // after the command's end, for what its children still write
	Command       []string
}

// Run runs the command and ships what it writes. The status is the command's, whatever
// became of its output; the error says what did.
func Run(ctx context.Context, c Config) (Status, error) {
	a := &c.Attempt
	a.Secret = make([]byte, secretBytes)
	rand.Read(a.Secret)
	a.BegunNs = time.Now().UnixNano()
	sp, err := openSpool(&c)
	if err != nil {
		// The task is worth more than its output.
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

// openSpool makes the spool of an attempt, with its description.
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

// newResult describes how a command ended, and copies the files that it left.
func newResult(c *Config, spoolDir string, status Status, cause string) *Result {
	r := &Result{AtNs: time.Now().UnixNano(), Exit: int32(status.Exit), Cause: cause}
	if status.Signal != 0 {
		r.Signal = unix.SignalName(status.Signal)
	}
	r.Files, r.Refused = collect(c.Attempt.Dir, spoolDir, c.Attempt.Keep, c.ArtefactBytes)
	return r
}

// lowerLimit returns the lower of two limits, of which 0 is none.
func lowerLimit(a, b uint64) uint64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
