package daemon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
)

// After a bit flip on one disk, reads use the other replica and repair restores the
// damaged record.
func TestDamagedRecordsAreRepaired(t *testing.T) {
	c := newTestCluster(t, nil)
	c.startStores("a", "b")
	s0 := c.stores["s0"]
	w := c.newWriter(0, 1, "k")
	for range 20 {
		if err := w.append(s0, 10); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.seal(s0, 0); err != nil {
		t.Fatal(err)
	}
	flipBit(t, filepath.Join(c.dir, "s0"))
	if err := w.read(s0); err != nil {
		t.Fatal(err)
	}
	if n := s0.Node.Store().Stats().Damaged; n == 0 {
		t.Fatal("the damage was not detected")
	}
	c.waitFor("the repair", func() bool { return w.completeCopies() == 2 })
}

// flipBit changes a bit in the middle of a store's first segment.
func flipBit(t *testing.T, dir string) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil || len(segments) == 0 {
		t.Fatalf("segments %v, error %v", segments, err)
	}
	raw, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 4
	if err := os.WriteFile(segments[0], raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Well-formed records with the right numbers but other content are detected only by
// the seal's digest. A scrub invalidates them and repair copies the other replica.
func TestForgedRecordsAreRepaired(t *testing.T) {
	c := newTestCluster(t, nil)
	c.startStores("a", "b")
	s0 := c.stores["s0"]
	w := c.newWriter(1, 1, "k")
	if err := w.append(s0, 4); err != nil {
		t.Fatal(err)
	}
	c.killStore("s1")
	if err := errors.Join(w.append(s0, 4), w.seal(s0, 0)); err != nil {
		t.Fatal(err)
	}
	forgeRecords(t, filepath.Join(c.dir, "s1"), w, 4)
	s1 := c.startStore("s1", "b")
	c.waitForMembers(2)
	c.waitFor("the seal on s1", func() bool { return w.completeCopies() == 2 })
	if err := w.read(s1); err == nil {
		t.Fatal("the forged content was read as intact")
	}
	s1.Node.Store().Checkpoint()
	if err := s1.Node.Scrub(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.waitFor("the right content", func() bool { return w.completeCopies() == 2 && w.read(s1) == nil })
}

// forgeRecords writes four records with other content, starting at a number, into the
// data directory of a stopped store.
func forgeRecords(t *testing.T, dir string, w *testWriter, first uint64) {
	t.Helper()
	var records []*pb.Record
	for i := range uint64(4) {
		record := w.record(first + i)
		record.Data = []byte("forged\n")
		records = append(records, record)
	}
	store, err := disk.Open(disk.Options{Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	entry := &pb.Entry{Key: w.key(), What: &pb.Entry_Block{Block: outputs.Pack(records, false)}}
	if err := store.Put(context.Background(), entry); err != nil {
		t.Fatal(err)
	}
}

// unreadableFS is a file system on which reads fail while broken is set.
type unreadableFS struct {
	disk.FS
	broken *atomic.Bool
}

type unreadableFile struct {
	disk.File
	broken *atomic.Bool
}

func (f unreadableFS) Create(name string) (disk.File, error) {
	file, err := f.FS.Create(name)
	return unreadableFile{file, f.broken}, err
}

func (f unreadableFile) ReadAt(b []byte, at int64) (int, error) {
	if f.broken.Load() {
		return 0, syscall.EIO
	}
	return f.File.ReadAt(b, at)
}

func TestReadFromOtherCopyWhenDiskFails(t *testing.T) {
	c := newTestCluster(t, slowRepair)
	broken := new(atomic.Bool)
	c.modifyConfig = func(config *Config) {
		if config.Name == "s0" {
			config.FS = unreadableFS{disk.OS(), broken}
		}
	}
	c.startStores("a", "b")
	s0 := c.stores["s0"]
	sealed, open := c.newWriter(0, 1, "k"), c.newWriter(1, 1, "k")
	if err := errors.Join(sealed.append(s0, 3), sealed.append(s0, 3), sealed.seal(s0, 0), open.append(s0, 3)); err != nil {
		t.Fatal(err)
	}
	broken.Store(true)
	for _, w := range []*testWriter{sealed, open} {
		if err := w.read(s0); err != nil {
			t.Error(err)
		}
	}
}
