package session

import (
	"testing"
	"time"
)

// In every sequence of crashes, lost responses, delayed requests, expired leases and
// step-downs within the bounds, no process's key is replaced while its lease is valid, and
// the running process eventually opens a visible session.
func TestEarlierProcessNeverReplacesKeyOfLiveSession(t *testing.T) {
	for name, bounds := range map[string]eventCounts{
		// crashes 2, lostMessages 2, expirations 2 has 2,169,061 states and passes too, but takes a minute.
		"two crashes": {crashes: 2, lostMessages: 1, expirations: 1},
		"step-down":   {crashes: 1, lostMessages: 1, expirations: 1, stepDowns: 1},
	} {
		t.Run(name, func(t *testing.T) {
			states, violation := explore(newModel(0), bounds)
			t.Logf("%d states", states)
			if violation != "" || states < 5000 {
				t.Errorf("%d states: %s", states, violation)
			}
		})
	}
}

// The model detects key writes without a precondition.
func TestModelFindsUnconditionalWrites(t *testing.T) {
	for name, disabled := range map[string]DisabledGuards{
		"key watched":     0,
		"key not watched": WithoutKeyWatch,
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(disabled)
			m.unconditionalWrites = true
			if _, violation := explore(m, eventCounts{crashes: 2, lostMessages: 1, expirations: 1}); violation == "" {
				t.Error("no violation found")
			}
		})
	}
}

// The key of a running process is replaced by a session that is not renewed, for example
// by an unconditional write of an earlier version. The process detects this, waits until
// that session has expired, and opens another.
func TestReplacedKeyEndsSession(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled DisabledGuards
		recovers bool
	}{
		{"all guards", 0, true},
		{"key not watched", WithoutKeyWatch, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			const foreignLease = 99
			m := newModel(c.disabled)
			m.openSession()
			m.leases = append(m.leases, foreignLease)
			m.revision++
			m.key = Key{foreignLease, m.revision}
			lost := m.session.ObserveKey(m.key, m.revision)
			for range 5 {
				m.runStep()
			}
			yields := m.key.Session == foreignLease
			m.expireLease(foreignLease)
			for range 5 {
				m.runStep()
			}
			lease := m.session.Lease()
			if got := lost && yields && m.key.Session == lease && m.key.Session != 0; got != c.recovers {
				t.Errorf("lost %v, yields %v, key %v, lease %d", lost, yields, m.key, lease)
			}
		})
	}
}

// Two processes of one name, which the listening ports normally prevent, don't replace
// each other's key indefinitely: the one that lost it yields.
func TestDuplicateProcessesDoNotFightOverKey(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled DisabledGuards
		settles  bool
	}{
		{"all guards", 0, true},
		{"no yielding", WithoutYield, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(c.disabled)
			other := *New(testTiming, c.disabled)
			changes, last := 0, Key{}
			for range 100 {
				m.session, other = other, m.session
				m.violation = ""
				m.session.ObserveKey(m.key, m.revision)
				m.runStep()
				if m.key != last {
					changes, last = changes+1, m.key
				}
			}
			if got := changes < 8; got != c.settles {
				t.Errorf("the key changed %d times", changes)
			}
		})
	}
}

// A copy of the records that is older than the key is ignored.
func TestStaleKeyObservationIsIgnored(t *testing.T) {
	m := newModel(0)
	m.revision = 40
	m.openSession()
	if m.session.ObserveKey(Key{}, m.revision-1) || m.session.Lease() == 0 {
		t.Error("session lost because of a copy that is older than the key")
	}
	if !m.session.ObserveKey(Key{}, m.revision) || m.session.Lease() != 0 {
		t.Error("session not lost despite a newer copy")
	}
}

// A controller that steps down revokes its lease before it requests another, so that the
// others need not wait for the expiry, and doesn't reopen before the given time. A
// revocation without a response is retried, but only a limited number of times.
func TestStepDownRevokesLeaseBeforeReopening(t *testing.T) {
	for lost := range 5 {
		m := newModel(0)
		m.openSession()
		lease := m.session.Lease()
		reopenAt := testTime.Add(7 * time.Second)
		m.session.StepDown(reopenAt)
		if m.session.Lease() != 0 {
			t.Fatal("still open after stepping down")
		}
		for i := range lost {
			if step := m.session.Next(); i < maxRevokeAttempts && (step.Operation != RevokeLease || step.Lease != lease) {
				t.Fatalf("%d responses lost: %+v", i, step)
			}
			if i < maxRevokeAttempts {
				m.failStep(m.session.Next())
			}
		}
		if lost < maxRevokeAttempts {
			if m.runStep(); m.key.Session != 0 || m.isLeaseValid(lease) {
				t.Fatalf("%d responses lost: the lease is still valid", lost)
			}
		}
		if step := m.session.Next(); step.Operation != ReadKey || step.NotBefore != reopenAt {
			t.Fatalf("%d responses lost: %+v", lost, step)
		}
		for range 5 {
			m.runStep()
		}
		if m.session.Lease() == 0 || m.session.Lease() == lease || m.key.Session != m.session.Lease() {
			t.Fatalf("%d responses lost: no other session is open", lost)
		}
	}
}

// Guards against a store that is considered unresponsive after one lost response, or before
// a session is open, and against one that never is.
func TestIsUnanswered(t *testing.T) {
	const lease = 10 * time.Second
	s := New(TimingFor(lease, 0), 0)
	if s.IsUnanswered(testTime.Add(time.Hour)) {
		t.Error("unanswered although no session is open")
	}
	s.HandleResult(Step{Operation: ReadKey}, Result{}, testTime)
	s.HandleResult(Step{Operation: GrantLease}, Result{Lease: 1, SentAt: testTime}, testTime)
	s.HandleResult(Step{Operation: WriteKey, Lease: 1}, Result{Revision: 1}, testTime)
	for after, want := range map[time.Duration]bool{0: false, lease / 5: false, lease * 2 / 5: false, lease*2/5 + 1: true, lease: true} {
		if s.IsUnanswered(testTime.Add(after)) != want {
			t.Errorf("%v after the last answered renewal: unanswered %v", after, !want)
		}
	}
	s.HandleResult(Step{Operation: RenewLease, Lease: 1}, Result{SentAt: testTime.Add(lease / 2)}, testTime.Add(lease*3/4))
	if s.IsUnanswered(testTime.Add(lease * 3 / 4)) {
		t.Error("counted from before the last answered renewal")
	}
}
