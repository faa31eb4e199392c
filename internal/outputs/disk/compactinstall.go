package disk

import (
	"log/slog"
	"time"

	"go.etcd.io/bbolt"

	pb "reedtrack/internal/outputs/outputsv1"
)

// install updates the index to the outputs in one transaction and removes the inputs.
func (c *compaction) install() error {
	s := c.store
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	now := s.options.Now()
	err := s.fs.Transact(func() error { return s.db.Update(c.updateIndex) })
	if err != nil {
		return err
	}
	before, after := c.updateState(now)
	for _, g := range c.inputs {
		g.remove()
	}
	slog.Info("segments compacted", "dir", s.options.Dir, "segments", len(c.inputs), "into", len(c.outputs), "mb_before", before>>20, "mb_after", after>>20)
	return nil
}

// updateIndex is the index transaction of install.
func (c *compaction) updateIndex(tx *bbolt.Tx) error {
	for _, r := range c.relocations {
		relocate := r.relocateBlocks
		if r.isChunk {
			relocate = r.relocateChunk
		}
		if err := relocate(tx); err != nil {
			return err
		}
	}
	segments := tx.Bucket(bucketSegments)
	for _, g := range c.outputs {
		state := &pb.SegmentState{Size: g.size, Live: g.liveBytes, Compacted: true}
		if err := putMessage(segments, encodeUint32(g.id), state); err != nil {
			return err
		}
	}
	for _, g := range c.inputs {
		if err := segments.Delete(encodeUint32(g.id)); err != nil {
			return err
		}
	}
	return nil
}

// relocateChunk updates the place of a chunk in the index. A chunk that has been removed
// is skipped.
func (r relocation) relocateChunk(tx *bbolt.Tx) error {
	chunks, key := tx.Bucket(bucketChunks), []byte(r.old[0].key)
	indexed := new(pb.Place)
	if !getMessage(chunks, key, indexed) {
		return nil
	}
	if !samePlace(indexed, r.old[0].place) {
		return errIndexChanged
	}
	r.to.PutS = indexed.PutS
	return putMessage(chunks, key, r.to)
}

// relocateBlocks replaces blocks in the index by the block that they were joined into,
// unless the attempt has been dropped.
func (r relocation) relocateBlocks(tx *bbolt.Tx) error {
	state := new(pb.AttemptState)
	if !getMessage(tx.Bucket(bucketAttempts), []byte(r.old[0].key), state) || state.Id != r.attemptID {
		return nil
	}
	blocks := tx.Bucket(bucketBlocks)
	for _, old := range r.old {
		key, indexed := blockKey(r.attemptID, old.first), new(pb.Place)
		if !getMessage(blocks, key, indexed) || !samePlace(indexed, old.place) {
			return errIndexChanged
		}
		if err := blocks.Delete(key); err != nil {
			return err
		}
	}
	return putMessage(blocks, blockKey(r.attemptID, r.old[0].first), r.to)
}

// updateState replaces the inputs by the outputs in the in-memory state and returns their
// sizes.
func (c *compaction) updateState(now time.Time) (before, after uint64) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range c.outputs {
		g.endedAt = now
		s.segments[g.id] = g
		s.segmentBytes += g.size
		after += g.size
	}
	for _, g := range c.inputs {
		delete(s.segments, g.id)
		s.segmentBytes -= min(s.segmentBytes, g.size)
		before += g.size
	}
	// A chunk requested during the compaction is in memory with its old place.
	moved := map[string]*pb.Place{}
	for _, r := range c.relocations {
		if r.isChunk {
			moved[r.old[0].key] = r.to
		}
	}
	for key, p := range s.newChunks {
		if to := moved[key]; to != nil && c.inputIDs[p.Segment] {
			to.PutS = p.PutS
			s.newChunks[key] = to
		}
	}
	return before, after
}
