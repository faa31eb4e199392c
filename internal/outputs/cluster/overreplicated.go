package cluster

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// A replica on a member that should not hold it is dropped once every member that
// should hold it has confirmed a complete replica.
//
// Two members with different views could each regard the other as the proper holder
// and both drop their replicas. Therefore a member that confirms a replica pins it for
// Options.PinDuration, and a confirmation may be acted on only within
// confirmationValidity, which is shorter; after that it must be requested again. Pins
// are not persistent, so a member drops nothing for PinDuration after it has started.

// confirmationValidity is how long a confirmation may be acted on. It must be well
// below Options.PinDuration, which is a minute by default.
const confirmationValidity = 10 * time.Second

// openAttemptIdleTimeout is how long an open attempt must be idle before its replica
// can count as over-replicated: until then, its writer may still be sending here.
const openAttemptIdleTimeout = 10 * time.Minute

// dropOverReplicated drops the replicas that this member should not hold, once the
// members that should hold them have confirmed theirs.
func (n *Node) dropOverReplicated(ctx context.Context) {
	v := n.membership.View()
	if !n.membership.IsCurrent() || time.Since(n.started) < n.options.PinDuration || len(v.Members) < n.options.ReplicationFactor {
		return
	}
	dropped := 0
	for page := range slices.Chunk(n.overReplicatedKeys(v), maxAttemptsPerMessage) {
		if ctx.Err() == nil {
			dropped += n.dropConfirmed(ctx, v, page)
		}
	}
	if dropped > 0 {
		slog.Info("over-replicated attempts dropped", "attempts", dropped)
	}
}

// overReplicatedKeys lists the attempts that this member holds but should not.
func (n *Node) overReplicatedKeys(v *View) [][]byte {
	self := v.Index(n.membership.Self.Name)
	now := time.Now()
	var keys [][]byte
	n.store.ForEachAttempt(func(key []byte, _ uint64, state *pb.AttemptState) bool {
		if slices.Contains(v.Replicas(outputs.Route(key), n.options.ReplicationFactor), self) {
			return true
		}
		if !state.Sealed && now.UnixNano()-state.TouchedNs < int64(openAttemptIdleTimeout) {
			return true
		}
		keys = append(keys, key)
		return true
	})
	return keys
}

// dropConfirmed drops those of the given attempts that all members that should hold
// them have confirmed, and returns their number.
func (n *Node) dropConfirmed(ctx context.Context, v *View, keys [][]byte) int {
	asked := time.Now()
	confirmations := n.requestConfirmations(ctx, v, keys)
	n.pinMu.Lock()
	defer n.pinMu.Unlock() // no replica is confirmed to other members during the drop
	if time.Since(asked) > confirmationValidity || !n.membership.IsCurrent() {
		return 0
	}
	var drop [][]byte
	for _, key := range keys {
		isPinned := !time.Now().After(n.pins[string(key)])
		if confirmations[string(key)] >= n.options.ReplicationFactor && !isPinned {
			drop = append(drop, key)
		}
	}
	if len(drop) == 0 {
		return 0
	}
	if err := n.store.Drop(ctx, "surplus", drop...); err != nil {
		slog.Warn("over-replicated attempts not dropped", "err", err)
		return 0
	}
	return len(drop)
}

// requestConfirmations asks the members that should hold the given attempts to confirm
// their replicas, and returns the number of confirmations by key.
func (n *Node) requestConfirmations(ctx context.Context, v *View, keys [][]byte) map[string]int {
	confirmations := map[string]int{}
	for i, m := range v.Members {
		if n.isSelf(m) {
			continue
		}
		request := new(pb.ConfirmRequest)
		for _, key := range keys {
			if !slices.Contains(v.Replicas(outputs.Route(key), n.options.ReplicationFactor), i) {
				continue
			}
			if held := n.store.Held(key); held != nil {
				request.Held = append(request.Held, held)
			}
		}
		if len(request.Held) == 0 {
			continue
		}
		resp, err := callPeer(ctx, n, m, Peer.Confirm, request)
		if err != nil {
			continue // unconfirmed attempts are not dropped
		}
		for j, confirmed := range resp.Held {
			if confirmed && j < len(request.Held) {
				confirmations[string(request.Held[j].Key)]++
			}
		}
	}
	return confirmations
}

// Confirm handles a request of a member to drop its replicas. It confirms
// each replica that this member should hold and that covers the other's, and pins it
// for Options.PinDuration.
func (n *Node) Confirm(req *pb.ConfirmRequest) *pb.ConfirmResponse {
	v := n.membership.View()
	self := v.Index(n.membership.Self.Name)
	now := time.Now()
	resp := &pb.ConfirmResponse{Held: make([]bool, len(req.Held))}
	n.pinMu.Lock()
	defer n.pinMu.Unlock()
	for i, remote := range req.Held {
		replicas := v.Replicas(outputs.Route(remote.Key), n.options.ReplicationFactor)
		if !slices.Contains(replicas, self) || !covers(n.store.Held(remote.Key), remote) {
			continue
		}
		n.pins[string(remote.Key)] = now.Add(n.options.PinDuration)
		resp.Held[i] = true
	}
	for key, until := range n.pins {
		if now.After(until) {
			delete(n.pins, key)
		}
	}
	return resp
}

// covers reports whether the local replica has all the data of a remote one.
func covers(local, remote *pb.Held) bool {
	if local == nil {
		return false
	}
	if local.Complete {
		return true
	}
	if remote.Summary.GetSealed() || remote.Complete {
		return false
	}
	return containsSpans(local.Spans, remote.Spans)
}
