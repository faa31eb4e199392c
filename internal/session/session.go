package session

import "time"

// maxRevokeAttempts bounds how often the revocation of a lease is sent: a lease that is
// no longer renewed expires anyway.
const maxRevokeAttempts = 3

// DisabledGuards is a set of safeguards that a test disables to verify that it detects
// their absence. Production code always passes 0.
type DisabledGuards uint8

// Safeguards that a test can disable.
const (
	WithoutYield    DisabledGuards = 1 << iota // a process that lost its key rewrites it immediately
	WithoutKeyWatch                            // ObserveKey is ignored
)

// Session is the state machine of one process's lease and key. It opens a session by
// ReadKey, GrantLease and WriteKey, in that order, maintains it by RenewLease, and opens
// another when it is lost. It is not safe for concurrent use.
type Session struct {
	timing   Timing
	disabled DisabledGuards

	open          bool      // the key is written under lease
	lease         uint64    // 0: none
	renewalSentAt time.Time // see RenewalSentAt
	copySentAt    time.Time // when the latest copy of a renewal of the lease was sent; zero: none
	revision      uint64    // of the key, once open

	keyRead     bool // previousKey is the precondition for writing the key
	previousKey Key
	yielding    bool      // another process owns the key: wait until the key is deleted
	retryAt     time.Time // no step before this
	reopenAt    time.Time // after stepping down, no read of the key before this

	toRevoke       []uint64 // obsolete leases of this controller
	revokeAttempts int      // for the first element of toRevoke
	steppingDown   bool     // toRevoke takes precedence over all other steps
}

// New returns the session of a process that has just started.
func New(t Timing, d DisabledGuards) *Session { return &Session{timing: t, disabled: d} }

// Lease returns the lease under which the controller's key is written, or 0 while no
// session is open.
func (s *Session) Lease() uint64 {
	if !s.open {
		return 0
	}
	return s.lease
}

// RenewalSentAt returns when the last successful grant or renewal of the lease was sent.
// The lease is valid for at least its duration from then on. Counting from the time of the
// response would overestimate its validity.
func (s *Session) RenewalSentAt() time.Time { return s.renewalSentAt }

// IsUnanswered reports whether the store has answered no renewal that was sent within the
// last two renewal intervals, which tolerates one lost response. It returns false while no
// session is open.
func (s *Session) IsUnanswered(now time.Time) bool {
	return s.open && now.Sub(s.renewalSentAt) > unansweredIntervals*s.timing.RenewInterval
}

// Next returns the next step. It has no side effects and may be called again at any time,
// for example after ObserveKey or StepDown.
func (s *Session) Next() Step {
	switch {
	case s.mustRevoke():
		return Step{Operation: RevokeLease, Lease: s.toRevoke[0], NotBefore: s.retryAt}
	case s.open:
		return Step{Operation: RenewLease, Lease: s.lease, NotBefore: s.nextRenewal()}
	case !s.keyRead:
		return Step{Operation: ReadKey, NotBefore: later(s.retryAt, s.reopenAt)}
	case s.lease == 0:
		return Step{Operation: GrantLease, NotBefore: s.retryAt}
	default:
		return Step{Operation: WriteKey, Lease: s.lease, Revision: s.previousKey.Revision, NotBefore: s.retryAt}
	}
}

// mustRevoke reports whether a revocation is the next step. In an open session a due
// renewal has priority.
func (s *Session) mustRevoke() bool {
	if len(s.toRevoke) == 0 {
		return false
	}
	return s.steppingDown || s.open && s.retryAt.Before(s.nextRenewal())
}

// nextRenewal returns when the next renewal, or the next copy of an unanswered renewal, is
// due.
func (s *Session) nextRenewal() time.Time {
	return later(s.renewalSentAt.Add(s.timing.RenewInterval), s.copySentAt.Add(s.timing.RepeatInterval))
}

// RecordSent records that a step returned by Next is being sent. It must be called before
// a RenewLease is sent: Next then returns the next copy, which may be sent while this one
// is unanswered. All other steps are sent one at a time.
func (s *Session) RecordSent(step Step, now time.Time) {
	if step.Operation == RenewLease && s.open && step.Lease == s.lease {
		s.copySentAt = now
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// HandleResult records the result of a step returned by Next. It ignores results of a
// session that has been lost since.
func (s *Session) HandleResult(step Step, r Result, now time.Time) {
	switch step.Operation {
	case ReadKey:
		s.handleRead(r, now)
	case GrantLease:
		s.handleGrant(r, now)
	case WriteKey:
		s.handleWrite(step, r, now)
	case RenewLease:
		s.handleRenewal(step, r)
	case RevokeLease:
		s.handleRevocation(step, r, now)
	}
}

func (s *Session) handleRead(r Result, now time.Time) {
	if s.open {
		return
	}
	if r.Outcome != Succeeded {
		s.retryAfter(s.timing.RetryInterval, now)
		return
	}
	s.retryAt = time.Time{}
	switch {
	case s.lease != 0 && r.Key.Session == s.lease:
		// A write without a response was executed.
		s.enterOpen(r.Key.Revision)
	case s.yielding && r.Key.Session != 0:
		s.retryAfter(s.timing.YieldInterval, now)
	default:
		s.keyRead, s.yielding = true, false
		s.previousKey = r.Key
	}
}

func (s *Session) handleGrant(r Result, now time.Time) {
	if r.Outcome != Succeeded {
		s.retryAfter(s.timing.RetryInterval, now)
		return
	}
	s.lease, s.renewalSentAt, s.copySentAt, s.retryAt = r.Lease, r.SentAt, time.Time{}, time.Time{}
}

func (s *Session) handleWrite(step Step, r Result, now time.Time) {
	if s.open || step.Lease != s.lease {
		return
	}
	switch r.Outcome {
	case Succeeded:
		s.enterOpen(r.Revision)
	case LeaseExpired:
		s.lease, s.retryAt = 0, time.Time{}
	default:
		// Read the key again to determine whether the write was executed. If not,
		// it is repeated under the same lease and precondition, so that it takes
		// effect at most once.
		s.keyRead = false
		s.retryAfter(s.timing.RetryInterval, now)
	}
}

// handleRenewal records the result of one copy of a renewal. The copies may be answered in
// any order: the lease counts from the latest send time of an executed copy.
func (s *Session) handleRenewal(step Step, r Result) {
	if !s.open || step.Lease != s.lease {
		return
	}
	switch r.Outcome {
	case Succeeded:
		s.renewalSentAt = later(s.renewalSentAt, r.SentAt)
	case LeaseExpired:
		s.close()
	}
}

func (s *Session) handleRevocation(step Step, r Result, now time.Time) {
	if len(s.toRevoke) == 0 || s.toRevoke[0] != step.Lease {
		return
	}
	s.revokeAttempts++
	if r.Outcome == Failed && s.revokeAttempts < maxRevokeAttempts {
		s.retryAfter(s.timing.RetryInterval, now)
		return
	}
	s.toRevoke, s.revokeAttempts, s.retryAt = s.toRevoke[1:], 0, time.Time{}
	s.steppingDown = s.steppingDown && len(s.toRevoke) > 0
}

func (s *Session) retryAfter(d time.Duration, now time.Time) { s.retryAt = now.Add(d) }

// enterOpen records that the key is written under the lease, and schedules the revocation
// of the predecessor's lease.
func (s *Session) enterOpen(revision uint64) {
	s.open, s.revision, s.retryAt = true, revision, time.Time{}
	if predecessor := s.previousKey.Session; predecessor != 0 && predecessor != s.lease {
		s.toRevoke = append(s.toRevoke, predecessor)
		s.revokeAttempts = 0
	}
	s.previousKey = Key{}
}

// StepDown ends an open session so that another controller can acquire what is held under
// it. The lease is revoked immediately, and the next session is not opened before reopenAt. The
// caller must stop acting under the session before it sends the revocation: controllers
// that then find the key deleted consider the session expired, as if the process had
// terminated.
func (s *Session) StepDown(reopenAt time.Time) {
	if !s.open {
		return
	}
	s.close()
	s.steppingDown, s.reopenAt = true, reopenAt
}

// ObserveKey compares the session with its key in a copy of the records. The copy reflects
// every change up to the given revision; a copy older than the key is ignored. ObserveKey
// reports whether the session is lost: the key is deleted or owned by another process.
func (s *Session) ObserveKey(key Key, revision uint64) (lost bool) {
	if !s.open || revision < s.revision || key.Session == s.lease || s.disabled&WithoutKeyWatch != 0 {
		return false
	}
	s.close()
	s.yielding = key.Session != 0 && s.disabled&WithoutYield == 0
	return true
}

// close ends the open session, so that Next opens another.
func (s *Session) close() {
	// Revoking the lease also deletes all keys written under it.
	s.toRevoke = append(s.toRevoke, s.lease)
	s.open, s.keyRead, s.lease, s.revision, s.retryAt = false, false, 0, 0, time.Time{}
	s.yielding = false
}
