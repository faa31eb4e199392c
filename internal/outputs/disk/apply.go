package disk

import (
	"time"

	"go.etcd.io/bbolt"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// applyEntry applies an entry that is already in a segment to the in-memory state, after a
// commit or during replay. The caller holds mu.
func (s *Store) applyEntry(e *pb.Entry, p *pb.Place, now time.Time) {
	s.version++
	key := string(e.Key)
	if c := e.GetChunk(); c != nil {
		s.applyChunk(key, c, p)
		return
	}
	if drop := e.GetDrop(); drop != nil {
		if a := s.loadAttempt(key); a != nil {
			a.dropReason = drop.Reason
			s.markChanged(a, now)
		}
		return
	}
	a := s.loadOrCreateAttempt(key)
	if !s.applyToAttempt(a, e, p) {
		return
	}
	if e.GetThin() == nil {
		a.state.StoredBytes += uint64(p.Length)
		s.addAttemptBytes(key, int64(p.Length))
	}
	s.markChanged(a, now)
}

func (s *Store) applyChunk(team string, c *pb.Chunk, p *pb.Place) {
	key := string(chunkKey(team, c.Sha256))
	if s.hasChunk(key) {
		return
	}
	delete(s.lostChunks, key)
	s.newChunks[key] = p
	s.addTeamBytes(team, int64(p.Length))
	s.addLiveBytes(p)
}

// applyToAttempt applies an entry to its attempt. It returns false for a duplicate, which
// changes nothing.
func (s *Store) applyToAttempt(a *attempt, e *pb.Entry, p *pb.Place) bool {
	switch w := e.What.(type) {
	case *pb.Entry_Open:
		if a.state.Meta == nil {
			a.state.Meta = w.Open
		}
	case *pb.Entry_Block:
		first, end := w.Block.First, w.Block.First+uint64(w.Block.Count)
		if a.spans().Missing(first, end).Count() != uint64(w.Block.Count) {
			return false // duplicate within a batch, or in two segments after a compaction
		}
		a.state.Spans = a.spans().Add(first, end)
		outputs.AddCounts(a.state.Tally, w.Block.Tally)
		a.newBlocks = append(a.newBlocks, blockRef{first: first, place: p})
		s.addLiveBytes(p)
	case *pb.Entry_Seal:
		if a.state.Sealed {
			return false
		}
		a.applySeal(w.Seal)
		s.addLiveBytes(p)
	case *pb.Entry_Thin:
		a.state.Thin = outputs.Spans(a.state.Thin).Add(w.Thin.From, w.Thin.To)
	}
	return true
}

func (a *attempt) applySeal(seal *pb.Seal) {
	st := a.state
	st.Sealed = true
	st.Records = seal.Records
	st.EndedNs = seal.EndedNs
	st.Exit = seal.Exit
	st.Signal = seal.Signal
	st.Cause = seal.Cause
	st.Digest = seal.Digest
	st.Artefacts = uint32(len(seal.Artefacts))
	st.Refused = uint32(len(seal.Refused))
	st.Whole = len(seal.Artefacts) == 0
	st.ReceivedNs = seal.ReceivedNs
	a.seal = seal
}

// addLiveBytes counts a place as live in its segment. The caller holds mu.
func (s *Store) addLiveBytes(p *pb.Place) {
	if g := s.segments[p.Segment]; g != nil {
		g.liveBytes += uint64(p.Length)
		g.dirty = true
	}
}

// releasePlace counts a place as dead in its segment. The caller holds mu.
func (s *Store) releasePlace(p *pb.Place) {
	if g := s.segments[p.Segment]; g != nil {
		g.liveBytes -= min(g.liveBytes, uint64(p.Length))
		g.dirty = true
	}
}

// hasChunk reports whether a chunk is stored. The caller holds mu.
func (s *Store) hasChunk(key string) bool {
	if s.newChunks[key] != nil {
		return true
	}
	if s.lostChunks[key] != nil {
		return false
	}
	has := false
	s.db.View(func(tx *bbolt.Tx) error {
		has = tx.Bucket(bucketChunks).Get([]byte(key)) != nil
		return nil
	})
	return has
}
