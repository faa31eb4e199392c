// Package heartbeatproxy decides for which machines a controller answers heartbeats in
// place of the holder of their shard while the two controllers can't reach each other.
//
// A healthy worker that can't reach its holder drops its tasks when its lease expires.
// Another controller in its zone can renew that lease, since a worker accepts a response
// with an equal fencing token from any controller. This is safe under two conditions:
//
//   - The holder does not conclude from the silence of the machine that its tasks have
//     ended.
//   - No direct start from the holder to the worker is unanswered: it would stay valid
//     for as long as the lease is renewed.
//
// Machines are therefore delegated through the key-value store, which both controllers
// can reach:
//
//  1. The proxy writes a record that lists the machine.
//  2. The holder reads the record and acknowledges it once no direct start to the
//     machine is unanswered, or fences the unanswered ones (see Fence).
//  3. The proxy reads the acknowledgement and answers.
//
// While a record lists a machine, every holder of the shard treats the machine as alive
// and sends no direct messages to it.
//
// This package implements the proxy's side. The controller keeps one Delegation for each
// shard for which it answers. Inputs are the reachability of the holder (Activate,
// Deactivate), received heartbeats (RecordHeartbeat) and the records in the store
// (ObserveRecords). Outputs are the machines to be listed (Desired, NeedsWrite) and
// whether a heartbeat may be answered (CanAnswer).
//
// The package does no I/O and reads no clock. Writing and acknowledging the records, and
// checking the proxy's own lease, are up to the caller. docs/safety.md has the proof.
package heartbeatproxy
