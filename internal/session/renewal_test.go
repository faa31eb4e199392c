package session

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// renewalCopy is one transmission of a renewal.
type renewalCopy struct {
	step       Step
	sentAt     time.Time
	arrivesAt  time.Time // at the store
	answeredAt time.Time // zero: the response is lost
	arrived    bool
	outcome    Outcome
}

// renewalModel consists of an open session, its lease in the store, and copies of renewals
// that arrive and are answered in any order.
type renewalModel struct {
	random         *rand.Rand
	ttl            time.Duration
	countFromReply bool // violates the rule that a lease counts from when the renewal was sent
	session        *Session
	now            time.Time
	expiresAt      time.Time // of the lease, in the store
	copies         []*renewalCopy
}

const modelTick = 50 * time.Millisecond

func newRenewalModel(seed uint64, ttl time.Duration) *renewalModel {
	m := &renewalModel{random: rand.New(rand.NewPCG(seed, 2)), ttl: ttl, now: testTime, session: New(TimingFor(ttl, 0), 0)}
	m.session.HandleResult(Step{Operation: ReadKey}, Result{}, m.now)
	m.session.HandleResult(Step{Operation: GrantLease}, Result{Lease: 1, SentAt: m.now}, m.now)
	m.session.HandleResult(Step{Operation: WriteKey, Lease: 1}, Result{Revision: 1}, m.now)
	m.expiresAt = m.now.Add(ttl)
	return m
}

// send sends the session's next renewal if it is due. It is answered late or never.
func (m *renewalModel) send() {
	step := m.session.Next()
	if step.Operation != RenewLease || step.NotBefore.After(m.now) {
		return
	}
	m.session.RecordSent(step, m.now)
	delay := func() time.Duration { return time.Duration(m.random.Int64N(2 * int64(m.ttl))) }
	copied := &renewalCopy{step: step, sentAt: m.now, arrivesAt: m.now.Add(delay())}
	if m.random.IntN(3) > 0 {
		copied.answeredAt = copied.arrivesAt.Add(delay() / 2)
	}
	m.copies = append(m.copies, copied)
}

// deliver executes the copies that arrive at the store and delivers due responses.
func (m *renewalModel) deliver() {
	for _, c := range m.copies {
		if !c.arrived && !c.arrivesAt.After(m.now) {
			c.arrived = true
			if c.outcome = LeaseExpired; m.now.Before(m.expiresAt) {
				c.outcome, m.expiresAt = Succeeded, m.now.Add(m.ttl)
			}
		}
	}
	m.copies = slices.DeleteFunc(m.copies, func(c *renewalCopy) bool {
		if !c.arrived || c.answeredAt.IsZero() || c.answeredAt.After(m.now) {
			return false
		}
		result := Result{Outcome: c.outcome, SentAt: c.sentAt}
		if m.countFromReply {
			result.SentAt = m.now
		}
		m.session.HandleResult(c.step, result, m.now)
		return true
	})
}

// isUnsafe reports whether the process considers a lease valid that has expired in the
// store.
func (m *renewalModel) isUnsafe() bool {
	takenForValid := m.session.Lease() != 0 && m.now.Before(m.session.RenewalSentAt().Add(m.ttl))
	return takenForValid && !m.now.Before(m.expiresAt)
}

// run reports whether the process ever considered an expired lease valid.
func (m *renewalModel) run() (unsafe bool) {
	for range 600 {
		m.deliver()
		m.send()
		if m.isUnsafe() {
			return true
		}
		m.now = m.now.Add(modelTick)
	}
	return false
}

// However late, and in whatever order, copies of renewals are executed and answered, the
// process never considers a lease valid that has expired in the store.
func TestRenewalCopiesNeverOutliveLease(t *testing.T) {
	for name, c := range map[string]struct{ countFromReply, unsafe bool }{
		"counted from the sending": {false, false},
		"counted from the answer":  {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			found, ended := false, 0
			for seed := range uint64(300) {
				m := newRenewalModel(seed, 5*time.Second)
				m.countFromReply = c.countFromReply
				found = m.run() || found
				if m.session.Lease() == 0 {
					ended++
				}
			}
			if found != c.unsafe || ended == 0 {
				t.Errorf("an expired lease was considered valid: %v; %d leases ended", found, ended)
			}
		})
	}
}

// An unanswered renewal is retransmitted long before it times out, and a response to any
// copy postpones the next renewal.
func TestUnansweredRenewalIsCopied(t *testing.T) {
	m := newRenewalModel(1, 5*time.Second)
	timing := m.session.timing
	var sentAt []time.Time
	for range 4 {
		step := m.session.Next()
		sentAt = append(sentAt, step.NotBefore)
		m.session.RecordSent(step, step.NotBefore)
	}
	for i, at := range sentAt {
		if want := testTime.Add(timing.RenewInterval + time.Duration(i)*timing.RepeatInterval); at != want {
			t.Errorf("copy %d is sent at %v, not %v", i, at.Sub(testTime), want.Sub(testTime))
		}
	}
	renewal := m.session.Next()
	for _, i := range []int{2, 1} { // answered out of order
		m.session.HandleResult(renewal, Result{SentAt: sentAt[i]}, sentAt[3])
	}
	m.session.HandleResult(renewal, Result{Outcome: Failed, SentAt: sentAt[3]}, sentAt[3])
	if got := m.session.RenewalSentAt(); got != sentAt[2] {
		t.Errorf("the lease counts from %v, not %v", got.Sub(testTime), sentAt[2].Sub(testTime))
	}
	if next := m.session.Next().NotBefore; next != sentAt[2].Add(timing.RenewInterval) {
		t.Errorf("the next renewal is due at %v", next.Sub(testTime))
	}
}

// Responses to copies that arrive after the end of the session do not affect the next one.
func TestLateRenewalAnswersAreIgnored(t *testing.T) {
	for name, outcome := range map[string]Outcome{"renewed": Succeeded, "expired": LeaseExpired, "no answer": Failed} {
		t.Run(name, func(t *testing.T) {
			m := newRenewalModel(1, 5*time.Second)
			step := m.session.Next()
			m.session.RecordSent(step, testTime)
			m.session.StepDown(testTime)
			m.session.HandleResult(m.session.Next(), Result{}, testTime) // revoked
			m.session.HandleResult(Step{Operation: ReadKey}, Result{}, testTime)
			m.session.HandleResult(Step{Operation: GrantLease}, Result{Lease: 2, SentAt: testTime}, testTime)
			m.session.HandleResult(Step{Operation: WriteKey, Lease: 2}, Result{Revision: 3}, testTime)
			m.session.HandleResult(step, Result{Outcome: outcome, SentAt: testTime.Add(time.Second)}, testTime)
			if m.session.Lease() != 2 || m.session.RenewalSentAt() != testTime {
				t.Errorf("lease %d, renewal sent at %v", m.session.Lease(), m.session.RenewalSentAt().Sub(testTime))
			}
		})
	}
}

// The repeat interval respects the store's rate limit, but is at most half of the renewal
// interval.
func TestRepeatIntervalKeepsToRateLimit(t *testing.T) {
	lease := 10 * time.Second
	for minInterval, want := range map[time.Duration]time.Duration{
		0: retryInterval, 100 * time.Millisecond: retryInterval, 400 * time.Millisecond: 400 * time.Millisecond, time.Hour: time.Second,
	} {
		if got := TimingFor(lease, minInterval).RepeatInterval; got != want {
			t.Errorf("at least %v between renewals: repeated after %v, want %v", minInterval, got, want)
		}
	}
}
