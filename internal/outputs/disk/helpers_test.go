package disk

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

func testAttempt(task uint32, try uint64) *pb.Attempt {
	return &pb.Attempt{Job: "wk-000007", Task: task, Try: try, Team: "red", Machine: "host-1", Stint: 1, Run: outputs.RunFromSecret([]byte("a secret of a writer"))}
}

// testRecord returns the record of an attempt with a sequence number. It is deterministic.
func testRecord(key []byte, seq uint64) *pb.Record {
	r := rand.New(rand.NewPCG(seq, uint64(len(key))+uint64(key[len(key)-30])))
	stream := pb.Stream_STREAM_STDOUT
	if r.IntN(4) == 0 {
		stream = pb.Stream_STREAM_STDERR
	}
	return &pb.Record{Seq: seq, AtNs: int64(seq+1) * 1e6, Stream: stream, Data: fmt.Appendf(nil, "%x line %d of %x\n", r.Uint64(), seq, key[10:14])}
}

func testRecords(key []byte, from, to uint64) []*pb.Record {
	var list []*pb.Record
	for i := from; i < to; i++ {
		list = append(list, testRecord(key, i))
	}
	return list
}

func blockEntry(key []byte, from, to uint64) *pb.Entry {
	return &pb.Entry{Key: key, What: &pb.Entry_Block{Block: outputs.Pack(testRecords(key, from, to), false)}}
}

func openEntry(key []byte) *pb.Entry {
	return &pb.Entry{Key: key, What: &pb.Entry_Open{Open: &pb.Meta{JobClass: "c", BegunNs: 1}}}
}

func sealEntry(key []byte, records uint64, artefacts ...*pb.Artefact) *pb.Entry {
	d := outputs.NewDigest()
	for _, r := range testRecords(key, 0, records) {
		d.Add(r)
	}
	seal := &pb.Seal{Records: records, EndedNs: 9, Exit: int32(records % 3), Cause: "exit", Digest: d.Sum(), Artefacts: artefacts}
	return &pb.Entry{Key: key, What: &pb.Entry_Seal{Seal: seal}}
}

func dropEntry(key []byte) *pb.Entry {
	return &pb.Entry{Key: key, What: &pb.Entry_Drop{Drop: &pb.Drop{Reason: "retention"}}}
}

func testChunk(i int) *pb.Chunk {
	return outputs.PackChunk(bytes.Repeat([]byte(fmt.Sprintf("chunk %d ", i)), 50))
}

// unlimited is a Limiter that never waits.
func unlimited(context.Context, int) error { return nil }

// openTestStore opens a store with small segments that makes checkpoints only on request.
func openTestStore(t testing.TB, dir string, fs FS, clock *time.Time) *Store {
	t.Helper()
	s, err := Open(Options{
		Dir:                dir,
		FS:                 fs,
		SegmentBytes:       1500,
		CheckpointInterval: time.Hour,
		CompactionDelay:    time.Second,
		OrphanRetention:    200 * time.Second,
		Now:                func() time.Time { return *clock },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// compactAll compacts until no segment needs compaction.
func compactAll(t testing.TB, s *Store) {
	t.Helper()
	for {
		worked, err := s.Compact(context.Background(), unlimited)
		if err != nil {
			t.Fatal(err)
		}
		if !worked {
			return
		}
	}
}

// removeIndex removes the index of a closed store, so that it is rebuilt at the next open.
func removeIndex(t testing.TB, dir string) {
	t.Helper()
	if err := os.Remove(filepath.Join(dir, indexName)); err != nil {
		t.Fatal(err)
	}
}
