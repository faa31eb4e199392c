// Package dispatch manages direct messages: commands that a controller sends to workers
// (/do) without waiting for their next heartbeats. It has two parts:
//
//   - Limiter selects the workers that get a message, so that messages save the most
//     waiting time without starving heartbeats of the controller's processor time.
//   - Exchange and Start track the possible effects of messages that have been sent. An
//     Exchange belongs to one worker, a Start to one attempt of a task placed on it.
//
// The controller's dispatch loop queries the Limiter and sends the messages. The handlers
// of heartbeats and of message responses update Exchange and Start, and query them for
// what can be concluded. The package does no I/O and reads no clock. It doesn't decide on
// placement.
//
// # Starts that may arrive late, or again
//
// A start is sent in the response to a heartbeat or in a direct message. The worker has
// one heartbeat in flight at a time and discards late responses, so its next heartbeat
// determines the outcome of a response. A direct message may arrive minutes late, and a
// copy of it may arrive again after it was executed and answered. Each copy is executed if
// worker and message still agree on fencing token and session. A start that was sent
// directly therefore binds its task to the worker until one of these is known:
//
//   - The message was never sent, or the worker has rejected it.
//   - The worker has begun a newer session or has received a higher token: it rejects the
//     message from then on.
//   - The worker has the attempt: repeating its start has no effect. To reach this
//     state, the next response carries the same start again. It lasts until the worker
//     clears the attempt or replaces it by another attempt of the task.
//
// So an ended attempt is retained (Exchange.RecordEnded): it is neither cleared nor
// replaced before all further messages to the worker have a higher token
// (Exchange.ReleaseBelow). The caller obtains one while attempts are retained.
//
// docs/safety.md has the proof; the controller's tests verify it with the production code.
package dispatch
