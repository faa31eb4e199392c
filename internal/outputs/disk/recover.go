package disk

import (
	"encoding/binary"
	"log/slog"
	"path/filepath"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

// rebuildCheckpointEntries is the number of entries between two checkpoints of a rebuild.
// It limits the state that is held in memory.
const rebuildCheckpointEntries = 20000

// recover loads the state from the index and replays the segments from its position. An
// index that is new, or whose rebuild was interrupted, is rebuilt from all segments.
func (s *Store) recover() error {
	started := time.Now()
	indexed, isNew, err := s.readIndexState()
	if err != nil {
		return err
	}
	rebuild := isNew || s.position.Rebuilding
	logs, compacted, err := s.openSegments(indexed, rebuild)
	if err != nil {
		return err
	}
	if rebuild {
		s.position.Rebuilding, s.position.Segment, s.position.Offset = len(s.segments) > 0, 0, 0
		err = s.rebuildIndex(compacted, logs)
	} else {
		s.recordMissingSegments(indexed)
		err = s.replayLogs(logs)
	}
	if err != nil {
		return err
	}
	s.position.Rebuilding = false
	s.nextSegment = max(s.nextSegment, s.position.Segment+1)
	if err := s.Checkpoint(); err != nil {
		return err
	}
	slog.Info("store opened", "dir", s.options.Dir, "segments", len(s.segments), "mb", s.segmentBytes>>20, "lsn", s.position.Lsn,
		"rebuilt", rebuild && len(s.segments) > 0, "took", time.Since(started).Round(time.Millisecond))
	return nil
}

// readIndexState reads the position, the teams and the segments from the index.
func (s *Store) readIndexState() (indexed map[uint32]*pb.SegmentState, isNew bool, err error) {
	indexed = map[uint32]*pb.SegmentState{}
	err = s.db.View(func(tx *bbolt.Tx) error {
		isNew = tx.Bucket(bucketMeta).Get(keyPosition) == nil
		s.position = getPosition(tx)
		tx.Bucket(bucketTeams).ForEach(func(k, v []byte) error {
			s.teamBytes[string(k)] = binary.BigEndian.Uint64(v)
			return nil
		})
		return tx.Bucket(bucketSegments).ForEach(func(k, v []byte) error {
			state := new(pb.SegmentState)
			if err := proto.Unmarshal(v, state); err != nil {
				return err
			}
			indexed[binary.BigEndian.Uint32(k)] = state
			return nil
		})
	})
	return indexed, isNew, err
}

// openSegments opens the segment files, removes those that a compaction has replaced or
// did not finish, and returns the IDs of the others in order.
func (s *Store) openSegments(indexed map[uint32]*pb.SegmentState, rebuild bool) (logs, compacted []uint32, err error) {
	names, err := s.fs.List(s.options.Dir)
	if err != nil {
		return nil, nil, err
	}
	for _, name := range names {
		id, isCompacted, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		s.nextSegment = max(s.nextSegment, id+1)
		path := filepath.Join(s.options.Dir, name)
		// A compaction takes effect when the index has its outputs; the inputs are removed
		// after that.
		if !rebuild && indexed[id] == nil && (isCompacted || id <= s.position.Segment) {
			slog.Info("replaced segment removed", "segment", path)
			if err := s.fs.Remove(path); err != nil {
				return nil, nil, err
			}
			continue
		}
		g, err := s.openSegment(path, id, isCompacted)
		if err != nil {
			return nil, nil, err
		}
		if state := indexed[id]; state != nil && !rebuild {
			g.liveBytes = state.Live
		}
		s.segments[id] = g
		s.segmentBytes += g.size
		if isCompacted {
			compacted = append(compacted, id)
		} else {
			logs = append(logs, id)
		}
	}
	slices.Sort(logs)
	slices.Sort(compacted)
	return logs, compacted, nil
}

func (s *Store) openSegment(path string, id uint32, compacted bool) (*segmentInfo, error) {
	f, err := s.fs.Open(path)
	if err != nil {
		return nil, err
	}
	size, err := f.Size()
	if err != nil {
		f.Close()
		return nil, err
	}
	base, err := readHeader(f)
	if err != nil {
		slog.Error("segment header damaged", "segment", path)
	}
	return &segmentInfo{
		segment:   &segment{id: id, file: f, name: path, fs: s.fs},
		size:      uint64(size),
		compacted: compacted,
		base:      base,
		dirty:     true,
		endedAt:   s.options.Now(),
	}, nil
}

// recordMissingSegments records the segments that the index references but that do not
// exist.
func (s *Store) recordMissingSegments(indexed map[uint32]*pb.SegmentState) {
	for id := range indexed {
		if s.segments[id] == nil {
			slog.Error("segment missing", "segment", id)
			s.missingSegments[id] = true
			s.damagedEntries++
		}
	}
}

// replayLogs applies the log segments from the index's position.
func (s *Store) replayLogs(logs []uint32) error {
	startSegment, startOffset := s.position.Segment, s.position.Offset
	for i, id := range logs {
		if id < startSegment {
			continue
		}
		offset := int64(headerBytes)
		if id == startSegment {
			offset = max(offset, int64(startOffset))
		}
		if err := s.applySegment(id, offset, s.baseAfter(logs[i+1:]), nil); err != nil {
			return err
		}
	}
	return nil
}

// rebuildIndex applies all segments: first the compacted ones, newest first so that an
// output comes before the segments it may have replaced, then the logs in order.
func (s *Store) rebuildIndex(compacted, logs []uint32) error {
	drops, err := s.readDrops(slices.Concat(compacted, logs))
	if err != nil {
		return err
	}
	for _, id := range slices.Backward(compacted) {
		if err := s.applySegment(id, int64(headerBytes), 0, drops); err != nil {
			return err
		}
	}
	for i, id := range logs {
		if err := s.applySegment(id, int64(headerBytes), s.baseAfter(logs[i+1:]), drops); err != nil {
			return err
		}
	}
	return nil
}

// readDrops returns, by key, the LSN of the last drop of each attempt. Entries older than
// that stay dropped, in whichever segment they are.
func (s *Store) readDrops(ids []uint32) (map[string]uint64, error) {
	drops := map[string]uint64{}
	for _, id := range ids {
		_, _, err := scanSegment(s.segments[id].file, int64(headerBytes), func(e *pb.Entry, _ int64, _ int) error {
			if e.GetDrop() != nil {
				drops[string(e.Key)] = max(drops[string(e.Key)], e.Lsn)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return drops, nil
}

// baseAfter returns the base of the first of the later logs that has one, or 0 if none
// has. Entries of the preceding log with that LSN or a higher one are invalid, since these
// numbers were assigned again.
func (s *Store) baseAfter(later []uint32) uint64 {
	for _, id := range later {
		if base := s.segments[id].base; base > 0 {
			return base
		}
	}
	return 0
}

// applySegment applies the entries of a segment from an offset whose LSN is lower than
// below (0: no bound). If drops is given, entries of attempts that were dropped later are
// skipped.
func (s *Store) applySegment(id uint32, offset int64, below uint64, drops map[string]uint64) error {
	g := s.segments[id]
	count, now := 0, s.options.Now()
	end, bad, err := scanSegment(g.file, offset, func(e *pb.Entry, at int64, length int) error {
		if below > 0 && e.Lsn >= below {
			return nil
		}
		s.replayEntry(e, newPlace(e, id, at, length, now), drops, now)
		if count++; count%rebuildCheckpointEntries == 0 && s.position.Rebuilding {
			return s.Checkpoint()
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, r := range bad {
		s.damagedEntries++
		slog.Error("damaged range skipped", "segment", g.name, "from", r.From, "to", r.To)
	}
	if !g.compacted {
		s.position.Segment, s.position.Offset = id, uint64(end)
		if end < int64(g.size) {
			slog.Info("unacknowledged write discarded", "segment", g.name, "from", end, "to", g.size)
		}
	}
	return nil
}

// replayEntry applies an entry, unless its attempt was dropped later.
func (s *Store) replayEntry(e *pb.Entry, place *pb.Place, drops map[string]uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position.Lsn = max(s.position.Lsn, e.Lsn)
	if e.GetChunk() != nil || drops == nil || e.Lsn > drops[string(e.Key)] {
		s.applyEntry(e, place, now)
	}
}
