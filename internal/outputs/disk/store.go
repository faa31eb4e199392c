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

// Errors that say why entries were refused. After any other error of [Store.Put]
// nothing is known of what became of the entries; they may be put again.
var (
	ErrFull     = errors.New("the store's disk is full")
	ErrBusy     = errors.New("too much is being written")
	ErrSealed   = errors.New("the attempt is sealed")
	ErrClosed   = errors.New("the store is closed")
	ErrNotFound = errors.New("not held here")
)

// Defaults of [Options].
const (
	defaultSegmentBytes       = 64 << 20 // few files, and compaction needs little free space
	defaultMaxQueueBytes      = 64 << 20 // what a burst may take of memory
	defaultCheckpointInterval = time.Second
	defaultCompactionDelay    = time.Minute
	defaultOrphanRetention    = 24 * time.Hour
)

// maxQueuedRequests bounds the requests that wait for the writer, beside their bytes.
const maxQueuedRequests = 4096

// Options say where and how a store keeps outputs. Zero values are replaced by
// defaults.
type Options struct {
	Dir                string
	FS                 FS            // default: the system's
	SegmentBytes       int64         // a segment is ended at this size
	MaxBytes           uint64        // of all segments; 0: no bound
	ReserveBytes       uint64        // of the disk that stay free, so that the index can go on
	CheckpointInterval time.Duration // between two checkpoints of the index
	MaxQueueBytes      int64         // that wait to be written
	CompactionDelay    time.Duration // from the end of a segment until it may be compacted
	OrphanRetention    time.Duration // for how long a chunk is kept that no attempt names
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

// Store is an open data directory. Its methods may be called from any goroutine.
type Store struct {
	options Options
	fs      FS
	db      *bbolt.DB

	// indexMu is held by whoever changes the index; it comes before mu.
	indexMu sync.Mutex

	mu              sync.Mutex
	attempts        map[string]*attempt     // by key: those that the index lags behind, and those in use
	dirtyAttempts   map[string]*attempt     // by key: of them, those that the index lags behind
	lastEvictionAt  time.Time               // when attempts not in use were last let go
	newChunks       map[string]*pb.Place    // by chunk key: those that the index does not have
	lostChunks      map[string]*pb.Place    // by chunk key: found damaged, and still in the index
	segments        map[uint32]*segmentInfo // all
	teamBytes       map[string]uint64       // on disk
	dirtyTeams      map[string]bool         // changed since the last checkpoint
	position        *pb.Position            // up to where entries are applied
	nextSegment     uint32
	missingSegments map[uint32]bool // that the index names and that are not there
	segmentBytes    uint64          // of all segments
	damagedEntries  uint64          // found since the start
	version         uint64          // grows with each change
	closed          bool
	queuedBytes     int64

	active     *segment // the segment being written; only the writer uses it
	activeSize int64    // likewise

	queue       chan *putRequest
	unpackSlots chan struct{}
	done        chan struct{} // closed when the store ends
	wg          sync.WaitGroup

	freeMu        sync.Mutex
	freeBytes     uint64 // as last read, less what was written since
	freeReadAt    time.Time
	writeFailedAt time.Time
}

// Open opens a data directory, which is made if need be, and recovers what was written
// before: what the index covers, and from there on what the segments hold.
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

// Close writes a last checkpoint and closes the store. Requests that wait get
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

// Kill ends the store as the end of its process would: without a checkpoint. It is
// for tests.
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

// Version grows with each change of what is held.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// checkpointLoop keeps the index close to the segments.
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
