package session

import "time"

// Key is the state of a controller's key in the key-value store. The zero value means that
// the key does not exist.
type Key struct {
	Session  uint64 // the lease of the session named by the key
	Revision uint64 // of the key's last change
}

// Operation is a kind of request to the key-value store.
type Operation int

// The operations, in the order in which a session uses them.
const (
	ReadKey     Operation = iota
	GrantLease            // create a lease
	WriteKey              // write the key under Step.Lease, if its revision is still Step.Revision
	RenewLease            // renew Step.Lease
	RevokeLease           // end Step.Lease immediately
)

// Step is the next request to send.
type Step struct {
	Operation Operation
	Lease     uint64    // WriteKey, RenewLease, RevokeLease: the lease concerned
	Revision  uint64    // WriteKey: the precondition, 0 if the key must not exist
	NotBefore time.Time // the zero time means immediately
}

// Outcome is the outcome of a step.
type Outcome int

// The outcomes of a step. A Failed step may nevertheless have been executed, or may be
// executed later.
const (
	Succeeded    Outcome = iota
	LeaseExpired         // the lease no longer exists
	Failed               // no response, refused, or a precondition did not hold
)

// Result is the outcome of a step with the store's response.
type Result struct {
	Outcome  Outcome
	SentAt   time.Time // when the request was sent; leases count from then
	Lease    uint64    // GrantLease: the new lease
	Key      Key       // ReadKey: the key
	Revision uint64    // WriteKey: the key's new revision
}
