package disk

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	pb "reedtrack/internal/outputs/outputsv1"
)

// Errors by which entries are refused. After any other error of [Store.Put] it is unknown
// whether the entries were stored; they may be put again.
var (
	ErrFull     = errors.New("the store's disk is full")
	ErrBusy     = errors.New("too much is being written")
	ErrSealed   = errors.New("the attempt is sealed")
	ErrClosed   = errors.New("the store is closed")
	ErrNotFound = errors.New("not held here")
)

// Defaults of [Options].
const (
	defaultSegmentBytes       = 64 << 20 // keeps the number of files low, and compaction needs little free space
	defaultMaxQueueBytes      = 64 << 20 // limits the memory used by a burst
	defaultCheckpointInterval = time.Second
	defaultCompactionDelay    = time.Minute
	defaultOrphanRetention    = 24 * time.Hour
)

// maxQueuedRequests limits the number of queued requests, in addition to the limit on
// their bytes.
const maxQueuedRequests = 4096

// Options configure a store. Zero values are replaced by defaults.
type Options struct {
	Dir                string
	FS                 FS            // default: the operating system's
	SegmentBytes       int64         // size at which a segment is ended
	MaxBytes           uint64        // limit for all segments; 0: no limit
	ReserveBytes       uint64        // disk space kept free, so that the index can still be written
	CheckpointInterval time.Duration // time between two checkpoints of the index
	MaxQueueBytes      int64         // limit for queued requests
	CompactionDelay    time.Duration // minimum time from the end of a segment to its compaction
	OrphanRetention    time.Duration // how long an unreferenced chunk is kept
	Now                func() time.Time
}

func (o *Options) setDefaults() {
	setDefault(&o.SegmentBytes, defaultSegmentBytes)
	setDefault(&o.MaxQueueBytes, defaultMaxQueueBytes)
	setDefault(&o.CheckpointInterval, defaultCheckpointInterval)
	setDefault(&o.CompactionDelay, defaultCompactionDelay)
	setDefault(&o.OrphanRetention, defaultOrphanRetention)
	if o.FS == nil {
		o.FS = osFS{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

func setDefault[T comparable](to *T, value T) {
	var zero T
	if *to == zero {
		*to = value
	}
}

// Store is an open data directory. It is safe for concurrent use.
type Store struct {
	options Options
	fs      FS
	db      *bbolt.DB

	// indexMu is held while the index is changed; it is acquired before mu.
	indexMu sync.Mutex

	mu              sync.Mutex
	attempts        map[string]*attempt     // by key: those that are newer than the index, and those in use
	dirtyAttempts   map[string]*attempt     // by key: the subset that is newer than the index
	lastEvictionAt  time.Time               // time of the last eviction of unused attempts
	newChunks       map[string]*pb.Place    // by chunk key: not in the index yet
	lostChunks      map[string]*pb.Place    // by chunk key: found damaged, but still in the index
	segments        map[uint32]*segmentInfo // all segments, by ID
	teamBytes       map[string]uint64       // disk space used, by team
	dirtyTeams      map[string]bool         // teams whose teamBytes changed since the last checkpoint
	position        *pb.Position            // end of the entries applied so far
	nextSegment     uint32
	missingSegments map[uint32]bool // referenced by the index, but without a file
	segmentBytes    uint64          // total size of the segments
	damagedEntries  uint64          // found since the store was opened
	version         uint64          // incremented at each change
	closed          bool
	queuedBytes     int64

	active     *segment // the segment being written; used by the writer only
	activeSize int64    // size of active; used by the writer only

	queue       chan *putRequest
	unpackSlots chan struct{}
	done        chan struct{} // closed when the store is closed
	wg          sync.WaitGroup

	freeMu        sync.Mutex
	freeBytes     uint64 // last reading, less what was written since
	freeReadAt    time.Time
	writeFailedAt time.Time
}

// Open opens a data directory, creating it if necessary, and recovers its state from the
// index and from the segments beyond the index's position.
func Open(options Options) (*Store, error) {
	options.setDefaults()
	if err := os.MkdirAll(options.Dir, 0o750); err != nil {
		return nil, err
	}
	db, err := openIndex(options.Dir)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", options.Dir, err)
	}
	s := &Store{
		options:         options,
		fs:              options.FS,
		db:              db,
		attempts:        map[string]*attempt{},
		dirtyAttempts:   map[string]*attempt{},
		newChunks:       map[string]*pb.Place{},
		lostChunks:      map[string]*pb.Place{},
		segments:        map[uint32]*segmentInfo{},
		teamBytes:       map[string]uint64{},
		dirtyTeams:      map[string]bool{},
		missingSegments: map[uint32]bool{},
		nextSegment:     1,
		queue:           make(chan *putRequest, maxQueuedRequests),
		unpackSlots:     make(chan struct{}, runtime.GOMAXPROCS(0)),
		done:            make(chan struct{}),
	}
	if err := s.recover(); err != nil {
		s.closeFiles()
		return nil, fmt.Errorf("%s: %w", options.Dir, err)
	}
	s.wg.Go(s.writeLoop)
	s.wg.Go(s.checkpointLoop)
	return s, nil
}

// Close writes a last checkpoint and closes the store. Queued requests fail with
// ErrClosed.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.done)
	s.wg.Wait()
	err := s.Checkpoint()
	s.closeFiles()
	return err
}

// Kill closes the store without a checkpoint, as a crash of the process would. It is for
// tests.
func (s *Store) Kill() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	close(s.done)
	s.wg.Wait()
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	s.closeFiles()
}

func (s *Store) closeFiles() {
	s.db.Close()
	for _, g := range s.segments {
		g.file.Close()
	}
}

// Dir returns the data directory.
func (s *Store) Dir() string { return filepath.Clean(s.options.Dir) }

// Version returns a number that increases with each change of the stored data.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// checkpointLoop makes checkpoints periodically.
func (s *Store) checkpointLoop() {
	tick := time.NewTicker(s.options.CheckpointInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		if err := s.Checkpoint(); err != nil {
			slog.Error("index not written", "dir", s.options.Dir, "err", err)
		}
	}
}
