package disk

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"reedtrack/internal/outputs"
)

// A write whose sync failed is not acknowledged, and later writes go to another segment. A
// store on a full disk refuses new entries, but serves reads and accepts drops.
func TestStoreOnFailingAndFullDisk(t *testing.T) {
	clock := time.Unix(1e6, 0)
	fs := newFaultFS(1, 0)
	dir := t.TempDir()
	s := openTestStore(t, dir, fs, &clock)
	key := outputs.Key(testAttempt(0, 1))
	ctx := context.Background()
	if err := s.Put(ctx, openEntry(key), blockEntry(key, 0, 4)); err != nil {
		t.Fatal(err)
	}
	fs.mu.Lock()
	fs.failSync = fs.steps + 1
	fs.mu.Unlock()
	if err := s.Put(ctx, blockEntry(key, 4, 8)); err == nil {
		t.Fatal("acknowledged though the sync failed")
	}
	if held := s.Held(key); outputs.Spans(held.Spans).End() != 4 {
		t.Fatalf("holds %v", held.Spans)
	}
	s.writeFailedAt = time.Time{}
	if err := s.Put(ctx, blockEntry(key, 4, 6)); err != nil {
		t.Fatal(err)
	}
	checkFailedCheckpointIsRetried(t, s, fs, key)
	fs.noSpace = true
	s.freeReadAt = time.Time{}
	err := s.Put(ctx, blockEntry(key, 6, 8))
	if !errors.Is(err, ErrFull) || !strings.Contains(err.Error(), "free") {
		t.Fatalf("full: %v", err)
	}
	if !s.Stats().Full {
		t.Error("Stats does not report a full disk")
	}
	if blocks, next, err := s.Blocks(key, 0, 0, 0, 1<<20); err != nil || next != 6 || len(blocks) != 2 {
		t.Fatalf("reads while full: %d blocks up to %d, %v", len(blocks), next, err)
	}
	s.Kill()
	fs.loseUnsynced()
	// Records 6 and 7 of the failed write are in a segment. They do not count, since the
	// base of the next segment is their number.
	s = openTestStore(t, dir, nil, &clock)
	if held := s.Held(key); outputs.Spans(held.Spans).End() != 6 {
		t.Fatalf("after a restart holds %v", held.Spans)
	}
	// An attempt that was dropped can't be written again until the index has deleted it.
	if err := s.Put(ctx, dropEntry(key)); err != nil || s.Held(key) != nil {
		t.Fatalf("drop: %v", err)
	}
	if err := s.Put(ctx, blockEntry(key, 0, 2)); !errors.Is(err, ErrBusy) {
		t.Errorf("put while it is being dropped: %v", err)
	}
	s.Checkpoint()
	if err := s.Put(ctx, blockEntry(key, 0, 2)); err != nil || outputs.Spans(s.Held(key).Spans).End() != 2 {
		t.Errorf("put again: %v", err)
	}
}

// checkFailedCheckpointIsRetried checks that the changes of a failed checkpoint are
// written by the next one.
func checkFailedCheckpointIsRetried(t *testing.T, s *Store, fs *faultFS, key []byte) {
	t.Helper()
	fs.failTx = true
	if err := s.Checkpoint(); err == nil {
		t.Fatal("Checkpoint returned no error though the transaction failed")
	}
	if err := s.Checkpoint(); err != nil {
		t.Fatal(err)
	}
	s.db.View(func(tx *bbolt.Tx) error {
		if tx.Bucket(bucketAttempts).Get(key) == nil || tx.Bucket(bucketBlocks).Stats().KeyN != 2 {
			t.Error("the index lacks changes of the failed checkpoint")
		}
		return nil
	})
}

// A flipped bit on disk is detected by a reader, the scrubber, compaction and a rebuild.
// The damaged entry is treated as missing from then on, nothing else is lost with it, and
// it can be written again.
func TestFlippedBitCountsAsNotHeld(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		find func(t *testing.T, s *Store, dir string, clock *time.Time) *Store
	}{
		{"reader", func(_ *testing.T, s *Store, _ string, _ *time.Time) *Store { return s }},
		{"scrubber", func(t *testing.T, s *Store, _ string, _ *time.Time) *Store {
			s.Checkpoint()
			if found, err := s.Scrub(ctx, unlimited); found.Damaged != 1 || err != nil {
				t.Fatalf("scrub: %+v, %v", found, err)
			}
			return s
		}},
		{"compaction", func(t *testing.T, s *Store, _ string, clock *time.Time) *Store {
			s.Checkpoint()
			*clock = clock.Add(time.Hour)
			compactAll(t, s)
			return s
		}},
		{"rebuild", func(t *testing.T, s *Store, dir string, clock *time.Time) *Store {
			s.Close()
			removeIndex(t, dir)
			return openTestStore(t, dir, nil, clock)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := time.Unix(1e6, 0)
			dir := t.TempDir()
			s := openTestStore(t, dir, nil, &clock)
			key, other := outputs.Key(testAttempt(0, 1)), outputs.Key(testAttempt(1, 1))
			flipBitInSecondBlock(t, s, dir, key, other)
			s = c.find(t, s, dir, &clock)
			blocks, next, err := s.Blocks(key, 0, 0, 0, 1<<20)
			if err != nil || len(blocks) != 1 || next != 4 {
				t.Fatalf("%d blocks up to %d, %v", len(blocks), next, err)
			}
			s.Blocks(key, 4, 0, 0, 1<<20)
			held := s.Held(key)
			if held.Complete || len(held.Spans) != 1 || held.Spans[0].To != 4 || s.Stats().Damaged == 0 {
				t.Fatalf("%v, %d damaged", held, s.Stats().Damaged)
			}
			if err := s.Put(ctx, blockEntry(key, 3, 8)); err != nil {
				t.Fatal(err)
			}
			for range 2 { // before and after the checkpoint
				if blocks, next, err = s.Blocks(key, 0, 0, 0, 1<<20); err != nil || next != 8 {
					t.Fatalf("repaired: %d blocks up to %d, %v", len(blocks), next, err)
				}
				if held := s.Held(key); !held.Complete {
					t.Fatalf("repaired: %v", held)
				}
				s.Checkpoint()
			}
			if _, next, _ := s.Blocks(other, 0, 0, 0, 1<<20); next != 124 {
				t.Fatalf("the other attempt ends at %d", next)
			}
		})
	}
}

// flipBitInSecondBlock writes an attempt of two blocks and another attempt that fills the
// segment, and damages the second block of the first.
func flipBitInSecondBlock(t *testing.T, s *Store, dir string, key, other []byte) {
	t.Helper()
	ctx := context.Background()
	if err := s.Put(ctx, openEntry(key), blockEntry(key, 0, 4), blockEntry(other, 0, 4)); err != nil {
		t.Fatal(err)
	}
	if err := s.Put(ctx, blockEntry(key, 4, 8), sealEntry(key, 8)); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(30) {
		s.Put(ctx, blockEntry(other, 4+4*i, 8+4*i))
	}
	refs, err := s.findBlocks(key, 4, 0, 0, 1<<20)
	if err != nil || len(refs) != 1 {
		t.Fatalf("%v %v", refs, err)
	}
	p := refs[0].place
	if err := flipBit(segmentPath(dir, p.Segment, logExt), int64(p.Offset)+int64(p.Length)/2, 3); err != nil {
		t.Fatal(err)
	}
}
