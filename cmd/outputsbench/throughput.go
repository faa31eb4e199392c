package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"
)

const (
	plainBlockBytes = 512 * kibibyte // per write and sync of the plain loop
	refusedDelay    = 100 * time.Millisecond
	// settleDelay gives the stores time to finish writes that follow their response.
	settleDelay = 2 * time.Second
)

// throughputCase is a number of writers that append blocks of a given size to a number
// of stores. Every store holds a copy.
type throughputCase struct {
	stores     int
	writers    int
	blockBytes int
}

var throughputCases = []throughputCase{
	{stores: 1, writers: 1, blockBytes: 512 * kibibyte},
	{stores: 1, writers: 1000, blockBytes: 64 * kibibyte},
	{stores: 2, writers: 1, blockBytes: 512 * kibibyte},
	{stores: 2, writers: 1000, blockBytes: 64 * kibibyte},
}

// throughput compares the write rate of the stores with that of a plain loop of write
// and sync. It also prints the rate of that loop with compression.
func (o *options) throughput(ctx context.Context, dir string) error {
	text := logText(1, 64*mebibyte)
	plain, err := o.plainLoop(dir, text, false)
	if err != nil {
		return err
	}
	compressed, err := o.plainLoop(dir, text, true)
	if err != nil {
		return err
	}
	fmt.Printf("plain loop, write and sync of 512 KiB     %7.1f MB/s\n", plain)
	fmt.Printf("plain loop, compress, write and sync      %7.1f MB/s\n", compressed)
	for _, c := range throughputCases {
		if err := o.measureThroughput(ctx, dir, c, text, plain); err != nil {
			return err
		}
	}
	return o.measureOneTask(dir, text, plain)
}

// plainLoop returns the rate, in MB/s of text, at which a loop writes and syncs blocks.
func (o *options) plainLoop(dir string, text []byte, compress bool) (float64, error) {
	file, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		return 0, err
	}
	defer os.Remove(file.Name())
	defer file.Close()
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return 0, err
	}
	defer encoder.Close()
	start, written := time.Now(), 0
	for i := 0; time.Since(start) < o.RateDuration/2; i++ {
		offset := (i * plainBlockBytes) % (len(text) - plainBlockBytes)
		block := text[offset : offset+plainBlockBytes]
		written += len(block)
		if compress {
			block = encoder.EncodeAll(block, nil)
		}
		if _, err := file.Write(block); err != nil {
			return 0, err
		}
		if err := file.Sync(); err != nil {
			return 0, err
		}
	}
	return float64(written) / megabyte / time.Since(start).Seconds(), nil
}

// writeCounts counts the results of the appends of all writers.
type writeCounts struct {
	bytes   atomic.Int64 // data bytes acknowledged
	refused atomic.Int64 // appends that failed
}

// measureThroughput prints the rate of one case and its ratio to that of the plain loop.
func (o *options) measureThroughput(ctx context.Context, dir string, c throughputCase, text []byte, plain float64) error {
	caseDir := filepath.Join(dir, fmt.Sprintf("%d-%d", c.stores, c.writers))
	if err := os.MkdirAll(caseDir, 0o755); err != nil {
		return err
	}
	f, err := newStoreCluster(o.Bin, caseDir, c.stores, fmt.Sprintf("<copies>%d</copies>", c.stores)+noLimits)
	if err != nil {
		return err
	}
	defer f.stop()
	var counts writeCounts
	if err := o.runWriters(ctx, f, c, text, &counts); err != nil {
		return err
	}
	mbPerSecond := float64(counts.bytes.Load()) / megabyte / o.RateDuration.Seconds()
	memory, peak := f.stores[0].residentMB()
	time.Sleep(settleDelay)
	f.stop()
	diskPerByte := float64(f.stores[0].diskBytes()) / float64(counts.bytes.Load())
	fmt.Printf("%d store(s), %4d writer(s) of %3d KiB      %7.1f MB/s, %.2f of the plain loop; %.3f bytes on a disk per byte; memory %.0f MB, peak %.0f; %d refused\n",
		c.stores, c.writers, c.blockBytes/kibibyte, mbPerSecond, mbPerSecond/plain, diskPerByte, memory, peak, counts.refused.Load())
	os.RemoveAll(caseDir)
	return nil
}

// runWriters runs the writers of a case for RateDuration.
func (o *options) runWriters(ctx context.Context, f *storeCluster, c throughputCase, text []byte, counts *writeCounts) error {
	ctx, cancel := context.WithTimeout(ctx, o.RateDuration)
	defer cancel()
	var writers sync.WaitGroup
	defer writers.Wait()
	for i := range c.writers {
		w, err := newAttemptWriter(f.addresses(), i)
		if err != nil {
			cancel()
			return err
		}
		w.text, w.offset = text, (i*7919*kibibyte)%(len(text)-mebibyte)
		addr := w.stores.Addresses()[i%c.stores]
		writers.Go(func() { w.writeUntilDone(ctx, addr, c.blockBytes, counts) })
	}
	return nil
}

// writeUntilDone appends blocks sequentially until the context ends.
func (w *attemptWriter) writeUntilDone(ctx context.Context, addr string, blockBytes int, counts *writeCounts) {
	records := w.nextRecords(blockBytes)
	for ctx.Err() == nil {
		if err := w.append(ctx, addr, records); err != nil {
			if ctx.Err() == nil {
				counts.refused.Add(1)
				time.Sleep(refusedDelay)
			}
			continue
		}
		counts.bytes.Add(int64(blockBytes))
		records = w.nextRecords(blockBytes)
	}
}

// measureOneTask prints the rate of a task that writes at full speed through a capture
// and its spool.
func (o *options) measureOneTask(dir string, text []byte, plain float64) error {
	const repeats = 8
	file := filepath.Join(dir, "text")
	if err := os.WriteFile(file, bytes.Repeat(text, repeats), 0o644); err != nil {
		return err
	}
	f, err := newStoreCluster(o.Bin, dir, 1, "<copies>1</copies>"+noLimits)
	if err != nil {
		return err
	}
	defer f.stop()
	cmd := o.captureCommand(f, "--spool-mb", "100000", "--hold", "1h", "--drain", "5m", "--", "cat", file)
	start := time.Now()
	if err := cmd.Run(); err != nil {
		return err
	}
	size := repeats * len(text)
	mbPerSecond := float64(size) / megabyte / time.Since(start).Seconds()
	fmt.Printf("1 store, one task through capture, %d MB  %7.1f MB/s, %.2f of the plain loop\n", size/megabyte, mbPerSecond, mbPerSecond/plain)
	return nil
}

// captureCommand returns a capture command for one task that ships to the first store.
func (o *options) captureCommand(f *storeCluster, more ...string) *exec.Cmd {
	args := []string{"--job", benchJob, "--task", "0", "--try", "1", "--team", "red", "--to", f.stores[0].addr, "--spool", filepath.Join(f.dir, "spool")}
	cmd := exec.Command(o.capturePath(), append(args, more...)...)
	cmd.Stderr = os.Stderr
	return cmd
}
