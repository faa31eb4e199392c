package clusterstate

import "reedtrack/internal/storage"

// Change is a change of the records to which the controller may have to react: one of the
// types below.
type Change interface{ isChange() }

// ControllerChange is a change of a controller's key.
type ControllerChange struct {
	Name    string
	Session uint64 // 0: the key was deleted
}

// JobChange is a change of a live job's record.
type JobChange struct {
	ID       string
	Previous *JobRecord       // nil: the job is new
	Current  *JobRecord       // nil: the job has ended
	Done     storage.IndexSet // completed tasks of Current
}

// GrantChange is a change of a shard's grant. The deletion of a grant is not reported.
type GrantChange struct {
	Shard       int
	Grant       storage.Grant
	HeadChanged bool // otherwise only the machine leases have changed
}

// FenceChange is an acknowledgement of a delegation that issues newer fencing tokens to
// machines.
type FenceChange struct {
	Shard           int
	Acknowledgement storage.DelegationAck
}

// ShardFenceChange is a change of the fencing token that a holder has issued to the machines
// of a shard.
type ShardFenceChange struct{ Shard int }

// VersionMarkerChange is a change of the version markers.
type VersionMarkerChange struct{}

// SchemaChange is a change of the schema version.
type SchemaChange struct {
	Version   int
	Completed bool // grants may be split from now on
}

// UnreadableRecord is a record that can't be decoded. The copy keeps its previous state:
// such a record is never treated as absent.
type UnreadableRecord struct {
	Key string
	Err error
}

func (ControllerChange) isChange()    {}
func (JobChange) isChange()           {}
func (GrantChange) isChange()         {}
func (FenceChange) isChange()         {}
func (ShardFenceChange) isChange()    {}
func (VersionMarkerChange) isChange() {}
func (SchemaChange) isChange()        {}
func (UnreadableRecord) isChange()    {}
