// Package session keeps a controller registered in the key-value store: it acquires the
// controller's own lease, writes the controller's key under that lease, renews the lease,
// and detects the loss of either.
//
// A session is identified by its lease. While it is open, the other controllers see the
// key and may grant shards to this process. Once the key is deleted or names another
// session, they consider the process dead. One process may open several sessions in
// succession, and several processes of one controller name may succeed each other within
// a fraction of a second.
//
// # Use
//
// The package does no I/O and reads no clock. The lease loop of the controller drives it:
//
//	s := session.New(session.TimingFor(lease, minRenewalInterval), 0)
//	for {
//		step := s.Next() // the next request, and its earliest time
//		s.RecordSent(step, now)
//		result := execute(step) // the caller sends it to the key-value store
//		s.HandleResult(step, result, now)
//	}
//
// RenewLease is an exception: the caller executes it concurrently with the loop, so that
// several copies of an unanswered renewal may be in flight at the same time.
//
// The caller also passes in the key whenever its copy of the records changes (ObserveKey),
// and may end the session (StepDown). Lease and RenewalSentAt determine whether, and until
// when, the controller may act.
//
// # Isolation of one process from the next
//
// A process may terminate at any point, and its pending requests may still be executed
// while its successors run. Two rules isolate the processes:
//
//   - The key is written on the condition that its revision is still the one
//     that was read, so a late write never replaces a later process's key.
//   - Once its own key is written, a process revokes the lease of its predecessor, so
//     that pending requests under that lease fail.
//
// The package does not decide which shards a controller holds. It does not prevent two
// processes of one name from running on one machine either; the listening ports do.
// docs/safety.md has the proof, docs/sessions.md the alternatives.
package session
