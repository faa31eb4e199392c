package disk

import (
	"context"
	"errors"
	"testing"
	"time"

	"reedtrack/internal/outputs"
)

// A reader that reads while compaction and retention run sees all records, or an error
// that the attempt was deleted.
func TestReadDuringCompaction(t *testing.T) {
	const records = 120
	clock := time.Unix(1e6, 0)
	s := openTestStore(t, t.TempDir(), nil, &clock)
	ctx := context.Background()
	key, other := outputs.Key(testAttempt(0, 1)), outputs.Key(testAttempt(1, 1))
	s.Put(ctx, openEntry(key), openEntry(other))
	for i := uint64(0); i < records; i += 3 {
		if err := s.Put(ctx, blockEntry(key, i, i+3), blockEntry(other, i, i+3)); err != nil {
			t.Fatal(err)
		}
	}
	s.Checkpoint()
	clock = clock.Add(time.Hour)
	seen, from := uint64(0), uint64(0)
	var before Stats
	for from < records {
		blocks, next, err := s.Blocks(key, from, 0, 0, 300)
		if err != nil || len(blocks) == 0 {
			t.Fatalf("at %d: %v", from, err)
		}
		for _, b := range blocks {
			list, err := outputs.Unpack(b)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range list {
				if r.Seq >= from {
					seen++
				}
			}
		}
		from = next
		if _, err := s.Compact(ctx, unlimited); err != nil {
			t.Fatal(err)
		}
		if from > 60 && s.Held(other) != nil {
			before = s.Stats()
			if err := s.Drop(ctx, "retention", other); err != nil {
				t.Fatal(err)
			}
		}
	}
	if seen != records {
		t.Errorf("%d records seen", seen)
	}
	if _, _, err := s.Blocks(other, 0, 0, 0, 300); !errors.Is(err, ErrNotFound) {
		t.Errorf("dropped: %v", err)
	}
	for worked := true; worked; {
		clock = clock.Add(time.Hour)
		worked, _ = s.Compact(ctx, unlimited)
	}
	if after := s.Stats(); after.DiskBytes > before.DiskBytes*3/4 || after.Attempts != 1 {
		t.Errorf("%d bytes before, %d after; %d attempts", before.DiskBytes, after.DiskBytes, after.Attempts)
	}
}

// An attempt that was dropped and written again survives a compaction of its old and new
// entries followed by a rebuild of the index: of duplicate entries the newest counts.
func TestDroppedAttemptReturns(t *testing.T) {
	clock := time.Unix(1e6, 0)
	dir := t.TempDir()
	s := openTestStore(t, dir, nil, &clock)
	ctx := context.Background()
	key, other := outputs.Key(testAttempt(0, 1)), outputs.Key(testAttempt(1, 1))
	endAndCompactLog := func(from uint64) {
		t.Helper()
		for i := range uint64(20) {
			s.Put(ctx, blockEntry(other, from+4*i, from+4*i+4))
		}
		s.Checkpoint()
		clock = clock.Add(time.Hour)
		if worked, err := s.Compact(ctx, unlimited); err != nil || !worked {
			t.Fatal(worked, err)
		}
	}
	endAndCompactLog(0) // its base is low, so it may hold older entries and drops are kept
	for range 2 {
		if err := s.Put(ctx, openEntry(key), blockEntry(key, 0, 3), sealEntry(key, 3)); err != nil {
			t.Fatal(err)
		}
		s.Drop(ctx, "surplus", key)
	}
	if err := s.Put(ctx, openEntry(key), blockEntry(key, 0, 3), sealEntry(key, 3)); err != nil {
		t.Fatal(err)
	}
	endAndCompactLog(80)
	s.Close()
	removeIndex(t, dir)
	s = openTestStore(t, dir, nil, &clock)
	if held := s.Held(key); held == nil || !held.Complete {
		t.Fatalf("%v", held)
	}
}
