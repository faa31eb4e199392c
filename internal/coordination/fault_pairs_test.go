package coordination

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// defaultFault returns a fault of a kind with typical parameters.
func defaultFault(k faultKind, at, lasts time.Duration) fault {
	f := fault{at: at, kind: k, duration: lasts, count: 3, share: 0.4, target: targetLeader}
	switch k {
	case controllerEnds, workersSeparated, zoneIsolatedWithController:
		f.target = targetBusiest
	case controllerPauses:
		f.duration = min(lasts, 12*sec)
	case machinesHang:
		f.hangDuration = 10 * sec
	case cancelRunningJobs:
		f.hangDuration = 8 * sec
	case machinesReclaimed:
		f.duration = 10 * sec
	case leaderChanges:
		f.count = 4
	}
	return f
}

// faultPair is a pair of fault kinds and their relative timing.
type faultPair struct {
	a      faultKind
	b      faultKind
	timing string
}

// script returns the pair's faults.
func (p faultPair) script() []fault {
	const at, lasts = 40 * sec, 25 * sec
	b := at // together
	switch p.timing {
	case "overlaps":
		b = at + lasts/2
	case "is followed within a second by":
		b = at + lasts + 600*time.Millisecond
	}
	return append(cancelFaults(2, 0, at+5*sec, b+3*sec), defaultFault(p.a, at, lasts), defaultFault(p.b, b, lasts))
}

// faultPairs lists every pair of kinds, including a kind with itself, in every
// timing.
func faultPairs() []faultPair {
	var list []faultPair
	for i, a := range allFaultKinds {
		for _, b := range allFaultKinds[i:] {
			for k, how := range []string{"overlaps", "begins together with", "is followed within a second by"} {
				p := faultPair{a, b, how}
				if (i+k)%2 == 1 {
					p.a, p.b = b, a
				}
				list = append(list, p)
			}
		}
	}
	return list
}

// ciPairStep is the step at which CI samples the pairs, chosen so that every kind is
// paired with several others; -all plays all.
const ciPairStep = 13

// No invariant is violated when any two kinds of faults coincide, in any timing.
func TestFaultPairs(t *testing.T) {
	list := faultPairs()
	if !*all {
		var sampled []faultPair
		for i := 0; i < len(list); i += ciPairStep {
			sampled = append(sampled, list[i])
		}
		list = sampled
	}
	for _, k := range allFaultKinds {
		if !slices.ContainsFunc(list, func(p faultPair) bool { return p.a == k || p.b == k }) {
			t.Errorf("no pair has %q", k)
		}
	}
	for i, p := range list {
		t.Run(fmt.Sprintf("%s %s %s", p.a, p.timing, p.b), func(t *testing.T) {
			t.Parallel()
			var w *world
			synctest.Test(t, func(t *testing.T) {
				w = newWorld(uint64(i%7+1), nil)
				w.script = p.script()
				w.play(16, 110*sec, 400*sec)
			})
			w.check(t)
			if len(w.events[string(p.a)]) == 0 || len(w.events[string(p.b)]) == 0 {
				t.Error("one of the two faults was not injected")
			}
		})
	}
}
