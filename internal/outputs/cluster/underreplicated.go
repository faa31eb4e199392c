package cluster

import (
	"context"
	"slices"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// clearFullyReplicated checks the attempts recorded as under-replicated, and clears the
// record if all members that should hold a replica now have a complete one.
func (n *Node) clearFullyReplicated(ctx context.Context, v *View) {
	var keys [][]byte
	n.store.ForEachAttempt(func(key []byte, _ uint64, state *pb.AttemptState) bool {
		if len(state.Thin) > 0 {
			keys = append(keys, key)
		}
		return true
	})
	remaining := len(keys)
	for page := range slices.Chunk(keys, maxAttemptsPerMessage) {
		complete := n.countCompleteReplicas(ctx, v, page)
		for _, key := range page {
			if complete[string(key)] >= n.options.ReplicationFactor {
				n.store.ClearUnderReplicated(key)
				remaining--
			}
		}
	}
	underReplicatedAttempts.Set(float64(remaining))
}

// countCompleteReplicas returns by key the number of members that should hold an
// attempt and have a complete replica.
func (n *Node) countCompleteReplicas(ctx context.Context, v *View, keys [][]byte) map[string]int {
	complete := map[string]int{}
	for _, m := range v.Members {
		index := v.Index(m.Name)
		for _, held := range n.heldOn(ctx, m, keys) {
			replicas := v.Replicas(outputs.Route(held.Key), n.options.ReplicationFactor)
			if held.Complete && slices.Contains(replicas, index) {
				complete[string(held.Key)]++
			}
		}
	}
	return complete
}

// heldOn returns a member's replicas of the given attempts, or nil if the member does
// not answer.
func (n *Node) heldOn(ctx context.Context, m Member, keys [][]byte) []*pb.Held {
	if n.isSelf(m) {
		return n.heldLocally(keys)
	}
	if !n.health.isAvailable(m) {
		return nil
	}
	resp, err := callPeer(ctx, n, m, Peer.Held, &pb.HeldRequest{Keys: keys})
	if err != nil {
		return nil
	}
	return resp.Held
}
