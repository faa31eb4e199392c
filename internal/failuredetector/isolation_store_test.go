package failuredetector

import (
	"fmt"
	"testing"
	"time"
)

// outage is an interval in which messages do not reach the controller.
type outage struct{ from, until time.Duration }

func (o outage) contains(at time.Duration) bool { return at >= o.from && at < o.until }

// storeOutageModel simulates a controller whose workers and key-value store each have one
// outage.
type storeOutageModel struct {
	workers, store outage
	ignoreStore    bool // the detector is not notified of the store outage
}

const (
	modelTick          = 250 * time.Millisecond
	modelRenewInterval = 1600 * time.Millisecond
	modelStoreTimeout  = 2 * modelRenewInterval
	modelEnd           = 2 * time.Minute
)

// steppedDownAt returns the time of the first step-down, or never.
func (m storeOutageModel) steppedDownAt() time.Duration {
	begin := time.Unix(1e6, 0)
	d := NewIsolationDetector(testTiming)
	var answered, renewed time.Duration
	for at := time.Duration(0); at < modelEnd; at += modelTick {
		if at >= renewed+modelRenewInterval {
			renewed = at
			if !m.store.contains(at) {
				answered = at
			}
		}
		isCutOff := at-answered > modelStoreTimeout && !m.ignoreStore
		if isCutOff {
			d.TickStoreUnreachable(begin.Add(at))
		} else {
			d.Tick(begin.Add(at))
		}
		if !m.workers.contains(at) {
			d.RecordHeartbeat()
		}
		if !isCutOff && d.ShouldStepDown(100, 0, 0, begin.Add(at)) {
			return at
		}
	}
	return never
}

// violation describes why the time of the step-down is incorrect; "" if it is correct.
func (m storeOutageModel) violation() string {
	steppedDown := m.steppedDownAt()
	// minSilence is how long the workers must be silent while the store answers.
	minSilence := testTiming.SuspectAfter() + 2*modelTick
	deadline := m.workers.from + minSilence
	if m.store.from < deadline && m.store.until > m.workers.from-modelStoreTimeout {
		// In the worst case the silence is reset when the store answers again.
		deadline = max(m.workers.from, m.store.until+modelRenewInterval) + minSilence
	}
	switch {
	case deadline < m.workers.until && steppedDown > deadline:
		return fmt.Sprintf("no step-down by %v", deadline)
	case steppedDown <= m.workers.from+testTiming.SuspectAfter()-modelTick:
		return "step-down too early"
	case steppedDown != never && m.store.from <= m.workers.from && m.store.until >= m.workers.until:
		return "step-down although the store was unreachable too"
	}
	return ""
}

// Guards against a controller that mistakes its own outage for silent workers, and against
// one that never steps down after a store outage. Each outage begins before, during and
// after the other.
func TestStoreOutageIsNoSilenceOfWorkers(t *testing.T) {
	const begin = 20 * time.Second
	found := 0
	for _, workersOut := range []time.Duration{2 * time.Second, 6 * time.Second, 9 * time.Second, 12 * time.Second, 30 * time.Second, modelEnd} {
		for storeOut := time.Duration(0); storeOut <= 12*time.Second; storeOut += time.Second {
			for offset := -10 * time.Second; offset <= 14*time.Second; offset += time.Second / 2 {
				m := storeOutageModel{workers: outage{begin, begin + workersOut}, store: outage{begin + offset, begin + offset + storeOut}}
				if violation := m.violation(); violation != "" {
					t.Errorf("worker outage %v, store outage %v: %s", m.workers, m.store, violation)
				}
				if m.ignoreStore = true; m.violation() != "" {
					found++
				}
			}
		}
	}
	if found == 0 {
		t.Error("the model does not detect a detector that ignores store outages")
	}
}

// Guards against an intermittently reachable store that prevents an isolated controller
// from stepping down.
func TestSeldomAnswersOfStoreDelayStepDownOnce(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	for range 40 {
		d.run(modelTick)
		d.now = d.now.Add(4 * modelTick)
		d.TickStoreUnreachable(d.now)
	}
	if !d.ShouldStepDown(100, 0, 0, d.now) {
		t.Errorf("no step-down after a silence of %v", d.Silence())
	}
}
