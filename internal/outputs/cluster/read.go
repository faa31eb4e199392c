package cluster

import (
	"bytes"
	"context"
	"errors"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// unreachableTimeout is how long a read waits for unreachable members before it
	// reports records as missing.
	unreachableTimeout = 3 * time.Second
	// replicaRetryWait is the delay before a replica is read again after an error.
	replicaRetryWait = time.Second
	// replicaPollInterval is how often the replicas are checked while none has the
	// next record.
	replicaPollInterval = 200 * time.Millisecond
)

// attemptReader reads one attempt for one client. It reads from a replica while that
// has the next record and then switches to another one, which merges replicas that are
// complete only in combination.
type attemptReader struct {
	node     *Node
	key      []byte
	request  *pb.ReadRequest
	emit     func(*pb.ReadResponse) error
	streams  map[pb.Stream]bool   // nil: all
	next     uint64               // the record to read next
	digest   *outputs.Digest      // nil: not all records are read
	failedAt map[string]time.Time // by member: time of the last error
	pending  []*pb.Record         // read but not sent yet

	// skipBytes is the number of bytes to omit from the start of the first record.
	skipBytes int
	// stalledSince is since when no replica has had the next record; zero means that one
	// has it.
	stalledSince time.Time
}

// errReaderDisconnected means that the client no longer accepts messages.
var errReaderDisconnected = errors.New("the reader has gone")

// Read passes an attempt's records to emit, in order and each once. It returns at the
// end of the available records, or with Follow at the seal. Records that no member can
// deliver are reported as a hole.
func (n *Node) Read(ctx context.Context, req *pb.ReadRequest, emit func(*pb.ReadResponse) error) error {
	ctx, span := tracer.Start(ctx, "fetch")
	defer span.End()
	r := &attemptReader{
		node:     n,
		key:      outputs.Key(req.Attempt),
		request:  req,
		emit:     emit,
		next:     req.From,
		failedAt: map[string]time.Time{},
	}
	if len(req.Streams) > 0 {
		r.streams = map[pb.Stream]bool{pb.Stream_STREAM_GAP: true}
		for _, s := range req.Streams {
			r.streams[s] = true
		}
	}
	if req.TailLines > 0 {
		if err := r.seekTail(ctx); err != nil {
			return err
		}
	} else if req.From == 0 && req.SinceNs == 0 {
		r.digest = outputs.NewDigest()
	}
	return r.run(ctx)
}

// run reads until the end of the attempt or of the available records.
func (r *attemptReader) run(ctx context.Context) error {
	for {
		list, unreachable := r.node.replicas(ctx, r.key, false)
		if len(list) == 0 {
			return notFound(unreachable)
		}
		records, sealed := sealedRecords(list)
		if sealed && r.next >= records {
			return r.sendEnd(ctx, list)
		}
		progressed, err := r.readNext(ctx, list, sealed)
		if err != nil {
			return err
		}
		if progressed {
			r.stalledSince = time.Time{}
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		skipped, done, err := r.handleStall(list, unreachable, records, sealed)
		if err != nil || done {
			return err
		}
		if !skipped && !sleep(ctx, replicaPollInterval) {
			return ctx.Err()
		}
	}
}

// sealedRecords returns the number of records of a sealed attempt.
func sealedRecords(list []replica) (records uint64, sealed bool) {
	for _, c := range list {
		if c.held.Summary.Sealed {
			records, sealed = c.held.Summary.Records, true
		}
	}
	return records, sealed
}

// readNext reads from a replica that has the next record, and reports whether the read
// progressed. An error ends the read.
func (r *attemptReader) readNext(ctx context.Context, list []replica, sealed bool) (progressed bool, err error) {
	source, ok := r.selectReplica(list)
	if !ok {
		return false, nil
	}
	before := r.next
	if err := r.readFrom(ctx, source, sealed); err != nil {
		if ctx.Err() != nil || errors.Is(err, errReaderDisconnected) {
			return false, err
		}
		r.failedAt[source.member.Name] = time.Now()
	}
	if r.next == before && ctx.Err() == nil {
		if until := outputs.Spans(source.held.Spans).SpanEnd(r.next); until > r.next && r.request.SinceNs > 0 {
			r.next = until // all records are older than requested
		} else if until > r.next { // the replica lacks records that it listed
			r.failedAt[source.member.Name] = time.Now()
		}
	}
	return r.next > before, nil
}

// handleStall handles the case that no replica delivered the next record: it skips a
// hole, ends the read, or does neither if the caller should wait and retry.
func (r *attemptReader) handleStall(list []replica, unreachable []string, records uint64, sealed bool) (skipped, done bool, err error) {
	if r.stalledSince.IsZero() {
		r.stalledSince = time.Now()
	}
	waitedEnough := time.Since(r.stalledSince) > unreachableTimeout
	allAnswered := len(unreachable) == 0 && len(r.failedAt) == 0
	available, more := r.nextAvailable(list)
	switch {
	// Blocks of an open attempt may arrive out of order.
	case more && (sealed && allAnswered || waitedEnough):
		if err := r.sendHole(max(available, r.next+1)); err != nil {
			return false, false, err
		}
		r.stalledSince = time.Time{}
		return true, false, nil
	case sealed && !more && (allAnswered || waitedEnough):
		return true, false, r.sendHole(records)
	case !sealed && !more && !r.request.Follow && (len(unreachable) < r.node.options.ReplicationFactor || waitedEnough):
		// Acknowledged records either have as many replicas as the replication factor,
		// of which at least one member answered, or were recorded as
		// under-replicated. The response names the members that did not answer.
		return false, true, r.send(&pb.ReadResponse{Next: r.next, Unreachable: unreachable})
	}
	return false, false, nil
}

// selectReplica selects a replica that has the next record, or with Follow one to wait on
// for it.
func (r *attemptReader) selectReplica(list []replica) (replica, bool) {
	for _, c := range list {
		if r.isReadable(c) && outputs.Spans(c.held.Spans).SpanEnd(r.next) > r.next {
			return c, true
		}
	}
	if !r.request.Follow {
		return replica{}, false
	}
	for _, c := range list {
		if r.isReadable(c) && !c.held.Summary.Sealed && outputs.Spans(c.held.Spans).End() <= r.next {
			return c, true
		}
	}
	return replica{}, false
}

// isReadable reports whether a replica has not failed recently.
func (r *attemptReader) isReadable(c replica) bool {
	at, failed := r.failedAt[c.member.Name]
	return !failed || time.Since(at) > replicaRetryWait
}

// nextAvailable returns the number of the next record that any replica has.
func (r *attemptReader) nextAvailable(list []replica) (next uint64, ok bool) {
	for _, c := range list {
		if at, has := outputs.Spans(c.held.Spans).Next(r.next); has && (!ok || at < next) {
			next, ok = at, true
		}
	}
	return next, ok
}

// sendHole reports the records before a given one as missing, and continues there.
func (r *attemptReader) sendHole(to uint64) error {
	hole := &pb.Hole{From: r.next, To: to}
	r.next, r.digest = to, nil
	return r.send(&pb.ReadResponse{Hole: hole, Next: r.next})
}

// sendEnd sends the last message, which reports whether all records were read and match
// the seal.
func (r *attemptReader) sendEnd(ctx context.Context, list []replica) error {
	intact := false
	if r.digest != nil {
		for _, c := range list {
			if seal, _, err := r.node.sealFrom(ctx, c.member, r.key); err == nil && seal != nil {
				intact = bytes.Equal(seal.Digest, r.digest.Sum())
				break
			}
		}
	}
	return r.send(&pb.ReadResponse{Next: r.next, End: true, Intact: intact})
}

func (r *attemptReader) send(m *pb.ReadResponse) error {
	if err := r.emit(m); err != nil {
		return errors.Join(errReaderDisconnected, err)
	}
	return nil
}
