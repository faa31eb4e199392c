package disk

import (
	"strings"
	"time"

	"go.etcd.io/bbolt"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// attempt is the state of an attempt in memory, and what of it the index does not
// have yet. Store.mu guards it.
type attempt struct {
	key               string
	state             *pb.AttemptState
	seal              *pb.Seal             // if the index does not have it
	newBlocks         []blockRef           // that the index does not have
	damagedBlocks     map[uint64]*pb.Place // by first record: found damaged, and still in the index
	dirty             bool                 // changed since the last checkpoint
	dropReason        string               // empty: not dropped
	removedFromCounts bool                 // dropped, and taken out of the counts
	watcher           chan struct{}        // closed at the next change; nil: nobody waits
	usedAt            time.Time
}

// blockRef says where a block is.
type blockRef struct {
	first uint64 // its first record
	place *pb.Place
}

func (a *attempt) spans() outputs.Spans { return a.state.Spans }

// loadAttempt returns an attempt, from the index if need be; nil: nothing is held of
// it. The caller holds mu.
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

// loadOrCreateAttempt is loadAttempt for an attempt of which something is about to be
// held. The caller holds mu.
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

// markDirty notes that the index lags behind an attempt. The caller holds mu.
func (s *Store) markDirty(a *attempt) {
	a.dirty = true
	s.dirtyAttempts[a.key] = a
}

// markChanged is markDirty for a change of what is held, and wakes who waits for one.
// The caller holds mu.
func (s *Store) markChanged(a *attempt, now time.Time) {
	s.markDirty(a)
	a.state.TouchedNs = now.UnixNano()
	if a.watcher != nil {
		close(a.watcher)
		a.watcher = nil
	}
}

// unknownAttemptPoll is when a watcher of an attempt of which nothing is held should
// look again: its beginning is not signalled.
const unknownAttemptPoll = time.Second

// Watch returns a channel that is closed when an attempt changes next.
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

// ClearUnderReplicated notes that an attempt has as many replicas as it should.
func (s *Store) ClearUnderReplicated(key []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.loadAttempt(string(key)); a != nil && len(a.state.Thin) > 0 {
		a.state.Thin = nil
		s.markDirty(a)
	}
}

// IsUnderReplicated reports whether an attempt has too few replicas, as far as was
// recorded here.
func (s *Store) IsUnderReplicated(key []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.loadAttempt(string(key))
	return a != nil && len(a.state.Thin) > 0
}

// teamOfKey returns the team in an attempt's key: the part between the first and the
// second zero byte. It is empty if there is none.
func teamOfKey(key string) string {
	_, rest, _ := strings.Cut(key, "\x00")
	team, _, found := strings.Cut(rest, "\x00")
	if !found {
		return ""
	}
	return team
}
