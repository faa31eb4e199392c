package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/outputs/disk"
)

// progressInterval is the time between two progress messages of a long command.
const progressInterval = 2 * time.Second

// verifyCmd implements the command verify.
type verifyCmd struct {
	Data string `arg:"" help:"Directory of a store that does not run."`
}

// verifyReport is the output of verify. The fields are in alphabetical order.
type verifyReport struct {
	Attempts    uint64 `json:"attempts"`
	Bytes       uint64 `json:"bytes"`
	Damaged     int    `json:"damaged"`
	Entries     int    `json:"entries"`
	NotAsSealed int    `json:"not_as_sealed"` // attempts whose digest does not match their seal
	Segments    int    `json:"segments"`
}

// Run reads and verifies all data of a store.
func (v *verifyCmd) Run() error {
	if _, err := os.Stat(v.Data); err != nil {
		return &config.FieldError{File: "outputs verify", Field: v.Data, Reason: err.Error()}
	}
	store, err := disk.Open(disk.Options{Dir: v.Data})
	if err != nil {
		return err
	}
	defer store.Close()
	bytesRead, printed := 0, time.Now()
	found, err := store.Scrub(context.Background(), func(_ context.Context, n int) error {
		bytesRead += n
		if time.Since(printed) > progressInterval {
			printed = time.Now()
			fmt.Fprintf(os.Stderr, "%d MB read\n", bytesRead>>20)
		}
		return nil
	})
	if err != nil {
		return err
	}
	stats := store.Stats()
	report, err := json.Marshal(verifyReport{
		Attempts:    stats.Attempts,
		Bytes:       stats.DiskBytes,
		Damaged:     found.Damaged,
		Entries:     found.Entries,
		NotAsSealed: len(found.Mismatched),
		Segments:    stats.Segments,
	})
	if err != nil {
		return err
	}
	fmt.Println(string(report))
	if damaged := found.Damaged + len(found.Mismatched); damaged > 0 {
		return fmt.Errorf("%d entries or attempts are damaged; when the store runs, it replaces them with copies from other stores", damaged)
	}
	return nil
}
