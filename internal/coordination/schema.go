package coordination

import (
	"context"
	"errors"
	"log/slog"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// storeLimits returns the write limits that this controller must respect. Until every
// controller supports split grants, these are the store's present limits, within which the
// previous version writes too. Afterwards they are the lower of the present and the
// announced limits, which may then take effect without notice.
func (n *Node) storeLimits() config.Limits {
	if n.records.SplitGrantsEnabled() {
		return n.settings.StoreLimits()
	}
	state := &n.settings.Deployment.State
	return config.Limits{WriteRPS: state.WriteRPS, ValueKB: state.ValueKB, TxnOps: state.TxnOps}
}

// maxMachinesPerShard returns the maximum number of machines of a shard.
func (n *Node) maxMachinesPerShard() int {
	if n.records.SplitGrantsEnabled() {
		return n.settings.MaxShardMachines()
	}
	return n.settings.SingleRecordCapacity()
}

// advanceSchema writes, once, a marker that this controller has run this version. As the
// leader, it raises the schema version when all controllers have written their markers.
// Markers are not bound to a lease, so the controllers need not be up at the same time,
// and the version is never lowered.
func (n *Node) advanceSchema(ctx context.Context) {
	n.mu.Lock()
	schema := storage.SchemaVersion{Version: storage.SchemaLatest}
	var txn protocol.Txn
	step := ""
	upgraded := n.records.CountUpgraded()
	switch {
	case n.records.SchemaVersion.Value.Version >= storage.SchemaLatest:
	case n.records.VersionMarkers[n.settings.HostName].Value.Version < storage.SchemaLatest:
		step = "version marker"
		txn.Writes = []protocol.Write{{Put: storage.VersionMarkerKey(n.settings.HostName), Value: schema}}
	case upgraded >= n.settings.Deployment.Count && n.isOwnSession(n.records.Leader.Value):
		step = "schema version"
		txn.Preconditions = []protocol.Precondition{{Key: storage.SchemaVersionKey, Revision: n.records.SchemaVersion.Revision}}
		txn.Writes = []protocol.Write{{Put: storage.SchemaVersionKey, Value: schema}}
	}
	n.mu.Unlock()
	if step == "" {
		return
	}
	_, err := n.store.Txn(ctx, txn)
	slog.Info("schema upgrade step", "step", step, "upgraded", upgraded, "controllers", n.settings.Deployment.Count, "err", err)
}

// nextSplitTxn returns the next step of splitting a shard's grant into chunks, or nil.
// Chunks are staged on condition that the grant is unchanged, each within the future size
// limits; a final small write of the head record then makes them effective. A late step
// either fails or repeats what is already stored, so splitting can be interrupted and
// resumed at any point, also by another leader. The grant is not otherwise modified
// during the split.
func (n *Node) nextSplitTxn() (*protocol.Txn, string) {
	for i := range n.operator.Shards {
		grant, ok := n.records.Grants[i]
		if !ok || grant.Value.Generation != 0 {
			continue
		}
		limits := n.storeLimits()
		txn := &protocol.Txn{Preconditions: []protocol.Precondition{{Key: storage.LeaderKey, Revision: n.records.Leader.Revision}, {Key: storage.GrantKey(i), Revision: grant.Revision}}}
		totalBytes := recordOverhead
		for k, leases := range splitLeases(grant.Value.Machines, limits.MaxValueBytes()) {
			var revision uint64
			if staged := n.records.GrantChunks[i][k]; staged != nil {
				if staged.Value.Generation == grant.Revision && staged.Bytes >= 0 {
					continue // already staged
				}
				revision = staged.Revision
			}
			if totalBytes += limits.MaxValueBytes(); len(txn.Writes) == limits.TxnOps || len(txn.Writes) > 0 && totalBytes > protocol.MaxBodyBytes {
				break
			}
			txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: storage.GrantChunkKey(i, k), Revision: revision})
			txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantChunkKey(i, k), Value: storage.GrantChunk{Generation: grant.Revision, Machines: leases}})
		}
		if len(txn.Writes) > 0 {
			return txn, "grant chunks staged"
		}
		txn.Writes = []protocol.Write{{Put: storage.GrantKey(i), Value: storage.Grant{Generation: grant.Revision, Quotas: grant.Value.Quotas}}}
		return txn, "grant split"
	}
	return nil, ""
}

// splitLeases divides machine leases into chunks of at most maxBytes.
func splitLeases(leases []storage.MachineLease, maxBytes int) [][]storage.MachineLease {
	var chunks [][]storage.MachineLease
	size := maxBytes
	for _, lease := range leases {
		more := leaseBytes(lease)
		if size+more > maxBytes {
			chunks, size = append(chunks, nil), chunkOverhead
		}
		size += more
		chunks[len(chunks)-1] = append(chunks[len(chunks)-1], lease)
	}
	return chunks
}

// deleteStaleChunks deletes completion chunks of ended jobs, within the write budget.
func (n *Node) deleteStaleChunks(ctx context.Context) {
	n.mu.Lock()
	var txn protocol.Txn
	maxWrites := min(n.store.DeferrableWrites(), n.storeLimits().TxnOps)
	if n.leadership != nil && n.holdsLease(n.now()) && maxWrites > 0 {
		for id, chunks := range n.records.CompletionChunks {
			if n.records.Jobs[id] != nil || n.records.UnreadableJobs[id] {
				continue
			}
			for from, chunk := range chunks {
				if len(txn.Writes) < maxWrites {
					txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: storage.CompletionChunkKey(id, from), Revision: chunk.Revision}, protocol.Precondition{Key: storage.JobKey(id)})
					txn.Writes = append(txn.Writes, protocol.Write{Delete: storage.CompletionChunkKey(id, from)})
				}
			}
			if len(txn.Writes) >= maxWrites {
				break
			}
		}
	}
	n.mu.Unlock()
	if len(txn.Writes) > 0 {
		if _, err := n.store.Txn(ctx, txn); err != nil && !errors.Is(err, storage.ErrConflict) {
			slog.Debug("completion chunk deletion failed", "err", err)
		}
	}
}
