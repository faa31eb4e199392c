package spool

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs/framing"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// maxQueueFileBytes is the maximum size of a queue file. Acknowledged records are
	// freed one file at a time.
	maxQueueFileBytes = 4 << 20
	// minQueueFiles is the number of files into which a small queue is divided, so that
	// removing one frees space.
	minQueueFiles = 4
	// minQueueBytes is the minimum size of the queue: a record of the largest size fits,
	// whatever the configuration.
	minQueueBytes = 64 << 10
)

var (
	// ErrFull means that a record does not fit into the queue.
	ErrFull = errors.New("the spool is full")
	// ErrInUse means that another process has the spool open.
	ErrInUse = errors.New("a capture runs on this spool")
)

// Spool buffers the records of one attempt. One goroutine may add records while another
// reads and acknowledges them.
type Spool struct {
	dir           string
	maxBytes      int64 // limit for the queue
	fileBytes     int64 // size of a queue file at which the next is started
	tailFileBytes int64 // limit for each of the two tail files
	lock          *os.File

	mu         sync.Mutex
	files      []*file // queue files; only the last may be appended to
	size       int64   // total size of files
	next       uint64  // sequence number of the next record
	nextNumber int     // number of the next queue file
	episode    int     // number of the current or last tail
	tailFiles  []*file // empty if there is no tail
	tailReason string  // reason of the tail's gap
	evicted    pb.Gap  // records removed from the tail
	lost       pb.Gap  // records that could not be written
}

// Open opens a spool directory, creating it if necessary. The spool may use maxBytes,
// including two tail files of tailBytes each. Records left by an earlier process are kept,
// except for a torn one.
func Open(dir string, maxBytes, tailBytes int64) (*Spool, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrInUse
	}
	queueBytes := max(maxBytes-2*tailBytes, minQueueBytes)
	s := &Spool{
		dir:           dir,
		maxBytes:      queueBytes,
		fileBytes:     min(maxQueueFileBytes, queueBytes/minQueueFiles),
		tailFileBytes: tailBytes,
		lock:          lock,
	}
	if err := s.recover(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the files and unlocks the spool. Its content is kept.
func (s *Spool) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range slices.Concat(s.files, s.tailFiles) {
		f.handle.Close()
	}
	s.lock.Close()
}

// Dir returns the spool's directory.
func (s *Spool) Dir() string { return s.dir }

// Next returns the sequence number of the next record and the size of the queue in bytes.
func (s *Spool) Next() (seq uint64, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next, s.size
}

// First returns the sequence number of the oldest record in the queue.
func (s *Spool) First() (seq uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.files) == 0 {
		return 0, false
	}
	return s.files[0].first, true
}

// Fits reports whether a number of bytes still fits into the queue.
func (s *Spool) Fits(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size+bytes <= s.maxBytes
}

// Add adds a record to the queue. It returns ErrFull if the record does not fit; other
// errors come from the disk.
func (s *Spool) Add(r *pb.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(r, s.maxBytes)
}

// append adds a record to a queue of at most limit bytes. The caller holds mu.
func (s *Spool) append(r *pb.Record, limit int64) error {
	frame, err := encodeFrame(r)
	if err != nil {
		return err
	}
	if s.size+int64(len(frame)) > limit {
		return ErrFull
	}
	f, err := s.openFile()
	if err != nil {
		return err
	}
	if _, err := f.handle.WriteAt(frame, f.size); err != nil {
		return err // a partial write is overwritten by the next record
	}
	f.size += int64(len(frame))
	f.count++
	s.size += int64(len(frame))
	s.next++
	return nil
}

// openFile returns the queue file to append to, creating it if necessary.
func (s *Spool) openFile() (*file, error) {
	if n := len(s.files); n > 0 {
		if last := s.files[n-1]; last.kind == kindPlain && last.size < s.fileBytes {
			return last, nil
		}
	}
	name := queueFileName(s.nextNumber, s.next, kindPlain)
	handle, err := s.createFile(name)
	if err != nil {
		return nil, err
	}
	f := &file{handle: handle, name: name, kind: kindPlain, first: s.next}
	s.files = append(s.files, f)
	s.nextNumber++
	return f, nil
}

func (s *Spool) createFile(name string) (*os.File, error) {
	return os.OpenFile(s.path(name), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
}

func (s *Spool) path(name string) string { return filepath.Join(s.dir, name) }

// Read returns records from a sequence number until their size reaches maxBytes. It
// returns none if none have been written there yet.
func (s *Spool) Read(from uint64, maxBytes int) ([]*pb.Record, error) {
	f, end, size := s.fileOf(from)
	if f == nil {
		return nil, nil
	}
	return f.read(from, end, size, maxBytes)
}

// fileOf returns the file that holds a record, with its current end and size.
func (s *Spool) fileOf(seq uint64) (f *file, end uint64, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.files {
		if f.first <= seq && seq < f.end() {
			return f, f.end(), f.size
		}
	}
	return nil, 0, 0
}

// Ack frees the acknowledged records before a sequence number, one file at a time.
func (s *Spool) Ack(before uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.files) > 0 {
		f := s.files[0]
		isWritten := len(s.files) == 1 && f.kind == kindPlain && f.size < s.fileBytes
		if f.end() > before || isWritten {
			return nil
		}
		f.handle.Close()
		if err := os.Remove(s.path(f.name)); err != nil {
			return err
		}
		s.size -= f.size
		s.files = s.files[1:]
	}
	return nil
}

// encodeFrame encodes a record as a frame.
func encodeFrame(r *pb.Record) ([]byte, error) {
	frame, err := proto.MarshalOptions{}.MarshalAppend(framing.BeginFrame(nil), r)
	if err != nil {
		return nil, err
	}
	framing.EndFrame(frame, 0)
	return frame, nil
}

func queueFileName(number int, first uint64, kind string) string {
	return fmt.Sprintf("q-%08d-%d-%s", number, first, kind)
}

func tailFileName(episode, number int) string { return fmt.Sprintf("t-%d-%d", episode, number) }
