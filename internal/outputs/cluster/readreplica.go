package cluster

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
)

const (
	// readBatchBytes is the compressed size of one read from a store: a quarter of the
	// largest block, so that the first records are sent early.
	readBatchBytes = 256 << 10
	// followHeartbeat is the interval of heartbeats to a peer that follows an attempt.
	followHeartbeat = time.Second
	// maxFollowHeartbeats is the number of heartbeats without records after which a
	// read checks the other replicas.
	maxFollowHeartbeats = 2
)

// readFrom reads from one replica up to the next hole or the end of its records. With
// Follow it waits there for new records.
func (r *attemptReader) readFrom(ctx context.Context, c replica, sealed bool) error {
	if r.node.isSelf(c.member) {
		return r.readLocal(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callTimeout := r.node.options.CallTimeout
	// The call timeout limits the wait for each message, not the whole stream.
	timeout := time.AfterFunc(callTimeout, cancel)
	defer timeout.Stop()
	follow := r.request.Follow && !sealed
	request := &pb.BlocksRequest{Key: r.key, From: r.next, Follow: follow, SinceNs: r.request.SinceNs}
	stream, err := r.node.peer(c.member).Blocks(ctx, connect.NewRequest(request))
	if err != nil {
		r.node.health.record(c.member, err)
		return err
	}
	defer stream.Close()
	heartbeats := 0
	for stream.Receive() {
		timeout.Reset(callTimeout)
		blocks := stream.Msg().Blocks
		if !r.acceptBlocks(blocks) {
			return nil
		}
		if err := r.sendPending(); err != nil {
			return err
		}
		if !follow {
			continue
		}
		timeout.Reset(max(callTimeout, 2*followHeartbeat))
		heartbeats++
		if len(blocks) > 0 {
			heartbeats = 0
		} else if heartbeats == maxFollowHeartbeats {
			return nil // the other replicas may have more
		}
	}
	if err := stream.Err(); err != nil {
		r.node.health.record(c.member, err)
		return err
	}
	return nil
}

// readLocal is readFrom for this member's own replica.
func (r *attemptReader) readLocal(ctx context.Context) error {
	store := r.node.store
	for {
		changed := store.Watch(r.key) // before the read, so that no change is missed
		blocks, _, err := store.Blocks(r.key, r.next, 0, r.request.SinceNs, readBatchBytes)
		if err != nil {
			return err
		}
		if len(blocks) > 0 {
			if !r.acceptBlocks(blocks) {
				return nil
			}
			if err := r.sendPending(); err != nil {
				return err
			}
			continue
		}
		held := store.Held(r.key)
		if held == nil || held.Summary.Sealed || !r.request.Follow {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(followHeartbeat): // the other replicas may have more
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// acceptBlocks accepts the records of blocks that continue the read. It returns false at
// a hole or at a block that can't be unpacked.
func (r *attemptReader) acceptBlocks(blocks []*pb.Block) bool {
	for _, b := range blocks {
		if b.First+uint64(b.Count) <= r.next {
			continue
		}
		if b.First > r.next {
			if r.request.SinceNs == 0 {
				return false
			}
			r.next = b.First // blocks whose records are all older were omitted
		}
		records, err := outputs.Unpack(b)
		if err != nil {
			return false
		}
		for _, rec := range records {
			if rec.Seq >= r.next {
				r.acceptRecord(rec)
			}
		}
	}
	return true
}

// acceptRecord accepts the next record and queues it if the client requested it.
func (r *attemptReader) acceptRecord(rec *pb.Record) {
	if r.digest != nil {
		r.digest.Add(rec)
	}
	r.next = rec.Seq + 1
	if r.streams != nil && !r.streams[rec.Stream] || rec.AtNs < r.request.SinceNs {
		return
	}
	if r.skipBytes > 0 && rec.Stream != pb.Stream_STREAM_GAP {
		rec.Data = rec.Data[min(r.skipBytes, len(rec.Data)):]
	}
	r.skipBytes = 0
	r.pending = append(r.pending, rec)
}

// sendPending sends the accepted records, in messages with at most the data of one
// block.
func (r *attemptReader) sendPending() error {
	for len(r.pending) > 0 {
		count, size := 0, 0
		for count < len(r.pending) && (count == 0 || size+len(r.pending[count].Data) <= outputs.MaxBlock) {
			size += len(r.pending[count].Data)
			count++
		}
		next := r.next
		if count < len(r.pending) {
			next = r.pending[count].Seq
		}
		if err := r.send(&pb.ReadResponse{Records: r.pending[:count], Next: next}); err != nil {
			return err
		}
		r.pending = r.pending[count:]
	}
	r.pending = nil
	return nil
}

// Blocks streams this member's blocks of an attempt to a peer. With Follow it continues
// until the attempt is sealed, and sends empty messages as heartbeats.
func (n *Node) Blocks(ctx context.Context, req *pb.BlocksRequest, send func(*pb.BlocksResponse) error) error {
	next := req.From
	for {
		changed := n.store.Watch(req.Key) // before the read, so that no change is missed
		blocks, after, err := n.store.Blocks(req.Key, next, req.To, req.SinceNs, readBatchBytes)
		if err != nil && !(errors.Is(err, disk.ErrNotFound) && req.Follow) {
			return err
		}
		if len(blocks) > 0 {
			next = after
			if err := send(&pb.BlocksResponse{Blocks: blocks}); err != nil {
				return err
			}
			continue
		}
		held := n.store.Held(req.Key)
		if held != nil && held.Summary.Sealed {
			return send(&pb.BlocksResponse{Sealed: true, Records: held.Summary.Records})
		}
		if !req.Follow {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(followHeartbeat):
			if err := send(&pb.BlocksResponse{}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
