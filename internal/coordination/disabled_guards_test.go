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

// disabledGuard is a guard of the program that a test disables, inside or from
// outside.
type disabledGuard struct {
	tweak func(n *Node)
	out   disabledGuards
}

func disableGuard(g dispatch.DisabledGuards) disabledGuard {
	return disabledGuard{tweak: func(n *Node) { n.guards = g }}
}

// Names of the guards that are disabled.
const (
	guardActing          = "a holder stops acting when its lease or its copy is too old"
	guardLease           = "a silent machine's tasks are there until its worker's lease is over"
	guardOrder           = "an old report tells nothing new"
	guardTerm            = "only a report that knows the new term settles a machine"
	guardConditions      = "transactions hold only if what they change is as it was read"
	guardReads           = "users are told what the state service says now"
	guardBinding         = "a direct start without an answer binds its task"
	guardMemory          = "an attempt of which a copy may come is not forgotten"
	guardUnderWay        = "a heartbeat proxy does not answer machines to which starts are under way"
	guardDelegated       = "machines that are delegated are not taken for silent"
	guardProxyStops      = "a heartbeat proxy stops what is cancelled"
	guardStartBeforeStop = "a halt of an attempt that may be unknown goes out after its start"
)

var guardVariants = map[string]disabledGuard{
	guardActing:          {tweak: func(n *Node) { n.timing.LeaseValidity = time.Hour }},
	guardLease:           {tweak: func(n *Node) { n.timing.WorkerTimeout = 3 * time.Second }},
	guardOrder:           {out: disabledGuards{order: true}},
	guardTerm:            {out: disabledGuards{order: true, term: true}},
	guardConditions:      {out: disabledGuards{conditions: true}},
	guardReads:           {tweak: func(n *Node) { n.confirm = func(context.Context) error { return nil } }, out: disabledGuards{reads: true}},
	guardBinding:         {out: disabledGuards{binding: true}},
	guardUnderWay:        {tweak: func(n *Node) { n.heartbeatProxy.acknowledgeAlways = true }},
	guardDelegated:       {tweak: func(n *Node) { n.heartbeatProxy.ignoreDelegated = true }},
	guardProxyStops:      {out: disabledGuards{proxyStops: true}},
	guardMemory:          disableGuard(dispatch.WithoutDeferredClear),
	guardStartBeforeStop: disableGuard(dispatch.WithoutStartBeforeStop),
}

// firstViolation is the first violation that begins with a rule's name, or
// empty; that a cancelled task stays beyond the bound is one. That a job is
// late is none.
func (w *world) firstViolation(rule string) string {
	i := slices.IndexFunc(w.violations, func(b string) bool {
		return strings.HasPrefix(b, rule) && !strings.HasPrefix(b, "never over") && !strings.HasPrefix(b, "left waiting")
	})
	if i < 0 && rule == "" {
		return w.overBound()
	}
	if i < 0 {
		return ""
	}
	return w.violations[i]
}

// detectionSeeds is how many seeds of a scenario are searched for what a
// disabled guard breaks, and detectionBatch how many of them at a time: one
// violation ends the search.
const detectionSeeds, detectionBatch = 120, 4

// detect plays a scenario without a guard until there is a violation, and tells
// which.
func (m *scenario) detect(t *testing.T, g disabledGuard) (string, uint64) {
	for from := uint64(1); from <= detectionSeeds; from += detectionBatch {
		var broken [detectionBatch]string
		t.Run(fmt.Sprint("from seed ", from), func(t *testing.T) {
			for k := range broken {
				t.Run(fmt.Sprint(from+uint64(k)), func(t *testing.T) {
					t.Parallel()
					broken[k] = m.play(t, from+uint64(k), g.tweak, g.out).firstViolation(m.detects.violation)
				})
			}
		})
		if k := slices.IndexFunc(broken[:], func(s string) bool { return s != "" }); k >= 0 {
			return broken[k], from + uint64(k)
		}
	}
	return "", 0
}

// guardsCheckedByExplorer are guards for which another test that CI runs whole
// searches every order of events.
var guardsCheckedByExplorer = map[string]string{
	guardStartBeforeStop: "TestStartsModelChecked/cancelled",
	guardUnderWay:        "TestStartsModelChecked/proxy_answers",
}

// Every scenario detects a disabled guard. CI plays those that do so within a
// few seeds, the flag -all plays all.
func TestScenariosDetectDisabledGuards(t *testing.T) {
	played := map[string]bool{}
	for i := range scenarios {
		m := &scenarios[i]
		g, ok := guardVariants[m.detects.guard]
		if !ok {
			t.Errorf("%q names no guard that it finds", m.name)
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
				t.Error("left out, and the scenario does not notice")
			}
			t.Logf("seed %d: %s", seed, broken)
		})
	}
	for _, name := range slices.Sorted(maps.Keys(guardVariants)) {
		if !played[name] && guardsCheckedByExplorer[name] == "" {
			t.Errorf("no scenario is for the guard %q", name)
		}
	}
}
