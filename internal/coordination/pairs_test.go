package coordination

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// usual is a fault of a kind with what it mostly takes.
func usual(k kindOf, at, lasts time.Duration) fault {
	f := fault{at: at, kind: k, lasts: lasts, count: 3, share: 0.4, who: theLeader}
	switch k {
	case ends, noWorkers, zoneInside:
		f.who = theBusiest
	case stands:
		f.lasts = min(lasts, 12*sec)
	case hangs:
		f.hang = 10 * sec
	case cancelNow:
		f.hang = 8 * sec
	case taken:
		f.lasts = 10 * sec
	case handOver:
		f.count = 4
	}
	return f
}

// pair is two kinds of faults and how they meet.
type pair struct {
	a, b kindOf
	how  string
}

// meet is the pair's script.
func (p pair) script() []fault {
	const at, lasts = 40 * sec, 25 * sec
	b := at // together
	switch p.how {
	case "overlaps":
		b = at + lasts/2
	case "is followed within a second by":
		b = at + lasts + 600*time.Millisecond
	}
	return append(cancels(2, 0, at+5*sec, b+3*sec), usual(p.a, at, lasts), usual(p.b, b, lasts))
}

// pairs lists every pair of kinds, a kind with itself too, in every way to meet.
func pairs() []pair {
	var list []pair
	for i, a := range allKinds {
		for _, b := range allKinds[i:] {
			for k, how := range []string{"overlaps", "begins together with", "is followed within a second by"} {
				p := pair{a, b, how}
				if (i+k)%2 == 1 {
					p.a, p.b = b, a
				}
				list = append(list, p)
			}
		}
	}
	return list
}

// ciPairs is how many of the pairs CI plays: one in so many, so that every kind
// meets several others; -all plays all.
const ciPairs = 13

// No rule breaks when two kinds of faults meet, whichever and however.
func TestPairs(t *testing.T) {
	list := pairs()
	if !*all {
		var some []pair
		for i := 0; i < len(list); i += ciPairs {
			some = append(some, list[i])
		}
		list = some
	}
	for _, k := range allKinds {
		if !slices.ContainsFunc(list, func(p pair) bool { return p.a == k || p.b == k }) {
			t.Errorf("no pair has %q", k)
		}
	}
	for i, p := range list {
		t.Run(fmt.Sprintf("%s %s %s", p.a, p.how, p.b), func(t *testing.T) {
			t.Parallel()
			var w *world
			synctest.Test(t, func(t *testing.T) {
				w = newWorld(uint64(i%7+1), nil)
				w.script = p.script()
				w.play(16, 110*sec, 400*sec)
			})
			w.check(t)
			if len(w.notes[string(p.a)]) == 0 || len(w.notes[string(p.b)]) == 0 {
				t.Error("one of the two did not begin")
			}
		})
	}
}
