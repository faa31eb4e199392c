package disk

import (
	"context"
	"errors"

	"go.etcd.io/bbolt"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// compactBufferBytes is how much is buffered before it is written to an output.
const compactBufferBytes = 1 << 20

// relocation maps old places in the index to the new place.
type relocation struct {
	old       []liveEntry // the joined blocks, or one chunk
	to        *pb.Place
	isChunk   bool
	attemptID uint64 // for blocks
}

// compactChunk copies a chunk to an output if it is live.
func (c *compaction) compactChunk(ctx context.Context, entry liveEntry) error {
	indexed := c.store.indexedChunk(entry.key)
	if indexed == nil || !samePlace(indexed, entry.place) {
		return nil
	}
	e, err := c.store.readEntry(entry.place)
	if errors.Is(err, ErrDamaged) {
		c.store.markChunkDamaged(entry.key, entry.place)
		return errIndexChanged
	}
	if err != nil {
		return err
	}
	place, err := c.add(ctx, e)
	if err != nil {
		return err
	}
	place.Size = entry.place.Size
	c.relocations = append(c.relocations, relocation{old: []liveEntry{entry}, to: place, isChunk: true})
	return nil
}

// compactAttempt copies the live entries of an attempt to an output.
func (c *compaction) compactAttempt(ctx context.Context, entries []liveEntry) error {
	id, live := c.liveBlocks(entries)
	join := &blockJoin{compaction: c, attemptID: id}
	var seen [kindChunk]bool
	for _, entry := range entries {
		if live == nil && entry.kind != kindDrop {
			continue // the attempt is no longer stored
		}
		switch entry.kind {
		case kindOpen, kindSeal: // only the first of each is kept
			if seen[entry.kind] {
				continue
			}
		case kindBlock:
			place := live[entry.first]
			if place == nil || !samePlace(place, entry.place) {
				continue
			}
			entry.place = place
			if err := join.add(ctx, entry); err != nil {
				return err
			}
			continue
		}
		seen[entry.kind] = true
		if err := c.copyEntry(ctx, entry); err != nil {
			return err
		}
	}
	return join.write(ctx)
}

// liveBlocks returns the ID of the attempt that the entries belong to, and the places of
// its blocks that are live according to the index, by first record. live is nil if the
// attempt is not in the index.
func (c *compaction) liveBlocks(entries []liveEntry) (id uint64, live map[uint64]*pb.Place) {
	c.store.db.View(func(tx *bbolt.Tx) error {
		state := new(pb.AttemptState)
		if !getMessage(tx.Bucket(bucketAttempts), []byte(entries[0].key), state) {
			return nil
		}
		id, live = state.Id, map[uint64]*pb.Place{}
		blocks := tx.Bucket(bucketBlocks)
		for _, entry := range entries {
			if entry.kind != kindBlock {
				continue
			}
			place := new(pb.Place)
			if getMessage(blocks, blockKey(id, entry.first), place) && samePlace(place, entry.place) {
				live[entry.first] = place
			}
		}
		return nil
	})
	return id, live
}

// blockJoin collects consecutive blocks of an attempt, to be written as one.
type blockJoin struct {
	compaction *compaction
	attemptID  uint64
	blocks     []liveEntry
	bytes      uint64 // uncompressed data
}

// add adds a block. The blocks collected so far are written first if the block would make
// them too large or does not directly follow them.
func (j *blockJoin) add(ctx context.Context, block liveEntry) error {
	bytes := block.place.Tally.GetStdoutBytes() + block.place.Tally.GetStderrBytes()
	if n := len(j.blocks); n > 0 {
		last := j.blocks[n-1]
		follows := last.first+uint64(last.place.Count) == block.first
		if j.bytes+bytes > maxJoinedBytes || !follows {
			if err := j.write(ctx); err != nil {
				return err
			}
		}
	}
	j.blocks = append(j.blocks, block)
	j.bytes += bytes
	return nil
}

// write writes the collected blocks.
func (j *blockJoin) write(ctx context.Context) error {
	if len(j.blocks) == 0 {
		return nil
	}
	blocks := j.blocks
	j.blocks, j.bytes = nil, 0
	return j.compaction.writeJoined(ctx, blocks, j.attemptID)
}

// writeJoined writes consecutive blocks as one block.
func (c *compaction) writeJoined(ctx context.Context, blocks []liveEntry, attemptID uint64) error {
	var records []*pb.Record
	var lsn uint64
	for _, block := range blocks {
		list, err := c.readRecords(block)
		if err != nil {
			return err
		}
		records = append(records, list...)
		lsn = max(lsn, block.lsn)
	}
	joined := outputs.Pack(records, true)
	place, err := c.add(ctx, &pb.Entry{Lsn: lsn, Key: []byte(blocks[0].key), What: &pb.Entry_Block{Block: joined}})
	if err != nil {
		return err
	}
	place.Count, place.Tally = uint32(len(records)), joined.Tally
	c.relocations = append(c.relocations, relocation{old: blocks, to: place, attemptID: attemptID})
	return nil
}

func (c *compaction) readRecords(block liveEntry) ([]*pb.Record, error) {
	e, err := c.store.readEntry(block.place)
	var records []*pb.Record
	if err == nil {
		records, err = outputs.Unpack(e.GetBlock())
	}
	if errors.Is(err, ErrDamaged) || errors.Is(err, outputs.ErrBlock) {
		c.store.markBlockDamaged([]byte(block.key), blockRef{first: block.first, place: block.place})
		return nil, errIndexChanged
	}
	return records, err
}

// copyEntry copies an entry unchanged. A damaged entry is skipped: its content is in the
// index.
func (c *compaction) copyEntry(ctx context.Context, entry liveEntry) error {
	e, err := c.store.readEntry(entry.place)
	if errors.Is(err, ErrDamaged) {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = c.add(ctx, e)
	return err
}

// add appends an entry to the last output, or to a new one.
func (c *compaction) add(ctx context.Context, e *pb.Entry) (*pb.Place, error) {
	if err := c.ensureOutput(ctx); err != nil {
		return nil, err
	}
	output := c.outputs[len(c.outputs)-1]
	before := len(c.buf)
	buf, err := appendFrame(c.buf, e)
	if err != nil {
		return nil, err
	}
	c.buf = buf
	length := len(c.buf) - before
	place := &pb.Place{Segment: output.id, Offset: uint32(output.size), Length: uint32(length)}
	output.size += uint64(length)
	output.liveBytes += uint64(length)
	if len(c.buf) > compactBufferBytes {
		return place, c.flushBuffer(ctx)
	}
	return place, nil
}

// ensureOutput starts a new output if there is none, or if the last one is full.
func (c *compaction) ensureOutput(ctx context.Context) error {
	if n := len(c.outputs); n > 0 && int64(c.outputs[n-1].size) <= c.store.options.SegmentBytes {
		return nil
	}
	if err := c.flushBuffer(ctx); err != nil {
		return err
	}
	g, err := c.store.createSegment(c.base, compactExt)
	if err != nil {
		return err
	}
	c.outputs = append(c.outputs, &segmentInfo{segment: g, size: uint64(headerBytes), compacted: true, base: c.base, dirty: true})
	return nil
}

// flushBuffer writes the buffer to the last output.
func (c *compaction) flushBuffer(ctx context.Context) error {
	size := int64(len(c.buf))
	if size == 0 {
		return nil
	}
	if err := c.limit(ctx, int(size)); err != nil {
		return err
	}
	if err := c.store.checkSpace(size); err != nil && c.store.isReserveExhausted(size) {
		return err
	}
	output := c.outputs[len(c.outputs)-1]
	_, err := output.file.WriteAt(c.buf, int64(output.size)-size)
	c.store.recordWritten(size)
	c.buf = c.buf[:0]
	return wrapNoSpace(err)
}
