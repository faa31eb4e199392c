package storage

// Schema versions, which determine the records that may be written.
const (
	// SchemaWhole has one record for each shard's grant, and keeps the completed
	// tasks of a job in the job's own record.
	SchemaWhole = 1
	// SchemaChunked splits both into chunks, so that their size is not limited by that of
	// a value, and allows jobs to depend on others.
	SchemaChunked = 2
	// SchemaHeartbeatProxies allows a controller to answer heartbeats in place of a holder
	// that it can't reach: every holder supports Delegation records.
	SchemaHeartbeatProxies = 3
	// SchemaShardCapacity allows holders to publish for which tasks their shards have
	// machines and where they have free capacity: see coordination.ShardStatus.
	SchemaShardCapacity = 4
	// SchemaMachineFences allows a holder to issue a newer fencing token to a machine with
	// a DelegationAck: every proxy uses it in its responses.
	SchemaMachineFences = 5
	// SchemaHeartbeatRelays allows controllers to relay heartbeats to a holder: every
	// holder supports such messages. See coordination.RelayedHeartbeat.
	SchemaHeartbeatRelays = 6
	// SchemaShardFences allows a holder to issue a newer fencing token to the machines of a
	// shard with a ShardFence: every proxy uses it in its responses.
	SchemaShardFences = 7
	// SchemaLatest is the latest version supported by this program.
	SchemaLatest = SchemaShardFences
)

// SchemaVersion is the schema version in use. It is raised once every controller has
// written its VersionMarker, and never lowered.
type SchemaVersion struct {
	Version int `json:"form"`
}

// VersionMarker records that a controller has run a program that supports a schema version.
type VersionMarker = SchemaVersion
