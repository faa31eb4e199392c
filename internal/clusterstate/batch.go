package clusterstate

import (
	"encoding/json"
	"maps"
	"slices"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// Apply applies changes of the store's live records and returns, in order, those to which
// the controller may have to react. Grants and completed tasks, which are composed of
// several records, are updated last, so that a transaction of several records becomes
// visible atomically.
func (r *Records) Apply(changes []protocol.Change) []Change {
	b := batch{records: r, grants: map[int]bool{}, jobs: map[string]bool{}}
	for _, change := range changes {
		r.AppliedRevision = max(r.AppliedRevision, change.Revision)
		path, data := change.Put, []byte(change.Value)
		if path == "" {
			path, data = change.Delete, nil
		}
		if err := b.applyRecord(path, data, change.Revision); err != nil {
			b.report(UnreadableRecord{path, err})
		}
	}
	for i := range b.grants {
		b.updateGrant(i)
	}
	for id := range b.jobs {
		b.updateCompletion(id)
	}
	return b.reported
}

// batch applies one transaction's changes.
type batch struct {
	records  *Records
	reported []Change
	grants   map[int]bool    // shards whose grants must be recomposed
	jobs     map[string]bool // jobs whose completed tasks must be recounted
}

// report adds a change to the result of Apply.
func (b *batch) report(change Change) {
	b.reported = append(b.reported, change)
}

// applyRecord applies the change of one record; nil data means that it was deleted.
func (b *batch) applyRecord(path string, data []byte, revision uint64) error {
	r := b.records
	if name, ok := storage.ParseControllerKey(path); ok {
		err := storeEntry(r.Controllers, name, data, revision)
		b.report(ControllerChange{name, r.Controllers[name].Value.Session})
		return err
	}
	if i, ok := storage.ParseShardKey(path); ok {
		return storeEntry(r.Shards, i, data, revision)
	}
	if i, ok := storage.ParseGrantKey(path); ok {
		b.grants[i] = true
		return storeEntry(r.GrantHeads, i, data, revision)
	}
	if i, k, ok := storage.ParseGrantChunkKey(path); ok {
		b.grants[i] = true
		return r.applyGrantChunk(i, k, data, revision)
	}
	if id, ok := storage.ParseJobKey(path); ok {
		err := b.updateJob(id, data, revision)
		if err != nil {
			r.UnreadableJobs[id] = true
		}
		return err
	}
	if id, from, ok := storage.ParseCompletionChunkKey(path); ok {
		b.jobs[id] = true
		return r.applyCompletionChunk(id, from, data, revision)
	}
	if id, ok := storage.ParseDelegationKey(path); ok {
		return r.applyDelegation(id, data, revision)
	}
	if id, ok := storage.ParseDelegationAckKey(path); ok {
		err := storeEntry(r.DelegationAcks, id, data, revision)
		if fences := r.DelegationAcks[id].Value.Fences; err == nil && len(fences) > 0 {
			b.report(FenceChange{id.Shard, r.DelegationAcks[id].Value})
		}
		return err
	}
	if i, ok := storage.ParseShardFenceKey(path); ok {
		b.report(ShardFenceChange{i})
		return storeEntry(r.ShardFences, i, data, revision)
	}
	if name, ok := storage.ParseVersionMarkerKey(path); ok {
		err := storeEntry(r.VersionMarkers, name, data, revision)
		b.report(VersionMarkerChange{})
		return err
	}
	if k, ok := storage.ParseCatalogChunkKey(path); ok {
		return r.applyCatalogChunk(k, data, revision)
	}
	switch path {
	case storage.SchemaVersionKey:
		return b.updateSchemaVersion(data, revision)
	case storage.LeaderKey:
		return storeSingle(&r.Leader, data, revision)
	case storage.FencingTokenKey:
		return storeSingle(&r.LastToken, data, revision)
	case storage.CatalogKey:
		return r.applyCatalog(data)
	}
	return nil
}

// storeEntry decodes a record into its map; nil data removes it.
func storeEntry[K comparable, T any](entries map[K]Entry[T], key K, data []byte, revision uint64) error {
	if data == nil {
		delete(entries, key)
		return nil
	}
	decoded := Entry[T]{Revision: revision}
	if err := json.Unmarshal(data, &decoded.Value); err != nil {
		return err
	}
	entries[key] = decoded
	return nil
}

// storeSingle decodes a singleton record; nil data clears it.
func storeSingle[T any](target *Entry[T], data []byte, revision uint64) error {
	if data == nil {
		*target = Entry[T]{}
		return nil
	}
	decoded := Entry[T]{Revision: revision}
	if err := json.Unmarshal(data, &decoded.Value); err != nil {
		return err
	}
	*target = decoded
	return nil
}

// updateGrant recomposes a shard's grant after a change of any of its records.
func (b *batch) updateGrant(i int) {
	r := b.records
	previous := r.Grants[i]
	head, ok := r.GrantHeads[i]
	grant, readable := r.composeGrant(i)
	if !readable {
		return
	}
	for _, lease := range previous.Value.Machines {
		if r.ShardOfMachine[lease.Machine] == i {
			delete(r.ShardOfMachine, lease.Machine)
		}
	}
	if !ok {
		delete(r.Grants, i)
		return
	}
	r.Grants[i] = Entry[storage.Grant]{grant, head.Revision}
	for _, lease := range grant.Machines {
		r.ShardOfMachine[lease.Machine] = i
	}
	b.report(GrantChange{i, grant, head.Revision != previous.Revision})
}

// updateJob applies a change of a job's record; nil data means that the job has ended.
func (b *batch) updateJob(id string, data []byte, revision uint64) error {
	r := b.records
	delete(r.UnreadableJobs, id)
	previous := r.Jobs[id]
	if data == nil {
		delete(r.Jobs, id)
		if previous != nil {
			b.report(JobChange{ID: id, Previous: previous})
		}
		return nil
	}
	jr := &JobRecord{Revision: revision}
	if err := json.Unmarshal(data, &jr.Record); err != nil {
		return err
	}
	done, err := r.DoneTasks(jr)
	if err != nil {
		return err
	}
	jr.DoneCount = done.Len()
	jr.DeadlineSeconds = r.deadlineSeconds(&jr.Record)
	if previous != nil {
		jr.Dependencies = previous.Dependencies
	}
	r.Jobs[id] = jr
	b.report(JobChange{id, previous, jr, done})
	return nil
}

// updateCompletion recounts a job's completed tasks after a change of its completion
// chunks.
func (b *batch) updateCompletion(id string) {
	jr := b.records.Jobs[id]
	if jr == nil {
		return
	}
	done, err := b.records.DoneTasks(jr)
	if err != nil {
		b.report(UnreadableRecord{storage.CompletionChunkKey(id, 0), err})
		return
	}
	jr.DoneCount = done.Len()
}

// updateSchemaVersion applies a change of the schema version. A version that can't be
// decoded is treated as newer than the supported ones.
func (b *batch) updateSchemaVersion(data []byte, revision uint64) error {
	r := b.records
	wasEnabled := r.SplitGrantsEnabled()
	if err := storeSingle(&r.SchemaVersion, data, revision); err != nil {
		r.SchemaVersion.Value.Version = storage.SchemaLatest + 1
		b.report(SchemaChange{Version: r.SchemaVersion.Value.Version})
		return err
	}
	b.report(SchemaChange{r.SchemaVersion.Value.Version, r.SplitGrantsEnabled() && !wasEnabled})
	return nil
}

// applyCompletionChunk applies a change of a job's completion chunk.
func (r *Records) applyCompletionChunk(id string, from int, data []byte, revision uint64) error {
	if r.CompletionChunks[id] == nil {
		r.CompletionChunks[id] = map[int]Entry[storage.CompletionChunk]{}
	}
	err := storeEntry(r.CompletionChunks[id], from, data, revision)
	if len(r.CompletionChunks[id]) == 0 {
		delete(r.CompletionChunks, id)
	}
	return err
}

// applyDelegation applies a change of a delegation record.
func (r *Records) applyDelegation(id storage.DelegationID, data []byte, revision uint64) error {
	err := storeEntry(r.Delegations, id, data, revision)
	delegated := map[string]bool{}
	for other, record := range r.Delegations {
		if other.Shard != id.Shard {
			continue
		}
		for _, m := range record.Value.Machines {
			delegated[m] = true
		}
	}
	r.DelegatedMachines[id.Shard] = delegated
	return err
}

// applyCatalog replaces the catalog of machine types. The last catalog is kept when its
// record is deleted.
func (r *Records) applyCatalog(data []byte) error {
	if data == nil {
		return nil
	}
	var catalog protocol.Catalog
	if err := json.Unmarshal(data, &catalog); err != nil {
		return err
	}
	r.SetMachineTypes(catalog.MachineTypes)
	return nil
}

// applyCatalogChunk replaces the catalog once all its chunks have the same revision.
func (r *Records) applyCatalogChunk(k int, data []byte, revision uint64) error {
	if err := storeEntry(r.catalogChunks, k, data, revision); err != nil {
		return err
	}
	var all []protocol.MachineType
	for i := range r.catalogChunks[k].Value.ChunkCount {
		chunk := r.catalogChunks[i]
		if chunk.Revision != revision {
			return nil
		}
		all = append(all, chunk.Value.MachineTypes...)
	}
	if len(all) > 0 {
		r.SetMachineTypes(all)
	}
	return nil
}

// applyGrantChunk applies a change of a grant's chunk. A chunk that can't be decoded leaves
// the shard's grant unchanged.
func (r *Records) applyGrantChunk(i, k int, data []byte, revision uint64) error {
	if r.GrantChunks[i] == nil {
		r.GrantChunks[i] = map[int]*GrantChunkRecord{}
	}
	if data == nil {
		delete(r.GrantChunks[i], k)
		return nil
	}
	chunk := &GrantChunkRecord{Revision: revision}
	if err := chunk.Value.UnmarshalJSON(data); err != nil {
		chunk.Value.Machines, chunk.Bytes = nil, -1
		r.GrantChunks[i][k] = chunk
		return err
	}
	r.GrantChunks[i][k] = chunk
	return nil
}

// composeGrant composes a shard's grant from its head and chunks. It returns false if a
// chunk can't be decoded; the caller then keeps the previous grant.
func (r *Records) composeGrant(i int) (storage.Grant, bool) {
	grant := r.GrantHeads[i].Value
	if grant.Generation == 0 {
		return grant, true
	}
	for _, k := range slices.Sorted(maps.Keys(r.GrantChunks[i])) {
		chunk := r.GrantChunks[i][k]
		if chunk.Bytes < 0 {
			return grant, false
		}
		if chunk.Value.Generation == grant.Generation {
			grant.Machines = append(grant.Machines, chunk.Value.Machines...)
		}
	}
	return grant, true
}
