// Package clusterstate is a controller's typed copy of the records in the key-value store:
// controllers, shards, grants, jobs and other cluster state, each with its revision. It
// also holds data derived from the records alone, such as the shard of each machine or the
// completed tasks of a job, and reports which records the schema version allows
// controllers to write.
//
// The replica updates it by Apply, which takes complete transactions, so that the copy
// always reflects the store as of one revision, and returns the changes to which the
// controller may have to react. Two methods add data that the controller has before its
// replica does: AddCompletionChunks and SetMachineTypes. The controller also derives the
// DependencyState of jobs, which depends on the job ends that it reads.
//
// The package has no locks: the controller's lock guards the copy and everything reachable
// from it. It has no goroutines, clocks, logging or network access.
package clusterstate
