package disk

import (
	"bytes"
	"fmt"
	"log/slog"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// commit is a batch of requests to be appended to the active segment.
type commit struct {
	buf     []byte // the encoded entries
	entries []placedEntry
	lsn     uint64 // the last LSN assigned; those of refused requests stay unused
	now     time.Time
	pending map[string]*pendingAttempt // by key: state of the batch so far
}

// placedEntry is an entry and its place. Until the segment is known, the offset is
// relative to the batch.
type placedEntry struct {
	entry *pb.Entry
	place *pb.Place
}

// pendingAttempt is what a batch holds so far for one attempt.
type pendingAttempt struct {
	end  uint64 // end of its records
	seal *pb.Seal
}

// commitBatch writes the entries of some requests that are not stored yet, syncs them and
// applies them. It returns an error for each request.
func (s *Store) commitBatch(requests []*putRequest) []error {
	errs := make([]error, len(requests))
	s.mu.Lock()
	c := &commit{lsn: s.position.Lsn, now: s.options.Now(), pending: map[string]*pendingAttempt{}}
	for i, r := range requests {
		errs[i] = s.addRequest(c, r)
	}
	s.mu.Unlock()
	if len(c.entries) == 0 {
		return errs
	}
	if err := s.appendBatch(c.buf, c.entries[0].entry.Lsn); err != nil {
		s.recordWriteFailure()
		for i := range errs {
			if errs[i] == nil {
				errs[i] = err
			}
		}
		return errs
	}
	s.applyCommit(c)
	return errs
}

// addRequest adds all entries of a request to a batch, or none. The caller holds mu.
func (s *Store) addRequest(c *commit, r *putRequest) error {
	size, count := len(c.buf), len(c.entries)
	for _, item := range r.items {
		if err := s.addItem(c, item); err != nil {
			c.buf, c.entries = c.buf[:size], c.entries[:count]
			return err
		}
	}
	return nil
}

func (s *Store) addItem(c *commit, item putItem) error {
	entries, err := s.newEntries(item, c.pending)
	if err != nil {
		return err
	}
	for _, e := range entries {
		c.lsn++
		e.Lsn = c.lsn
		offset := len(c.buf)
		if c.buf, err = appendFrame(c.buf, e); err != nil {
			return err
		}
		place := newPlace(e, 0, int64(offset), len(c.buf)-offset, c.now)
		c.entries = append(c.entries, placedEntry{entry: e, place: place})
	}
	return nil
}

// newPlace returns the place of an entry, including the metadata that the index keeps for
// blocks and chunks.
func newPlace(e *pb.Entry, segment uint32, offset int64, length int, now time.Time) *pb.Place {
	p := &pb.Place{Segment: segment, Offset: uint32(offset), Length: uint32(length)}
	if b := e.GetBlock(); b != nil {
		p.Count, p.Tally = b.Count, b.Tally
	} else if c := e.GetChunk(); c != nil {
		p.Size, p.PutS = c.Size, now.Unix()
	}
	return p
}

// appendBatch writes a batch to the active segment and syncs it; firstLSN is the number of
// its first entry. After a failure the segment is abandoned, because its content after a
// failed sync is unknown. The next segment's base marks the failed entries as invalid.
func (s *Store) appendBatch(buf []byte, firstLSN uint64) error {
	if s.active == nil {
		if err := s.startSegment(firstLSN); err != nil {
			return wrapNoSpace(err)
		}
	}
	_, err := s.active.file.WriteAt(buf, s.activeSize)
	if err == nil {
		err = s.active.file.Sync()
	}
	if err != nil {
		slog.Error("segment not written", "segment", s.active.name, "err", err)
		s.mu.Lock()
		s.segments[s.active.id].endedAt = s.options.Now()
		s.mu.Unlock()
		s.active = nil
		return wrapNoSpace(err)
	}
	s.recordWritten(int64(len(buf)))
	return nil
}

// startSegment creates a log segment and makes it the active one.
func (s *Store) startSegment(base uint64) error {
	g, err := s.createSegment(base, logExt)
	if err != nil {
		return err
	}
	s.active, s.activeSize = g, int64(headerBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments[g.id] = &segmentInfo{segment: g, size: uint64(headerBytes), base: base, dirty: true}
	s.segmentBytes += uint64(headerBytes)
	return nil
}

// applyCommit applies a batch after it has been synced.
func (s *Store) applyCommit(c *commit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.segments[s.active.id]
	for _, p := range c.entries {
		p.place.Segment = s.active.id
		p.place.Offset += uint32(s.activeSize)
		s.applyEntry(p.entry, p.place, c.now)
	}
	s.activeSize += int64(len(c.buf))
	s.segmentBytes += uint64(len(c.buf))
	g.size, g.dirty = uint64(s.activeSize), true
	s.position.Segment, s.position.Offset, s.position.Lsn = s.active.id, uint64(s.activeSize), c.lsn
	if s.activeSize >= s.options.SegmentBytes {
		g.endedAt = c.now
		s.active = nil
	}
}

// newEntries returns the parts of an entry that are not stored yet, taking into account
// the earlier entries of its batch, or an error if the entry is refused. The caller holds
// mu.
func (s *Store) newEntries(item putItem, batch map[string]*pendingAttempt) ([]*pb.Entry, error) {
	e := item.entry
	key := string(e.Key)
	if c := e.GetChunk(); c != nil {
		if s.hasChunk(string(chunkKey(key, c.Sha256))) {
			return nil, nil
		}
		return withoutLSN(e), nil
	}
	a := s.loadAttempt(key)
	if a != nil && a.dropReason != "" {
		if e.GetDrop() != nil {
			return nil, nil
		}
		return nil, ErrBusy // until a checkpoint has deleted it from the index
	}
	earlier := batch[key]
	if earlier == nil {
		earlier = new(pendingAttempt)
		batch[key] = earlier
	}
	state := new(pb.AttemptState)
	if a != nil {
		state = a.state
	}
	switch w := e.What.(type) {
	case *pb.Entry_Open:
		if state.Meta != nil {
			return nil, nil
		}
	case *pb.Entry_Block:
		return newBlockEntries(e.Key, w.Block, item.tally, state, earlier)
	case *pb.Entry_Seal:
		if isNew, err := checkSeal(w.Seal, state, earlier); err != nil || !isNew {
			return nil, err
		}
	case *pb.Entry_Drop:
		if a == nil {
			return nil, nil
		}
	}
	return withoutLSN(e), nil
}

// withoutLSN returns a copy of an entry without its LSN, so that this store can assign its
// own.
func withoutLSN(e *pb.Entry) []*pb.Entry {
	return []*pb.Entry{{Key: e.Key, What: e.What}}
}

// newBlockEntries returns the parts of a block that are not stored yet.
func newBlockEntries(key []byte, b *pb.Block, tally *pb.Tally, state *pb.AttemptState, earlier *pendingAttempt) ([]*pb.Entry, error) {
	end := b.First + uint64(b.Count)
	if state.Sealed && end > state.Records || earlier.seal != nil && end > earlier.seal.Records {
		return nil, fmt.Errorf("%w with fewer than %d records", ErrSealed, end)
	}
	earlier.end = max(earlier.end, end)
	var entries []*pb.Entry
	for _, gap := range outputs.Spans(state.Spans).Missing(b.First, end) {
		part := &pb.Block{First: b.First, Count: b.Count, Zstd: b.Zstd, Tally: tally}
		if gap.To-gap.From != uint64(b.Count) {
			records, err := outputs.Unpack(b)
			if err != nil {
				return nil, err
			}
			part = outputs.Pack(records[gap.From-b.First:gap.To-b.First], false)
		}
		entries = append(entries, &pb.Entry{Key: key, What: &pb.Entry_Block{Block: part}})
	}
	return entries, nil
}

// checkSeal reports whether a seal is new, or returns an error if it conflicts with what
// is stored.
func checkSeal(seal *pb.Seal, state *pb.AttemptState, earlier *pendingAttempt) (isNew bool, err error) {
	if state.Sealed {
		return false, compareSeals(seal, state.Records, state.Digest)
	}
	if earlier.seal != nil {
		return false, compareSeals(seal, earlier.seal.Records, earlier.seal.Digest)
	}
	if end := max(earlier.end, outputs.Spans(state.Spans).End()); end > seal.Records {
		return false, fmt.Errorf("%w: it has %d records and can't be sealed with %d", ErrSealed, end, seal.Records)
	}
	earlier.seal = seal
	return true, nil
}

// compareSeals returns ErrSealed if a seal differs from the stored one.
func compareSeals(seal *pb.Seal, records uint64, digest []byte) error {
	if seal.Records == records && bytes.Equal(seal.Digest, digest) {
		return nil
	}
	return fmt.Errorf("%w otherwise", ErrSealed)
}
