// Package session keeps a controller registered in the key-value store: it
// acquires the controller's own lease, writes the controller's key under that
// lease, renews the lease, and notices when either is lost.
//
// A session is named by its lease. While it is open, the other controllers see
// the key and may grant shards to this process; once the key is gone or names
// another session they take the process for dead. One process may open several
// sessions one after the other, and several processes of one controller name
// may follow each other within a fraction of a second.
//
// # Use
//
// The package does no I/O and reads no clock. The caller, the lease loop of the
// controller, runs it like this:
//
//	s := session.New(session.TimingFor(lease, minRenewalInterval), 0)
//	for {
//		step := s.Next() // the next request, and its earliest time
//		s.RecordSent(step, now)
//		result := execute(step) // the caller talks to the key-value store
//		s.HandleResult(step, result, now)
//	}
//
// A renewal is not waited for: the caller executes RenewLease beside the loop, so that
// copies of a renewal without an answer are under way at a time.
//
// Besides, it passes in the key whenever its copy of the records changes
// (ObserveKey), and may give the session up (StepDown). Lease and RenewalSentAt
// tell whether, and until when, the controller may act.
//
// # Isolation of one process from the next
//
// A process may end at any point, and requests that it has sent may still be
// carried out while its successors run. Two rules keep them apart:
//
//   - The key is written on the condition that its revision is still the one
//     that was read, so a late write never replaces a later process's key.
//   - Once its own key stands, a process revokes the lease of its predecessor:
//     requests that are still under way under that lease then fail.
//
// The package does not decide which shards a controller holds, and does not
// keep two processes of one name from running on one machine: the listening
// ports do that. docs/safety.md has the proof, docs/sessions.md the
// alternatives.
package session
