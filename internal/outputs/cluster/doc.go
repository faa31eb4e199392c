// Package cluster replicates the outputs of task attempts over the members of a
// store cluster.
//
// Each member is a process with its own [disk.Store]. [Membership] registers
// the member under a lease and watches the others; the result is a [View]. Placement
// is a function of the view alone, so members with the same view agree on it:
// rendezvous hashing over the attempt's route, with replicas spread over zones (see
// [View.PreferenceList]).
//
// A [Node] is the member itself. It
//
//   - writes entries to as many members as the replication factor requires, and
//     falls back to the next members of the preference list while some are
//     unreachable;
//   - reads an attempt from the replicas that hold it, and merges replicas that are
//     complete only in combination;
//   - runs anti-entropy repair: members compare digests of the attempts that both
//     should hold and copy missing data;
//   - drops over-replicated and expired attempts, compacts the disk and scrubs it.
//
// Members need no consensus: an attempt has one writer, its records are numbered, and
// its seal is written once, so replicas can be incomplete but never conflict. Members
// whose views differ keep more replicas than the replication factor, never fewer: a
// replica is dropped only after all members that should hold it have confirmed that
// they do.
package cluster
