package disk

import (
	"bytes"
	"context"
	"errors"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Limiter throttles background work. It is called before each operation with the number of
// bytes to be read or written, and waits until they are allowed. It returns an error to
// stop the work.
type Limiter func(ctx context.Context, bytes int) error

// ScrubResult is the result of a scrub.
type ScrubResult struct {
	Entries    int      // entries read
	Damaged    int      // of these; treated as missing from now on
	Mismatched [][]byte // keys of complete attempts whose records do not match the seal's digest
}

// allSegments selects all segments; segment IDs start at 1.
const allSegments = 0

// Scrub reads everything that the index references once, marks damaged entries as missing,
// and compares complete attempts with the digests in their seals.
func (s *Store) Scrub(ctx context.Context, limit Limiter) (ScrubResult, error) {
	return s.scrubSegment(ctx, limit, allSegments)
}

// scrub is one pass of scrubbing.
type scrub struct {
	store   *Store
	limit   Limiter
	segment uint32 // the only one to read, or allSegments
	result  ScrubResult
}

// scrubSegment is Scrub limited to one segment, without the comparison of digests. With
// allSegments it is the same as Scrub.
func (s *Store) scrubSegment(ctx context.Context, limit Limiter, segment uint32) (ScrubResult, error) {
	pass := &scrub{store: s, limit: limit, segment: segment}
	err := pass.attempts(ctx)
	if err == nil {
		err = pass.chunks(ctx)
	}
	return pass.result, err
}

// attempts reads the blocks of all attempts.
func (p *scrub) attempts(ctx context.Context) error {
	var after []byte
	for {
		key, state, refs := p.store.nextIndexedAttempt(after, p.segment)
		if key == nil {
			return nil
		}
		after = key
		if err := p.attempt(ctx, key, state, refs); err != nil {
			return err
		}
	}
}

// attempt reads the blocks of an attempt and compares them with its seal.
func (p *scrub) attempt(ctx context.Context, key []byte, state *pb.AttemptState, refs []blockRef) error {
	digest, next := outputs.NewDigest(), uint64(0)
	for _, ref := range refs {
		e, damaged, err := p.read(ctx, ref.place)
		if err != nil {
			return err
		}
		if damaged {
			p.store.markBlockDamaged(key, ref)
		}
		if b := e.GetBlock(); b != nil && b.First == next && p.segment == allSegments {
			if records, err := outputs.Unpack(b); err == nil {
				for _, rec := range records {
					digest.Add(rec)
				}
				next += uint64(len(records))
			}
		}
	}
	isRead := p.segment == allSegments && state.Sealed && next == state.Records
	if isRead && !bytes.Equal(digest.Sum(), state.Digest) && !outputs.IsUnknownDigest(state.Digest) {
		p.result.Mismatched = append(p.result.Mismatched, key)
	}
	return nil
}

// chunks reads all chunks.
func (p *scrub) chunks(ctx context.Context) error {
	var after []byte
	for {
		key, place := p.store.nextIndexedChunk(after)
		if key == nil {
			return nil
		}
		after = key
		if p.segment != allSegments && place.Segment != p.segment {
			continue
		}
		_, damaged, err := p.read(ctx, place)
		if err != nil {
			return err
		}
		if damaged {
			p.store.markChunkDamaged(string(key), place)
		}
	}
}

// read reads an entry. The entry is nil if it is damaged, or if compaction has moved it;
// compaction has then read and verified it.
func (p *scrub) read(ctx context.Context, place *pb.Place) (e *pb.Entry, damaged bool, err error) {
	if err := p.limit(ctx, int(place.Length)); err != nil {
		return nil, false, err
	}
	p.result.Entries++
	e, err = p.store.readEntry(place)
	switch {
	case errors.Is(err, ErrDamaged):
		p.result.Damaged++
		return nil, true, nil
	case errors.Is(err, ErrNotFound):
		return nil, false, nil
	}
	return e, false, err
}

// nextIndexedAttempt returns the first attempt in the index after a key (nil: the first),
// with its blocks, or only those in one segment. The key is nil at the end.
func (s *Store) nextIndexedAttempt(after []byte, segment uint32) (key []byte, state *pb.AttemptState, refs []blockRef) {
	state = new(pb.AttemptState)
	s.db.View(func(tx *bbolt.Tx) error {
		k, v := seekAfter(tx.Bucket(bucketAttempts).Cursor(), after)
		if k == nil || proto.Unmarshal(v, state) != nil {
			return nil
		}
		key = bytes.Clone(k)
		cursor, prefix := tx.Bucket(bucketBlocks).Cursor(), encodeUint64(state.Id)
		for k, v := cursor.Seek(prefix); k != nil && bytes.HasPrefix(k, prefix); k, v = cursor.Next() {
			place := new(pb.Place)
			if proto.Unmarshal(v, place) == nil && (segment == allSegments || place.Segment == segment) {
				refs = append(refs, blockRef{first: firstOfBlockKey(k), place: place})
			}
		}
		return nil
	})
	return key, state, refs
}

// nextIndexedChunk returns the first chunk in the index after a key (nil: the first). The
// key is nil at the end.
func (s *Store) nextIndexedChunk(after []byte) (key []byte, place *pb.Place) {
	place = new(pb.Place)
	s.db.View(func(tx *bbolt.Tx) error {
		k, v := seekAfter(tx.Bucket(bucketChunks).Cursor(), after)
		if k != nil && proto.Unmarshal(v, place) == nil {
			key = bytes.Clone(k)
		}
		return nil
	})
	return key, place
}

// seekAfter moves a cursor to the first key greater than after, or to the first key if
// after is nil.
func seekAfter(cursor *bbolt.Cursor, after []byte) (k, v []byte) {
	if after == nil {
		return cursor.First()
	}
	if k, v = cursor.Seek(after); k != nil && bytes.Equal(k, after) {
		return cursor.Next()
	}
	return k, v
}
