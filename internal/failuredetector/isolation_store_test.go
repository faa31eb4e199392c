package failuredetector

import (
	"fmt"
	"testing"
	"time"
)

// outage is a time in which something does not reach a controller.
type outage struct{ from, until time.Duration }

func (o outage) contains(at time.Duration) bool { return at >= o.from && at < o.until }

// storeOutageModel is a controller that many workers and the key-value store reach, but
// for an outage of each.
type storeOutageModel struct {
	workers, store outage
	ignoreStore    bool // the detector is not told of the store's silence
}

const (
	modelTick          = 250 * time.Millisecond
	modelRenewInterval = 1600 * time.Millisecond
	modelStoreTimeout  = 2 * modelRenewInterval
	modelEnd           = 2 * time.Minute
)

// steppedDownAt returns when the controller first steps down, or never.
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

// violation returns what is wrong with the time at which the controller steps down, or "".
func (m storeOutageModel) violation() string {
	steppedDown := m.steppedDownAt()
	// The workers must be silent for so long while the store answers.
	patience := testTiming.SuspectAfter() + 2*modelTick
	deadline := m.workers.from + patience
	if m.store.from < deadline && m.store.until > m.workers.from-modelStoreTimeout {
		// At worst the silence begins anew once the store answers again.
		deadline = max(m.workers.from, m.store.until+modelRenewInterval) + patience
	}
	switch {
	case deadline < m.workers.until && steppedDown > deadline:
		return fmt.Sprintf("has not stepped down by %v", deadline)
	case steppedDown <= m.workers.from+testTiming.SuspectAfter()-modelTick:
		return "steps down too early"
	case steppedDown != never && m.store.from <= m.workers.from && m.store.until >= m.workers.until:
		return "steps down though the store did not reach it either"
	}
	return ""
}

// Guards against a controller that takes its own outage for the workers' silence, and
// against one that never steps down since the store has not answered for a while: each
// outage begins before, in and after the other.
func TestStoreOutageIsNoSilenceOfWorkers(t *testing.T) {
	const begin = 20 * time.Second
	found := 0
	for _, workersOut := range []time.Duration{2 * time.Second, 6 * time.Second, 9 * time.Second, 12 * time.Second, 30 * time.Second, modelEnd} {
		for storeOut := time.Duration(0); storeOut <= 12*time.Second; storeOut += time.Second {
			for offset := -10 * time.Second; offset <= 14*time.Second; offset += time.Second / 2 {
				m := storeOutageModel{workers: outage{begin, begin + workersOut}, store: outage{begin + offset, begin + offset + storeOut}}
				if violation := m.violation(); violation != "" {
					t.Errorf("workers away %v, store away %v: %s", m.workers, m.store, violation)
				}
				if m.ignoreStore = true; m.violation() != "" {
					found++
				}
			}
		}
	}
	if found == 0 {
		t.Error("the model does not notice a detector that ignores the store")
	}
}

// Guards against a store that answers seldom and so keeps an isolated controller from
// stepping down.
func TestSeldomAnswersOfStoreDelayStepDownOnce(t *testing.T) {
	d := newTestDetector()
	d.RecordHeartbeat()
	for range 40 {
		d.run(modelTick)
		d.now = d.now.Add(4 * modelTick)
		d.TickStoreUnreachable(d.now)
	}
	if !d.ShouldStepDown(100, 0, 0, d.now) {
		t.Errorf("keeps its machines, silence %v", d.Silence())
	}
}
