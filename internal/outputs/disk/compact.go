package disk

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"

	"go.etcd.io/bbolt"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Compaction copies the live entries of some segments (its inputs) into new segments (its
// outputs) and removes the inputs. In the outputs the blocks of an attempt are adjacent
// and joined. Nothing else moves entries, so the content of a log is written at most twice
// unless much of it is dropped.
const (
	maxJoinedBytes       = 256 << 10 // maximum data size of a joined block
	maxCompactedSegments = 8         // inputs per round; an attempt's blocks are in neighbouring segments
	minDeadRatio         = 0.4       // above which a compacted segment is compacted again
	// maxCompactedSizeFactor limits the live bytes of all inputs together, as a multiple
	// of the segment size.
	maxCompactedSizeFactor = 4
)

// errIndexChanged means that the index changed during a compaction, which is then retried.
var errIndexChanged = errors.New("changed meanwhile")

// compaction is one round of compaction.
type compaction struct {
	store    *Store
	limit    Limiter
	inputs   []*segmentInfo
	inputIDs map[uint32]bool
	base     uint64 // base of the outputs: the lowest base of the inputs

	outputs     []*segmentInfo
	buf         []byte // not yet written to the last output
	relocations []relocation
}

// Compact runs one round of compaction and reports whether there was anything to do.
func (s *Store) Compact(ctx context.Context, limit Limiter) (bool, error) {
	inputs := s.compactionInputs()
	if len(inputs) == 0 {
		return false, nil
	}
	c := &compaction{store: s, limit: limit, inputs: inputs, inputIDs: map[uint32]bool{}, base: inputs[0].base}
	for _, g := range inputs {
		c.inputIDs[g.id] = true
		c.base = min(c.base, g.base)
		if !g.acquire() {
			return false, nil
		}
		defer g.release()
	}
	if err := c.run(ctx); err != nil {
		c.removeOutputs()
		if errors.Is(err, errIndexChanged) {
			slog.Debug("compaction restarted", "segments", len(inputs))
			return true, nil
		}
		return false, err
	}
	return true, nil
}

// compactionInputs selects the segments to compact: logs that ended at least
// Options.CompactionDelay ago, and compacted segments with a high ratio of dead bytes.
func (s *Store) compactionInputs() []*segmentInfo {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	var indexed uint32
	s.db.View(func(tx *bbolt.Tx) error {
		indexed = getPosition(tx).Segment
		return nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	var inputs []*segmentInfo
	var size uint64
	logsInOrder := true
	for _, id := range sortedSegmentIDs(s.segments) {
		g := s.segments[id]
		if g.compacted {
			hasManyDead := g.size > 0 && float64(g.liveBytes) < (1-minDeadRatio)*float64(g.size)
			if !hasManyDead {
				continue
			}
		} else {
			// Nothing is appended to a log that has ended, but the index's position stays
			// at its end until the next log is started. Logs are compacted in order,
			// because the base of the next log determines which entries of a log are invalid.
			hasEnded := !g.endedAt.IsZero() && now.Sub(g.endedAt) >= s.options.CompactionDelay
			logsInOrder = logsInOrder && hasEnded && id < indexed
			if !logsInOrder {
				continue
			}
		}
		inputs = append(inputs, g)
		size += g.liveBytes
		if len(inputs) == maxCompactedSegments || size > uint64(maxCompactedSizeFactor*s.options.SegmentBytes) {
			break
		}
	}
	return inputs
}

// run writes, syncs and installs the outputs.
func (c *compaction) run(ctx context.Context) error {
	entries, err := c.collectLive(ctx)
	if err != nil {
		return err
	}
	for len(entries) > 0 {
		n := 1
		for n < len(entries) && entries[n].key == entries[0].key && entries[n].kind != kindChunk {
			n++
		}
		if entries[0].kind == kindChunk {
			err = c.compactChunk(ctx, entries[0])
		} else {
			err = c.compactAttempt(ctx, entries[:n])
		}
		if err != nil {
			return err
		}
		entries = entries[n:]
	}
	if err := c.flushBuffer(ctx); err != nil {
		return err
	}
	for _, g := range c.outputs {
		if err := g.file.Sync(); err != nil {
			return err
		}
	}
	return c.install()
}

func (c *compaction) removeOutputs() {
	for _, g := range c.outputs {
		g.file.Close()
		c.store.fs.Remove(g.name)
	}
}

// entryKind is the type of an entry. Its values are in the order in which an attempt's
// entries are written to an output. Chunks belong to no attempt and come last.
type entryKind int

const (
	kindOpen entryKind = iota
	kindSeal
	kindBlock
	kindThin
	kindDrop
	kindChunk
)

// liveEntry is an entry of an input that may be live.
type liveEntry struct {
	kind  entryKind
	key   string // key of the attempt or the chunk
	first uint64 // first record of a block
	place *pb.Place
	lsn   uint64
}

// compareLiveEntries orders entries by attempt, then by kind and first record, with chunks
// at the end. Of several entries of an attempt that was dropped and created again, the
// newest comes first and is the one that counts.
func compareLiveEntries(a, b liveEntry) int {
	if (a.kind == kindChunk) != (b.kind == kindChunk) {
		return cmp.Compare(a.kind, b.kind)
	}
	return cmp.Or(
		cmp.Compare(a.key, b.key),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.first, b.first),
		cmp.Compare(b.lsn, a.lsn),
	)
}

// collectLive reads the inputs and returns the entries that may be live, in the order in
// which they are written.
func (c *compaction) collectLive(ctx context.Context) ([]liveEntry, error) {
	var entries []liveEntry
	otherBase := c.lowestOtherBase()
	for _, g := range c.inputs {
		if err := c.limit(ctx, int(g.size)); err != nil {
			return nil, err
		}
		below := uint64(0)
		if !g.compacted {
			below = c.store.nextLogBase(g.id)
		}
		_, bad, err := scanSegment(g.file, int64(headerBytes), func(e *pb.Entry, at int64, length int) error {
			if below > 0 && e.Lsn >= below {
				return nil
			}
			// A drop is kept while another segment may hold an older entry of its attempt.
			if e.GetDrop() != nil && e.Lsn <= otherBase {
				return nil
			}
			entries = append(entries, newLiveEntry(e, g.id, at, length))
			return nil
		})
		if err != nil {
			return nil, err
		}
		if len(bad) > 0 {
			if err := c.scrubDamagedInput(ctx, g.id); err != nil {
				return nil, err
			}
		}
	}
	slices.SortStableFunc(entries, compareLiveEntries)
	return entries, nil
}

func newLiveEntry(e *pb.Entry, segment uint32, offset int64, length int) liveEntry {
	entry := liveEntry{
		key:   string(e.Key),
		lsn:   e.Lsn,
		place: &pb.Place{Segment: segment, Offset: uint32(offset), Length: uint32(length)},
	}
	switch w := e.What.(type) {
	case *pb.Entry_Open:
		entry.kind = kindOpen
	case *pb.Entry_Seal:
		entry.kind = kindSeal
	case *pb.Entry_Thin:
		entry.kind = kindThin
	case *pb.Entry_Drop:
		entry.kind = kindDrop
	case *pb.Entry_Block:
		entry.kind, entry.first = kindBlock, w.Block.First
		entry.place.Count, entry.place.Tally = w.Block.Count, w.Block.Tally
	case *pb.Entry_Chunk:
		entry.kind, entry.key = kindChunk, string(chunkKey(string(e.Key), w.Chunk.Sha256))
		entry.place.Size = w.Chunk.Size
	}
	return entry
}

// scrubDamagedInput scrubs an input that has unreadable parts: entries that the index
// references there must be marked as missing before the segment is removed. If there are
// any, the compaction is retried.
func (c *compaction) scrubDamagedInput(ctx context.Context, segment uint32) error {
	found, err := c.store.scrubSegment(ctx, c.limit, segment)
	if err == nil && found.Damaged == 0 {
		return nil
	}
	return cmp.Or(err, c.store.Checkpoint(), errIndexChanged)
}

// lowestOtherBase returns the lowest base of the segments that are not inputs.
func (c *compaction) lowestOtherBase() uint64 {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	lowest := c.store.position.Lsn + 1
	for id, g := range c.store.segments {
		if !c.inputIDs[id] {
			lowest = min(lowest, g.base)
		}
	}
	return lowest
}

// nextLogBase returns the base of the first log after a segment, or 0 if there is none.
func (s *Store) nextLogBase(id uint32) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, next := range sortedSegmentIDs(s.segments) {
		if g := s.segments[next]; next > id && !g.compacted {
			return g.base
		}
	}
	return 0
}
