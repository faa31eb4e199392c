package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// repairSettings make repair start without delay and run at full speed.
	repairSettings = "<lease-s>3</lease-s><repair><every-s>1</every-s><after-s>0</after-s><mb-per-s>1000</mb-per-s></repair>"
	// leaseSeconds is the lease in repairSettings. Repair starts only once the lease of
	// the lost member has expired.
	leaseSeconds = 3

	repairTotalBytes   = 2 * gigabyte
	repairAttemptBytes = mebibyte
	repairTimeout      = 5 * time.Minute
	repairPollInterval = 100 * time.Millisecond

	lateTask = 99999 // written while a member is down
)

// repair measures the time to restore all copies after a member is lost with its disk,
// and the time until a returning member that lacks one attempt is up to date.
func (o *options) repair(ctx context.Context, dir string) error {
	f, err := newStoreCluster(o.Bin, dir, 3, repairSettings+noLimits)
	if err != nil {
		return err
	}
	defer f.stop()
	attempts, err := f.fill(ctx, repairTotalBytes, repairAttemptBytes)
	if err != nil {
		return err
	}
	if _, err := f.awaitTwoCopies(ctx, attempts); err != nil {
		return err
	}
	if err := f.measureLostMember(ctx, f.stores[2], attempts); err != nil {
		return err
	}
	return f.measureReturningMember(ctx, f.stores[1], attempts)
}

// awaitTwoCopies waits until the given number of attempts have two copies, and returns
// the time that took.
func (f *storeCluster) awaitTwoCopies(ctx context.Context, attempts int) (time.Duration, error) {
	stores, err := f.stores[0].newClient()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	for end := start.Add(repairTimeout); time.Now().Before(end); time.Sleep(repairPollInterval) {
		held := 0
		for summary, err := range stores.ListAll(ctx, &pb.ListRequest{Job: benchJob, Limit: largePageSize}, map[string]bool{}) {
			if err == nil && summary.Copies >= 2 {
				held++
			}
		}
		if held == attempts {
			return time.Since(start).Round(10 * time.Millisecond), nil
		}
	}
	return 0, errors.New("attempts still lack copies after 5 minutes")
}

func (f *storeCluster) measureLostMember(ctx context.Context, lost *storeProcess, attempts int) error {
	lost.kill()
	lostMB := float64(lost.diskBytes()) / megabyte
	os.RemoveAll(lost.dataDir())
	duration, err := f.awaitTwoCopies(ctx, attempts)
	if err != nil {
		return err
	}
	copying := max(0.1, duration.Seconds()-leaseSeconds)
	fmt.Printf("one of three members lost, with %.0f MB (%d attempts in total): %v until everything has two copies, 3 s of it its lease: %.0f MB/s\n",
		lostMB, attempts, duration, lostMB/copying)
	return nil
}

func (f *storeCluster) measureReturningMember(ctx context.Context, away *storeProcess, attempts int) error {
	away.kill()
	if err := f.writeLateAttempt(ctx); err != nil {
		return err
	}
	if err := away.start(); err != nil {
		return err
	}
	attempts++
	duration, err := f.awaitTwoCopies(ctx, attempts)
	if err != nil {
		return err
	}
	fmt.Printf("a member returned that lacks one of %d attempts: %v until that one has two copies\n", attempts, duration)
	return nil
}

// writeLateAttempt writes an attempt to the first store.
func (f *storeCluster) writeLateAttempt(ctx context.Context) error {
	w, err := newAttemptWriter(f.addresses()[:1], lateTask)
	if err != nil {
		return err
	}
	w.text = logText(3, mebibyte)
	addr := w.stores.Addresses()[0]
	if err := w.append(ctx, addr, w.nextRecords(100*kibibyte)); err != nil {
		return err
	}
	return w.seal(ctx, addr, 0)
}
