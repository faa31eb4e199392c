package disk

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Scan lists attempts whose key has a prefix and is greater than after (nil: no lower
// bound), in key order. more reports that there are more than limit.
func (s *Store) Scan(prefix, after []byte, which pb.Which, limit int) (list []*pb.Held, more bool) {
	s.scanAttempts(prefix, after, which, func(key []byte, state *pb.AttemptState) bool {
		held := newHeld(key, state)
		if held == nil {
			return true
		}
		if len(list) == limit {
			more = true
			return false
		}
		list = append(list, held)
		return true
	})
	return list, more
}

// Teams lists the teams that have attempts of a job in this store, sorted.
func (s *Store) Teams(job string) []string {
	prefix := outputs.JobPrefix(job, "")
	found := map[string]bool{}
	s.mu.Lock()
	for key := range s.dirtyAttempts {
		if strings.HasPrefix(key, string(prefix)) {
			found[teamOfKey(key)] = true
		}
	}
	s.mu.Unlock()
	s.db.View(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(bucketAttempts).Cursor()
		for k, _ := cursor.Seek(prefix); k != nil && bytes.HasPrefix(k, prefix); {
			team := teamOfKey(string(k))
			found[team] = true
			k, _ = cursor.Seek(append(append(bytes.Clone(prefix), team...), 1)) // skips the team's other attempts
		}
		return nil
	})
	return slices.Sorted(maps.Keys(found))
}

// ForEachAttempt calls visit with every stored attempt and its fingerprint, in key order,
// until visit returns false. visit must not call the store.
func (s *Store) ForEachAttempt(visit func(key []byte, fingerprint uint64, state *pb.AttemptState) bool) {
	s.ForEachAttemptAfter(nil, visit)
}

// ForEachAttemptAfter is like ForEachAttempt, but starts after a key (nil: at the first).
func (s *Store) ForEachAttemptAfter(after []byte, visit func(key []byte, fingerprint uint64, state *pb.AttemptState) bool) {
	s.scanAttempts(nil, after, pb.Which_WHICH_ALL, func(key []byte, state *pb.AttemptState) bool {
		return visit(key, fingerprint(key, state), state)
	})
}

func matchesFilter(which pb.Which, state *pb.AttemptState) bool {
	switch which {
	case pb.Which_WHICH_FAILED:
		return state.Sealed && state.Exit != 0
	case pb.Which_WHICH_OPEN:
		return !state.Sealed
	}
	return true
}

// dirtyState is an attempt in memory that is newer than the index.
type dirtyState struct {
	key   string
	state *pb.AttemptState // nil if it is to be omitted
}

// dirtyStates returns the attempts in memory that are newer than the index, in key order.
func (s *Store) dirtyStates(prefix, after []byte, which pb.Which) []dirtyState {
	var list []dirtyState
	s.mu.Lock()
	for key, a := range s.dirtyAttempts {
		if !strings.HasPrefix(key, string(prefix)) || after != nil && key <= string(after) {
			continue
		}
		d := dirtyState{key: key}
		if a.dropReason == "" && matchesFilter(which, a.state) {
			d.state = proto.CloneOf(a.state)
		}
		list = append(list, d)
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b dirtyState) int { return strings.Compare(a.key, b.key) })
	return list
}

// scanAttempts calls visit with attempts in key order until it returns false. It merges
// the index with newer attempts in memory, which take precedence.
func (s *Store) scanAttempts(prefix, after []byte, which pb.Which, visit func(key []byte, state *pb.AttemptState) bool) {
	dirty := s.dirtyStates(prefix, after, which)
	s.db.View(func(tx *bbolt.Tx) error {
		states := tx.Bucket(bucketAttempts)
		keys := states
		if which == pb.Which_WHICH_FAILED {
			keys = tx.Bucket(bucketFailed)
		}
		cursor := keys.Cursor()
		k, v := cursor.Seek(prefix)
		if after != nil {
			k, v = seekAfter(cursor, after)
		}
		for {
			inIndex := k != nil && bytes.HasPrefix(k, prefix)
			if len(dirty) > 0 && (!inIndex || dirty[0].key <= string(k)) {
				d := dirty[0]
				dirty = dirty[1:]
				if inIndex && d.key == string(k) {
					k, v = cursor.Next()
				}
				if d.state != nil && !visit([]byte(d.key), d.state) {
					return nil
				}
				continue
			}
			if !inIndex {
				return nil
			}
			if which == pb.Which_WHICH_FAILED {
				v = states.Get(k)
			}
			state := new(pb.AttemptState)
			if proto.Unmarshal(v, state) == nil && matchesFilter(which, state) && !visit(bytes.Clone(k), state) {
				return nil
			}
			k, v = cursor.Next()
		}
	})
}
