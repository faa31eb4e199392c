package disk

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

// maxRelocationRetries is how often a read is retried because compaction has moved the
// entry.
const maxRelocationRetries = 3

// MissingChunks returns which of a team's chunks are not stored. Chunks that are stored
// are kept for at least half of Options.OrphanRetention even if no attempt references them,
// since the caller is about to reference them.
func (s *Store) MissingChunks(team string, hashes [][]byte) [][]byte {
	var missing [][]byte
	now := s.options.Now().Unix()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.db.View(func(tx *bbolt.Tx) error {
		chunks := tx.Bucket(bucketChunks)
		for _, hash := range hashes {
			key := chunkKey(team, hash)
			if s.newChunks[string(key)] != nil {
				continue
			}
			place := new(pb.Place)
			if s.lostChunks[string(key)] != nil || !getMessage(chunks, key, place) {
				missing = append(missing, hash)
				continue
			}
			// Refreshed only after half of the retention time, because each refresh is
			// written to the index.
			if now-place.PutS > int64(s.options.OrphanRetention.Seconds())/2 {
				place.PutS = now
				s.newChunks[string(key)] = place
			}
		}
		return nil
	})
	return missing
}

// Chunk reads a chunk. It returns ErrNotFound if the chunk is not stored, or no longer.
func (s *Store) Chunk(team string, hash []byte) (*pb.Chunk, error) {
	key := string(chunkKey(team, hash))
	for range maxRelocationRetries {
		place := s.chunkPlace(key)
		if place == nil {
			return nil, ErrNotFound
		}
		e, err := s.readEntry(place)
		if err == nil && !bytes.Equal(e.GetChunk().GetSha256(), hash) {
			err = ErrDamaged
		}
		switch {
		case err == nil:
			return e.GetChunk(), nil
		case errors.Is(err, ErrNotFound):
			continue
		case errors.Is(err, ErrDamaged):
			s.markChunkDamaged(key, place)
		}
		return nil, err
	}
	return nil, ErrNotFound
}

// chunkPlace returns the place of a chunk, or nil if it is not stored.
func (s *Store) chunkPlace(key string) *pb.Place {
	s.mu.Lock()
	defer s.mu.Unlock()
	if place := s.newChunks[key]; place != nil {
		return place
	}
	if s.lostChunks[key] != nil {
		return nil
	}
	return s.indexedChunk(key)
}

// indexedChunk returns the place of a chunk according to the index, or nil if it is not in
// the index.
func (s *Store) indexedChunk(key string) *pb.Place {
	place := new(pb.Place)
	found := false
	s.db.View(func(tx *bbolt.Tx) error {
		found = getMessage(tx.Bucket(bucketChunks), []byte(key), place)
		return nil
	})
	if !found {
		return nil
	}
	return place
}

// markChunkDamaged marks a damaged chunk as missing, so that repair copies it from another
// member.
func (s *Store) markChunkDamaged(key string, p *pb.Place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newer := s.newChunks[key]; newer != nil && !samePlace(newer, p) || s.lostChunks[key] != nil {
		return
	}
	slog.Error("chunk is damaged", "segment", p.Segment, "offset", p.Offset)
	s.damagedEntries++
	s.version++
	delete(s.newChunks, key)
	s.lostChunks[key] = p
	s.addTeamBytes(teamOfChunk([]byte(key)), -int64(p.Length))
	s.releasePlace(p)
	for _, user := range s.chunkUsers(key) {
		if a := s.loadAttempt(user); a != nil {
			a.state.Whole = false
			s.markDirty(a)
		}
	}
	// Attempts whose seal is not in the index yet may reference it too.
	for _, a := range s.attempts {
		if a.seal != nil && a.state.Whole && len(a.seal.Artefacts) > 0 {
			a.state.Whole = false
			s.markDirty(a)
		}
	}
}

// chunkUsers returns the keys of the attempts that reference a chunk according to the
// index.
func (s *Store) chunkUsers(key string) []string {
	var users []string
	s.db.View(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(bucketUses).Cursor()
		for k, v := cursor.Seek([]byte(key)); k != nil && strings.HasPrefix(string(k), key); k, v = cursor.Next() {
			users = append(users, string(v))
		}
		return nil
	})
	return users
}

func samePlace(a, b *pb.Place) bool { return a.Segment == b.Segment && a.Offset == b.Offset }

// orphanChunk is a chunk that no attempt references.
type orphanChunk struct {
	key   []byte
	place *pb.Place
}

// RemoveOrphanChunks removes the chunks that no attempt has referenced for
// Options.OrphanRetention, and returns their number.
func (s *Store) RemoveOrphanChunks() (int, error) {
	// A seal that is not in the index yet may reference one.
	if err := s.Checkpoint(); err != nil {
		return 0, err
	}
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	before := s.options.Now().Add(-s.options.OrphanRetention).Unix()
	var orphans []orphanChunk
	err := s.fs.Transact(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			chunks := tx.Bucket(bucketChunks)
			orphans = findOrphans(chunks, tx.Bucket(bucketUses), before)
			for _, o := range orphans {
				if err := chunks.Delete(o.key); err != nil {
					return err
				}
			}
			return nil
		})
	})
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range orphans {
		// A chunk that has been requested since is in memory and is added to the index
		// again by the next checkpoint; no segment is removed before that.
		if s.newChunks[string(o.key)] == nil {
			s.releasePlace(o.place)
			s.addTeamBytes(teamOfChunk(o.key), -int64(o.place.Length))
		}
	}
	return len(orphans), nil
}

// findOrphans returns the chunks that were written before a time, in Unix seconds, and
// that no attempt references.
func findOrphans(chunks, uses *bbolt.Bucket, before int64) []orphanChunk {
	var orphans []orphanChunk
	users := uses.Cursor()
	cursor := chunks.Cursor()
	for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
		place := new(pb.Place)
		if proto.Unmarshal(v, place) != nil || place.PutS > before {
			continue
		}
		if user, _ := users.Seek(k); user != nil && bytes.HasPrefix(user, k) {
			continue
		}
		orphans = append(orphans, orphanChunk{key: bytes.Clone(k), place: place})
	}
	return orphans
}
