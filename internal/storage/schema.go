package storage

// Schema versions: which records may be written.
const (
	// SchemaWhole has one record for each shard's grant, and keeps the completed
	// tasks of a job in the job's own record.
	SchemaWhole = 1
	// SchemaChunked divides both over values of any size, and lets jobs depend on
	// others.
	SchemaChunked = 2
	// SchemaHeartbeatProxies lets a controller answer heartbeats for a holder that
	// it can't reach: every holder knows what a Delegation means.
	SchemaHeartbeatProxies = 3
	// SchemaShardCapacity lets holders tell each other what their shards have machines
	// for, and where they have room: see coordination.ShardStatus.
	SchemaShardCapacity = 4
	// SchemaMachineFences lets a holder give a machine a newer fencing token with a
	// DelegationAck: every proxy answers with it.
	SchemaMachineFences = 5
	// SchemaHeartbeatRelays lets controllers relay heartbeats to a holder: every holder
	// knows such messages. See coordination.RelayedHeartbeat.
	SchemaHeartbeatRelays = 6
	// SchemaLatest is the latest version that this program knows.
	SchemaLatest = SchemaHeartbeatRelays
)

// SchemaVersion says which schema version is in use. It is raised once every controller
// has left its VersionMarker, and never lowered.
type SchemaVersion struct {
	Version int `json:"form"`
}

// VersionMarker says that a controller has run a program which knows a schema version.
type VersionMarker = SchemaVersion
