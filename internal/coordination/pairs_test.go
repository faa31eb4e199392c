package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/dispatch"
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
func (p pair) meet() []fault {
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
				w.script = p.meet()
				w.play(16, 110*sec, 400*sec)
			})
			w.check(t)
			if len(w.notes[string(p.a)]) == 0 || len(w.notes[string(p.b)]) == 0 {
				t.Error("one of the two did not begin")
			}
		})
	}
}

// A guard that is taken out is found by a meeting that it is for.
func TestMeetingsNotice(t *testing.T) {
	soon := func(n *Node) { n.timing.WorkerGone = 3 * sec }
	for _, c := range []struct {
		guard, rule, meeting string
		tweak                func(n *Node)
		out                  takenOut
	}{
		{"a holder stops acting when its lease or its copy is too old", "ran_", "jobs are cancelled at the very moment at which",
			func(n *Node) { n.timing.Act = time.Hour }, takenOut{}},
		{"a silent machine's tasks are there until its worker's lease is over", "ran_twice", "a leader ends while machines with long tasks", soon, takenOut{}},
		{"what may run unreported counts against limits until then", "quota", "every team is at its limit", soon, takenOut{}},
		{"an old report tells nothing new", "", "an old report arrives after newer ones", nil, takenOut{order: true}},
		{"only a report that knows the new term settles a machine", "", "an old report reaches every controller", nil, takenOut{order: true, term: true}},
		{"what a report without the new term lacks may be there", "", "a report is held back until a new leader has acted", nil, takenOut{order: true, term: true}},
		{"transactions hold only if what they change is as it was read", "", "a transaction without an answer is carried out late", nil, takenOut{conditions: true}},
		{"a direct start without an answer binds its task", "ran_twice", "a command or its answer is held up", nil, takenOut{binding: true}},
		{"a start that is held up for minutes binds its task", "ran_twice", "a start is held up for minutes", nil, takenOut{binding: true}},
		{"nothing of the former holder's is absent before the lease is over", "ran_twice", "the former holder's command arrives before", soon, takenOut{}},
		{"an attempt of which a copy may come is not forgotten", "", "a late start meets an attempt that has ended", func(n *Node) { n.guards = dispatch.WithoutMemory }, takenOut{}},
		{"a halt of an attempt that may be unknown goes out after its start", "ran_cancelled", "a late start lands after a confirmed cancellation", func(n *Node) { n.guards = dispatch.WithoutStartHalt }, takenOut{}},
	} {
		t.Run(c.guard, func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(meetings, func(m meeting) bool { return strings.HasPrefix(m.name, c.meeting) })
			// Some seeds at a time: one that notices ends the search.
			const batch = 4
			for from := uint64(1); from <= 40; from += batch {
				var noticed [batch]string
				t.Run(fmt.Sprint("from seed ", from), func(t *testing.T) {
					for k := range noticed {
						t.Run(fmt.Sprint(from+uint64(k)), func(t *testing.T) {
							t.Parallel()
							w := meetings[i].play(t, from+uint64(k), c.tweak, c.out)
							b := slices.IndexFunc(w.broken, func(b string) bool { return strings.HasPrefix(b, c.rule) && !strings.HasPrefix(b, "never over") })
							if b >= 0 {
								noticed[k] = w.broken[b]
							}
						})
					}
				})
				if k := slices.IndexFunc(noticed[:], func(s string) bool { return s != "" }); k >= 0 {
					t.Logf("seed %d: %s", from+uint64(k), noticed[k])
					return
				}
			}
			t.Errorf("left out, and %q does not notice", meetings[i].name)
		})
	}
}
