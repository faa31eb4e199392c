package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs/framing"
	pb "reedtrack/internal/outputs/outputsv1"
)

// A segment file is a header (magic, base) followed by a frame for each entry. The base is
// the lowest LSN in the segment. Entries of the preceding segment with that LSN or a
// higher one were never acknowledged: their write failed, and the numbers were assigned
// again.
const (
	segmentMagic = "RTSEG1\r\n"
	headerBytes  = len(segmentMagic) + 8
)

// Extensions of segment files.
const (
	logExt     = ".seg" // written by Put
	compactExt = ".cmp" // written by compaction
)

// ErrDamaged means that the data on disk is not what was written.
var ErrDamaged = framing.ErrDamaged

// appendFrame appends an encoded entry to a buffer.
func appendFrame(to []byte, e *pb.Entry) ([]byte, error) {
	start := len(to)
	to, err := proto.MarshalOptions{}.MarshalAppend(framing.BeginFrame(to), e)
	if err != nil {
		return nil, err
	}
	if n := len(to) - start - framing.HeaderSize; n > framing.MaxBodySize {
		return nil, fmt.Errorf("entry of %d bytes", n)
	}
	framing.EndFrame(to, start)
	return to, nil
}

// segment is a file of entries. Readers hold a reference while they read. The file is
// removed once the index references nothing in it and the last reader has released it.
type segment struct {
	id   uint32
	file File
	name string
	fs   FS

	mu      sync.Mutex
	readers int
	removed bool // remove was called; the file is deleted once it has no readers
	closed  bool
}

// segmentInfo is a segment and the metadata of its content. Store.mu guards it.
type segmentInfo struct {
	*segment
	size      uint64
	liveBytes uint64 // referenced by the index or the in-memory state
	compacted bool
	base      uint64    // no entry in it has a lower LSN
	endedAt   time.Time // zero while it is being written
	dirty     bool      // changed since the last checkpoint
}

// acquire takes a read reference to a segment. It fails if the segment is being removed.
func (s *segment) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed {
		return false
	}
	s.readers++
	return true
}

// release returns a reference taken by acquire.
func (s *segment) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.closeIfUnused()
}

// remove deletes the segment once it has no readers.
func (s *segment) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	s.closeIfUnused()
}

func (s *segment) closeIfUnused() {
	if s.removed && s.readers == 0 && !s.closed {
		s.closed = true
		s.file.Close()
		s.fs.Remove(s.name) // after an error the file is removed at the next start
	}
}

// read reads the entry at a place.
func (s *segment) read(p *pb.Place) (*pb.Entry, error) {
	buf := make([]byte, p.Length)
	if _, err := s.file.ReadAt(buf, int64(p.Offset)); err != nil {
		// An unreadable sector is treated like one with wrong content.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EIO) {
			return nil, ErrDamaged
		}
		return nil, err
	}
	body, n, err := framing.DecodeFrame(buf)
	e := new(pb.Entry)
	if err != nil || n != len(buf) || proto.Unmarshal(body, e) != nil {
		return nil, ErrDamaged
	}
	return e, nil
}

// createSegment creates a segment file for entries with LSNs from base on.
func (s *Store) createSegment(base uint64, ext string) (*segment, error) {
	s.mu.Lock()
	id := s.nextSegment
	s.nextSegment++
	s.mu.Unlock()
	name := segmentPath(s.options.Dir, id, ext)
	f, err := s.fs.Create(name)
	if err != nil {
		return nil, err
	}
	if err := s.writeHeader(f, base); err != nil {
		f.Close()
		s.fs.Remove(name)
		return nil, err
	}
	return &segment{id: id, file: f, name: name, fs: s.fs}, nil
}

// writeHeader writes the header of a new segment, and syncs the file and its directory.
func (s *Store) writeHeader(f File, base uint64) error {
	if _, err := f.WriteAt(encodeHeader(base), 0); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return s.fs.SyncDir(s.options.Dir)
}

// acquireSegment returns a segment with a read reference, or nil if it has been removed.
func (s *Store) acquireSegment(id uint32) *segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.segments[id]; g != nil && g.acquire() {
		return g.segment
	}
	return nil
}

// readEntry reads an entry. It returns ErrNotFound if compaction has removed its segment.
func (s *Store) readEntry(p *pb.Place) (*pb.Entry, error) {
	g := s.acquireSegment(p.Segment)
	if g == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.missingSegments[p.Segment] {
			return nil, ErrDamaged
		}
		return nil, ErrNotFound
	}
	defer g.release()
	return g.read(p)
}

func sortedSegmentIDs(m map[uint32]*segmentInfo) []uint32 { return slices.Sorted(maps.Keys(m)) }

func segmentPath(dir string, id uint32, ext string) string {
	return filepath.Join(dir, fmt.Sprintf("%010d%s", id, ext))
}

// parseSegmentName parses the ID and the kind of a segment from its file name.
func parseSegmentName(name string) (id uint32, compacted, ok bool) {
	ext := filepath.Ext(name)
	n, err := strconv.ParseUint(strings.TrimSuffix(name, ext), 10, 32)
	return uint32(n), ext == compactExt, err == nil && (ext == logExt || ext == compactExt)
}

// scanSegment reads a segment's entries from an offset; see [framing.Scan].
func scanSegment(f File, from int64, visit func(e *pb.Entry, offset int64, length int) error) (end int64, bad []framing.Range, err error) {
	size, err := f.Size()
	if err != nil {
		return 0, nil, err
	}
	return framing.Scan(f, from, size, func(body []byte, offset int64, length int) error {
		e := new(pb.Entry)
		if proto.Unmarshal(body, e) != nil {
			return ErrDamaged
		}
		return visit(e, offset, length)
	})
}

// readHeader verifies a segment's magic and returns its base.
func readHeader(f File) (base uint64, err error) {
	header := make([]byte, headerBytes)
	if _, err := f.ReadAt(header, 0); err != nil || string(header[:len(segmentMagic)]) != segmentMagic {
		return 0, ErrDamaged
	}
	return binary.LittleEndian.Uint64(header[len(segmentMagic):]), nil
}

func encodeHeader(base uint64) []byte {
	return binary.LittleEndian.AppendUint64([]byte(segmentMagic), base)
}
