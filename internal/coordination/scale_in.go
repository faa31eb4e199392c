package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// scaleIn marks machines for release that are confirmed empty and to be replaced, silent
// or idle.
//
// A silent machine is kept for one more lease duration after its lease has expired: it may
// only be disconnected, and saves a boot if it reconnects. A machine that has never
// reported is not idle but still expected to report. Machines of an unreachable
// zone, or all machines while this controller is isolated, are kept longer if jobs are
// waiting: these machines return together, and nothing else will serve the jobs sooner.
func (s *shard) scaleIn(input *planInput, now time.Time, leaseTimeout time.Duration, maxIdle func(machineKind) time.Duration) {
	for _, m := range s.machines {
		if m.releasing || !m.isConfirmedEmpty() {
			continue
		}
		silentTimeout := s.silentTimeout(m, input, leaseTimeout)
		if m.isToBeReplaced() || m.isSilentFor(silentTimeout, now) || m.isIdleFor(maxIdle(m.kind()), now) {
			m.releasing = true
		}
	}
}

// silentTimeout returns how long a silent machine is kept before its release.
func (s *shard) silentTimeout(m *machine, input *planInput, leaseTimeout time.Duration) time.Duration {
	cutOff := input.isolated || input.unreachableZones[m.lease.Zone]
	if cutOff && len(s.queue) > 0 {
		return cutOffLeaseTimeouts * leaseTimeout
	}
	return silentLeaseTimeouts * leaseTimeout
}

// isConfirmedEmpty reports whether a machine certainly runs no tasks.
func (m *machine) isConfirmedEmpty() bool {
	return m.isReconciled() && len(m.attempts) == 0 && len(m.orphans) == 0 && !m.runsUnreadableJob
}

// isToBeReplaced reports whether no further tasks are placed on a machine, even if some
// are pending.
func (m *machine) isToBeReplaced() bool {
	return m.removed || m.cordoned || m.slow || m.draining
}

// isSilentFor reports whether a machine whose lease has expired has been silent for
// longer than the timeout.
func (m *machine) isSilentFor(timeout time.Duration, now time.Time) bool {
	return m.isExpired() && now.Sub(m.lastAnswered) > timeout
}

// isIdleFor reports whether a machine that sends heartbeats has run no tasks for longer
// than the given duration.
func (m *machine) isIdleFor(duration time.Duration, now time.Time) bool {
	return !m.isExpired() && m.hasReported() && now.Sub(m.idleSince) > duration
}

const (
	// silentLeaseTimeouts and cutOffLeaseTimeouts are how long silent machines are
	// kept, as multiples of the lease duration of their workers.
	silentLeaseTimeouts = 2
	cutOffLeaseTimeouts = 6
	// maxApplyDelay is how long a holder waits for a committed write to appear in its
	// copy of the records.
	maxApplyDelay = time.Second
	// grantWriteInterval is the minimum interval between writes of a shard's grant.
	grantWriteInterval = 500 * time.Millisecond
)

// grantReduction is a write that removes released machines and returned quota from a
// shard's grant.
type grantReduction struct {
	shard    *shard
	txn      protocol.Txn
	shares   map[string]storage.Resources // the remaining shares; nil if the head record is not written
	released []string                     // machines
}

// writeGrants removes released machines and returned quota from the grants of this
// controller's shards.
//
// A holder may only reduce its shard's grant, never extend it, and its writes are
// conditional on the revisions of the shard's lease and of the records that it changes.
// So a late write fails once the shard has another holder or the leader has extended the
// grant, and can't remove what was granted since.
func (n *Node) writeGrants(ctx context.Context) {
	for _, reduction := range n.planGrantReductions() {
		n.writeGrantReduction(ctx, reduction)
	}
}

// planGrantReductions returns the writes that are due, and marks them as pending.
func (n *Node) planGrantReductions() []*grantReduction {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var reductions []*grantReduction
	for _, s := range n.shards {
		if !n.mayReduceGrant(s, now) {
			continue
		}
		reduction := n.planGrantReduction(s, now)
		if len(reduction.txn.Writes) == 0 {
			continue
		}
		reduction.begin(now)
		reductions = append(reductions, reduction)
	}
	return reductions
}

// mayReduceGrant reports whether a shard's grant may be written now. The last successful
// write has to appear in the local copy first: another write before would fail. And changes
// are batched: with hundreds of machines some could be released continually, and the
// writes of job records share the same budget.
func (n *Node) mayReduceGrant(s *shard, now time.Time) bool {
	if _, ok := n.records.Grants[s.index]; !ok || !n.canChangeGrant(s.index) || s.grantWritePending {
		return false
	}
	if n.records.AppliedRevision < s.grantRevision && now.Sub(s.grantWrittenAt) < maxApplyDelay {
		return false
	}
	return now.Sub(s.grantAttemptedAt) >= grantWriteInterval
}

// planGrantReduction returns the grant reduction of a shard, which has no writes if
// nothing is released.
func (n *Node) planGrantReduction(s *shard, now time.Time) *grantReduction {
	grant := n.records.Grants[s.index]
	reduction := &grantReduction{shard: s}
	reduction.txn.Preconditions = []protocol.Precondition{{Key: storage.ShardKey(s.index), Revision: s.revision}}
	kept, released := s.splitReleased(grant.Value.Machines)
	shares, lowered := n.lowerShares(s, grant.Value.Quotas, now)
	isSplit := grant.Value.Generation != 0
	if lowered || !isSplit && len(released) > 0 {
		head := storage.Grant{Generation: grant.Value.Generation, Machines: kept, Quotas: shares}
		reduction.shares = shares
		reduction.add(protocol.Precondition{Key: storage.GrantKey(s.index), Revision: grant.Revision}, head)
	}
	if isSplit {
		n.addReducedChunks(reduction, grant.Value.Generation)
	} else {
		reduction.released = released
	}
	return reduction
}

// addReducedChunks adds writes of chunks without their released machines, up to the
// available write budget: a transaction that waits until the budget allows its maximum
// size is never sent while other writes use the budget, and released machines stay idle.
func (n *Node) addReducedChunks(reduction *grantReduction, generation uint64) {
	limits := n.storeLimits()
	for _, chunk := range n.chunksToReduce(reduction.shard, generation) {
		writes := len(reduction.txn.Writes)
		if writes > 0 && (writes >= min(limits.TxnOps, n.store.AvailableWrites()) || (writes+2)*limits.MaxValueBytes() > protocol.MaxBodyBytes) {
			return
		}
		value := storage.GrantChunk{Generation: generation, Machines: chunk.kept}
		reduction.add(n.chunkPrecondition(reduction.shard.index, chunk.chunk), value)
		reduction.released = append(reduction.released, chunk.released...)
	}
}

// add adds the write of one record, conditional on its revision being unchanged.
func (r *grantReduction) add(unchanged protocol.Precondition, value any) {
	r.txn.Preconditions = append(r.txn.Preconditions, unchanged)
	r.txn.Writes = append(r.txn.Writes, protocol.Write{Put: unchanged.Key, Value: value})
}

// begin records that the write is about to be sent. It lowers the shares immediately:
// returned quota is no longer used, whether or not the write is answered. A later write
// doesn't raise them again, since the earlier one may still be applied and the quota
// granted to another shard; only a newer record does.
func (r *grantReduction) begin(now time.Time) {
	if r.shares != nil {
		r.shard.shares = r.shares
		r.shard.sharesLoweredAt = now
	}
	r.shard.grantWritePending = true
	r.shard.grantAttemptedAt = now
}

// writeGrantReduction sends the write of a grant reduction and records the outcome.
func (n *Node) writeGrantReduction(ctx context.Context, reduction *grantReduction) {
	s := reduction.shard
	revision, err := n.store.Txn(ctx, reduction.txn)
	n.mu.Lock()
	s.grantWritePending = false
	if err == nil {
		s.grantRevision, s.grantWrittenAt = revision, n.now()
	}
	n.mu.Unlock()
	if errors.Is(err, storage.ErrBudgetExhausted) || errors.Is(err, storage.ErrConflict) {
		slog.Debug("grant reduction failed", "shard", s.index, "err", err)
		return
	}
	slog.Info("grant reduced", "shard", s.index, "machines", reduction.released, "err", err)
}

// splitReleased splits machine leases into those that are kept and the names of the
// machines that are released.
func (s *shard) splitReleased(leases []storage.MachineLease) (kept []storage.MachineLease, released []string) {
	for _, lease := range leases {
		if m := s.machines[lease.Machine]; m != nil && m.releasing {
			released = append(released, lease.Machine)
		} else {
			kept = append(kept, lease)
		}
	}
	return kept, released
}

// reducedChunk is a grant chunk without its released machines.
type reducedChunk struct {
	chunk    int
	kept     []storage.MachineLease
	released []string
}

// chunksToReduce lists the chunks with released machines, those with the most released
// machines first.
func (n *Node) chunksToReduce(s *shard, generation uint64) []reducedChunk {
	var reduced []reducedChunk
	for k, chunk := range n.records.GrantChunks[s.index] {
		if chunk.Value.Generation != generation {
			continue
		}
		if kept, released := s.splitReleased(chunk.Value.Machines); len(released) > 0 {
			reduced = append(reduced, reducedChunk{k, kept, released})
		}
	}
	slices.SortFunc(reduced, func(a, b reducedChunk) int {
		return cmp.Or(len(b.released)-len(a.released), a.chunk-b.chunk)
	})
	return reduced
}
