package disk

import (
	"strings"
	"time"

	"go.etcd.io/bbolt"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// attempt is the in-memory state of an attempt, with the changes that are not in the index
// yet. Store.mu guards it.
type attempt struct {
	key               string
	state             *pb.AttemptState
	seal              *pb.Seal             // nil unless it is missing from the index
	newBlocks         []blockRef           // not in the index yet
	damagedBlocks     map[uint64]*pb.Place // by first record: found damaged, but still in the index
	dirty             bool                 // changed since the last checkpoint
	dropReason        string               // empty if not dropped
	removedFromCounts bool                 // dropped, and already subtracted from the counts
	watcher           chan struct{}        // closed at the next change; nil if there are no waiters
	usedAt            time.Time
}

// blockRef is the location of a block.
type blockRef struct {
	first uint64 // sequence number of its first record
	place *pb.Place
}

func (a *attempt) spans() outputs.Spans { return a.state.Spans }

// loadAttempt returns an attempt, loading it from the index if necessary, or nil if the
// store has nothing of it. The caller holds mu.
func (s *Store) loadAttempt(key string) *attempt {
	a := s.attempts[key]
	if a == nil {
		state := new(pb.AttemptState)
		found := false
		s.db.View(func(tx *bbolt.Tx) error {
			found = getMessage(tx.Bucket(bucketAttempts), []byte(key), state)
			return nil
		})
		if !found {
			return nil
		}
		a = &attempt{key: key, state: state}
		s.attempts[key] = a
	}
	a.usedAt = s.options.Now()
	return a
}

// loadOrCreateAttempt is like loadAttempt, but creates the attempt if it does not exist.
// The caller holds mu.
func (s *Store) loadOrCreateAttempt(key string) *attempt {
	if a := s.loadAttempt(key); a != nil {
		return a
	}
	if s.position.NextId == 0 {
		s.position.NextId = 1
	}
	a := &attempt{
		key:    key,
		state:  &pb.AttemptState{Id: s.position.NextId, Tally: new(pb.Tally)},
		usedAt: s.options.Now(),
	}
	s.position.NextId++
	s.position.Attempts++
	s.attempts[key] = a
	return a
}

// markDirty schedules an attempt for the next checkpoint. The caller holds mu.
func (s *Store) markDirty(a *attempt) {
	a.dirty = true
	s.dirtyAttempts[a.key] = a
}

// markChanged marks an attempt dirty after a change of its content and wakes its watchers.
// The caller holds mu.
func (s *Store) markChanged(a *attempt, now time.Time) {
	s.markDirty(a)
	a.state.TouchedNs = now.UnixNano()
	if a.watcher != nil {
		close(a.watcher)
		a.watcher = nil
	}
}

// unknownAttemptPoll is the delay after which a watcher of an unknown attempt is woken to
// look again: the creation of an attempt is not signalled.
const unknownAttemptPoll = time.Second

// Watch returns a channel that is closed at the next change of an attempt.
func (s *Store) Watch(key []byte) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.loadAttempt(string(key))
	if a == nil {
		c := make(chan struct{})
		time.AfterFunc(unknownAttemptPoll, func() { close(c) })
		return c
	}
	if a.watcher == nil {
		a.watcher = make(chan struct{})
	}
	return a.watcher
}

// ClearUnderReplicated records that an attempt has the configured number of replicas.
func (s *Store) ClearUnderReplicated(key []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.loadAttempt(string(key)); a != nil && len(a.state.Thin) > 0 {
		a.state.Thin = nil
		s.markDirty(a)
	}
}

// IsUnderReplicated reports whether an attempt is recorded here as having too few
// replicas.
func (s *Store) IsUnderReplicated(key []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.loadAttempt(string(key))
	return a != nil && len(a.state.Thin) > 0
}

// teamOfKey returns the team in an attempt's key: the part between the first and the
// second zero byte. It returns "" if the key has no such part.
func teamOfKey(key string) string {
	_, rest, _ := strings.Cut(key, "\x00")
	team, _, found := strings.Cut(rest, "\x00")
	if !found {
		return ""
	}
	return team
}
