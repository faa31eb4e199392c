package capture

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

const (
	// maxBatchBytes is the maximum data in one request: large enough to compress well,
	// and half the maximum size of a block.
	maxBatchBytes = 512 << 10
	// minDelayedBytes is the size from which a batch is sent without delay.
	minDelayedBytes = maxBatchBytes / 8
	// minParallelBytes is the size from which a batch is sent while others are pending.
	minParallelBytes = maxBatchBytes / 2
	// batchDelay is how long a small batch waits for more records. It is short, so that
	// a line soon becomes readable, but saves a request for each line of a task that
	// writes many.
	batchDelay = 100 * time.Millisecond
	// maxPendingAppends is the maximum number of concurrent requests of one attempt. The
	// stores accept blocks in any order; the spool is acknowledged in order.
	maxPendingAppends = 4
	// saveInterval is the minimum time between two writes of the progress. After a
	// capture is killed, the records acknowledged since the last write are sent again,
	// which costs little.
	saveInterval = 200 * time.Millisecond
)

// pendingAppend is a request in progress.
type pendingAppend struct {
	records []*pb.Record
	done    chan error // buffered
}

// recordStream is the state of shipRecords.
type recordStream struct {
	shipper *shipper
	ended   <-chan struct{} // closed when the task has ended; nil once that was observed
	isEnded bool            // the task has ended, so the spool is complete
	sent    uint64          // all records before this number have been sent
	pending []*pendingAppend
}

// shipRecords ships records until ended is closed and all records in the spool are
// acknowledged. A nil channel means that the task has already ended.
func (s *shipper) shipRecords(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := &recordStream{shipper: s, ended: ended, isEnded: ended == nil, sent: s.acked}
	for {
		batch, err := st.nextBatch()
		if err != nil {
			return err
		}
		switch {
		case st.shouldSend(batch):
			st.send(ctx, batch)
		case len(st.pending) > 0:
			if err := st.waitForPending(); err != nil {
				return err
			}
		case st.isEnded:
			return s.saveProgress()
		default:
			if err := st.waitForRecords(ctx); err != nil {
				return err
			}
		}
	}
}

// nextBatch reads the records to send next. If the batch is small and no request is
// pending, it waits up to batchDelay for more.
func (st *recordStream) nextBatch() ([]*pb.Record, error) {
	batch, err := st.shipper.spool.Read(st.sent, maxBatchBytes)
	if err != nil || st.isEnded || len(st.pending) > 0 || len(batch) == 0 || dataBytes(batch) >= minDelayedBytes {
		return batch, err
	}
	select {
	case <-time.After(batchDelay):
	case <-st.ended:
		st.isEnded = true
	}
	return st.shipper.spool.Read(st.sent, maxBatchBytes)
}

// shouldSend reports whether to send a batch now: while other requests are pending, only if
// it is large.
func (st *recordStream) shouldSend(batch []*pb.Record) bool {
	if len(batch) == 0 {
		return false
	}
	running := len(st.pending)
	return running == 0 || running < maxPendingAppends && dataBytes(batch) >= minParallelBytes
}

// send starts a request with a batch.
func (st *recordStream) send(ctx context.Context, batch []*pb.Record) {
	p := &pendingAppend{records: batch, done: make(chan error, 1)}
	go func() { p.done <- st.shipper.append(ctx, batch) }()
	st.pending = append(st.pending, p)
	st.sent += uint64(len(batch))
}

// waitForPending waits until the oldest pending request is answered, records are added,
// or the task ends.
func (st *recordStream) waitForPending() error {
	select {
	case err := <-st.pending[0].done:
		if err != nil {
			return err
		}
		if err := st.shipper.acknowledge(st.pending[0].records); err != nil {
			return err
		}
		st.pending = st.pending[1:]
	case <-st.shipper.added:
	case <-st.ended:
		st.isEnded, st.ended = true, nil
	}
	return nil
}

// waitForRecords waits until records are added or the task ends.
func (st *recordStream) waitForRecords(ctx context.Context) error {
	select {
	case <-st.ended:
		st.isEnded = true
	case <-st.shipper.added:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func dataBytes(records []*pb.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Data)
	}
	return n
}

// append sends records to the stores as one block.
func (s *shipper) append(ctx context.Context, records []*pb.Record) error {
	ctx, span := tracer.Start(ctx, "ship", trace.WithAttributes(attribute.Int("records", len(records)), attribute.Int("bytes", dataBytes(records))))
	defer span.End()
	_, err := call(ctx, s, &pb.AppendRequest{
		Attempt: s.attempt.attempt(),
		Secret:  s.attempt.Secret,
		Meta:    s.attempt.meta(),
		Block:   outputs.Pack(records, false),
	}, outputsv1connect.WriterServiceClient.Append)
	return err
}

// acknowledge records that the stores have acknowledged these records and all before
// them.
func (s *shipper) acknowledge(records []*pb.Record) error {
	for _, r := range records {
		s.digest.Add(r)
		if r.Stream == pb.Stream_STREAM_GAP {
			s.addMissing(r)
		}
	}
	s.acked += uint64(len(records))
	if time.Since(s.savedAt) < saveInterval {
		return nil
	}
	return s.saveProgress()
}

// addMissing adds the counts of a gap record to missing.
func (s *shipper) addMissing(r *pb.Record) {
	var gap pb.Gap
	if proto.Unmarshal(r.Data, &gap) != nil {
		return
	}
	s.missing.StdoutBytes += gap.StdoutBytes
	s.missing.StdoutLines += gap.StdoutLines
	s.missing.StderrBytes += gap.StderrBytes
	s.missing.StderrLines += gap.StderrLines
	s.missing.Unknown = s.missing.Unknown || gap.Unknown
}
