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
	// maxBatchBytes is the data in one request: large enough to compress well, and
	// half of what a block may hold.
	maxBatchBytes = 512 << 10
	// minDelayedBytes is from which size on a batch does not wait for more.
	minDelayedBytes = maxBatchBytes / 8
	// minParallelBytes is from which size on a batch is sent beside others.
	minParallelBytes = maxBatchBytes / 2
	// batchDelay is how long a small batch waits for more, so that a line is readable
	// soon and a task that writes many lines does not send as many requests.
	batchDelay = 100 * time.Millisecond
	// maxPendingAppends is how many requests of one attempt run at once. The stores
	// take blocks in any order; the spool is acknowledged in order.
	maxPendingAppends = 4
	// saveInterval is the time between two writes of the progress. A capture that is
	// killed sends again what came since, which costs little.
	saveInterval = 200 * time.Millisecond
)

// pendingAppend is a request that runs.
type pendingAppend struct {
	records []*pb.Record
	done    chan error // buffered
}

// recordStream is the state of shipRecords.
type recordStream struct {
	shipper *shipper
	ended   <-chan struct{} // nil, or set to nil: it has been seen
	isEnded bool            // the task: what is in the spool is all
	sent    uint64          // records before it are sent
	pending []*pendingAppend
}

// shipRecords ships records until there are no more: of a task that runs, until ended
// is closed, and all that was there then. nil stands for a task that has ended.
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

// nextBatch reads the records to send next. A small batch waits a little for more, if
// nothing is under way meanwhile.
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

// shouldSend reports whether to send a batch now: beside others only if it is
// large.
func (st *recordStream) shouldSend(batch []*pb.Record) bool {
	if len(batch) == 0 {
		return false
	}
	running := len(st.pending)
	return running == 0 || running < maxPendingAppends && dataBytes(batch) >= minParallelBytes
}

// send starts to send a batch.
func (st *recordStream) send(ctx context.Context, batch []*pb.Record) {
	p := &pendingAppend{records: batch, done: make(chan error, 1)}
	go func() { p.done <- st.shipper.append(ctx, batch) }()
	st.pending = append(st.pending, p)
	st.sent += uint64(len(batch))
}

// waitForPending waits until the first request that runs is answered, or there is
// something new to look at.
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

// waitForRecords waits until there is something to send, or the task has ended.
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

// append sends records.
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

// acknowledge notes that the stores have some records, and all before them.
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

// addMissing adds a gap to the sum of them.
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
