package clusterstate

import (
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// Records is the copy of the records, with derived data. The fields are read-only for
// callers, except through Apply and the methods documented to change them.
type Records struct {
	// Controllers are the live controllers by name.
	Controllers map[string]Entry[storage.Controller]
	// Leader is the leader's key; its revision is 0 while there is no leader.
	Leader Entry[storage.Controller]
	// Shards are the leases of the shards by index.
	Shards map[int]Entry[storage.ShardLease]
	// LastToken is the last issued fencing token.
	LastToken Entry[storage.FencingTokenCounter]
	// Grants are the shards' grants by index, each composed of its head and
	// chunks. The revision is the head's.
	Grants map[int]Entry[storage.Grant]
	// GrantHeads are the grants' own records.
	GrantHeads map[int]Entry[storage.Grant]
	// GrantChunks are the chunks by shard and number, including those that
	// belong to no current grant.
	GrantChunks map[int]map[int]*GrantChunkRecord
	// Jobs are the live jobs by ID.
	Jobs map[string]*JobRecord
	// UnreadableJobs are the live jobs whose records can't be decoded.
	UnreadableJobs map[string]bool
	// CompletionChunks are the completed tasks by job and first index, in
	// addition to those in the job's record.
	CompletionChunks map[string]map[int]Entry[storage.CompletionChunk]
	// Delegations are the machines delegated to heartbeat proxies.
	Delegations map[storage.DelegationID]Entry[storage.Delegation]
	// DelegationAcks are the holders' acknowledgements of the delegations.
	DelegationAcks map[storage.DelegationID]Entry[storage.DelegationAck]
	// ShardFences are the newer fencing tokens of the shards' machines, by shard. See
	// ShardFenceToken.
	ShardFences map[int]Entry[storage.ShardFence]
	// DelegatedMachines are the machines delegated to any proxy, by shard.
	DelegatedMachines map[int]map[string]bool
	// SchemaVersion is the schema version of the records.
	SchemaVersion Entry[storage.SchemaVersion]
	// VersionMarkers are the schema versions that controllers support, by
	// controller.
	VersionMarkers map[string]Entry[storage.VersionMarker]

	// Loaded reports whether the copy reflects a revision of the store.
	Loaded bool
	// AppliedRevision is the newest revision reflected by the copy.
	AppliedRevision uint64
	// SyncedAt is a time before which all committed changes have been applied.
	SyncedAt time.Time

	// ShardOfMachine is the index of the shard of each granted machine.
	ShardOfMachine map[string]int
	// MachineTypes is the cloud's catalog; nil until it is known.
	MachineTypes []protocol.MachineType
	// MachineSizes are the capacities of all machine types known so far.
	MachineSizes map[string]placement.Resources

	catalogChunks   map[int]Entry[storage.CatalogChunk]
	deadlineSeconds func(*storage.Job) float64
}

// New returns an empty copy. deadlineSeconds returns when a job should be
// done, in seconds after its submission.
func New(deadlineSeconds func(*storage.Job) float64) *Records {
	return &Records{
		Controllers:       map[string]Entry[storage.Controller]{},
		Shards:            map[int]Entry[storage.ShardLease]{},
		Grants:            map[int]Entry[storage.Grant]{},
		GrantHeads:        map[int]Entry[storage.Grant]{},
		GrantChunks:       map[int]map[int]*GrantChunkRecord{},
		Jobs:              map[string]*JobRecord{},
		UnreadableJobs:    map[string]bool{},
		CompletionChunks:  map[string]map[int]Entry[storage.CompletionChunk]{},
		Delegations:       map[storage.DelegationID]Entry[storage.Delegation]{},
		DelegationAcks:    map[storage.DelegationID]Entry[storage.DelegationAck]{},
		ShardFences:       map[int]Entry[storage.ShardFence]{},
		DelegatedMachines: map[int]map[string]bool{},
		VersionMarkers:    map[string]Entry[storage.VersionMarker]{},
		ShardOfMachine:    map[string]int{},
		MachineSizes:      map[string]placement.Resources{},
		catalogChunks:     map[int]Entry[storage.CatalogChunk]{},
		deadlineSeconds:   deadlineSeconds,
	}
}

// MarkSynced records that the copy reflects all changes committed before sentAt.
func (r *Records) MarkSynced(sentAt time.Time) {
	r.SyncedAt, r.Loaded = sentAt, true
}

// SetMachineTypes replaces the catalog of machine types.
func (r *Records) SetMachineTypes(machineTypes []protocol.MachineType) {
	r.MachineTypes = machineTypes
	for _, machineType := range machineTypes {
		r.MachineSizes[machineType.Name] = SizeOf(machineType)
	}
}

// MachineSize returns the capacity of a machine type, if the catalog has it.
func (r *Records) MachineSize(typeName string) (placement.Resources, bool) {
	size, ok := r.MachineSizes[typeName]
	return size, ok
}

// DoneTasks returns the completed tasks of a job, from its own record and its
// completion chunks.
func (r *Records) DoneTasks(jr *JobRecord) (storage.IndexSet, error) {
	taskCount := jr.Record.Spec.Tasks
	done, err := storage.ParseIndexSet(jr.Record.Completed, taskCount)
	for from, chunk := range r.CompletionChunks[jr.Record.Spec.ID] {
		if err == nil && chunk.Value.FirstIndex == from {
			err = done.AddChunk(chunk.Value.Completed, from, taskCount)
		}
	}
	return done, err
}

// AddCompletionChunks adds completion chunks that this controller has written
// at a revision, unless the copy shows newer ones.
func (r *Records) AddCompletionChunks(jobID string, chunks []storage.CompletionChunk, revision uint64) {
	if r.CompletionChunks[jobID] == nil {
		r.CompletionChunks[jobID] = map[int]Entry[storage.CompletionChunk]{}
	}
	for _, chunk := range chunks {
		if r.CompletionChunks[jobID][chunk.FirstIndex].Revision < revision {
			r.CompletionChunks[jobID][chunk.FirstIndex] = Entry[storage.CompletionChunk]{chunk, revision}
		}
	}
}

// ShardFenceToken returns the newest fencing token that the present holder of a shard has
// issued to the shard's machines, and 0 if there is none.
func (r *Records) ShardFenceToken(shard int) uint64 {
	fence, lease := r.ShardFences[shard].Value, r.Shards[shard].Value
	isByHolder := fence.Session == lease.Holder.Session && fence.ShardToken == lease.FencingToken
	if !isByHolder || fence.FencingToken > r.LastToken.Value.Last {
		return 0
	}
	return fence.FencingToken
}

// SizeOf returns the capacity of a machine type.
func SizeOf(machineType protocol.MachineType) placement.Resources {
	return placement.Resources{machineType.Cores, machineType.GPUs, machineType.MemoryGB}
}
