package coordination

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

const (
	// catalogReadInterval is how often the leader reads the catalog; its
	// prices rarely change.
	catalogReadInterval = time.Minute
	// catalogRetryDelay is the delay before the read and the write are
	// repeated after either has failed: without machine types the other
	// controllers acquire no shard.
	catalogRetryDelay = 2 * time.Second
	// defaultBootTime is assumed for a machine type that is missing from the
	// catalog.
	defaultBootTime = time.Minute
)

// readCatalog reads the machine types and prices that the cloud offers and
// stores them for the other controllers.
func (n *Node) readCatalog(ctx context.Context) {
	catalog, err := n.cloud.Catalog(ctx)
	if err != nil {
		cloudErrorLog.Do(func() { slog.Warn("catalog read failed", "err", err) })
		n.retryCatalog()
		return
	}
	n.mu.Lock()
	n.records.SetMachineTypes(catalog.MachineTypes)
	txn := protocol.Txn{
		Preconditions: []protocol.Precondition{n.leaderPrecondition()},
		Writes:        catalogWrites(catalog, n.storeLimits()),
	}
	n.mu.Unlock()
	if _, err := n.store.Txn(ctx, txn); err != nil {
		slog.Info("catalog write failed", "err", err)
		n.retryCatalog()
	}
	n.wakeLoops()
}

// retryCatalog schedules the next catalog read after catalogRetryDelay.
func (n *Node) retryCatalog() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil {
		n.leadership.catalogReadAt = n.now().Add(catalogRetryDelay - catalogReadInterval)
	}
}

// catalogWrites returns the writes that store a catalog: a single value, or
// chunks if it exceeds the size limit of a value.
func catalogWrites(catalog protocol.Catalog, limits config.Limits) []protocol.Write {
	if fitsValue(catalog, limits) {
		return []protocol.Write{{Put: storage.CatalogKey, Value: catalog}}
	}
	chunks := splitCatalog(catalog, limits)
	var writes []protocol.Write
	for k, chunk := range chunks {
		chunk.ChunkCount = len(chunks)
		writes = append(writes, protocol.Write{Put: storage.CatalogChunkKey(k), Value: chunk})
	}
	return writes
}

// splitCatalog splits a catalog into chunks that fit into one value each. The
// caller sets their ChunkCount.
func splitCatalog(catalog protocol.Catalog, limits config.Limits) []storage.CatalogChunk {
	var chunks []storage.CatalogChunk
	for _, machineType := range catalog.MachineTypes {
		if last := len(chunks) - 1; last >= 0 {
			larger := storage.CatalogChunk{
				ChunkCount:   protocol.MaxBodyBytes, // placeholder: no count has more digits
				MachineTypes: append(slices.Clone(chunks[last].MachineTypes), machineType),
			}
			if fitsValue(larger, limits) {
				chunks[last] = larger
				continue
			}
		}
		chunks = append(chunks, storage.CatalogChunk{MachineTypes: []protocol.MachineType{machineType}})
	}
	return chunks
}

// fitsValue reports whether a value is within the store's size limit.
func fitsValue(value any, limits config.Limits) bool {
	raw, err := json.Marshal(value)
	return err == nil && len(raw) <= limits.MaxValueBytes()
}

// bootTime returns how long a machine of a type takes to boot.
func (n *Node) bootTime(typeName string) time.Duration {
	for _, machineType := range n.records.MachineTypes {
		if machineType.Name == typeName {
			return config.Seconds(machineType.BootSeconds)
		}
	}
	return defaultBootTime
}
