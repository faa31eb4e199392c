package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/client"
	pb "reedtrack/internal/outputs/outputsv1"
)

// benchJob is the job ID of all attempts.
const benchJob = "wk-000001"

// recordBytes is the size of full records, modelled on the reads of a capture from a
// pipe.
const recordBytes = 32 * kibibyte

// attemptWriter writes one attempt to the stores directly, without a spool.
type attemptWriter struct {
	stores  *client.Client
	attempt *pb.Attempt
	secret  []byte
	text    []byte // source of the records' data, repeated as needed
	offset  int    // position in text of the next record

	acked  uint64          // number of records acknowledged
	digest *outputs.Digest // of the acknowledged records
}

// newAttemptWriter creates a writer for a task, with a separate client.
func newAttemptWriter(addrs []string, task int) (*attemptWriter, error) {
	stores, err := client.New(addrs, "", "")
	if err != nil {
		return nil, err
	}
	return newAttemptWriterOver(stores, task), nil
}

func newAttemptWriterOver(stores *client.Client, task int) *attemptWriter {
	secret := fmt.Appendf(nil, "the secret of writer %08d", task)
	return &attemptWriter{
		stores:  stores,
		secret:  secret,
		digest:  outputs.NewDigest(),
		attempt: &pb.Attempt{Job: benchJob, Task: uint32(task), Try: 1, Team: "red", Machine: "bench", Stint: 1, Run: outputs.RunFromSecret(secret)},
	}
}

// nextRecords returns the next records, with size bytes of data in total.
func (w *attemptWriter) nextRecords(size int) []*pb.Record {
	var records []*pb.Record
	for size > 0 {
		n := min(size, recordBytes)
		if w.offset+n > len(w.text) {
			w.offset = 0
		}
		records = append(records, &pb.Record{
			Seq:    w.acked + uint64(len(records)),
			AtNs:   time.Now().UnixNano(),
			Stream: pb.Stream_STREAM_STDOUT,
			Data:   w.text[w.offset : w.offset+n],
		})
		w.offset += n
		size -= n
	}
	return records
}

// append sends records without retries, and counts them if they are acknowledged.
func (w *attemptWriter) append(ctx context.Context, addr string, records []*pb.Record) error {
	_, err := w.stores.Writer(addr).Append(ctx, connect.NewRequest(&pb.AppendRequest{
		Attempt: w.attempt,
		Secret:  w.secret,
		Block:   outputs.Pack(records, false),
		Meta:    &pb.Meta{JobClass: "bench"},
	}))
	if err != nil {
		return err
	}
	w.acked += uint64(len(records))
	for _, record := range records {
		w.digest.Add(record)
	}
	return nil
}

func (w *attemptWriter) seal(ctx context.Context, addr string, exit int32) error {
	_, err := w.stores.Writer(addr).Seal(ctx, connect.NewRequest(&pb.SealRequest{
		Attempt: w.attempt,
		Secret:  w.secret,
		Seal:    &pb.Seal{Records: w.acked, Exit: exit, Cause: "exit", Digest: w.digest.Sum()},
	}))
	return err
}

const (
	fillWorkers    = 16             // attempts written concurrently
	fillBlockBytes = 256 * kibibyte // per append
	fillRetries    = 50             // per failed append
	fillRetryDelay = 100 * time.Millisecond
	failedEvery    = 50 // one in this many attempts has exit status 1
)

// writeWhole writes and seals an attempt with size bytes of output.
func (w *attemptWriter) writeWhole(ctx context.Context, addr string, size int, exit int32) error {
	for left := size; left > 0; left -= fillBlockBytes {
		records := w.nextRecords(min(left, fillBlockBytes))
		if err := w.appendWithRetries(ctx, addr, records); err != nil {
			return err
		}
	}
	return w.seal(ctx, addr, exit)
}

func (w *attemptWriter) appendWithRetries(ctx context.Context, addr string, records []*pb.Record) error {
	for retry := 0; ; retry++ {
		err := w.append(ctx, addr, records)
		if err == nil || retry == fillRetries {
			return err
		}
		time.Sleep(fillRetryDelay)
	}
}

// fill writes attempts of attemptBytes each, total bytes in all, and returns the number
// of attempts.
func (f *storeCluster) fill(ctx context.Context, total int64, attemptBytes int) (int, error) {
	text := logText(2, 64*mebibyte)
	attempts := int(total / int64(attemptBytes))
	tasks := make(chan int, attempts)
	for task := range attempts {
		tasks <- task
	}
	close(tasks)
	failures := make([]error, fillWorkers)
	var workers sync.WaitGroup
	for i := range failures {
		workers.Go(func() { failures[i] = f.fillTasks(ctx, tasks, text, attemptBytes) })
	}
	workers.Wait()
	return attempts, errors.Join(failures...)
}

// fillTasks writes the attempts of the tasks from a channel and stops at the first
// error.
func (f *storeCluster) fillTasks(ctx context.Context, tasks <-chan int, text []byte, attemptBytes int) error {
	stores, err := client.New(f.addresses(), "", "")
	if err != nil {
		return err
	}
	for task := range tasks {
		w := newAttemptWriterOver(stores, task)
		w.text, w.offset = text, (task*104729)%(len(text)/2)
		addr := stores.Addresses()[task%len(f.stores)]
		exit := int32(task % failedEvery / (failedEvery - 1))
		if err := w.writeWhole(ctx, addr, attemptBytes, exit); err != nil {
			return err
		}
	}
	return nil
}

var logWords = strings.Fields("solve maze card limit proof check settle render cut piece step depth cache hit miss retry open close read write node edge cost path bound prune accept reject")

// logText generates lines of about 100 bytes that resemble the log of a program. The
// result is determined by the seed.
func logText(seed uint64, size int) []byte {
	rnd := rand.New(rand.NewPCG(seed, 1))
	word := func() string { return logWords[rnd.IntN(len(logWords))] }
	text := make([]byte, 0, size+128)
	at := time.Date(2026, 12, 1, 3, 0, 0, 0, time.UTC)
	for len(text) < size {
		at = at.Add(time.Duration(rnd.IntN(3000)) * time.Microsecond)
		text = at.AppendFormat(text, "2006-01-02T15:04:05.000000Z ")
		text = fmt.Appendf(text, "level=info worker=%d msg=\"%s %s %s\" id=%08x took=%dus n=%d\n",
			rnd.IntN(16), word(), word(), word(), rnd.Uint32(), rnd.IntN(100000), rnd.IntN(1000))
	}
	return text[:size]
}
