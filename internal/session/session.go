package session

import "time"

// maxRevokeAttempts bounds how often the revocation of one lease is sent: a
// lease that nobody renews expires by itself.
const maxRevokeAttempts = 3

// DisabledGuards is a set of safeguards that a test leaves out, to show that it
// notices their absence. The program always passes 0.
type DisabledGuards uint8

// Safeguards that a test can leave out.
const (
	WithoutYield    DisabledGuards = 1 << iota // a process that lost its key takes it back at once
	WithoutKeyWatch                            // ObserveKey is ignored
)

// Session is the state machine of one process's lease and key. It opens a
// session by ReadKey, GrantLease and WriteKey, in that order, keeps it by copies of
// RenewLease, and begins anew when it is lost. It is not safe for concurrent
// use.
type Session struct {
	timing   Timing
	disabled DisabledGuards

	open          bool      // the key stands under lease
	lease         uint64    // 0: none
	renewalSentAt time.Time // see RenewalSentAt
	copySentAt    time.Time // when the newest copy of a renewal of the lease was sent; zero: none was
	revision      uint64    // of the key, once open

	keyRead     bool // previousKey is what the key is to be replaced under
	previousKey Key
	yielding    bool      // another process has taken the key: wait until it is gone
	retryAt     time.Time // no step before this
	reopenAt    time.Time // after stepping down, no read of the key before this

	toRevoke       []uint64 // leases of this controller that are of no use any more
	revokeAttempts int      // for the first of toRevoke
	steppingDown   bool     // toRevoke comes before anything else
}

// New returns the session of a process that has just started.
func New(t Timing, d DisabledGuards) *Session { return &Session{timing: t, disabled: d} }

// Lease returns the lease that the controller's key stands under, or 0 while no
// session is open.
func (s *Session) Lease() uint64 {
	if !s.open {
		return 0
	}
	return s.lease
}

// RenewalSentAt returns when the last successful grant or renewal of the lease
// was sent. The lease lasts at least for its duration from then on; the time of
// the response would be too late to count from.
func (s *Session) RenewalSentAt() time.Time { return s.renewalSentAt }

// IsUnanswered reports whether the store has not answered for a while: no renewal that
// was sent within the last two renewal intervals, which leaves room for one lost answer.
// It is false while no session is open.
func (s *Session) IsUnanswered(now time.Time) bool {
	return s.open && now.Sub(s.renewalSentAt) > unansweredIntervals*s.timing.RenewInterval
}

// Next returns the next step. It changes nothing, so it may be called again at
// any time, as after ObserveKey or StepDown.
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

// mustRevoke reports whether a revocation is the next step. An open session
// renews its own lease first.
func (s *Session) mustRevoke() bool {
	if len(s.toRevoke) == 0 {
		return false
	}
	return s.steppingDown || s.open && s.retryAt.Before(s.nextRenewal())
}

// nextRenewal returns when the lease is to be renewed, or a copy of a renewal that is
// without an answer is to be sent.
func (s *Session) nextRenewal() time.Time {
	return later(s.renewalSentAt.Add(s.timing.RenewInterval), s.copySentAt.Add(s.timing.RepeatInterval))
}

// RecordSent records that a step that Next returned is being sent. It must be called
// before a RenewLease is sent: Next then returns the next copy of it, which may be sent
// while this one is without an answer. All other steps are sent one after the other.
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

// HandleResult records the result of a step that Next returned. A result that
// the loss of the session has overtaken meanwhile is ignored.
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
		// A write without a response had been carried out.
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
		// Whether it was carried out shows in the key, which is read again. If
		// it was not, it is repeated under the same lease and precondition, so
		// that it takes effect at most once.
		s.keyRead = false
		s.retryAfter(s.timing.RetryInterval, now)
	}
}

// handleRenewal records the result of one copy of a renewal. The copies may be answered
// in any order: the lease counts from the latest sending that is known to be carried out.
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

// enterOpen notes that the key stands under the lease, and has the predecessor's
// lease revoked.
func (s *Session) enterOpen(revision uint64) {
	s.open, s.revision, s.retryAt = true, revision, time.Time{}
	if predecessor := s.previousKey.Session; predecessor != 0 && predecessor != s.lease {
		s.toRevoke = append(s.toRevoke, predecessor)
		s.revokeAttempts = 0
	}
	s.previousKey = Key{}
}

// StepDown gives an open session up so that another controller can get what is
// held under it. The lease is revoked at once, and the next session is not
// opened before reopenAt. The caller must stop acting under the session before
// it sends the revocation: whoever then sees the key gone takes the session for
// expired, as if the process had ended.
func (s *Session) StepDown(reopenAt time.Time) {
	if !s.open {
		return
	}
	s.close()
	s.steppingDown, s.reopenAt = true, reopenAt
}

// ObserveKey compares the session with its key as a copy of the records shows
// it. The copy reflects every change up to the given revision; one that is older
// than the key proves nothing. It reports whether the session is lost: the key
// is gone, or another process has taken it.
func (s *Session) ObserveKey(key Key, revision uint64) (lost bool) {
	if !s.open || revision < s.revision || key.Session == s.lease || s.disabled&WithoutKeyWatch != 0 {
		return false
	}
	s.close()
	s.yielding = key.Session != 0 && s.disabled&WithoutYield == 0
	return true
}

// close gives up the open session, for Next to open another.
func (s *Session) close() {
	// All that stands under the lease goes with it, if it has not expired yet.
	s.toRevoke = append(s.toRevoke, s.lease)
	s.open, s.keyRead, s.lease, s.revision, s.retryAt = false, false, 0, 0, time.Time{}
	s.yielding = false
}
