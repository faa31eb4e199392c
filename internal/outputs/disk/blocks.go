package disk

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"log/slog"
	"math"
	"slices"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Blocks reads the blocks of an attempt that hold records in [from, to) (to 0: no upper
// bound), in order, until their size reaches maxBytes. Blocks are returned whole, so the
// first and the last may hold records outside the range. Blocks whose last record is older
// than since (0: no limit) are skipped. It returns the record to continue from, and no
// blocks if none are stored from there on.
func (s *Store) Blocks(key []byte, from, to uint64, since int64, maxBytes int) (blocks []*pb.Block, next uint64, err error) {
	next = from
	size := 0
	for attempt := 0; attempt <= maxRelocationRetries && size < maxBytes; attempt++ {
		refs, err := s.findBlocks(key, next, to, since, maxBytes-size)
		if err != nil {
			return blocks, next, err
		}
		read, retry, err := s.readBlocks(key, refs, len(blocks) == 0)
		for _, b := range read {
			size += len(b.Zstd)
			next = b.First + uint64(b.Count)
		}
		blocks = append(blocks, read...)
		if err != nil || !retry {
			return blocks, next, err
		}
	}
	return blocks, next, nil
}

// readBlocks reads blocks up to the first that can't be read. It asks for a retry if
// compaction has moved that block, or if it is damaged and no block was read before it;
// the read then continues after the damage.
func (s *Store) readBlocks(key []byte, refs []blockRef, isFirst bool) (blocks []*pb.Block, retry bool, err error) {
	for _, ref := range refs {
		b, err := s.readBlock(key, ref)
		switch {
		case err == nil:
			blocks = append(blocks, b)
			isFirst = false
		case errors.Is(err, ErrNotFound):
			return blocks, true, nil
		case errors.Is(err, ErrDamaged):
			s.markBlockDamaged(key, ref)
			return blocks, isFirst, nil
		default:
			return blocks, false, err
		}
	}
	return blocks, false, nil
}

// readBlock reads a block and verifies its key and first record.
func (s *Store) readBlock(key []byte, ref blockRef) (*pb.Block, error) {
	e, err := s.readEntry(ref.place)
	if err != nil {
		return nil, err
	}
	b := e.GetBlock()
	if b == nil || b.First != ref.first || !bytes.Equal(e.Key, key) {
		return nil, ErrDamaged
	}
	return b, nil
}

// blockQuery selects blocks of an attempt.
type blockQuery struct {
	from, to uint64 // record range; to 0: no upper bound
	since    int64  // lower bound for the time of the last record, in ns
	spans    outputs.Spans
	maxBytes int // on disk; the block that exceeds it is included
}

func (q *blockQuery) matches(first uint64, p *pb.Place) bool {
	end := first + uint64(p.Count)
	if end <= q.from || q.isPast(first, end) || p.Tally.GetLastNs() < q.since {
		return false
	}
	// The records of a damaged block have been removed from the spans.
	return q.spans.SpanEnd(first) >= end
}

// isPast reports whether a block and all blocks after it are beyond the upper bound.
func (q *blockQuery) isPast(first, end uint64) bool {
	return end > q.from && q.to > 0 && first >= q.to
}

// findBlocks returns the locations of the blocks that Blocks reads, in order.
func (s *Store) findBlocks(key []byte, from, to uint64, since int64, maxBytes int) ([]blockRef, error) {
	s.mu.Lock()
	a := s.loadAttempt(string(key))
	if a == nil || a.dropReason != "" {
		s.mu.Unlock()
		return nil, ErrNotFound
	}
	id := a.state.Id
	q := &blockQuery{from: from, to: to, since: since, spans: a.state.Spans, maxBytes: maxBytes}
	newBlocks := slices.Clone(a.newBlocks) // copied before the index is read, so that blocks checkpointed in between are not missed
	s.mu.Unlock()
	refs := s.indexedBlocks(id, q)
	position := map[uint64]int{}
	for i, ref := range refs {
		position[ref.first] = i
	}
	for _, ref := range newBlocks {
		if i, ok := position[ref.first]; ok {
			refs[i] = ref // newer: the indexed one was damaged, or is the same
		} else if q.matches(ref.first, ref.place) {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b blockRef) int { return cmp.Compare(a.first, b.first) })
	return limitBytes(refs, maxBytes), nil
}

// limitBytes truncates a list of blocks after the block that reaches maxBytes. At least
// one block is kept.
func limitBytes(refs []blockRef, maxBytes int) []blockRef {
	size := 0
	for i, ref := range refs {
		if size += int(ref.place.Length); size >= maxBytes {
			return refs[:i+1]
		}
	}
	return refs
}

// indexedBlocks returns the blocks in the index that match a query.
func (s *Store) indexedBlocks(id uint64, q *blockQuery) []blockRef {
	var refs []blockRef
	size := 0
	s.db.View(func(tx *bbolt.Tx) error {
		cursor, prefix := tx.Bucket(bucketBlocks).Cursor(), encodeUint64(id)
		k, v := seekBlock(cursor, id, q.from)
		for ; k != nil && bytes.HasPrefix(k, prefix); k, v = cursor.Next() {
			place := new(pb.Place)
			if err := proto.Unmarshal(v, place); err != nil {
				continue
			}
			first := firstOfBlockKey(k)
			if q.isPast(first, first+uint64(place.Count)) {
				break
			}
			if !q.matches(first, place) {
				continue
			}
			refs = append(refs, blockRef{first: first, place: place})
			if size += int(place.Length); size >= q.maxBytes {
				break
			}
		}
		return nil
	})
	return refs
}

// seekBlock moves a cursor to the block of an attempt that may hold a record: the last one
// that starts before it, or else the first one that starts at or after it.
func seekBlock(cursor *bbolt.Cursor, id, record uint64) (k, v []byte) {
	key, prefix := blockKey(id, record), encodeUint64(id)
	if k, _ = cursor.Seek(key); k == nil {
		k, v = cursor.Last()
	} else {
		k, v = cursor.Prev()
	}
	if bytes.HasPrefix(k, prefix) {
		return k, v
	}
	return cursor.Seek(key)
}

// firstOfBlockKey returns the first record encoded in a block's key.
func firstOfBlockKey(k []byte) uint64 { return binary.BigEndian.Uint64(k[8:16]) }

// markBlockDamaged marks the records of a damaged block as missing, so that repair copies
// them from another member.
func (s *Store) markBlockDamaged(key []byte, ref blockRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.loadAttempt(string(key))
	if a == nil || a.damagedBlocks[ref.first] != nil && samePlace(a.damagedBlocks[ref.first], ref.place) {
		return
	}
	end := ref.first + uint64(ref.place.Count)
	if a.spans().SpanEnd(ref.first) < end {
		return
	}
	slog.Error("block is damaged", "segment", ref.place.Segment, "offset", ref.place.Offset, "first", ref.first, "records", ref.place.Count)
	s.damagedEntries++
	s.version++
	a.state.Spans = a.spans().Remove(ref.first, end)
	outputs.SubtractCounts(a.state.Tally, ref.place.Tally)
	a.state.StoredBytes -= min(a.state.StoredBytes, uint64(ref.place.Length))
	s.addAttemptBytes(string(key), -int64(ref.place.Length))
	s.releasePlace(ref.place)
	a.newBlocks = slices.DeleteFunc(slices.Clone(a.newBlocks), func(x blockRef) bool {
		return x.first == ref.first && samePlace(x.place, ref.place)
	})
	if a.damagedBlocks == nil {
		a.damagedBlocks = map[uint64]*pb.Place{}
	}
	a.damagedBlocks[ref.first] = ref.place
	s.markChanged(a, s.options.Now())
}

// Invalidate marks all records of an attempt as missing, so that repair copies them from
// another member.
func (s *Store) Invalidate(key []byte) error {
	refs, err := s.findBlocks(key, 0, 0, 0, math.MaxInt)
	for _, ref := range refs {
		s.markBlockDamaged(key, ref)
	}
	return err
}
