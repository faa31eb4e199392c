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

// flushEvery is after how many entries read again the index is written.
const flushEvery = 20000

// recover takes up what the index says and reads what it does not cover yet. An
// index that was made anew is filled from all segments.
func (s *Store) recover() error {
	started := time.Now()
	known := map[uint32]*pb.SegmentState{}
	fresh := true
	err := s.db.View(func(tx *bbolt.Tx) error {
		fresh = tx.Bucket(bMeta).Get(kPosition) == nil
		s.at = getPosition(tx)
		tx.Bucket(bTeams).ForEach(func(k, v []byte) error {
			s.teams[string(k)] = binary.BigEndian.Uint64(v)
			return nil
		})
		return tx.Bucket(bSegments).ForEach(func(k, v []byte) error {
			st := new(pb.SegmentState)
			if err := proto.Unmarshal(v, st); err != nil {
				return err
			}
			known[binary.BigEndian.Uint32(k)] = st
			return nil
		})
	})
	if err != nil {
		return err
	}
	rebuild := fresh || s.at.Rebuilding
	names, err := s.fs.List(s.opt.Dir)
	if err != nil {
		return err
	}
	var logs, compacted []uint32
	for _, name := range names {
		id, isCompacted, ok := parseSegName(name)
		if !ok {
			continue
		}
		s.nextSeg = max(s.nextSeg, id+1)
		path := filepath.Join(s.opt.Dir, name)
		// A compaction counts once the index has it; what it replaced is
		// removed after that.
		if !rebuild && known[id] == nil && (isCompacted || id <= s.at.Segment) {
			slog.Info("removing a segment that was replaced", "segment", path)
			if err := s.fs.Remove(path); err != nil {
				return err
			}
			continue
		}
		f, err := s.fs.Open(path)
		if err != nil {
			return err
		}
		size, err := f.Size()
		if err != nil {
			return err
		}
		base, err := readHead(f)
		if err != nil {
			slog.Error("segment without a head", "segment", path)
		}
		g := &segInfo{segment: &segment{id: id, file: f, name: path, fs: s.fs}, size: uint64(size), compacted: isCompacted, base: base, dirty: true, ended: s.opt.Now()}
		if st := known[id]; st != nil && !rebuild {
			g.live = st.Live
		}
		s.segs[id] = g
		s.total += g.size
		if isCompacted {
			compacted = append(compacted, id)
		} else {
			logs = append(logs, id)
		}
	}
	for id := range known {
		if s.segs[id] == nil && !rebuild {
			slog.Error("segment is not there, what it held is lost here", "segment", id)
			s.missing[id] = true
			s.damaged++
		}
	}
	slices.Sort(logs)
	slices.Sort(compacted)
	if rebuild {
		s.at.Rebuilding, s.at.Segment, s.at.Offset = len(s.segs) > 0, 0, 0
		if err := s.rebuild(compacted, logs); err != nil {
			return err
		}
	} else if err := s.replay(logs); err != nil {
		return err
	}
	s.at.Rebuilding = false
	s.nextSeg = max(s.nextSeg, s.at.Segment+1)
	if err := s.flush(); err != nil {
		return err
	}
	slog.Info("store opened", "dir", s.opt.Dir, "segments", len(s.segs), "mb", s.total>>20, "lsn", s.at.Lsn, "rebuilt", rebuild && len(s.segs) > 0, "took", time.Since(started).Round(time.Millisecond))
	return nil
}

// replay reads the log segments from the index's position on.
func (s *Store) replay(logs []uint32) error {
	from := *proto.CloneOf(s.at)
	for i, id := range logs {
		if id < from.Segment {
			continue
		}
		offset := int64(headBytes)
		if id == from.Segment {
			offset = max(offset, int64(from.Offset))
		}
		if err := s.readLog(id, offset, s.baseAfter(logs[i+1:]), nil); err != nil {
			return err
		}
	}
	return nil
}

// rebuild reads everything: compacted segments first and the newest of them
// before those that it may have replaced, then the logs in order.
func (s *Store) rebuild(compacted, logs []uint32) error {
	// What was dropped stays so, wherever its entries stand.
	drops := map[string]uint64{}
	for _, id := range slices.Concat(compacted, logs) {
		_, _, err := scan(s.segs[id].file, int64(headBytes), func(e *pb.Entry, _ int64, _ int) error {
			if e.GetDrop() != nil {
				drops[string(e.Key)] = max(drops[string(e.Key)], e.Lsn)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	slices.Reverse(compacted)
	for _, id := range compacted {
		if err := s.readLog(id, int64(headBytes), 0, drops); err != nil {
			return err
		}
	}
	for i, id := range logs {
		if err := s.readLog(id, int64(headBytes), s.baseAfter(logs[i+1:]), drops); err != nil {
			return err
		}
	}
	return nil
}

// baseAfter is the first number that entries of a log can't have, since it and
// those after it were given again; 0: none.
func (s *Store) baseAfter(later []uint32) uint64 {
	for _, id := range later {
		if b := s.segs[id].base; b > 0 {
			return b
		}
	}
	return 0
}

// readLog applies the entries of a segment. With drops, what was dropped later is
// left out.
func (s *Store) readLog(id uint32, offset int64, below uint64, drops map[string]uint64) error {
	g := s.segs[id]
	n, now := 0, s.opt.Now()
	end, bad, err := scan(g.file, offset, func(e *pb.Entry, at int64, length int) error {
		if below > 0 && e.Lsn >= below {
			return nil
		}
		p := &pb.Place{Segment: id, Offset: uint32(at), Length: uint32(length)}
		if b := e.GetBlock(); b != nil {
			p.Count, p.Tally = b.Count, b.Tally
		} else if c := e.GetChunk(); c != nil {
			p.Size, p.PutS = c.Size, now.Unix()
		}
		s.mu.Lock()
		s.at.Lsn = max(s.at.Lsn, e.Lsn)
		if e.GetChunk() != nil || drops == nil || e.Lsn > drops[string(e.Key)] {
			s.apply(e, p, now)
		}
		s.mu.Unlock()
		if n++; n%flushEvery == 0 && s.at.Rebuilding {
			return s.flush()
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, d := range bad {
		s.damaged++
		slog.Error("damaged part of a segment passed over", "segment", g.name, "from", d.From, "to", d.To)
	}
	if !g.compacted {
		s.at.Segment, s.at.Offset = id, uint64(end)
		if end < int64(g.size) {
			slog.Info("the last write was torn, or never acknowledged", "segment", g.name, "from", end, "to", g.size)
		}
	}
	return nil
}
