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
	// unreachableTimeout is how long a reader waits for members that may come back
	// before it reports records as missing.
	unreachableTimeout = 3 * time.Second
	// replicaRetryWait is when a replica that broke off may be read again.
	replicaRetryWait = time.Second
	// replicaPollInterval is the time between two looks at the replicas while none
	// has the next record.
	replicaPollInterval = 200 * time.Millisecond
)

// attemptReader reads one attempt for one reader. It stays with a replica as long as
// that has the next record, and goes on with another one: what is complete only
// together is merged.
type attemptReader struct {
	node     *Node
	key      []byte
	request  *pb.ReadRequest
	emit     func(*pb.ReadResponse) error
	streams  map[pb.Stream]bool   // nil: all
	next     uint64               // the record to read next
	digest   *outputs.Digest      // nil: not everything is read
	failedAt map[string]time.Time // by member: when its replica broke off
	pending  []*pb.Record         // read and not sent yet

	// skipBytes are left out at the beginning of the first record.
	skipBytes int
	// stalledSince is since when no replica has had the next record; zero: one has.
	stalledSince time.Time
}

// errReaderDisconnected says that the reader took no more.
var errReaderDisconnected = errors.New("the reader has gone")

// Read gives an attempt's records to emit, in order and each once. It ends where the
// records end, or with Follow at the seal. Records that no member can give are
// reported as a hole.
func (n *Node) Read(ctx context.Context, q *pb.ReadRequest, emit func(*pb.ReadResponse) error) error {
	ctx, span := tracer.Start(ctx, "fetch")
	defer span.End()
	r := &attemptReader{
		node:     n,
		key:      outputs.Key(q.Attempt),
		request:  q,
		emit:     emit,
		next:     q.From,
		failedAt: map[string]time.Time{},
	}
	if len(q.Streams) > 0 {
		r.streams = map[pb.Stream]bool{pb.Stream_STREAM_GAP: true}
		for _, s := range q.Streams {
			r.streams[s] = true
		}
	}
	if q.TailLines > 0 {
		if err := r.seekTail(ctx); err != nil {
			return err
		}
	} else if q.From == 0 && q.SinceNs == 0 {
		r.digest = outputs.NewDigest()
	}
	return r.run(ctx)
}

// run reads until the end of the attempt, or of what there is.
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

// readNext reads from the replica that has the next record, and reports whether that
// got any further. An error ends the read.
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
		if until := outputs.Spans(source.held.Spans).RunEnd(r.next); until > r.next && r.request.SinceNs > 0 {
			r.next = until // all of it is older than asked for
		} else if until > r.next { // it did not have what it said
			r.failedAt[source.member.Name] = time.Now()
		}
	}
	return r.next > before, nil
}

// handleStall decides what to do when no replica has given the next record: skip a
// hole, end the read, or (neither) wait and look again.
func (r *attemptReader) handleStall(list []replica, unreachable []string, records uint64, sealed bool) (skipped, done bool, err error) {
	if r.stalledSince.IsZero() {
		r.stalledSince = time.Now()
	}
	waitedEnough := time.Since(r.stalledSince) > unreachableTimeout
	allAnswered := len(unreachable) == 0 && len(r.failedAt) == 0
	available, more := r.nextAvailable(list)
	switch {
	// Blocks of an open attempt may be on their way in any order.
	case more && (sealed && allAnswered || waitedEnough):
		if err := r.sendHole(max(available, r.next+1)); err != nil {
			return false, false, err
		}
		r.stalledSince = time.Time{}
		return true, false, nil
	case sealed && !more && (allAnswered || waitedEnough):
		return true, false, r.sendHole(records)
	case !sealed && !more && !r.request.Follow && (len(unreachable) < r.node.options.ReplicationFactor || waitedEnough):
		// What was acknowledged has as many replicas as it should, and the member of
		// one has answered; or it was recorded that there are fewer. Who did not
		// answer is named.
		return false, true, r.send(&pb.ReadResponse{Next: r.next, Unreachable: unreachable})
	}
	return false, false, nil
}

// selectReplica chooses a replica that has the next record, or with Follow one at which
// to wait for it.
func (r *attemptReader) selectReplica(list []replica) (replica, bool) {
	for _, c := range list {
		if r.isReadable(c) && outputs.Spans(c.held.Spans).RunEnd(r.next) > r.next {
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

// isReadable reports whether a replica has not broken off just now.
func (r *attemptReader) isReadable(c replica) bool {
	at, failed := r.failedAt[c.member.Name]
	return !failed || time.Since(at) > replicaRetryWait
}

// nextAvailable returns the next record that any replica has.
func (r *attemptReader) nextAvailable(list []replica) (next uint64, ok bool) {
	for _, c := range list {
		if at, has := outputs.Spans(c.held.Spans).Next(r.next); has && (!ok || at < next) {
			next, ok = at, true
		}
	}
	return next, ok
}

// sendHole reports the records before another one as missing, and goes on there.
func (r *attemptReader) sendHole(to uint64) error {
	hole := &pb.Hole{From: r.next, To: to}
	r.next, r.digest = to, nil
	return r.send(&pb.ReadResponse{Hole: hole, Next: r.next})
}

// sendEnd sends the last message: whether all was read and matches the seal.
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
