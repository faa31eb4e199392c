// Package failuredetector interprets missing heartbeats. It distinguishes
// independent machine failures, correlated failures such as the loss of a zone,
// and a controller whose own network has failed.
//
// It has two parts:
//
//   - Timing.Evaluate classifies the machines of the controller's shards by the
//     time since their last heartbeat. The resulting View holds the state of
//     each machine, the unreachable zones, and whether the result is
//     inconclusive because nearly all machines are silent. The controller
//     evaluates it before each scheduling plan and before scaling out.
//   - IsolationDetector detects that the controller itself is isolated. It
//     records heartbeats and elapsed time, and reports when the controller
//     should step down so that others can serve its machines. The controller
//     checks it in each iteration of its main loop.
//
// Neither proves that a task has ended; only the worker, the expiry of the
// worker's lease or the cloud does. A View only restricts where new tasks and
// machines are placed, so an incorrect View costs time or money but violates no
// safety property.
//
// The package does no I/O and reads no clock: the caller passes all durations
// and times. docs/outages.md explains the thresholds and the alternatives.
package failuredetector
