package clusterstate

import "reedtrack/internal/storage"

// Records of a new kind, or with new fields, may be written once every controller
// has run a version that supports them. The methods ending in Enabled report this for each
// feature.

// SupportsSchema reports whether this version supports the schema of the
// records. A controller that doesn't must not act.
func (r *Records) SupportsSchema() bool {
	return r.SchemaVersion.Value.Version <= storage.SchemaLatest
}

// SplitGrantsEnabled reports whether grants may be written in chunks.
func (r *Records) SplitGrantsEnabled() bool {
	return r.isEnabled(storage.SchemaChunked)
}

// CompletionChunksEnabled reports whether the completed tasks of jobs may be
// written in records of their own.
func (r *Records) CompletionChunksEnabled() bool {
	return r.isEnabled(storage.SchemaChunked)
}

// DependenciesEnabled reports whether jobs may depend on others, and whether the
// ends of jobs may be written with the data that dependents need.
func (r *Records) DependenciesEnabled() bool {
	return r.isEnabled(storage.SchemaChunked)
}

// HeartbeatProxiesEnabled reports whether delegation records may be written.
func (r *Records) HeartbeatProxiesEnabled() bool {
	return r.isEnabled(storage.SchemaHeartbeatProxies)
}

// ShardCapacityEnabled reports whether holders may send each other the requests for which
// their shards have machines, and the free capacity of their shards.
func (r *Records) ShardCapacityEnabled() bool {
	return r.isEnabled(storage.SchemaShardCapacity)
}

// MachineFencesEnabled reports whether acknowledgements of delegations may give
// machines newer fencing tokens.
func (r *Records) MachineFencesEnabled() bool {
	return r.isEnabled(storage.SchemaMachineFences)
}

// HeartbeatRelaysEnabled reports whether heartbeats may be relayed to the holder of a
// shard.
func (r *Records) HeartbeatRelaysEnabled() bool {
	return r.isEnabled(storage.SchemaHeartbeatRelays)
}

// ShardFencesEnabled reports whether holders may issue newer fencing tokens to the machines of
// their shards.
func (r *Records) ShardFencesEnabled() bool {
	return r.isEnabled(storage.SchemaShardFences)
}

// isEnabled reports whether every controller has run a version that supports a
// schema version.
func (r *Records) isEnabled(version int) bool {
	return r.SchemaVersion.Value.Version >= version
}

// CountUpgraded returns how many controllers have run this version.
func (r *Records) CountUpgraded() int {
	upgraded := 0
	for _, marker := range r.VersionMarkers {
		if marker.Value.Version >= storage.SchemaLatest {
			upgraded++
		}
	}
	return upgraded
}
