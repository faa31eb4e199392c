package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/protocol"
)

// preconditionsPerWrite is the maximum number of preconditions of a transaction per write
// that the limits allow.
const preconditionsPerWrite = 4

// KVStore emulates the consensus-backed key-value store: keys with revisions,
// transactions with preconditions, leases, and watches. It is safe for concurrent use.
type KVStore struct {
	mu sync.Mutex

	// Limits; 0 and nil: none.
	maxValueBytes int
	maxTxnOps     int // maximum number of writes in a transaction
	writeLimiter  *rate.Limiter
	oversized     []string // reasons for permanently rejected transactions; see TakeOversized

	revision uint64 // of the latest commit
	items    map[string]protocol.KeyValue
	changes  []protocol.Change // all committed changes, by revision
	changed  chan struct{}     // closed and replaced by each commit

	leases    map[uint64]*keyLease
	leaseOf   map[string]uint64 // key to its lease; 0: none
	lastLease uint64            // ID of the lease granted last

	outage bool // the store does not serve requests
}

// keyLease is a lease to which keys can be bound.
type keyLease struct {
	duration time.Duration
	timer    *time.Timer // fires on expiry
}

// NewKVStore returns an empty store without limits.
func NewKVStore() *KVStore {
	return &KVStore{
		items:   map[string]protocol.KeyValue{},
		changed: make(chan struct{}),
		leases:  map[uint64]*keyLease{},
		leaseOf: map[string]uint64{},
	}
}

// SetLimits sets the maximum size of a value in bytes, the maximum number of writes in a
// transaction, and the maximum number of writes per second; 0: no limit. Limits can be
// changed at any time and do not affect stored values.
func (s *KVStore) SetLimits(valueBytes, txnOps, writeRPS int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxTxnOps, s.writeLimiter = valueBytes, txnOps, nil
	if writeRPS > 0 {
		s.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), writeRPS)
	}
}

// SetOutage starts or ends an outage. Leases do not expire during an outage and are
// renewed for their full duration when it ends.
func (s *KVStore) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	for _, l := range s.leases {
		l.timer.Stop()
		if !down {
			l.timer.Reset(l.duration)
		}
	}
}

// Keys returns all keys, sorted.
func (s *KVStore) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.items))
}

// TakeOversized returns and clears the reasons for which transactions over a size limit
// were rejected. No retry could have made these transactions succeed.
func (s *KVStore) TakeOversized() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	oversized := s.oversized
	s.oversized = nil
	return oversized
}

// transact commits a transaction if its preconditions hold, and returns the status and
// the response. The caller holds s.mu.
func (s *KVStore) transact(body []byte) (int, any) {
	var t protocol.Txn
	if json.Unmarshal(body, &t) != nil {
		return http.StatusBadRequest, nil
	}
	if reason := s.exceededLimit(&t, len(body)); reason != "" {
		s.oversized = append(s.oversized, reason)
		return http.StatusBadRequest, protocol.ErrorResponse{Error: reason}
	}
	if s.writeLimiter != nil && !s.writeLimiter.AllowN(time.Now(), len(t.Writes)) {
		return http.StatusTooManyRequests, protocol.ErrorResponse{Error: "too many writes"}
	}
	for _, w := range t.Writes {
		if w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return http.StatusBadRequest, protocol.ErrorResponse{Error: "no such lease"}
		}
	}
	for _, c := range t.Preconditions {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusConflict, protocol.TxnResponse{FailedKeys: []string{c.Key}, Revision: s.revision}
		}
	}
	s.commit(t.Writes)
	return http.StatusOK, protocol.TxnResponse{Revision: s.revision}
}

// exceededLimit describes the size limit that a transaction of size bytes exceeds, or its
// first invalid key, or returns an empty string.
func (s *KVStore) exceededLimit(t *protocol.Txn, size int) string {
	if s.maxTxnOps > 0 && (len(t.Writes) > s.maxTxnOps || len(t.Preconditions) > preconditionsPerWrite*s.maxTxnOps) {
		return fmt.Sprintf("%d writes under %d conditions", len(t.Writes), len(t.Preconditions))
	}
	if size > protocol.MaxBodyBytes {
		return fmt.Sprintf("%d bytes in all", size)
	}
	for _, c := range t.Preconditions {
		if !isValidKey(c.Key) {
			return fmt.Sprintf("invalid key %q", c.Key)
		}
	}
	for _, w := range t.Writes {
		if !isValidKey(w.Put + w.Delete) {
			return fmt.Sprintf("invalid key %q", w.Put+w.Delete)
		}
		if raw, _ := json.Marshal(w.Value); s.maxValueBytes > 0 && len(raw) > s.maxValueBytes {
			return fmt.Sprintf("%d bytes at %s", len(raw), w.Put)
		}
	}
	return ""
}

// commit applies writes under one new revision. The caller holds s.mu.
func (s *KVStore) commit(writes []protocol.Write) {
	s.revision++
	for _, w := range writes {
		if w.Delete != "" {
			delete(s.items, w.Delete)
			delete(s.leaseOf, w.Delete)
			s.changes = append(s.changes, protocol.Change{Delete: w.Delete, Revision: s.revision})
			continue
		}
		raw, _ := json.Marshal(w.Value)
		s.items[w.Put] = protocol.KeyValue{Key: w.Put, Value: raw, Revision: s.revision}
		s.leaseOf[w.Put] = w.LeaseID
		s.changes = append(s.changes, protocol.Change{Put: w.Put, Value: raw, Revision: s.revision})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// grant creates a lease. The caller holds s.mu.
func (s *KVStore) grant(duration time.Duration) (id uint64) {
	s.lastLease++
	id = s.lastLease
	s.leases[id] = &keyLease{duration: duration, timer: time.AfterFunc(duration, func() { s.expire(id) })}
	return id
}

// expire revokes a lease whose timer has fired, unless there is an outage.
func (s *KVStore) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil && !s.outage {
		s.revoke(id)
	}
}

// revoke ends a lease and deletes the keys bound to it. The caller holds s.mu.
func (s *KVStore) revoke(id uint64) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var deletions []protocol.Write
	for key, lease := range s.leaseOf {
		if lease == id {
			deletions = append(deletions, protocol.Write{Delete: key})
		}
	}
	if len(deletions) > 0 {
		s.commit(deletions)
	}
}
