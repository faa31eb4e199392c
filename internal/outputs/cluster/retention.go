package cluster

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/outputs"
	pb "reedtrack/internal/outputs/outputsv1"
)

// maxRetentionMargin is the upper bound of [Node.retentionMargin]. The differences
// between members' clocks and maintenance rounds are far smaller.
const maxRetentionMargin = time.Hour

func (n *Node) retentionOf(s *pb.Summary) time.Duration {
	return n.options.Retention(s.Attempt.GetTeam(), s.Meta.GetJobClass())
}

// isExpired reports whether an attempt is past its retention. The retention of a sealed
// attempt starts when the seal was received, on which its replicas agree; that of an
// open attempt starts at its last change.
func (n *Node) isExpired(s *pb.Summary, now time.Time) bool {
	retention := n.retentionOf(s)
	return retention > 0 && s.ReceivedNs > 0 && now.Sub(time.Unix(0, s.ReceivedNs)) > retention
}

// retentionMargin is how long before its expiry an attempt is no longer repaired,
// because members may drop it at slightly different times.
func (n *Node) retentionMargin(s *pb.Summary) time.Duration {
	return min(maxRetentionMargin, n.retentionOf(s)/10)
}

// dropExpired drops the attempts that are past their retention and returns their
// number.
func (n *Node) dropExpired(ctx context.Context, now time.Time) int {
	var keys [][]byte
	n.store.ForEachAttempt(func(key []byte, _ uint64, state *pb.AttemptState) bool {
		a, err := outputs.ParseKey(key)
		received := cmp.Or(state.ReceivedNs, state.TouchedNs)
		if err == nil && n.isExpired(&pb.Summary{Attempt: a, Meta: state.Meta, ReceivedNs: received}, now) {
			keys = append(keys, key)
		}
		return true
	})
	dropped := 0
	for page := range slices.Chunk(keys, maxAttemptsPerMessage) {
		if err := n.store.Drop(ctx, "retention", page...); err != nil {
			slog.Warn("expired attempts not dropped", "err", err)
			break
		}
		dropped += len(page)
	}
	if dropped > 0 {
		slog.Info("expired attempts dropped", "attempts", dropped)
	}
	return dropped
}
