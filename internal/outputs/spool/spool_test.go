package spool

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

func testLine(i int) *pb.Record {
	return &pb.Record{AtNs: int64(i + 1), Stream: pb.Stream_STREAM_STDOUT, Data: fmt.Appendf(nil, "line %06d\n", i)}
}

// readAll reads all records from a sequence number on.
func readAll(t *testing.T, s *Spool, from uint64) []*pb.Record {
	t.Helper()
	var out []*pb.Record
	for {
		list, err := s.Read(from, 300)
		if err != nil {
			t.Fatal(err)
		}
		if len(list) == 0 {
			return out
		}
		for _, r := range list {
			if r.Seq != from {
				t.Fatalf("record %d where %d comes next", r.Seq, from)
			}
			from++
		}
		out = append(out, list...)
	}
}

// checkAccounted checks that lines, and gaps that count the missing ones, make up the
// lines 0 to n-1 in order, and returns the number of lines.
func checkAccounted(t *testing.T, list []*pb.Record, n int) int {
	t.Helper()
	next, lines := 0, 0
	for _, r := range list {
		if r.Stream == pb.Stream_STREAM_GAP {
			var g pb.Gap
			if err := proto.Unmarshal(r.Data, &g); err != nil {
				t.Fatal(err)
			}
			if g.StdoutBytes != 12*g.StdoutLines {
				t.Fatalf("a gap of %d bytes and %d lines", g.StdoutBytes, g.StdoutLines)
			}
			next += int(g.StdoutLines)
			continue
		}
		if want := testLine(next); !bytes.Equal(r.Data, want.Data) {
			t.Fatalf("got line %q, want %q", r.Data, want.Data)
		}
		next++
		lines++
	}
	if next != n {
		t.Fatalf("lines and gaps make up %d of %d", next, n)
	}
	return lines
}

// Random sequences of writes to the queue and the tail, acknowledgements and process
// kills: each line comes exactly once and in order, or is counted by a gap.
func TestSpoolAccountsForEveryLine(t *testing.T) {
	for seed := range uint64(150) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		dir := filepath.Join(t.TempDir(), "s")
		s, err := Open(dir, 6000, 600)
		if err != nil {
			t.Fatal(err)
		}
		var got []*pb.Record
		n, acked := 0, uint64(0)
		for range 300 {
			switch k := rnd.IntN(20); {
			case k < 13:
				spilling, _ := s.Tail()
				if !spilling && rnd.IntN(30) > 0 {
					err = s.Add(testLine(n))
				} else {
					err = s.AddToTail(testLine(n), "spool")
				}
				if err != nil {
					t.Fatal(err)
				}
				n++
			case k < 14 && rnd.IntN(8) == 0:
				if err := s.EndTail(); err != nil {
					t.Fatal(err)
				}
			case k < 16:
				list, err := s.Read(acked, 100)
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, list...)
				acked += uint64(len(list))
				if err := s.Ack(acked); err != nil {
					t.Fatal(err)
				}
			case k < 17 && rnd.IntN(6) == 0: // the process is killed and restarted
				s.Close()
				if s, err = Open(dir, 6000, 600); err != nil {
					t.Fatal(err)
				}
			}
		}
		s.EndTail()
		got = append(got, readAll(t, s, acked)...)
		checkAccounted(t, got, n)
		s.Close()
	}
}

// A process killed in the middle of a write leaves a torn record. All records before it
// are kept, and new records can be added.
func TestSpoolAfterTornWrite(t *testing.T) {
	for cut := range 40 {
		t.Run(fmt.Sprintf("%d bytes", cut), func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "s")
			s, err := Open(dir, 1<<20, 1000)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 10 {
				s.Add(testLine(i))
			}
			s.Close()
			files, _ := filepath.Glob(filepath.Join(dir, "q-*"))
			info, _ := os.Stat(files[0])
			os.Truncate(files[0], info.Size()-int64(cut))
			if s, err = Open(dir, 1<<20, 1000); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			frameBytes := int(info.Size() / 10)
			if got := len(readAll(t, s, 0)); got != 10-(cut+frameBytes-1)/frameBytes {
				t.Fatalf("%d records", got)
			}
			if err := s.Add(testLine(99)); err != nil {
				t.Fatal(err)
			}
			list := readAll(t, s, 0)
			if !bytes.Equal(list[len(list)-1].Data, testLine(99).Data) {
				t.Fatal("the record added after the torn write is missing")
			}
		})
	}
}

// A damaged record is replaced by a gap, and the records after it are kept.
func TestSpoolAfterDamage(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "s")
	s, err := Open(dir, 40000, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 900 {
		if err := s.Add(testLine(i)); err != nil {
			break
		}
	}
	s.Close()
	files, _ := filepath.Glob(filepath.Join(dir, "q-*"))
	raw, _ := os.ReadFile(files[0])
	raw[len(raw)/2] ^= 1
	os.WriteFile(files[0], raw, 0o600)
	if s, err = Open(dir, 40000, 1000); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	gaps := 0
	for _, r := range readAll(t, s, 0) {
		if r.Stream == pb.Stream_STREAM_GAP {
			gaps++
		}
	}
	if gaps != 1 {
		t.Errorf("%d gaps for one damaged record", gaps)
	}
}

// Only one process can open a spool, and its size limit holds on disk.
func TestSpoolIsLockedAndBounded(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "s")
	s, err := Open(dir, 200<<10, 20<<10)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if _, err := Open(dir, 1<<20, 1000); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
	long := &pb.Record{Stream: pb.Stream_STREAM_STDERR, Data: []byte(strings.Repeat("x", 5000))}
	for range 500 {
		if spilling, _ := s.Tail(); spilling || s.Add(long) != nil {
			if err := s.AddToTail(long, "spool"); err != nil {
				t.Fatal(err)
			}
		}
	}
	size := int64(0)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		st, _ := e.Info()
		size += st.Size()
	}
	if size > 200<<10 {
		t.Errorf("%d bytes on disk", size)
	}
}

// A process killed while a tail is moved to the queue leaves only half of it there: each
// line is still accounted for once.
func TestSpoolKilledWhileTailEnds(t *testing.T) {
	for _, tailLines := range []int{5, 60, 200} {
		t.Run(fmt.Sprintf("%d lines", tailLines), func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "s")
			s, err := Open(dir, 100000, 1000)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 10 {
				s.Add(testLine(i))
			}
			for i := range tailLines {
				s.AddToTail(testLine(10+i), "rate")
			}
			oldest := s.tailFiles[0]
			os.Rename(s.path(oldest.name), s.path(queueFileName(s.nextNumber, s.next, kindGap)))
			s.Close()
			if s, err = Open(dir, 100000, 1000); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			lines := checkAccounted(t, readAll(t, s, 0), 10+tailLines)
			if tailLines > 100 && lines >= 100 {
				t.Errorf("%d lines kept of %d", lines, tailLines)
			}
		})
	}
}
