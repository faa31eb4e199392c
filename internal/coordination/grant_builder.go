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

// grantBuilder collects the changes of one grant transaction, and keeps it
// within the store's limits: number of operations, bytes of a value and bytes
// of the whole. What does not fit is left to the next transaction, or goes to
// another shard; a write that could never succeed is not made.
type grantBuilder struct {
	node        *Node // read only, but for the stored sizes of chunks
	limits      config.Limits
	grants      map[int]storage.Grant                // changed heads, by shard
	chunks      map[grantRecordID]storage.GrantChunk // changed chunks
	recordBytes map[grantRecordID]int                // upper bound for each record
	totalBytes  int                                  // upper bound for the whole transaction
}

// headChunk stands for the head of a grant in place of a chunk's number.
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
	// tokenOps is how many operations the fencing token takes.
	tokenOps = 1
	// recordOverhead is how many bytes the keys, up to three preconditions and
	// the fencing token add per changed record.
	recordOverhead = 512
	// shareOverhead bounds the bytes that one changed share adds, its team's
	// name apart.
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

// chunkSize returns an upper bound of an unchanged chunk's size. It is stored
// with the chunk: encoding all chunks for each grant would be slow.
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

// currentChunk returns a stored chunk that belongs to the present head, or nil.
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

// canGrow reports whether a record may grow by so many bytes.
func (b *grantBuilder) canGrow(record grantRecordID, more int) bool {
	if b.recordSize(record)+more > b.limits.MaxValueBytes() {
		return false
	}
	totalBytes := b.totalBytes + more
	if !b.contains(record) {
		if b.changeCount()+1+tokenOps > b.limits.TxnOps {
			return false
		}
		totalBytes += b.recordSize(record) + recordOverhead
	}
	return totalBytes <= protocol.MaxBodyBytes
}

// reserve counts what a record grows by.
func (b *grantBuilder) reserve(record grantRecordID, more int) {
	b.totalBytes += more
	if !b.contains(record) {
		b.totalBytes += b.recordSize(record) + recordOverhead
	}
	b.recordBytes[record] = b.recordSize(record) + more
}

// editHead returns a copy of a shard's grant for changes that add so many
// bytes; the caller puts it into b.grants.
func (b *grantBuilder) editHead(shard, more int) storage.Grant {
	b.reserve(headRecord(shard), more)
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

// editChunk returns a copy of a chunk for changes that add so many bytes; the
// caller puts it into b.chunks.
func (b *grantBuilder) editChunk(record grantRecordID, more int) storage.GrantChunk {
	b.reserve(record, more)
	chunk, ok := b.chunks[record]
	if !ok {
		chunk.Generation = b.node.records.Grants[record.shard].Value.Generation
		if current := b.currentChunk(record); current != nil {
			chunk.Machines = slices.Clone(current.Value.Machines)
		}
	}
	return chunk
}

// leaseBytes bounds what a machine lease adds to a record.
func leaseBytes(lease storage.MachineLease) int {
	return storage.MaxMachineLeaseBytes(lease.Machine) + len(lease.MachineType) + len(lease.Zone) + shareOverhead
}

// canChangeGrant reports whether a shard's grant may be changed: not while it
// waits to be split into chunks.
func (n *Node) canChangeGrant(shard int) bool {
	return !n.records.SplitGrantsEnabled() || n.records.Grants[shard].Value.Generation != 0
}

// recordWithSpace returns a record of the shard that has room for one more
// machine; false if there is none.
func (b *grantBuilder) recordWithSpace(shard, more int) (grantRecordID, bool) {
	if !b.node.canChangeGrant(shard) {
		return grantRecordID{}, false
	}
	current := b.node.records.Grants[shard].Value
	if current.Generation == 0 {
		return headRecord(shard), b.canGrow(headRecord(shard), more)
	}
	if len(current.Machines) >= b.node.maxMachinesPerShard() {
		return grantRecordID{}, false
	}
	// Records that are changed already come first: they cost no further
	// operation.
	for _, changed := range []bool{true, false} {
		for k := range len(b.node.records.GrantChunks[shard]) + b.changeCount() + 1 {
			if record := (grantRecordID{shard, k}); b.contains(record) == changed && b.canGrow(record, more) {
				return record, true
			}
		}
	}
	return grantRecordID{}, false
}

// acceptsMachine reports whether a shard can be granted one more machine.
func (b *grantBuilder) acceptsMachine(shard int, machine *cloudMachine) bool {
	lease := storage.MachineLease{Machine: machine.id, MachineType: machine.kind.MachineType, Zone: machine.kind.Zone}
	_, ok := b.recordWithSpace(shard, leaseBytes(lease))
	return ok
}

// addMachine grants a machine to a shard that accepts it.
func (b *grantBuilder) addMachine(shard int, lease storage.MachineLease) {
	more := leaseBytes(lease)
	record, ok := b.recordWithSpace(shard, more)
	if !ok {
		return
	}
	if record.isHead() {
		grant := b.editHead(shard, more)
		grant.Machines = append(grant.Machines, lease)
		b.grants[shard] = grant
		return
	}
	chunk := b.editChunk(record, more)
	chunk.Machines = append(chunk.Machines, lease)
	b.chunks[record] = chunk
}

// setShare sets a shard's share of a team's quota; false if that does not fit.
func (b *grantBuilder) setShare(shard int, team string, share storage.Resources) bool {
	more := len(team) + shareOverhead
	if !b.node.canChangeGrant(shard) || !b.canGrow(headRecord(shard), more) {
		return false
	}
	grant := b.editHead(shard, more)
	grant.Quotas[team] = share
	b.grants[shard] = grant
	return true
}

// appendTo appends the changes to a transaction, each conditional on its
// record's revision and on that of the shard's lease. So a grant fails that was
// planned before the holder returned something, or before the shard went to
// another holder.
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

// chunkPrecondition requires that a grant chunk is as the copy here shows it.
func (n *Node) chunkPrecondition(i, k int) protocol.Precondition {
	precondition := protocol.Precondition{Key: storage.GrantChunkKey(i, k)}
	if chunk := n.records.GrantChunks[i][k]; chunk != nil {
		precondition.Revision = chunk.Revision
	}
	return precondition
}
