package disk

import (
	"context"
	"fmt"
	"testing"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// BenchmarkSlowWriters measures the disk space used per byte written by tasks that write a
// line at a time, before and after compaction.
func BenchmarkSlowWriters(b *testing.B) {
	for b.Loop() {
		clock := time.Unix(1e6, 0)
		s, err := Open(Options{Dir: b.TempDir(), CompactionDelay: time.Second, CheckpointInterval: time.Hour, Now: func() time.Time { return clock }})
		if err != nil {
			b.Fatal(err)
		}
		raw := 0
		const attempts, each = 200, 200
		for seq := range uint64(each) {
			var batch []*pb.Entry
			for task := range uint32(attempts) {
				key := outputs.Key(testAttempt(task, 1))
				data := fmt.Appendf(nil, "2026-12-01T03:%02d:%02d.%06dZ level=info worker=%d msg=\"solve maze step\" id=%08x took=%dus\n",
					seq/60, seq%60, seq*7919%1000000, task%16, seq*104729+uint64(task)*7, (seq+uint64(task))*31%100000)
				raw += len(data)
				batch = append(batch, &pb.Entry{Key: key, What: &pb.Entry_Block{Block: outputs.Pack([]*pb.Record{{Seq: seq, AtNs: int64(seq) * 1e9, Stream: 1, Data: data}}, false)}})
			}
			if err := s.Put(context.Background(), batch...); err != nil {
				b.Fatal(err)
			}
		}
		writtenBytes := s.Stats().DiskBytes
		s.Close()
		if s, err = Open(Options{Dir: s.Dir(), CompactionDelay: time.Second, CheckpointInterval: time.Hour, Now: func() time.Time { return clock }}); err != nil {
			b.Fatal(err)
		}
		s.Put(context.Background(), openEntry(outputs.Key(testAttempt(0, 9)))) // starts another log segment
		s.Checkpoint()
		clock = clock.Add(time.Hour)
		for worked := true; worked; {
			if worked, err = s.Compact(context.Background(), unlimited); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(writtenBytes)/float64(raw), "as-it-came/byte")
		b.ReportMetric(float64(s.Stats().DiskBytes)/float64(raw), "compacted/byte")
		s.Close()
	}
}
