package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	pb "reedtrack/internal/outputs/outputsv1"
)

// A segment is a head (mark, base) and entries, each (mark, length, checksum,
// message). The base is the first number of an entry in it: what follows in the
// segment before with such a number was never acknowledged.
const (
	segMark   = "RTSEG1\r\n"
	headBytes = len(segMark) + 8
	entryMark = 0x9d5b74e1 // not text, not zeroes
	frameHead = 12
	maxEntry  = 8 << 20
)

var crc = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged says that what stands on disk is not what was written there.
var ErrDamaged = errors.New("damaged on disk")

// frame appends an entry to a buffer as it stands in a segment.
func frame(to []byte, e *pb.Entry) ([]byte, error) {
	at := len(to)
	to = append(to, make([]byte, frameHead)...)
	to, err := proto.MarshalOptions{}.MarshalAppend(to, e)
	if err != nil {
		return nil, err
	}
	n := len(to) - at - frameHead
	if n > maxEntry {
		return nil, fmt.Errorf("entry of %d bytes", n)
	}
	h := to[at:]
	binary.LittleEndian.PutUint32(h, entryMark)
	binary.LittleEndian.PutUint32(h[4:], uint32(n))
	binary.LittleEndian.PutUint32(h[8:], sum(h[4:8], h[frameHead:]))
	return to, nil
}

func sum(length, body []byte) uint32 { return crc32.Update(crc32.Checksum(length, crc), crc, body) }

// unframe reads the entry at the beginning of a buffer and its length in the
// segment. io.ErrUnexpectedEOF: the buffer ends before the entry may.
func unframe(b []byte) (*pb.Entry, int, error) {
	if len(b) < frameHead {
		return nil, 0, io.ErrUnexpectedEOF
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if binary.LittleEndian.Uint32(b) != entryMark || n > maxEntry {
		return nil, 0, ErrDamaged
	}
	if len(b) < frameHead+int(n) {
		return nil, 0, io.ErrUnexpectedEOF
	}
	body := b[frameHead : frameHead+n]
	if binary.LittleEndian.Uint32(b[8:]) != sum(b[4:8], body) {
		return nil, 0, ErrDamaged
	}
	e := new(pb.Entry)
	if err := proto.Unmarshal(body, e); err != nil {
		return nil, 0, ErrDamaged
	}
	return e, frameHead + int(n), nil
}

// segment is a file of entries. Readers hold it while they read; it is removed
// once the index points to nothing in it and the last reader has let go.
type segment struct {
	id   uint32
	file File
	name string

	mu      sync.Mutex
	readers int
	gone    bool
	closed  bool
	fs      FS
}

func (s *segment) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return false
	}
	s.readers++
	return true
}

func (s *segment) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.end()
}

// remove deletes the segment when nobody reads it any more.
func (s *segment) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	s.end()
}

func (s *segment) end() {
	if s.gone && s.readers == 0 && !s.closed {
		s.closed = true
		s.file.Close()
		s.fs.Remove(s.name) // one that stays is removed at the next start
	}
}

// read reads the entry at a place.
func (s *segment) read(p *pb.Place) (*pb.Entry, error) {
	buf := make([]byte, p.Length)
	if _, err := s.file.ReadAt(buf, int64(p.Offset)); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, ErrDamaged
		}
		return nil, err
	}
	e, n, err := unframe(buf)
	if err != nil || n != len(buf) {
		return nil, ErrDamaged
	}
	return e, nil
}

const (
	logExt     = ".seg"
	compactExt = ".cmp"
)

func segName(dir string, id uint32, ext string) string {
	return filepath.Join(dir, fmt.Sprintf("%010d%s", id, ext))
}

// parseSegName tells the number and kind of a segment from its file's name.
func parseSegName(name string) (id uint32, compacted, ok bool) {
	ext := filepath.Ext(name)
	n, err := strconv.ParseUint(strings.TrimSuffix(name, ext), 10, 32)
	return uint32(n), ext == compactExt, err == nil && (ext == logExt || ext == compactExt)
}

// damage is a range of a segment in which no entry could be read.
type damage struct{ from, to int64 }

// scan reads a segment's entries from an offset on. It passes over what is
// damaged and goes on at the next entry that is not. It returns the end of the
// last good entry: what follows is a write that was torn.
func scan(f File, from int64, each func(e *pb.Entry, offset int64, length int) error) (end int64, bad []damage, err error) {
	size, err := f.Size()
	if err != nil {
		return 0, nil, err
	}
	buf, at := []byte(nil), from // buf holds what stands at at
	fill := func(want int) error {
		if len(buf) >= want {
			return nil
		}
		more := make([]byte, max(want, 1<<20))
		n := copy(more, buf)
		got, err := f.ReadAt(more[n:], at+int64(n))
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		buf = more[:n+got]
		return nil
	}
	end = from
	lost := int64(-1)
	for at < size {
		if err := fill(frameHead); err != nil {
			return end, bad, err
		}
		e, n, err := unframe(buf)
		if errors.Is(err, io.ErrUnexpectedEOF) && at+int64(len(buf)) < size && len(buf) >= frameHead {
			if err := fill(frameHead + int(binary.LittleEndian.Uint32(buf[4:]))); err != nil {
				return end, bad, err
			}
			e, n, err = unframe(buf)
		}
		if err != nil {
			if lost < 0 {
				lost = at
			}
			// The next mark, which may also stand in the data by chance: the
			// checksum tells.
			skip := 1
			if len(buf) > 1 {
				skip += nextMark(buf[1:])
			}
			at += int64(skip)
			buf = buf[min(skip, len(buf)):]
			continue
		}
		if lost >= 0 {
			bad = append(bad, damage{lost, at})
			lost = -1
		}
		if err := each(e, at, n); err != nil {
			return end, bad, err
		}
		at += int64(n)
		buf = buf[n:]
		end = at
	}
	return end, bad, nil
}

// nextMark is how far the next possible mark is away.
func nextMark(b []byte) int {
	const first = byte(entryMark & 0xff)
	for i := range b {
		if b[i] == first && (i+4 > len(b) || binary.LittleEndian.Uint32(b[i:]) == entryMark) {
			return i
		}
	}
	return len(b)
}

// readHead checks a segment's head and returns its base.
func readHead(f File) (uint64, error) {
	head := make([]byte, headBytes)
	if _, err := f.ReadAt(head, 0); err != nil || string(head[:len(segMark)]) != segMark {
		return 0, ErrDamaged
	}
	return binary.LittleEndian.Uint64(head[len(segMark):]), nil
}

func head(base uint64) []byte { return binary.LittleEndian.AppendUint64([]byte(segMark), base) }
