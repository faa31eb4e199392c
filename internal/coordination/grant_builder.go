package coordination

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// grantBuilder collects the changes of one grant transaction and keeps it
// within the store's limits on operations, value size and total size. What
// does not fit is left to the next transaction or granted to another shard; a
// write that could never succeed is not made.
type grantBuilder struct {
	node        *Node // read only, except for the cached sizes of chunks
	limits      config.Limits
	grants      map[int]storage.Grant                // changed heads, by shard
	chunks      map[grantRecordID]storage.GrantChunk // changed chunks
	recordBytes map[grantRecordID]int                // upper bound for each record
	totalBytes  int                                  // upper bound for the whole transaction
}

// headChunk is the chunk number that denotes the head of a grant.
const headChunk = -1

// grantRecordID identifies the head of a shard's grant, or one of its chunks.
type grantRecordID struct {
	shard int
	chunk int
}

// headRecord identifies the head of a shard's grant.
func headRecord(shard int) grantRecordID { return grantRecordID{shard, headChunk} }

// isHead reports whether this is the head of a grant.
func (r grantRecordID) isHead() bool { return r.chunk == headChunk }

// compareRecordIDs orders records by shard and chunk.
func compareRecordIDs(a, b grantRecordID) int {
	return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(a.chunk, b.chunk))
}

const (
	// tokenOps is the number of operations that the fencing token takes.
	tokenOps = 1
	// recordOverhead is how many bytes the keys, up to three preconditions and
	// the fencing token add for each changed record.
	recordOverhead = 512
	// shareOverhead bounds the bytes that one changed share adds besides its
	// team's name.
	shareOverhead = 64
	// chunkOverhead bounds the bytes of a chunk without machine leases.
	chunkOverhead = 128
)

// newGrantBuilder returns a builder without changes.
func newGrantBuilder(n *Node) *grantBuilder {
	return &grantBuilder{
		node:        n,
		limits:      n.storeLimits(),
		grants:      map[int]storage.Grant{},
		chunks:      map[grantRecordID]storage.GrantChunk{},
		recordBytes: map[grantRecordID]int{},
		totalBytes:  recordOverhead,
	}
}

// changeCount counts the records that are changed.
func (b *grantBuilder) changeCount() int { return len(b.grants) + len(b.chunks) }

// recordSize returns an upper bound of a record's size with the changes so far.
func (b *grantBuilder) recordSize(record grantRecordID) int {
	if size, ok := b.recordBytes[record]; ok {
		return size
	}
	if !record.isHead() {
		return b.chunkSize(record)
	}
	raw, err := json.Marshal(b.node.records.Grants[record.shard].Value)
	if err != nil {
		return protocol.MaxBodyBytes
	}
	b.recordBytes[record] = len(raw)
	return len(raw)
}

// chunkSize returns an upper bound of an unchanged chunk's size. The size is
// cached with the chunk, since encoding all chunks for each grant would be
// slow.
func (b *grantBuilder) chunkSize(record grantRecordID) int {
	chunk := b.currentChunk(record)
	if chunk == nil {
		return chunkOverhead
	}
	if chunk.Bytes > 0 {
		return chunk.Bytes
	}
	raw, err := json.Marshal(chunk.Value)
	if err != nil {
		return protocol.MaxBodyBytes
	}
	chunk.Bytes = len(raw)
	b.recordBytes[record] = len(raw)
	return len(raw)
}

// currentChunk returns a stored chunk of the present head's generation, or
// nil.
func (b *grantBuilder) currentChunk(record grantRecordID) *clusterstate.GrantChunkRecord {
	chunk := b.node.records.GrantChunks[record.shard][record.chunk]
	if chunk == nil || chunk.Value.Generation != b.node.records.Grants[record.shard].Value.Generation {
		return nil
	}
	return chunk
}

// contains reports whether a record is changed already.
func (b *grantBuilder) contains(record grantRecordID) bool {
	if record.isHead() {
		_, ok := b.grants[record.shard]
		return ok
	}
	_, ok := b.chunks[record]
	return ok
}

// canGrow reports whether a record may grow by the given number of bytes.
func (b *grantBuilder) canGrow(record grantRecordID, extraBytes int) bool {
	if b.recordSize(record)+extraBytes > b.limits.MaxValueBytes() {
		return false
	}
	totalBytes := b.totalBytes + extraBytes
	if !b.contains(record) {
		if b.changeCount()+1+tokenOps > b.limits.TxnOps {
			return false
		}
		totalBytes += b.recordSize(record) + recordOverhead
	}
	return totalBytes <= protocol.MaxBodyBytes
}

// reserve accounts for the growth of a record.
func (b *grantBuilder) reserve(record grantRecordID, extraBytes int) {
	b.totalBytes += extraBytes
	if !b.contains(record) {
		b.totalBytes += b.recordSize(record) + recordOverhead
	}
	b.recordBytes[record] = b.recordSize(record) + extraBytes
}

// editHead returns a copy of a shard's grant for changes that add the given
// number of bytes; the caller stores it in b.grants.
func (b *grantBuilder) editHead(shard, extraBytes int) storage.Grant {
	b.reserve(headRecord(shard), extraBytes)
	grant, ok := b.grants[shard]
	if !ok {
		current := b.node.records.Grants[shard].Value
		grant = storage.Grant{
			Generation: current.Generation,
			Machines:   slices.Clone(current.Machines),
			Quotas:     maps.Clone(current.Quotas),
		}
		if grant.Quotas == nil {
			grant.Quotas = map[string]storage.Resources{}
		}
	}
	return grant
}

// editChunk returns a copy of a chunk for changes that add the given number of
// bytes; the caller stores it in b.chunks.
func (b *grantBuilder) editChunk(record grantRecordID, extraBytes int) storage.GrantChunk {
	b.reserve(record, extraBytes)
	chunk, ok := b.chunks[record]
	if !ok {
		chunk.Generation = b.node.records.Grants[record.shard].Value.Generation
		if current := b.currentChunk(record); current != nil {
			chunk.Machines = slices.Clone(current.Value.Machines)
		}
	}
	return chunk
}

// leaseBytes bounds the bytes that a machine lease adds to a record.
func leaseBytes(lease storage.MachineLease) int {
	return storage.MaxMachineLeaseBytes(lease.Machine) + len(lease.MachineType) + len(lease.Zone) + shareOverhead
}

// canChangeGrant reports whether a shard's grant may be changed; it may not
// while it waits to be split into chunks.
func (n *Node) canChangeGrant(shard int) bool {
	return !n.records.SplitGrantsEnabled() || n.records.Grants[shard].Value.Generation != 0
}

// recordWithSpace returns a record of the shard with space for one more
// machine; false if there is none.
func (b *grantBuilder) recordWithSpace(shard, extraBytes int) (grantRecordID, bool) {
	if !b.node.canChangeGrant(shard) {
		return grantRecordID{}, false
	}
	current := b.node.records.Grants[shard].Value
	if current.Generation == 0 {
		return headRecord(shard), b.canGrow(headRecord(shard), extraBytes)
	}
	if len(current.Machines) >= b.node.maxMachinesPerShard() {
		return grantRecordID{}, false
	}
	// Prefer records that are changed already: they take no further operation.
	for _, changed := range []bool{true, false} {
		for k := range len(b.node.records.GrantChunks[shard]) + b.changeCount() + 1 {
			if record := (grantRecordID{shard, k}); b.contains(record) == changed && b.canGrow(record, extraBytes) {
				return record, true
			}
		}
	}
	return grantRecordID{}, false
}

// acceptsMachine reports whether one more machine can be granted to a shard.
func (b *grantBuilder) acceptsMachine(shard int, machine *cloudMachine) bool {
	lease := storage.MachineLease{Machine: machine.id, MachineType: machine.kind.MachineType, Zone: machine.kind.Zone}
	_, ok := b.recordWithSpace(shard, leaseBytes(lease))
	return ok
}

// addMachine grants a machine to a shard that accepts it.
func (b *grantBuilder) addMachine(shard int, lease storage.MachineLease) {
	extraBytes := leaseBytes(lease)
	record, ok := b.recordWithSpace(shard, extraBytes)
	if !ok {
		return
	}
	if record.isHead() {
		grant := b.editHead(shard, extraBytes)
		grant.Machines = append(grant.Machines, lease)
		b.grants[shard] = grant
		return
	}
	chunk := b.editChunk(record, extraBytes)
	chunk.Machines = append(chunk.Machines, lease)
	b.chunks[record] = chunk
}

// setShare sets a shard's share of a team's quota; false if that does not fit.
func (b *grantBuilder) setShare(shard int, team string, share storage.Resources) bool {
	extraBytes := len(team) + shareOverhead
	if !b.node.canChangeGrant(shard) || !b.canGrow(headRecord(shard), extraBytes) {
		return false
	}
	grant := b.editHead(shard, extraBytes)
	grant.Quotas[team] = share
	b.grants[shard] = grant
	return true
}

// appendTo appends the changes to a transaction, each conditional on the
// revisions of its record and of the shard's lease. A grant therefore fails
// if, since it was planned, the holder has returned something or the shard was
// leased to another holder.
func (b *grantBuilder) appendTo(txn *protocol.Txn) {
	shards := map[int]bool{}
	for _, i := range slices.Sorted(maps.Keys(b.grants)) {
		shards[i] = true
		txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: storage.GrantKey(i), Revision: b.node.records.Grants[i].Revision})
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantKey(i), Value: b.grants[i]})
	}
	for _, r := range slices.SortedFunc(maps.Keys(b.chunks), compareRecordIDs) {
		shards[r.shard] = true
		txn.Preconditions = append(txn.Preconditions, b.node.chunkPrecondition(r.shard, r.chunk))
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantChunkKey(r.shard, r.chunk), Value: b.chunks[r]})
	}
	for _, i := range slices.Sorted(maps.Keys(shards)) {
		txn.Preconditions = append(txn.Preconditions, protocol.Precondition{Key: storage.ShardKey(i), Revision: b.node.records.Shards[i].Revision})
	}
}

// chunkPrecondition requires that a grant chunk is unchanged from the local
// copy.
func (n *Node) chunkPrecondition(i, k int) protocol.Precondition {
	precondition := protocol.Precondition{Key: storage.GrantChunkKey(i, k)}
	if chunk := n.records.GrantChunks[i][k]; chunk != nil {
		precondition.Revision = chunk.Revision
	}
	return precondition
}
