// Package capture runs a task's command on a worker, buffers its output in a spool and
// ships it to the stores.
//
// The task has priority over its output: no failure of the stores, the network or the
// spool stops it, and its exit status is passed on even if output was lost.
//
//   - [Run] starts the command and reads its pipes.
//   - admission decides for each record whether to queue it, to delay the task, or to
//     add the record to the tail of the spool.
//   - shipper sends the queue and then the artefacts to the stores, and seals the
//     attempt.
//   - [Recover] ships the spools of captures that were killed.
package capture
