package disk

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Held describes what is stored of an attempt. It returns nil if nothing is.
func (s *Store) Held(key []byte) *pb.Held {
	state := s.attemptState(key)
	if state == nil {
		return nil
	}
	if state.Sealed && !state.Whole && s.hasAllChunks(key) {
		state.Whole = true
		s.setWhole(key, state.Id)
	}
	return newHeld(key, state)
}

// attemptState returns a copy of an attempt's state, or nil if nothing is stored.
func (s *Store) attemptState(key []byte) *pb.AttemptState {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.loadAttempt(string(key))
	if a == nil || a.dropReason != "" {
		return nil
	}
	return proto.CloneOf(a.state)
}

// setWhole records that all chunks of an attempt are stored, unless it has been dropped and
// created again.
func (s *Store) setWhole(key []byte, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.loadAttempt(string(key)); a != nil && a.state.Id == id && a.dropReason == "" {
		a.state.Whole = true
		s.markDirty(a)
	}
}

// newHeld converts a state to the form that readers and peers receive. It returns nil if
// the key is not an attempt's.
func newHeld(key []byte, state *pb.AttemptState) *pb.Held {
	a, err := outputs.ParseKey(key)
	if err != nil {
		return nil
	}
	records := state.Records
	if !state.Sealed {
		records = outputs.Spans(state.Spans).End()
	}
	return &pb.Held{
		Key:      key,
		Spans:    state.Spans,
		Complete: isComplete(state),
		Print:    fingerprint(key, state),
		Summary: &pb.Summary{
			Attempt:    a,
			Meta:       state.Meta,
			Sealed:     state.Sealed,
			EndedNs:    state.EndedNs,
			Exit:       state.Exit,
			Signal:     state.Signal,
			Cause:      state.Cause,
			Records:    records,
			Tally:      state.Tally,
			Artefacts:  state.Artefacts,
			Refused:    state.Refused,
			Thin:       len(state.Thin) > 0,
			ReceivedNs: cmp.Or(state.ReceivedNs, state.TouchedNs),
		},
	}
}

// isComplete reports whether an attempt is sealed and all its records and chunks are
// stored.
func isComplete(state *pb.AttemptState) bool {
	return state.Sealed && state.Whole && len(outputs.Spans(state.Spans).Missing(0, state.Records)) == 0
}

// Marker bytes in a fingerprint. Members compare fingerprints, so these values must not
// change.
const (
	fingerprintComplete = 1
	fingerprintMeta     = 2
)

// fingerprint hashes what is stored of an attempt. Stores that hold the same data compute
// the same fingerprint.
func fingerprint(key []byte, state *pb.AttemptState) uint64 {
	h := xxhash.New()
	h.Write(key)
	for _, x := range state.Spans {
		h.Write(encodeUint64(x.From))
		h.Write(encodeUint64(x.To))
	}
	if state.Sealed {
		h.Write(encodeUint64(state.Records))
		h.Write(state.Digest)
	}
	if isComplete(state) {
		h.Write([]byte{fingerprintComplete})
	}
	if state.Meta != nil {
		h.Write([]byte{fingerprintMeta})
	}
	return h.Sum64()
}

// hasAllChunks reports whether every chunk that an attempt's seal references is stored.
func (s *Store) hasAllChunks(key []byte) bool {
	seal, _ := s.Seal(key)
	if seal == nil {
		return false
	}
	var hashes [][]byte
	for _, artefact := range seal.Artefacts {
		hashes = append(hashes, artefact.Chunks...)
	}
	return len(s.MissingChunks(teamOfKey(string(key)), hashes)) == 0
}

// Seal returns an attempt's seal and its metadata; either is nil if it is not stored.
func (s *Store) Seal(key []byte) (*pb.Seal, *pb.Meta) {
	s.mu.Lock()
	a := s.loadAttempt(string(key))
	if a == nil || a.dropReason != "" {
		s.mu.Unlock()
		return nil, nil
	}
	seal, meta, sealed := a.seal, a.state.Meta, a.state.Sealed
	s.mu.Unlock()
	if seal == nil && sealed {
		seal = s.indexedSeal(key)
	}
	return seal, meta
}

// indexedSeal reads a seal from the index. It returns nil if there is none.
func (s *Store) indexedSeal(key []byte) *pb.Seal {
	seal := new(pb.Seal)
	found := false
	s.db.View(func(tx *bbolt.Tx) error {
		found = getMessage(tx.Bucket(bucketSeals), key, seal)
		return nil
	})
	if !found {
		return nil
	}
	return seal
}
