package disk

import (
	"bytes"
	"maps"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// evictInterval is the minimum time between two evictions of unused attempts.
	evictInterval = 10 * time.Second
	// evictAfter is the idle time after which an attempt is evicted from memory.
	evictAfter = 30 * time.Second
)

// checkpointData is the set of changes that a checkpoint writes to the index.
type checkpointData struct {
	attempts   []attemptChange
	chunks     map[string]*pb.Place
	lostChunks map[string]*pb.Place
	segments   map[uint32]*pb.SegmentState
	teamBytes  map[string]uint64
	position   *pb.Position
}

// attemptChange is the part of a checkpoint that concerns one attempt.
type attemptChange struct {
	attempt       *attempt
	state         []byte
	id            uint64
	failed        bool
	seal          *pb.Seal
	newBlocks     []blockRef
	damagedBlocks map[uint64]*pb.Place
	drop          bool
}

// Checkpoint writes all changes since the last checkpoint to the index, in one
// transaction.
func (s *Store) Checkpoint() error {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	data := s.takeChanges()
	if data == nil {
		return nil
	}
	var freed []*pb.Place // places of the blocks of dropped attempts
	err := s.fs.Transact(func() error {
		return s.db.Update(func(tx *bbolt.Tx) (err error) {
			freed, err = data.writeTo(tx)
			return err
		})
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.restoreChanges(data)
		return err
	}
	s.finishCheckpoint(data)
	for _, p := range freed {
		s.releasePlace(p)
	}
	s.evictAttempts(s.options.Now())
	return nil
}

// takeChanges collects the changes since the last checkpoint. It returns nil if there are
// none.
func (s *Store) takeChanges() *checkpointData {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := &checkpointData{
		chunks:     maps.Clone(s.newChunks),
		lostChunks: maps.Clone(s.lostChunks),
		segments:   map[uint32]*pb.SegmentState{},
		teamBytes:  map[string]uint64{},
	}
	for _, a := range s.dirtyAttempts {
		if a.dirty {
			data.attempts = append(data.attempts, s.takeAttempt(a))
		}
	}
	for id, g := range s.segments {
		if g.dirty {
			g.dirty = false
			data.segments[id] = &pb.SegmentState{Size: g.size, Live: g.liveBytes, Compacted: g.compacted}
		}
	}
	if len(data.attempts)+len(data.chunks)+len(data.lostChunks)+len(data.segments) == 0 {
		return nil // a change of team bytes alone waits for the next checkpoint
	}
	for team := range s.dirtyTeams {
		data.teamBytes[team] = s.teamBytes[team]
	}
	clear(s.dirtyTeams)
	data.position = proto.CloneOf(s.position)
	return data
}

// takeAttempt collects the changes of an attempt. The caller holds mu.
func (s *Store) takeAttempt(a *attempt) attemptChange {
	a.dirty = false
	if a.dropReason != "" && !a.removedFromCounts {
		a.removedFromCounts = true
		s.position.Attempts--
		s.addAttemptBytes(a.key, -int64(a.state.StoredBytes))
	}
	state, _ := proto.Marshal(a.state)
	return attemptChange{
		attempt:       a,
		state:         state,
		id:            a.state.Id,
		failed:        a.state.Sealed && a.state.Exit != 0,
		seal:          a.seal,
		newBlocks:     a.newBlocks[:len(a.newBlocks):len(a.newBlocks)],
		damagedBlocks: maps.Clone(a.damagedBlocks),
		drop:          a.dropReason != "",
	}
}

// restoreChanges marks changes as pending again after a failed transaction. The caller
// holds mu.
func (s *Store) restoreChanges(data *checkpointData) {
	for _, c := range data.attempts {
		s.markDirty(c.attempt)
	}
	for id := range data.segments {
		if g := s.segments[id]; g != nil {
			g.dirty = true
		}
	}
	for team := range data.teamBytes {
		s.dirtyTeams[team] = true
	}
}

// finishCheckpoint releases the in-memory copies of what is now in the index. Changes made
// during the transaction stay pending. The caller holds mu.
func (s *Store) finishCheckpoint(data *checkpointData) {
	for _, c := range data.attempts {
		s.finishAttempt(c)
	}
	for key, p := range data.chunks {
		if s.newChunks[key] == p {
			delete(s.newChunks, key)
		}
	}
	for key, p := range data.lostChunks {
		if s.lostChunks[key] == p {
			delete(s.lostChunks, key)
		}
	}
}

func (s *Store) finishAttempt(c attemptChange) {
	a := c.attempt
	if !a.dirty {
		delete(s.dirtyAttempts, a.key)
		if a.state.Sealed && a.watcher == nil { // sealed attempts are rarely read again soon
			delete(s.attempts, a.key)
		}
	}
	if c.drop {
		delete(s.attempts, a.key)
		return
	}
	a.newBlocks = withoutWritten(a.newBlocks, c.newBlocks)
	if a.seal == c.seal {
		a.seal = nil
	}
	for first, p := range c.damagedBlocks {
		if a.damagedBlocks[first] == p {
			delete(a.damagedBlocks, first)
		}
	}
}

// withoutWritten returns the blocks of a list that the last checkpoint did not write.
//
// Blocks are appended at the end, but any of them may be removed while the transaction
// runs, when a reader finds it damaged. Cutting the list by the number of blocks written
// would therefore also discard blocks that are not in the index yet.
func withoutWritten(blocks, written []blockRef) []blockRef {
	n := 0
	for _, ref := range written {
		if n < len(blocks) && blocks[n].place == ref.place {
			n++
		}
	}
	return blocks[n:]
}

// evictAttempts evicts attempts that were not used lately, at most once per evictInterval.
// The caller holds mu.
func (s *Store) evictAttempts(now time.Time) {
	if now.Sub(s.lastEvictionAt) < evictInterval {
		return
	}
	s.lastEvictionAt = now
	for key, a := range s.attempts {
		isUnused := !a.dirty && len(a.newBlocks) == 0 && a.watcher == nil
		if isUnused && now.Sub(a.usedAt) > evictAfter {
			delete(s.attempts, key)
		}
	}
}

// writeTo writes a checkpoint and returns the places of the blocks of dropped attempts.
func (d *checkpointData) writeTo(tx *bbolt.Tx) (freed []*pb.Place, err error) {
	for _, c := range d.attempts {
		if c.drop {
			places, err := c.deleteFrom(tx)
			if err != nil {
				return nil, err
			}
			freed = append(freed, places...)
		} else if err := c.writeTo(tx); err != nil {
			return nil, err
		}
	}
	chunks := tx.Bucket(bucketChunks)
	for key := range d.lostChunks {
		if err := chunks.Delete([]byte(key)); err != nil {
			return nil, err
		}
	}
	for key, p := range d.chunks {
		if err := putMessage(chunks, []byte(key), p); err != nil {
			return nil, err
		}
	}
	for id, state := range d.segments {
		if err := putMessage(tx.Bucket(bucketSegments), encodeUint32(id), state); err != nil {
			return nil, err
		}
	}
	for team, n := range d.teamBytes {
		if err := tx.Bucket(bucketTeams).Put([]byte(team), encodeUint64(n)); err != nil {
			return nil, err
		}
	}
	return freed, putMessage(tx.Bucket(bucketMeta), keyPosition, d.position)
}

// writeTo writes the changes of an attempt.
func (c *attemptChange) writeTo(tx *bbolt.Tx) error {
	key := []byte(c.attempt.key)
	if err := tx.Bucket(bucketAttempts).Put(key, c.state); err != nil {
		return err
	}
	blocks := tx.Bucket(bucketBlocks)
	for first, p := range c.damagedBlocks {
		k := blockKey(c.id, first)
		if indexed := new(pb.Place); getMessage(blocks, k, indexed) && samePlace(indexed, p) {
			if err := blocks.Delete(k); err != nil {
				return err
			}
		}
	}
	for _, ref := range c.newBlocks {
		if err := putMessage(blocks, blockKey(c.id, ref.first), ref.place); err != nil {
			return err
		}
	}
	if c.seal == nil {
		return nil
	}
	return c.writeSeal(tx)
}

// writeSeal writes an attempt's seal and its references to chunks.
func (c *attemptChange) writeSeal(tx *bbolt.Tx) error {
	key := []byte(c.attempt.key)
	if c.failed {
		if err := tx.Bucket(bucketFailed).Put(key, nil); err != nil {
			return err
		}
	}
	for _, use := range c.chunkUses(c.seal) {
		if err := tx.Bucket(bucketUses).Put(use, key); err != nil {
			return err
		}
	}
	return putMessage(tx.Bucket(bucketSeals), key, c.seal)
}

// chunkUses returns the keys in bucketUses for the chunks that a seal references.
func (c *attemptChange) chunkUses(seal *pb.Seal) [][]byte {
	var uses [][]byte
	team := teamOfKey(c.attempt.key)
	for _, artefact := range seal.Artefacts {
		for _, hash := range artefact.Chunks {
			uses = append(uses, append(chunkKey(team, hash), encodeUint64(c.id)...))
		}
	}
	return uses
}

// deleteFrom deletes an attempt from the index and returns the places of its blocks. Its
// chunks are kept until Options.OrphanRetention has passed without use: the writer of another
// attempt may have been informed that they are stored, and be about to reference them.
func (c *attemptChange) deleteFrom(tx *bbolt.Tx) (freed []*pb.Place, err error) {
	key := []byte(c.attempt.key)
	for _, ref := range c.newBlocks {
		freed = append(freed, ref.place)
	}
	indexed, err := deleteBlocks(tx.Bucket(bucketBlocks), c.id)
	if err != nil {
		return nil, err
	}
	freed = append(freed, indexed...)
	if seal := new(pb.Seal); getMessage(tx.Bucket(bucketSeals), key, seal) {
		for _, use := range c.chunkUses(seal) {
			if err := tx.Bucket(bucketUses).Delete(use); err != nil {
				return nil, err
			}
		}
	}
	for _, bucket := range [][]byte{bucketAttempts, bucketFailed, bucketSeals} {
		if err := tx.Bucket(bucket).Delete(key); err != nil {
			return nil, err
		}
	}
	return freed, nil
}

// deleteBlocks deletes all blocks of an attempt and returns their places.
func deleteBlocks(blocks *bbolt.Bucket, id uint64) (places []*pb.Place, err error) {
	var keys [][]byte
	cursor, prefix := blocks.Cursor(), encodeUint64(id)
	for k, v := cursor.Seek(prefix); k != nil && bytes.HasPrefix(k, prefix); k, v = cursor.Next() {
		p := new(pb.Place)
		if proto.Unmarshal(v, p) == nil {
			places = append(places, p)
		}
		keys = append(keys, bytes.Clone(k)) // deleted after the iteration: a deletion moves the cursor
	}
	for _, k := range keys {
		if err := blocks.Delete(k); err != nil {
			return nil, err
		}
	}
	return places, nil
}
