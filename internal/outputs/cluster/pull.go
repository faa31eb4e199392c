package cluster

import (
	"bytes"
	"context"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// pullAttempt copies the data of an attempt that a peer holds and this member lacks.
// The seal is stored last, so that a sealed attempt has all data that the peer had.
func (n *Node) pullAttempt(ctx context.Context, m Member, remote *pb.Held) error {
	ctx, span := tracer.Start(ctx, "repair", trace.WithAttributes(attribute.String("from", m.Name)))
	defer span.End()
	seal, meta, err := n.sealFrom(ctx, m, remote.Key)
	if err != nil {
		return err
	}
	if err := n.store.Put(ctx, openEntry(remote.Key, meta)); err != nil {
		return err
	}
	local := n.store.Held(remote.Key)
	if local == nil {
		return nil // dropped concurrently
	}
	for _, x := range remote.Spans {
		for _, gap := range outputs.Spans(local.Spans).Missing(x.From, x.To) {
			if err := n.pullSpan(ctx, m, remote.Key, gap); err != nil {
				return err
			}
		}
	}
	if seal != nil {
		if err := n.pullChunks(ctx, m, remote.Key, seal); err != nil {
			return err
		}
		if err := n.store.Put(ctx, &pb.Entry{Key: remote.Key, What: &pb.Entry_Seal{Seal: seal}}); err != nil {
			return err
		}
	}
	repairedAttempts.Inc()
	return nil
}

// pullSpan copies a range of an attempt's records from a peer.
func (n *Node) pullSpan(ctx context.Context, m Member, key []byte, gap *pb.Span) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &pb.BlocksRequest{Key: key, From: gap.From, To: gap.To}
	stream, err := n.peer(m).Blocks(ctx, connect.NewRequest(request))
	if err != nil {
		n.health.record(m, err)
		return err
	}
	defer stream.Close()
	// The call timeout limits the wait for each message, not the whole stream or the
	// time that it takes to store a message.
	timeout := time.AfterFunc(n.options.CallTimeout, cancel)
	defer timeout.Stop()
	for stream.Receive() {
		timeout.Stop()
		if err := n.storePulledBlocks(ctx, key, stream.Msg().Blocks); err != nil {
			return err
		}
		timeout.Reset(n.options.CallTimeout)
	}
	if err := stream.Err(); err != nil {
		n.health.record(m, err)
		return err
	}
	return nil
}

func (n *Node) storePulledBlocks(ctx context.Context, key []byte, blocks []*pb.Block) error {
	if len(blocks) == 0 {
		return nil
	}
	var entries []*pb.Entry
	size := 0
	for _, b := range blocks {
		entries = append(entries, &pb.Entry{Key: key, What: &pb.Entry_Block{Block: b}})
		size += len(b.Zstd)
	}
	return n.storePulled(ctx, size, entries...)
}

// storePulled stores entries from a peer, throttled to the repair rate.
func (n *Node) storePulled(ctx context.Context, size int, entries ...*pb.Entry) error {
	if err := throttle(n.repairLimiter)(ctx, size); err != nil {
		return err
	}
	if err := n.store.Put(ctx, entries...); err != nil {
		return err
	}
	repairedBytes.Add(float64(size))
	return nil
}

// pullChunks copies the chunks that a seal refers to. Chunks that the peer lacks too
// are requested again in the next round.
func (n *Node) pullChunks(ctx context.Context, m Member, key []byte, seal *pb.Seal) error {
	a, err := outputs.ParseKey(key)
	if err != nil {
		return err
	}
	for _, artefact := range seal.Artefacts {
		for _, hash := range n.store.MissingChunks(a.Team, artefact.Chunks) {
			chunk, err := n.chunkFrom(ctx, m, a.Team, hash)
			if err != nil {
				if isUnreachable(err) {
					return err
				}
				continue
			}
			if !bytes.Equal(chunk.Sha256, hash) {
				return outputs.ErrChunk
			}
			entry := &pb.Entry{Key: []byte(a.Team), What: &pb.Entry_Chunk{Chunk: chunk}}
			if err := n.storePulled(ctx, len(chunk.Zstd), entry); err != nil {
				return err
			}
		}
	}
	return nil
}
