package disk

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// maxBatchBytes is how much the writer collects for one write and one sync.
const maxBatchBytes = 8 << 20

// putRequest is a call of Put that is queued for the writer.
type putRequest struct {
	items []putItem
	size  int64
	done  chan error // buffered, so that the writer does not block if the caller has returned
}

type putItem struct {
	entry *pb.Entry
	tally *pb.Tally // for a block
}

var errEmptyEntry = errors.New("entry without content")

// Put stores entries and returns once they are synced. It stores all of them or none.
// Entries that are already stored are skipped, so Put may be repeated. Blocks and chunks
// are validated completely before anything is written.
func (s *Store) Put(ctx context.Context, entries ...*pb.Entry) error {
	r := &putRequest{done: make(chan error, 1)}
	onlyDrops := true
	for _, e := range entries {
		item, err := s.checkEntry(ctx, e)
		if err != nil {
			return err
		}
		if _, isDrop := e.What.(*pb.Entry_Drop); !isDrop {
			onlyDrops = false
		}
		r.size += int64(proto.Size(e))
		r.items = append(r.items, item)
	}
	if len(r.items) == 0 {
		return nil
	}
	if !onlyDrops { // drops free space on a full disk
		if err := s.checkSpace(r.size); err != nil {
			return err
		}
	}
	if err := s.enqueue(r); err != nil {
		return err
	}
	select {
	case err := <-r.done:
		if err == nil {
			s.refreshSealedAttempts(r.items)
		}
		return err
	case <-s.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkEntry validates an entry before it is queued. Only the tally of an unpacked block
// is kept, so that a queued request uses at most as much memory as was received.
func (s *Store) checkEntry(ctx context.Context, e *pb.Entry) (putItem, error) {
	item := putItem{entry: e}
	var err error
	switch w := e.What.(type) {
	case *pb.Entry_Block:
		err = s.withUnpackSlot(ctx, func() error {
			records, err := outputs.Unpack(w.Block)
			item.tally = outputs.CountRecords(records)
			return err
		})
	case *pb.Entry_Chunk:
		// A chunk's key is the team, not an attempt's key.
		return item, s.withUnpackSlot(ctx, func() error {
			_, err := outputs.UnpackChunk(w.Chunk)
			return err
		})
	case *pb.Entry_Open, *pb.Entry_Seal, *pb.Entry_Thin, *pb.Entry_Drop:
	default:
		err = errEmptyEntry
	}
	if err == nil {
		_, err = outputs.ParseKey(e.Key)
	}
	return item, err
}

// withUnpackSlot runs a check that decompresses data. At most one check per processor runs
// at a time: more would only use more memory.
func (s *Store) withUnpackSlot(ctx context.Context, check func() error) error {
	select {
	case s.unpackSlots <- struct{}{}:
		defer func() { <-s.unpackSlots }()
		return check()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueue queues a request for the writer. A request of any size is accepted if the queue
// is empty.
func (s *Store) enqueue(r *putRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	isOverBytes := s.queuedBytes > 0 && s.queuedBytes+r.size > s.options.MaxQueueBytes
	if isOverBytes || len(s.queue) == cap(s.queue) {
		return ErrBusy
	}
	s.queuedBytes += r.size
	s.queue <- r // does not block: requests are only sent under mu
	return nil
}

// refreshSealedAttempts updates whether all chunks of newly sealed attempts are stored, so
// that a listing shows them as complete.
func (s *Store) refreshSealedAttempts(items []putItem) {
	for _, item := range items {
		if len(item.entry.GetSeal().GetArtefacts()) > 0 {
			s.Held(item.entry.Key)
		}
	}
}

// writeLoop runs in the only goroutine that writes to log segments and applies entries.
func (s *Store) writeLoop() {
	for {
		var batch []*putRequest
		select {
		case <-s.done:
			return
		case r := <-s.queue:
			batch = append(batch, r)
		}
		size := batch[0].size
	gather:
		for size < maxBatchBytes {
			select {
			case r := <-s.queue:
				batch = append(batch, r)
				size += r.size
			default:
				break gather
			}
		}
		errs := s.commitBatch(batch)
		s.mu.Lock()
		s.queuedBytes -= size
		s.mu.Unlock()
		for i, r := range batch {
			r.done <- errs[i]
		}
	}
}
