package cluster

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
)

// forEachMember calls visit for all members concurrently and returns the names of the
// members for which it failed or that are in backoff. The peer is nil for this member.
func (n *Node) forEachMember(ctx context.Context, visit func(ctx context.Context, m Member, p Peer) error) (unreachable []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range n.membership.View().Members {
		wg.Go(func() {
			if err := n.visitMember(ctx, m, visit); err != nil {
				mu.Lock()
				defer mu.Unlock()
				unreachable = append(unreachable, m.Name)
			}
		})
	}
	wg.Wait()
	slices.Sort(unreachable)
	return unreachable
}

func (n *Node) visitMember(ctx context.Context, m Member, visit func(ctx context.Context, m Member, p Peer) error) error {
	if n.isSelf(m) {
		return visit(ctx, m, nil)
	}
	if !n.health.isAvailable(m) {
		return ErrUnavailable
	}
	return n.call(ctx, m, func(ctx context.Context, p Peer) error { return visit(ctx, m, p) })
}

// replica describes the data that one member holds of an attempt.
type replica struct {
	member Member
	held   *pb.Held
}

// replicas finds the replicas of an attempt, best first. If the local replica is
// complete, other members are asked only if all is set.
func (n *Node) replicas(ctx context.Context, key []byte, all bool) (list []replica, unreachable []string) {
	if held := n.store.Held(key); held != nil && held.Complete && !all {
		return []replica{{member: n.membership.Self, held: held}}, nil
	}
	var mu sync.Mutex
	unreachable = n.forEachMember(ctx, func(ctx context.Context, m Member, p Peer) error {
		held, err := n.heldBy(ctx, p, key)
		if err != nil || held == nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		list = append(list, replica{member: m, held: held})
		return nil
	})
	slices.SortFunc(list, n.compareReplicas)
	return list, unreachable
}

// heldBy returns a peer's replica of an attempt, or the local one if the peer is nil.
// The result is nil if there is none.
func (n *Node) heldBy(ctx context.Context, p Peer, key []byte) (*pb.Held, error) {
	if p == nil {
		return n.store.Held(key), nil
	}
	r, err := p.Held(ctx, connect.NewRequest(&pb.HeldRequest{Keys: [][]byte{key}}))
	if err != nil || len(r.Msg.Held) == 0 {
		return nil, err
	}
	return r.Msg.Held[0], nil
}

// compareReplicas orders replicas: the local one if it is complete, then other
// complete ones, then the others by descending number of records.
func (n *Node) compareReplicas(a, b replica) int {
	rank := func(r replica) int {
		switch {
		case r.held.Complete && n.isSelf(r.member):
			return 0
		case r.held.Complete:
			return 1
		}
		return 2
	}
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(outputs.Spans(b.held.Spans).Count(), outputs.Spans(a.held.Spans).Count()),
		cmp.Compare(a.member.Name, b.member.Name),
	)
}

// mergeHeld merges the replicas of one attempt on several members.
func mergeHeld(list []*pb.Held) *pb.Held {
	best := list[0]
	var spans outputs.Spans
	complete, thin := uint32(0), false
	for _, held := range list {
		for _, x := range held.Spans {
			spans = spans.Add(x.From, x.To)
		}
		if held.Complete {
			complete++
		}
		thin = thin || held.Summary.Thin
		if isBetterSummary(held, best) {
			best = held
		}
	}
	merged := &pb.Held{Key: best.Key, Spans: spans, Complete: complete > 0, Print: best.Print, Summary: proto.CloneOf(best.Summary)}
	merged.Summary.Copies, merged.Summary.Thin = complete, thin
	if !merged.Summary.Sealed {
		merged.Summary.Records = spans.End()
	}
	return merged
}

// isBetterSummary reports whether a's summary is preferred to b's. Complete replicas
// are preferred because their counts are exact, then sealed ones, then those with more
// records.
func isBetterSummary(a, b *pb.Held) bool {
	if a.Complete != b.Complete {
		return a.Complete
	}
	if a.Summary.Sealed != b.Summary.Sealed {
		return a.Summary.Sealed
	}
	return outputs.Spans(a.Spans).Count() > outputs.Spans(b.Spans).Count()
}

// Describe returns an attempt's summary, and its seal if any member has it.
func (n *Node) Describe(ctx context.Context, a *pb.Attempt) (*pb.DescribeResponse, error) {
	key := outputs.Key(a)
	list, unreachable := n.replicas(ctx, key, true)
	if len(list) == 0 {
		return nil, notFound(unreachable)
	}
	var held []*pb.Held
	for _, r := range list {
		held = append(held, r.held)
	}
	resp := &pb.DescribeResponse{Summary: mergeHeld(held).Summary}
	for _, r := range list {
		if !r.held.Summary.Sealed {
			continue
		}
		if seal, _, err := n.sealFrom(ctx, r.member, key); err == nil && seal != nil {
			resp.Seal = seal
			break
		}
	}
	return resp, nil
}

// notFound returns the error for an item that no responding member holds: that it does
// not exist, or, if members are unreachable, that its existence is unknown.
func notFound(unreachable []string) error {
	if len(unreachable) > 0 {
		return ErrUnavailable
	}
	return disk.ErrNotFound
}

// sealFrom reads an attempt's seal and the metadata of its start from one member.
func (n *Node) sealFrom(ctx context.Context, m Member, key []byte) (*pb.Seal, *pb.Meta, error) {
	if n.isSelf(m) {
		seal, meta := n.store.Seal(key)
		return seal, meta, nil
	}
	resp, err := callPeer(ctx, n, m, Peer.GetSeal, &pb.GetSealRequest{Key: key})
	if err != nil {
		return nil, nil, err
	}
	return resp.Seal, resp.Meta, nil
}

// Chunk returns the data of a chunk of a team's artefacts from any member that has
// it. Members are tried in the preference order of the route, this member first.
func (n *Node) Chunk(ctx context.Context, team string, hash, route []byte) ([]byte, error) {
	v := n.membership.View()
	order := v.PreferenceList(route)
	if self := v.Index(n.membership.Self.Name); self >= 0 {
		others := slices.DeleteFunc(order, func(i int) bool { return i == self })
		order = append([]int{self}, others...)
	}
	var unreachable []string
	for _, i := range order {
		m := v.Members[i]
		chunk, err := n.chunkFrom(ctx, m, team, hash)
		if err == nil {
			data, err := outputs.UnpackChunk(chunk)
			if err == nil && bytes.Equal(chunk.Sha256, hash) {
				return data, nil
			}
		} else if isUnreachable(err) && !n.isSelf(m) {
			unreachable = append(unreachable, m.Name)
		}
	}
	return nil, notFound(unreachable)
}

// chunkFrom reads a chunk from one member.
func (n *Node) chunkFrom(ctx context.Context, m Member, team string, hash []byte) (*pb.Chunk, error) {
	if n.isSelf(m) {
		return n.store.Chunk(team, hash)
	}
	if !n.health.isAvailable(m) {
		return nil, connect.NewError(connect.CodeUnavailable, ErrUnavailable)
	}
	resp, err := callPeer(ctx, n, m, Peer.GetChunk, &pb.GetChunkRequest{Team: team, Sha256: hash})
	if err != nil {
		return nil, err
	}
	return resp.Chunk, nil
}

// LocalStatus returns the storage usage of this member.
func (n *Node) LocalStatus() *pb.StatusResponse {
	stats := n.store.Stats()
	return &pb.StatusResponse{Full: stats.Full, Attempts: stats.Attempts, DiskBytes: stats.DiskBytes}
}

// Status describes all members as seen by this one.
func (n *Node) Status(ctx context.Context) *pb.MembersResponse {
	v := n.membership.View()
	resp := &pb.MembersResponse{Members: v.toProto(), Self: n.membership.Self.Name, StateKnown: n.membership.IsCurrent()}
	var mu sync.Mutex
	n.forEachMember(ctx, func(ctx context.Context, m Member, p Peer) error {
		status := n.LocalStatus()
		if p != nil {
			r, err := p.Status(ctx, connect.NewRequest(new(pb.StatusRequest)))
			if err != nil {
				return err
			}
			status = r.Msg
		}
		mu.Lock()
		defer mu.Unlock()
		x := resp.Members[v.Index(m.Name)]
		x.Reachable, x.Full, x.Attempts, x.DiskBytes = true, status.Full, status.Attempts, status.DiskBytes
		return nil
	})
	return resp
}
