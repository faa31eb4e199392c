package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
)

// Append stores a block of an attempt's records and returns the number of members that
// have synced it.
func (n *Node) Append(ctx context.Context, a *pb.Attempt, meta *pb.Meta, b *pb.Block) (int, error) {
	key := outputs.Key(a)
	tally := b.GetTally() // as counted by the writer; the stores count on their own
	size := max(len(b.Zstd), int(tally.GetStdoutBytes()+tally.GetStderrBytes()))
	if err := n.admitWrite(key, a.Team, size); err != nil {
		return 0, err
	}
	span := &pb.Span{From: b.First, To: b.First + uint64(b.Count)}
	return n.replicate(ctx, key, span, openEntry(key, meta), &pb.Entry{Key: key, What: &pb.Entry_Block{Block: b}})
}

// Open records that an attempt has started and returns the number of members that have
// synced the record.
func (n *Node) Open(ctx context.Context, a *pb.Attempt, meta *pb.Meta) (int, error) {
	key := outputs.Key(a)
	return n.replicate(ctx, key, &pb.Span{}, openEntry(key, meta))
}

// Seal ends an attempt and returns the number of members that have synced the seal. It
// sets the time of receipt in the seal.
func (n *Node) Seal(ctx context.Context, a *pb.Attempt, meta *pb.Meta, s *pb.Seal) (int, error) {
	key := outputs.Key(a)
	s.ReceivedNs = time.Now().UnixNano()
	span := &pb.Span{To: s.Records}
	return n.replicate(ctx, key, span, openEntry(key, meta), &pb.Entry{Key: key, What: &pb.Entry_Seal{Seal: s}})
}

// PutChunk stores a chunk of an attempt's artefact and returns the number of members
// that have synced it.
func (n *Node) PutChunk(ctx context.Context, a *pb.Attempt, c *pb.Chunk) (int, error) {
	key := outputs.Key(a)
	if err := n.admitWrite(key, a.Team, len(c.Zstd)); err != nil {
		return 0, err
	}
	return n.replicate(ctx, key, &pb.Span{}, &pb.Entry{Key: []byte(a.Team), What: &pb.Entry_Chunk{Chunk: c}})
}

func openEntry(key []byte, meta *pb.Meta) *pb.Entry {
	if meta == nil {
		meta = new(pb.Meta)
	}
	return &pb.Entry{Key: key, What: &pb.Entry_Open{Open: meta}}
}

// MissingChunks returns the chunks of an attempt's artefacts that have to be sent: those
// that are missing on any responding member that should hold them.
func (n *Node) MissingChunks(ctx context.Context, a *pb.Attempt, hashes [][]byte) ([][]byte, error) {
	missing := map[string]bool{}
	answered := false
	v := n.membership.View()
	for _, i := range v.Replicas(outputs.Route(outputs.Key(a)), n.options.ReplicationFactor) {
		list, err := n.missingChunksOn(ctx, v.Members[i], a.Team, hashes)
		if err != nil {
			continue
		}
		answered = true
		for _, hash := range list {
			missing[string(hash)] = true
		}
	}
	if !answered {
		return nil, ErrUnavailable
	}
	var list [][]byte
	for _, hash := range hashes {
		if missing[string(hash)] {
			list = append(list, hash)
		}
	}
	return list, nil
}

func (n *Node) missingChunksOn(ctx context.Context, m Member, team string, hashes [][]byte) ([][]byte, error) {
	if n.isSelf(m) {
		return n.store.MissingChunks(team, hashes), nil
	}
	if !n.health.isAvailable(m) {
		return nil, ErrUnavailable
	}
	resp, err := callPeer(ctx, n, m, Peer.HasChunks, &pb.HasChunksRequest{Team: team, Sha256: hashes})
	if err != nil {
		return nil, err
	}
	return resp.Missing, nil
}

// putResult is the outcome of a write to one member.
type putResult struct {
	member Member
	err    error
}

// replicate writes entries of an attempt to as many members as the replication factor
// requires, and returns the number of members that have synced them. If these are too
// few, the under-replication of the records in span is recorded before the write is
// acknowledged.
func (n *Node) replicate(ctx context.Context, key []byte, span *pb.Span, entries ...*pb.Entry) (int, error) {
	ctx, traceSpan := tracer.Start(ctx, "acknowledge", trace.WithAttributes(attribute.Int("entries", len(entries))))
	defer traceSpan.End()
	factor := n.options.ReplicationFactor
	holders, err := n.putOnReplicas(ctx, n.writeOrder(key), entries)
	if isFinal(err) {
		return 0, err
	}
	traceSpan.SetAttributes(attribute.Int("copies", len(holders)), attribute.Int("wanted", factor))
	if len(holders) == 0 {
		if err == nil {
			err = ErrUnavailable
		}
		return 0, err
	}
	if len(holders) < factor {
		if err := n.recordUnderReplicated(ctx, key, span, holders); err != nil {
			return 0, fmt.Errorf("held by %d of %d, which could not be recorded: %w", len(holders), factor, err)
		}
	}
	return len(holders), nil
}

// writeOrder returns the members to write an attempt to, in order of preference, with
// members in backoff last.
func (n *Node) writeOrder(key []byte) []Member {
	v := n.membership.View()
	var available, backingOff []Member
	for _, i := range v.PreferenceList(outputs.Route(key)) {
		if m := v.Members[i]; n.isSelf(m) || n.health.isAvailable(m) {
			available = append(available, m)
		} else {
			backingOff = append(backingOff, m)
		}
	}
	return append(available, backingOff...)
}

// putOnReplicas writes concurrently to as many members as the replication factor
// requires, and replaces each one that fails by the next in order. It returns the
// members that have synced the entries, as soon as there are enough, and the most
// specific error of the others. After a final error it returns no holders.
func (n *Node) putOnReplicas(ctx context.Context, order []Member, entries []*pb.Entry) (holders []Member, err error) {
	wanted := min(n.options.ReplicationFactor, len(order))
	results := make(chan putResult, len(order)) // buffered, so that no goroutine blocks after an early return
	next, running := 0, 0
	start := func() {
		m := order[next]
		next++
		running++
		go func() { results <- putResult{member: m, err: n.putOn(ctx, m, entries)} }()
	}
	for next < wanted {
		start()
	}
	for running > 0 && len(holders) < wanted {
		r := <-results
		running--
		switch {
		case r.err == nil:
			holders = append(holders, r.member)
		case isFinal(r.err):
			return nil, r.err
		default:
			err = moreSpecific(err, r.err)
			if next < len(order) && ctx.Err() == nil {
				start()
			}
		}
	}
	return holders, err
}

func (n *Node) putOn(ctx context.Context, m Member, entries []*pb.Entry) error {
	if n.isSelf(m) {
		return n.store.Put(ctx, entries...)
	}
	_, err := callPeer(ctx, n, m, Peer.Put, &pb.PutRequest{Entries: entries})
	return err
}

// recordUnderReplicated records, on one of its holders, that an attempt has too few
// replicas. Readers are shown this record and repair uses it. An attempt that this
// member has already recorded is not recorded again.
func (n *Node) recordUnderReplicated(ctx context.Context, key []byte, span *pb.Span, holders []Member) error {
	for _, m := range holders {
		if n.isSelf(m) && n.store.IsUnderReplicated(key) {
			return nil
		}
	}
	thin := &pb.Thin{From: span.From, To: max(span.To, span.From+1), Copies: uint32(len(holders))}
	entry := &pb.Entry{Key: key, What: &pb.Entry_Thin{Thin: thin}}
	var err error
	for _, m := range holders {
		if err = n.putOn(ctx, m, []*pb.Entry{entry}); err == nil {
			return nil
		}
	}
	return err
}

// isFinal reports whether an error would be the same on every member.
func isFinal(err error) bool {
	if errors.Is(err, disk.ErrSealed) || errors.Is(err, outputs.ErrBlock) || errors.Is(err, outputs.ErrChunk) {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition, connect.CodeInvalidArgument:
		return true
	}
	return false
}

// moreSpecific returns the error that is more useful to a writer: a full disk rather
// than an unreachable member.
func moreSpecific(a, b error) error {
	if a == nil || errors.Is(b, disk.ErrFull) || connect.CodeOf(b) == connect.CodeResourceExhausted {
		return b
	}
	return a
}
