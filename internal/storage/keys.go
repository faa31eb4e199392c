package storage

import (
	"fmt"
	"strconv"
	"strings"
)

// Singleton keys and key prefixes. Every controller watches the keys under LivePrefix; ended
// jobs are stored outside of it and are read on demand.
const (
	LivePrefix       = "r/"
	LeaderKey        = "r/leader"
	FencingTokenKey  = "r/term"
	CatalogKey       = "r/catalog"
	SchemaVersionKey = "r/form" // see SchemaVersion

	controllerPrefix = "r/alive/"
	shardPrefix      = "r/shard/"
	grantPrefix      = "r/grant/"
	jobPrefix        = "r/job/"
	endedJobPrefix   = "e/"

	// Versions that support only SchemaWhole ignore these.
	versionMarkerPrefix   = "r/mark/"
	grantChunkPrefix      = "r/piece/"
	completionChunkPrefix = "r/done/"
	delegationPrefix      = "r/deputy/"
	delegationAckPrefix   = "r/named/"
	shardFencePrefix      = "r/fence/"
)

// ControllerKey is the key of a controller's own record, a [Controller].
func ControllerKey(name string) string { return controllerPrefix + name }

// ParseControllerKey returns the controller's name if key is a ControllerKey.
func ParseControllerKey(key string) (name string, ok bool) {
	return strings.CutPrefix(key, controllerPrefix)
}

// ShardKey is the key of a shard's [ShardLease].
func ShardKey(shard int) string { return fmt.Sprintf("%s%d", shardPrefix, shard) }

// ParseShardKey returns the shard if key is a ShardKey.
func ParseShardKey(key string) (shard int, ok bool) { return parseIndexKey(key, shardPrefix) }

// GrantKey is the key of a shard's [Grant].
func GrantKey(shard int) string { return fmt.Sprintf("%s%d", grantPrefix, shard) }

// ParseGrantKey returns the shard if key is a GrantKey.
func ParseGrantKey(key string) (shard int, ok bool) { return parseIndexKey(key, grantPrefix) }

// GrantChunkKey is the key of one [GrantChunk] of a shard's grant.
func GrantChunkKey(shard, chunk int) string {
	return fmt.Sprintf("%s%d/%d", grantChunkPrefix, shard, chunk)
}

// ParseGrantChunkKey returns the shard and the chunk if key is a GrantChunkKey.
func ParseGrantChunkKey(key string) (shard, chunk int, ok bool) {
	rest, ok := strings.CutPrefix(key, grantChunkPrefix)
	if !ok {
		return 0, 0, false
	}
	n, _ := fmt.Sscanf(rest, "%d/%d", &shard, &chunk)
	return shard, chunk, n == 2
}

// CatalogChunkKey is the key of one [CatalogChunk].
func CatalogChunkKey(chunk int) string { return fmt.Sprintf("%s/%d", CatalogKey, chunk) }

// ParseCatalogChunkKey returns the chunk if key is a CatalogChunkKey.
func ParseCatalogChunkKey(key string) (chunk int, ok bool) {
	return parseIndexKey(key, CatalogKey+"/")
}

// JobKey is the key of a live [Job].
func JobKey(id string) string { return jobPrefix + id }

// ParseJobKey returns the job's ID if key is a JobKey.
func ParseJobKey(key string) (id string, ok bool) { return strings.CutPrefix(key, jobPrefix) }

// EndedJobKey is the key of an [EndedJob].
func EndedJobKey(id string) string { return endedJobPrefix + id }

// CompletionChunkKey is the key of the [CompletionChunk] of a job that begins with the
// index first.
func CompletionChunkKey(id string, first int) string {
	return fmt.Sprintf("%s%s/%d", completionChunkPrefix, id, first)
}

// ParseCompletionChunkKey returns the job's ID and the chunk's first index if key is a
// CompletionChunkKey.
func ParseCompletionChunkKey(key string) (id string, first int, ok bool) {
	rest, ok := strings.CutPrefix(key, completionChunkPrefix)
	id, number, hasNumber := strings.Cut(rest, "/")
	first, err := strconv.Atoi(number)
	return id, first, ok && hasNumber && err == nil
}

// VersionMarkerKey is the key of a controller's [VersionMarker].
func VersionMarkerKey(controller string) string { return versionMarkerPrefix + controller }

// ParseVersionMarkerKey returns the controller's name if key is a VersionMarkerKey.
func ParseVersionMarkerKey(key string) (controller string, ok bool) {
	return strings.CutPrefix(key, versionMarkerPrefix)
}

// DelegationID identifies a [Delegation] and its [DelegationAck]: the shard, the name of
// the controller that is the heartbeat proxy, and which of that controller's records.
type DelegationID struct {
	Shard      int
	Controller string
	Record     int
}

func (d DelegationID) key(prefix string) string {
	return fmt.Sprintf("%s%d/%s/%d", prefix, d.Shard, d.Controller, d.Record)
}

// DelegationKey is the key of a [Delegation], which the heartbeat proxy writes.
func DelegationKey(id DelegationID) string { return id.key(delegationPrefix) }

// ParseDelegationKey returns the delegation's identity if key is a DelegationKey.
func ParseDelegationKey(key string) (DelegationID, bool) {
	return parseDelegationID(key, delegationPrefix)
}

// DelegationAckKey is the key of a [DelegationAck], which the shard's holder writes.
func DelegationAckKey(id DelegationID) string { return id.key(delegationAckPrefix) }

// ParseDelegationAckKey returns the delegation's identity if key is a DelegationAckKey.
func ParseDelegationAckKey(key string) (DelegationID, bool) {
	return parseDelegationID(key, delegationAckPrefix)
}

// ShardFenceKey is the key of a shard's [ShardFence].
func ShardFenceKey(shard int) string { return fmt.Sprintf("%s%d", shardFencePrefix, shard) }

// ParseShardFenceKey returns the shard if key is a ShardFenceKey.
func ParseShardFenceKey(key string) (shard int, ok bool) {
	return parseIndexKey(key, shardFencePrefix)
}

// parseDelegationID supports controller names that contain slashes.
func parseDelegationID(key, prefix string) (DelegationID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return DelegationID{}, false
	}
	number, rest, _ := strings.Cut(rest, "/")
	slash := strings.LastIndexByte(rest, '/')
	if slash < 0 {
		return DelegationID{}, false
	}
	shard, shardErr := strconv.Atoi(number)
	record, recordErr := strconv.Atoi(rest[slash+1:])
	id := DelegationID{Shard: shard, Controller: rest[:slash], Record: record}
	return id, shardErr == nil && recordErr == nil
}

func parseIndexKey(key, prefix string) (index int, ok bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d", &index); err != nil {
		return 0, false
	}
	return index, true
}
