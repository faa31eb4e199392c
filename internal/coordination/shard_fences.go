package coordination

import (
	"context"
	"log/slog"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
	"reedtrack/internal/transport"
)

// A direct message may reach its worker again at any time, also after it was carried out and
// answered. Ended attempts that were started by one are therefore retained: the worker is not
// told to clear them, and their tasks are not placed on the machine again. The holder ends
// this with a fence, a newer fencing token for the machines of its shard. Under the newer
// token the worker rejects what was sent before.

const (
	// retainedShare is the fraction of a heartbeat's maximum size that retained attempts may
	// take.
	retainedShare = 0.25
	// maxRetainedAttempts is the number of retained attempts from which on a machine gets no
	// more direct starts. Those that it has run by then may be added.
	maxRetainedAttempts = retainedShare * protocol.MaxBodyBytes / protocol.MaxTaskStatusBytes
)

// fenceInterval returns the minimum time between two fences of a shard. Workers report a newer
// token without delay at most once in this time.
func (n *Node) fenceInterval() time.Duration {
	return time.Duration(n.settings.Deployment.Workers.LeaseS / 2 * float64(time.Second))
}

// writeShardFences issues a fencing token for the shards that need a fence.
func (n *Node) writeShardFences(ctx context.Context) {
	txn, due := n.shardFenceTxn()
	if !due {
		return
	}
	_, err := n.store.Txn(ctx, txn)
	slog.Debug("shard fences written", "writes", len(txn.Writes), "err", err)
}

// shardFenceTxn returns the transaction that issues a token for the shards that need a fence,
// as many as fit into it. It is conditional on the last token and on the leases of the shards:
// so the token is newer than all that was granted before, and older than what the next holder
// of a shard is granted.
func (n *Node) shardFenceTxn() (txn protocol.Txn, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.withoutFence || !n.records.ShardFencesEnabled() || !n.holdsLease(now) {
		return txn, false
	}
	token := n.nextFencingToken()
	txn.Preconditions = []protocol.Precondition{{Key: storage.FencingTokenKey, Revision: n.records.LastToken.Revision}}
	txn.Writes = []protocol.Write{{Put: storage.FencingTokenKey, Value: token}}
	for _, i := range n.sortedShardIndexes() {
		s := n.shards[i]
		if !s.needsFence() || now.Sub(s.fencedAt) < n.fenceInterval() || len(txn.Writes) == n.storeLimits().TxnOps {
			continue
		}
		fence := storage.ShardFence{Session: n.session.id, ShardToken: s.fencingToken, FencingToken: token.Last}
		txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: storage.ShardKey(i), Revision: s.revision})
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.ShardFenceKey(i), Value: fence, LeaseID: n.session.id})
		due = true
	}
	return txn, due
}

// needsFence reports whether any machine of the shard retains an ended attempt.
func (s *shard) needsFence() bool {
	for _, m := range s.machines {
		if m.exchange.CountRetained() > 0 {
			return true
		}
	}
	return false
}

// countRetainedAttempts returns the number of retained attempts on the machines of this
// controller's shards.
func (n *Node) countRetainedAttempts() int {
	count := 0
	for _, s := range n.shards {
		for _, m := range s.machines {
			count += m.exchange.CountRetained()
		}
	}
	return count
}

// applyShardFence makes the fence that the records show for a shard effective, if this
// controller holds the shard.
func (n *Node) applyShardFence(shardIndex int) {
	s, token := n.shards[shardIndex], n.records.ShardFenceToken(shardIndex)
	if s == nil || token <= s.fenceToken {
		return
	}
	released := s.applyFence(token, n.now())
	transport.ShardFences.Inc()
	slog.Info("fencing token issued to shard", "shard", shardIndex, "fencing_token", token, "released_attempts", released)
}

// applyFence makes the machines that retain attempts use the shard's newer fencing token, and
// returns the number of attempts that it releases. The other machines keep their tokens, so
// that their workers need not report a newer one.
func (s *shard) applyFence(token uint64, now time.Time) (released int) {
	s.fenceToken, s.fencedAt = token, now
	for _, m := range s.machines {
		if retained := m.exchange.CountRetained(); retained > 0 {
			s.useFence(m)
			released += retained - m.exchange.CountRetained()
		}
	}
	s.capacityFreed = s.capacityFreed || released > 0
	return released
}

// useFence makes a machine use the shard's fence, from its next message on.
func (s *shard) useFence(m *machine) {
	if s.guards&dispatch.WithoutFence == 0 {
		m.shardFence = s.fenceToken
	}
	m.exchange.ReleaseBelow(s.fenceToken)
}

// followWorkerToken makes a machine use the shard's fence if its worker has received it from a
// heartbeat proxy: the worker rejects any lower token.
func (s *shard) followWorkerToken(m *machine, workerToken uint64) {
	if workerToken > s.machineToken(m) && workerToken <= s.fenceToken {
		s.useFence(m)
	}
}
