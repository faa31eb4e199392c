// Package framing encodes records in files so that torn and damaged ones are detected when
// they are read back.
//
// A frame is a header and a body. The header holds three little-endian 32-bit fields:
// [Magic], the length of the body, and a CRC-32C of the length and the body. A writer
// calls [BeginFrame], appends the body to the buffer, and calls [EndFrame]; a buffer may
// hold several frames. [Scan] reads a file back and resumes after damage at the next frame
// with a valid checksum.
package framing

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"sync"
)

const (
	// Magic starts a frame. It is neither text nor zeroes, which unwritten parts of a file
	// hold.
	Magic = 0x9d5b74e1
	// HeaderSize is the size of a frame without its body, in bytes.
	HeaderSize = 12
	// MaxBodySize limits the size of a body, so that a damaged length is detected rather
	// than read.
	MaxBodySize = 8 << 20
)

// Offsets of the header fields.
const (
	lengthOffset   = 4
	checksumOffset = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged means that there is no frame at an offset, or that its content is not what
// was written.
var ErrDamaged = errors.New("damaged on disk")

// BeginFrame appends space for a header to a buffer. The caller appends the body next and
// calls EndFrame to fill in the header.
func BeginFrame(buffer []byte) []byte { return append(buffer, make([]byte, HeaderSize)...) }

// EndFrame fills in the header of the frame that starts at start and extends to the end of
// the buffer.
func EndFrame(buffer []byte, start int) {
	frame := buffer[start:]
	binary.LittleEndian.PutUint32(frame, Magic)
	binary.LittleEndian.PutUint32(frame[lengthOffset:], uint32(len(frame)-HeaderSize))
	binary.LittleEndian.PutUint32(frame[checksumOffset:], checksum(frame[lengthOffset:checksumOffset], frame[HeaderSize:]))
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// DecodeFrame returns the body of the frame at the start of a buffer and the length of the
// frame. The error is io.ErrUnexpectedEOF if the buffer ends before the frame does; the
// length is then that of the frame, or 0 if the header is incomplete too.
func DecodeFrame(buffer []byte) (body []byte, length int, err error) {
	if len(buffer) < HeaderSize {
		return nil, 0, io.ErrUnexpectedEOF
	}
	bodySize := binary.LittleEndian.Uint32(buffer[lengthOffset:])
	if binary.LittleEndian.Uint32(buffer) != Magic || bodySize > MaxBodySize {
		return nil, 0, ErrDamaged
	}
	length = HeaderSize + int(bodySize)
	if len(buffer) < length {
		return nil, length, io.ErrUnexpectedEOF
	}
	body = buffer[HeaderSize:length]
	if binary.LittleEndian.Uint32(buffer[checksumOffset:]) != checksum(buffer[lengthOffset:checksumOffset], body) {
		return nil, 0, ErrDamaged
	}
	return body, length, nil
}

// FindMagic returns the offset in a buffer at which the next frame may start: that of
// Magic, or of a first byte of Magic that is cut off by the end of the buffer. If there is
// neither, it returns the buffer's length.
func FindMagic(buffer []byte) int {
	const firstByte = byte(Magic & 0xff)
	for i := range buffer {
		isCutOff := i+4 > len(buffer)
		if buffer[i] == firstByte && (isCutOff || binary.LittleEndian.Uint32(buffer[i:]) == Magic) {
			return i
		}
	}
	return len(buffer)
}

// Range is a range of file offsets, [From, To).
type Range struct{ From, To int64 }

// Scan reads the frames of a file from an offset up to size. It skips damaged data and
// resumes at the next intact frame. visit is called with the body, which it must not
// retain, the offset of the frame and its length. It may return ErrDamaged for a body that
// can't be decoded; any other error ends the scan.
//
// Scan returns the end of the last intact frame, after which a write was torn, and the
// damaged ranges before it.
func Scan(file io.ReaderAt, from, size int64, visit func(body []byte, offset int64, length int) error) (end int64, damaged []Range, err error) {
	buffer := scanBuffers.Get().(*[]byte)
	defer scanBuffers.Put(buffer)
	s := &scanner{file: file, size: size, buffer: buffer, offset: from}
	const intact = -1
	damagedFrom := int64(intact) // start of the damaged range being skipped
	end = from
	for s.offset < size {
		body, length, err := s.next()
		if err == nil {
			err = visit(body, s.offset, length)
		}
		if errors.Is(err, ErrDamaged) {
			if damagedFrom == intact {
				damagedFrom = s.offset
			}
			s.skipToMagic()
			continue
		}
		if err != nil {
			return end, damaged, err
		}
		if damagedFrom != intact {
			damaged = append(damaged, Range{damagedFrom, s.offset})
			damagedFrom = intact
		}
		s.advance(length)
		end = s.offset
	}
	return end, damaged, nil
}

// minReadSize is the minimum size of a read. Frames are mostly much smaller, so that one
// read returns many.
const minReadSize = 256 << 10

// scanBuffers are reused because a store scans many files one after the other.
var scanBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, minReadSize)
	return &buffer
}}

// scanner reads a file in large blocks.
type scanner struct {
	file   io.ReaderAt
	size   int64
	buffer *[]byte
	offset int64  // current file offset
	data   []byte // data read from offset on; a slice of buffer
}

// next returns the frame at the current offset. It returns ErrDamaged also for a frame
// that is cut off by the end of the file.
func (s *scanner) next() (body []byte, length int, err error) {
	if err := s.fill(HeaderSize); err != nil {
		return nil, 0, err
	}
	body, length, err = DecodeFrame(s.data)
	hasMore := s.offset+int64(len(s.data)) < s.size
	if errors.Is(err, io.ErrUnexpectedEOF) && length > 0 && hasMore {
		if err := s.fill(length); err != nil {
			return nil, 0, err
		}
		body, length, err = DecodeFrame(s.data)
	}
	if err != nil {
		return nil, 0, ErrDamaged
	}
	return body, length, nil
}

// fill reads until want bytes are available from the current offset, or the file ends.
func (s *scanner) fill(want int) error {
	if len(s.data) >= want {
		return nil
	}
	if len(*s.buffer) < want {
		*s.buffer = make([]byte, want+minReadSize)
	}
	present := copy(*s.buffer, s.data)
	n, err := s.file.ReadAt((*s.buffer)[present:], s.offset+int64(present))
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	s.data = (*s.buffer)[:present+n]
	return nil
}

// skipToMagic advances to the next possible start of a frame. Magic may also occur in the
// data by chance; the checksum detects that.
func (s *scanner) skipToMagic() {
	skip := 1
	if len(s.data) > 1 {
		skip += FindMagic(s.data[1:])
	}
	s.advance(skip)
}

func (s *scanner) advance(n int) {
	s.offset += int64(n)
	s.data = s.data[min(n, len(s.data)):]
}
