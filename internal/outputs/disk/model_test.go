package disk

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/bbolt"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// model records what was acknowledged, for comparison with the content of a store.
type model struct {
	attempts map[string]*modelAttempt
	chunks   map[int]bool
}

type modelAttempt struct {
	acked         map[uint64]bool
	sealedRecords int // number of records, or -1
	chunk         int // referenced by the seal, or -1
	open          bool
}

func newModel() *model {
	return &model{attempts: map[string]*modelAttempt{}, chunks: map[int]bool{}}
}

func (m *model) attempt(key []byte) *modelAttempt {
	a := m.attempts[string(key)]
	if a == nil {
		a = &modelAttempt{acked: map[uint64]bool{}, sealedRecords: -1, chunk: -1}
		m.attempts[string(key)] = a
	}
	return a
}

// randomKey returns one of a few keys, so that attempts are reused.
func randomKey(rnd *rand.Rand) []byte {
	return outputs.Key(testAttempt(uint32(rnd.IntN(3)), uint64(1+rnd.IntN(2))))
}

// Upper bounds of the random number by which model.step selects an action.
const (
	drawBlock      = 10
	drawChunk      = 12
	drawSeal       = 14
	drawDrop       = 15
	drawOrphans    = 16
	drawCheckpoint = 18
	drawLimit      = 20
)

// droppedBy returns the key that model.step drops for a random source, or "" if it drops
// none. It draws numbers in the same order as model.step.
func droppedBy(rnd *rand.Rand) string {
	key := randomKey(rnd)
	rnd.IntN(100)
	if n := rnd.IntN(drawLimit); n >= drawSeal && n < drawDrop {
		return string(key)
	}
	return ""
}

// step applies a random action to the store and, if it was acknowledged, to the model. It
// returns the action's error.
func (m *model) step(s *Store, rnd *rand.Rand, clock *time.Time) error {
	ctx := context.Background()
	key := randomKey(rnd)
	a := m.attempt(key)
	*clock = clock.Add(time.Duration(rnd.IntN(100)) * time.Second)
	switch n := rnd.IntN(drawLimit); {
	case n < drawBlock:
		return a.putBlock(ctx, s, key, rnd)
	case n < drawChunk:
		return m.putChunk(ctx, s, rnd.IntN(4))
	case n < drawSeal:
		return m.seal(ctx, s, key, a)
	case n < drawDrop:
		err := s.Drop(ctx, "retention", key)
		if err == nil {
			delete(m.attempts, string(key))
		}
		return err
	case n < drawOrphans:
		_, err := s.RemoveOrphanChunks()
		return err
	case n < drawCheckpoint:
		return s.Checkpoint()
	default:
		_, err := s.Compact(ctx, unlimited)
		return err
	}
}

// putBlock writes a block that continues the attempt, repeats records or leaves a gap.
func (a *modelAttempt) putBlock(ctx context.Context, s *Store, key []byte, rnd *rand.Rand) error {
	from := uint64(max(0, len(a.acked)-rnd.IntN(4)+rnd.IntN(3)))
	to := from + 1 + uint64(rnd.IntN(5))
	if a.sealedRecords >= 0 {
		to = min(to, uint64(a.sealedRecords))
	}
	if from >= to {
		return nil
	}
	entries := []*pb.Entry{blockEntry(key, from, to)}
	if !a.open {
		entries = append([]*pb.Entry{openEntry(key)}, entries...)
	}
	if err := s.Put(ctx, entries...); err != nil {
		return err
	}
	a.open = true
	for i := from; i < to; i++ {
		a.acked[i] = true
	}
	return nil
}

func (m *model) putChunk(ctx context.Context, s *Store, i int) error {
	err := s.Put(ctx, &pb.Entry{Key: []byte("red"), What: &pb.Entry_Chunk{Chunk: testChunk(i)}})
	if err == nil {
		m.chunks[i] = true
	}
	return err
}

// seal seals an attempt after its last record, with an artefact if a chunk is stored.
func (m *model) seal(ctx context.Context, s *Store, key []byte, a *modelAttempt) error {
	if a.sealedRecords >= 0 || !a.open {
		return nil
	}
	records := uint64(0)
	for i := range a.acked {
		records = max(records, i+1)
	}
	var artefacts []*pb.Artefact
	named := -1
	for i := range 4 {
		c := testChunk(i)
		if m.chunks[i] && len(s.MissingChunks("red", [][]byte{c.Sha256})) == 0 {
			artefacts = []*pb.Artefact{{Path: "f", Size: uint64(c.Size), Chunks: [][]byte{c.Sha256}, ChunkSize: outputs.ChunkSize}}
			named = i
			break
		}
	}
	err := s.Put(ctx, sealEntry(key, records, artefacts...))
	if err == nil {
		a.sealedRecords, a.chunk = int(records), named
	}
	return err
}

// check compares what can be read with what was acknowledged. Unacknowledged data may or
// may not be there, but never with different content.
func (m *model) check(s *Store) error {
	if err := checkCompactedSegments(s); err != nil {
		return err
	}
	for key, a := range m.attempts {
		if !a.open {
			continue
		}
		if err := a.check(s, []byte(key)); err != nil {
			return fmt.Errorf("%q: %w", key, err)
		}
	}
	return nil
}

// checkCompactedSegments checks that outputs of a compaction that was not installed are
// removed.
func checkCompactedSegments(s *Store) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		for id, g := range s.segments {
			if g.compacted && tx.Bucket(bucketSegments).Get(encodeUint32(id)) == nil {
				return fmt.Errorf("segment %d of a compaction that was not installed is kept", id)
			}
		}
		return nil
	})
}

func (a *modelAttempt) check(s *Store, key []byte) error {
	held := s.Held(key)
	if held == nil {
		return fmt.Errorf("not held")
	}
	got, err := readAll(s, key, held.Summary.Records)
	if err != nil {
		return err
	}
	for i := range a.acked {
		if !got[i] {
			return fmt.Errorf("record %d of %d was acknowledged and is lost; held %v", i, len(a.acked), held.Spans)
		}
	}
	if outputs.Spans(held.Spans).Count() != uint64(len(got)) {
		return fmt.Errorf("spans %v, but %d records", held.Spans, len(got))
	}
	if a.sealedRecords >= 0 {
		return a.checkSeal(s, key, held)
	}
	return nil
}

// readAll reads an attempt in small parts and checks each record.
func readAll(s *Store, key []byte, end uint64) (map[uint64]bool, error) {
	got := map[uint64]bool{}
	for from := uint64(0); from < end; {
		blocks, next, err := s.Blocks(key, from, 0, 0, 200)
		if err != nil {
			return nil, err
		}
		if len(blocks) == 0 {
			break
		}
		for _, b := range blocks {
			list, err := outputs.Unpack(b)
			if err != nil {
				return nil, err
			}
			for _, r := range list {
				want := testRecord(key, r.Seq)
				if !bytes.Equal(r.Data, want.Data) || r.AtNs != want.AtNs || r.Stream != want.Stream {
					return nil, fmt.Errorf("record %d has unexpected content", r.Seq)
				}
				if got[r.Seq] {
					return nil, fmt.Errorf("record %d comes twice", r.Seq)
				}
				got[r.Seq] = true
			}
		}
		from = next
	}
	return got, nil
}

func (a *modelAttempt) checkSeal(s *Store, key []byte, held *pb.Held) error {
	if !held.Summary.Sealed || held.Summary.Records != uint64(a.sealedRecords) {
		return fmt.Errorf("sealed with %d records, now %v", a.sealedRecords, held.Summary)
	}
	if a.chunk >= 0 {
		c, err := s.Chunk("red", testChunk(a.chunk).Sha256)
		if err != nil {
			return fmt.Errorf("chunk named by the seal: %w", err)
		}
		if _, err := outputs.UnpackChunk(c); err != nil {
			return err
		}
	}
	failed, _ := s.Scan(key, nil, pb.Which_WHICH_FAILED, 10)
	if (len(failed) == 1) != (a.sealedRecords%3 != 0) {
		return fmt.Errorf("status %d is listed %d times as failed", a.sealedRecords%3, len(failed))
	}
	return nil
}
