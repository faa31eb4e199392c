package coordination

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"reedtrack/internal/dispatch"
)

// disabledGuard is a safety check that a test disables, either in the node itself
// or by changing what the simulated world delivers to it.
type disabledGuard struct {
	tweak   func(n *Node)
	inWorld disabledGuards
}

func disableGuard(g dispatch.DisabledGuards) disabledGuard {
	return disabledGuard{tweak: func(n *Node) { n.guards = g }}
}

// Names of the guards that tests can disable.
const (
	guardLeaseValidity     = "a holder stops acting when its lease or its copy is too old"
	guardWorkerLease       = "a silent machine's tasks are there until its worker's lease is over"
	guardHeartbeatOrder    = "an old report tells nothing new"
	guardFencingToken      = "only a report that knows the new term settles a machine"
	guardPreconditions     = "transactions hold only if what they change is as it was read"
	guardCurrentReads      = "users are told what the state service says now"
	guardUnansweredStart   = "a direct start without an answer binds its task"
	guardAttemptRetention  = "an attempt of which a copy may come is not forgotten"
	guardStartsInFlight    = "a heartbeat proxy does not answer machines to which starts are under way"
	guardDelegatedMachines = "machines that are delegated are not taken for silent"
	guardProxyStops        = "a heartbeat proxy stops what is cancelled"
	guardRepeatedStart     = "a direct start that was answered may arrive again"
	guardReleaseFence      = "an ended attempt is released only under a newer token"
	guardStartBeforeStop   = "a halt of an attempt that may be unknown goes out after its start"
)

var guardVariants = map[string]disabledGuard{
	guardLeaseValidity:     {tweak: func(n *Node) { n.timing.LeaseValidity = time.Hour }},
	guardWorkerLease:       {tweak: func(n *Node) { n.timing.WorkerTimeout = 3 * time.Second }},
	guardHeartbeatOrder:    {inWorld: disabledGuards{order: true}},
	guardFencingToken:      {inWorld: disabledGuards{order: true, term: true}},
	guardPreconditions:     {inWorld: disabledGuards{conditions: true}},
	guardCurrentReads:      {tweak: func(n *Node) { n.confirm = func(context.Context) error { return nil } }, inWorld: disabledGuards{reads: true}},
	guardUnansweredStart:   {inWorld: disabledGuards{binding: true}},
	guardStartsInFlight:    {tweak: func(n *Node) { n.heartbeatProxy.acknowledgeAlways = true }},
	guardDelegatedMachines: {tweak: func(n *Node) { n.heartbeatProxy.ignoreDelegated = true }},
	guardProxyStops:        {inWorld: disabledGuards{proxyStops: true}},
	guardAttemptRetention:  disableGuard(dispatch.WithoutDeferredClear),
	guardRepeatedStart:     disableGuard(dispatch.WithoutRepeats),
	guardReleaseFence:      disableGuard(dispatch.WithoutFence),
	guardStartBeforeStop:   disableGuard(dispatch.WithoutStartBeforeStop),
}

// firstViolation returns the first violation that begins with a rule's name, or an
// empty string. With an empty rule a cancelled task that outlives the cancellation
// bound counts too. Jobs that merely finish or start late don't count.
func (w *world) firstViolation(rule string) string {
	i := slices.IndexFunc(w.violations, func(b string) bool {
		return strings.HasPrefix(b, rule) && !strings.HasPrefix(b, "never over") && !strings.HasPrefix(b, "left waiting")
	})
	if i < 0 && rule == "" {
		return w.cancelBoundViolation()
	}
	if i < 0 {
		return ""
	}
	return w.violations[i]
}

// detectionSeeds is the number of seeds searched for a violation caused by a
// disabled guard, and detectionBatch the number played in parallel. The search ends
// with the first violation.
const detectionSeeds, detectionBatch = 120, 4

// detect plays a scenario with a guard disabled until a violation occurs, and returns
// the violation and its seed.
func (m *scenario) detect(t *testing.T, g disabledGuard) (string, uint64) {
	for from := uint64(1); from <= detectionSeeds; from += detectionBatch {
		var broken [detectionBatch]string
		t.Run(fmt.Sprint("from seed ", from), func(t *testing.T) {
			for k := range broken {
				t.Run(fmt.Sprint(from+uint64(k)), func(t *testing.T) {
					t.Parallel()
					broken[k] = m.play(t, from+uint64(k), g.tweak, g.inWorld).firstViolation(m.detects.violation)
				})
			}
		})
		if k := slices.IndexFunc(broken[:], func(s string) bool { return s != "" }); k >= 0 {
			return broken[k], from + uint64(k)
		}
	}
	return "", 0
}

// guardsModelChecked maps guards to the model-checking test case, run in full by CI,
// that explores every order of events for them.
var guardsModelChecked = map[string]string{
	guardStartBeforeStop: "TestStartsModelChecked/cancelled",
	guardStartsInFlight:  "TestStartsModelChecked/proxy_answers",
	guardReleaseFence:    "TestStartsModelChecked/repeated,_fenced",
}

// Every scenario detects its disabled guard. CI plays those that do so within a few
// seeds; the flag -all plays all.
func TestScenariosDetectDisabledGuards(t *testing.T) {
	played := map[string]bool{}
	for i := range scenarios {
		m := &scenarios[i]
		g, ok := guardVariants[m.detects.guard]
		if !ok {
			t.Errorf("%q names no known guard", m.name)
			continue
		}
		if !m.detects.inCI && !*all {
			continue
		}
		played[m.detects.guard] = true
		t.Run(m.detects.guard+": "+m.name, func(t *testing.T) {
			t.Parallel()
			broken, seed := m.detect(t, g)
			if broken == "" {
				t.Error("the scenario does not detect the disabled guard")
			}
			t.Logf("seed %d: %s", seed, broken)
		})
	}
	for _, name := range slices.Sorted(maps.Keys(guardVariants)) {
		if !played[name] && guardsModelChecked[name] == "" {
			t.Errorf("no scenario detects a disabled guard %q", name)
		}
	}
}
