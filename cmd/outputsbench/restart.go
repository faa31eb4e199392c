package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	restartAttemptBytes = 4 * mebibyte
	lineBytes           = 100 // approximate length of a line of logText
	indexFile           = "index.db"
)

// restart measures the time until a killed store listens again: when killed right after
// writes, when killed a while later, and after the loss of its index.
func (o *options) restart(ctx context.Context, dir string) error {
	f, err := newStoreCluster(o.Bin, dir, 1, "<copies>1</copies>"+noLimits)
	if err != nil {
		return err
	}
	defer f.stop()
	size := int64(o.GB * gigabyte)
	if _, err := f.fill(ctx, size, restartAttemptBytes); err != nil {
		return err
	}
	store := f.stores[0]
	_, peak := store.residentMB()
	fmt.Printf("%.1f GB, %.1f million lines, %.0f MB on disk; peak memory %.0f MB\n",
		float64(size)/gigabyte, float64(size)/lineBytes/1e6, float64(store.diskBytes())/megabyte, peak)
	if err := measureRestart(store, "killed at once", false); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	if err := measureRestart(store, "killed later", false); err != nil {
		return err
	}
	return measureRestart(store, "index lost", true)
}

// measureRestart kills a store and prints the duration of its next start.
func measureRestart(store *storeProcess, label string, loseIndex bool) error {
	store.kill()
	if loseIndex {
		os.Remove(filepath.Join(store.dataDir(), indexFile))
	}
	start := time.Now()
	if err := store.start(); err != nil {
		return err
	}
	fmt.Printf("restart, %-16s %v\n", label, time.Since(start).Round(time.Millisecond))
	return nil
}
