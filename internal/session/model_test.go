package session

import (
	"fmt"
	"slices"
	"time"
)

var (
	testTiming = TimingFor(10*time.Second, 0)
	testTime   = time.Unix(1e9, 0)
)

// sessionModel consists of a key-value store, the running process of one controller, and
// the pending requests of earlier processes. It is cloned to explore successor states.
type sessionModel struct {
	unconditionalWrites bool // the key is written without a precondition on its revision
	revision            uint64
	key                 Key
	leases              []uint64 // not expired
	lastLease           uint64
	session             Session
	delayed             []Step
	happened            eventCounts
	violation           string
}

// eventCounts counts the faults that have happened, or bounds them.
type eventCounts struct {
	crashes, lostMessages, expirations, stepDowns int
}

func newModel(d DisabledGuards) *sessionModel {
	return &sessionModel{session: *New(testTiming, d)}
}

func (m *sessionModel) clone() *sessionModel {
	c := *m
	c.leases, c.delayed = slices.Clone(m.leases), slices.Clone(m.delayed)
	c.session.toRevoke = slices.Clone(m.session.toRevoke)
	return &c
}

// fingerprint identifies states with the same possible successors. It excludes times,
// because steps are executed regardless of NotBefore.
func (m *sessionModel) fingerprint() string {
	s := m.session
	return fmt.Sprint(m.key, m.leases, m.delayed, m.happened, s.previousKey, s.keyRead, s.lease, s.open, s.revision, s.yielding, s.toRevoke, s.revokeAttempts, s.steppingDown, m.violation)
}

func (m *sessionModel) isLeaseValid(lease uint64) bool { return slices.Contains(m.leases, lease) }

// openSession runs the process until its session is open.
func (m *sessionModel) openSession() {
	for m.session.Lease() == 0 {
		m.runStep()
	}
}

// execute executes a request of the running process, or a delayed request.
func (m *sessionModel) execute(step Step, delayed bool) Result {
	r := Result{SentAt: testTime}
	before := m.key
	switch step.Operation {
	case ReadKey:
		r.Key = m.key
	case GrantLease:
		m.lastLease++
		m.leases = append(m.leases, m.lastLease)
		r.Lease = m.lastLease
	case WriteKey:
		switch {
		case !m.isLeaseValid(step.Lease):
			r.Outcome = LeaseExpired
		case !m.unconditionalWrites && m.key.Revision != step.Revision:
			r.Outcome = Failed
		default:
			m.revision++
			m.key = Key{step.Lease, m.revision}
			r.Revision = m.revision
		}
	case RenewLease:
		if !m.isLeaseValid(step.Lease) {
			r.Outcome = LeaseExpired
		}
	case RevokeLease:
		m.expireLease(step.Lease)
	}
	// Other controllers conclude from a key with another session that the previous
	// session has expired, so the key must not change while the lease is valid.
	lease := m.session.Lease()
	if lease != 0 && before.Session == lease && m.key != before && m.isLeaseValid(lease) {
		m.violation = fmt.Sprintf("the key of session %d was replaced by %v (delayed request: %v)", lease, m.key, delayed)
	}
	return r
}

func (m *sessionModel) expireLease(lease uint64) {
	m.leases = slices.DeleteFunc(m.leases, func(l uint64) bool { return l == lease })
	if m.key.Session == lease {
		m.revision++
		m.key = Key{}
	}
}

// runStep executes the process's next step.
func (m *sessionModel) runStep() {
	step := m.session.Next()
	m.session.HandleResult(step, m.execute(step, false), testTime)
}

// runStepUnanswered executes the next step and loses the response.
func (m *sessionModel) runStepUnanswered() {
	step := m.session.Next()
	m.execute(step, false)
	m.failStep(step)
}

// runStepDelayed fails the process's next step, whose request may still arrive later.
func (m *sessionModel) runStepDelayed() {
	step := m.session.Next()
	m.delayed = append(m.delayed, step)
	m.failStep(step)
}

func (m *sessionModel) failStep(step Step) {
	m.session.HandleResult(step, Result{Outcome: Failed, SentAt: testTime}, testTime)
}

// restart terminates the process and starts its successor.
func (m *sessionModel) restart() {
	m.happened.crashes++
	m.session = *New(testTiming, m.session.disabled)
}

// successors returns the successor states, by event.
func (m *sessionModel) successors(bounds eventCounts) map[string]*sessionModel {
	out := map[string]*sessionModel{}
	add := func(event string, apply func(c *sessionModel)) {
		c := m.clone()
		apply(c)
		out[event] = c
	}
	add("step", func(c *sessionModel) { c.runStep() })
	add("key observed", func(c *sessionModel) { c.session.ObserveKey(c.key, c.revision) })
	if m.happened.stepDowns < bounds.stepDowns && m.session.Lease() != 0 {
		add("step down", func(c *sessionModel) { c.happened.stepDowns++; c.session.StepDown(testTime) })
	}
	if m.happened.lostMessages < bounds.lostMessages {
		add("response lost", func(c *sessionModel) { c.happened.lostMessages++; c.runStepUnanswered() })
		add("request delayed", func(c *sessionModel) { c.happened.lostMessages++; c.runStepDelayed() })
	}
	if m.happened.crashes < bounds.crashes {
		add("crash", func(c *sessionModel) { c.restart() })
		add("crash while sending", func(c *sessionModel) {
			c.delayed = append(c.delayed, c.session.Next())
			c.restart()
		})
	}
	if m.happened.expirations < bounds.expirations {
		for _, lease := range m.leases {
			add(fmt.Sprint("lease expires ", lease), func(c *sessionModel) { c.happened.expirations++; c.expireLease(lease) })
		}
	}
	for i := range m.delayed {
		add(fmt.Sprint("delayed request ", i), func(c *sessionModel) {
			step := c.delayed[i]
			c.delayed = slices.Delete(c.delayed, i, i+1)
			c.execute(step, true)
		})
	}
	return out
}

// converges reports whether the process opens a visible session if no further faults occur
// and leases that are not renewed expire.
func (m *sessionModel) converges() bool {
	c := m.clone()
	for range 20 {
		for _, lease := range slices.Clone(c.leases) {
			if lease != c.session.lease {
				c.expireLease(lease)
			}
		}
		c.session.ObserveKey(c.key, c.revision)
		c.runStep()
	}
	lease := c.session.Lease()
	return lease != 0 && c.key.Session == lease && c.isLeaseValid(lease) && len(c.leases) == 1
}

// explore visits every sequence of events within the bounds, and returns the number of
// states and the first violation found.
func explore(initial *sessionModel, bounds eventCounts) (states int, violation string) {
	seen := map[string]bool{}
	queue := []*sessionModel{initial}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if m.violation == "" && !m.converges() {
			m.violation = fmt.Sprintf("no convergence: key %v, lease %d, leases %v", m.key, m.session.lease, m.leases)
		}
		if m.violation != "" {
			return len(seen), m.violation
		}
		for _, next := range m.successors(bounds) {
			if f := next.fingerprint(); !seen[f] {
				seen[f] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), ""
}
