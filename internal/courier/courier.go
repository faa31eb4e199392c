// Package courier decides to which workers orders are sent straight away, and
// which wait for the worker's next report. It is pure: the caller tells it the
// time and what came of what was sent.
//
// A message costs a connection and processor time of a controller that has a
// share of one processor, and its reports come first. So messages have a budget
// that shrinks as the processor fills up, the most urgent orders that gain most
// go first, and when answers stay away, as behind a cut, they are all but given
// up until one comes.
package courier

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Errand is a worker for which orders wait.
type Errand struct {
	Worker int           // the caller's number
	Rank   int           // the most urgent of its orders; 0 comes first
	Orders int           // how many
	Since  time.Duration // since the worker's newest report
	Halts  bool          // some stop work: what is to run in its place waits for them
}

// Rules are what does not change while a controller runs.
type Rules struct {
	Report time.Duration // workers report this often, give or take a quarter
	Rate   float64       // messages a second, at most
	Most   int           // under way at once, at most
}

// messageCost is the processor time of one message with its answer, as measured
// on the users' bench, and part the part of its share that a controller may
// spend on messages.
const (
	messageCost = 350 * time.Microsecond
	part        = 0.2
)

// RulesFor derives rules from what a controller has.
func RulesFor(report time.Duration, cpuShare float64, sockets int) Rules {
	if cpuShare <= 0 {
		cpuShare = 1
	}
	r := Rules{Report: report, Rate: cpuShare * part / messageCost.Seconds(), Most: 64}
	if sockets > 0 {
		r.Most = max(1, min(r.Most, sockets/24))
	}
	return r
}

// Wait is how long orders would wait for the worker's next report, on average.
func (r Rules) Wait(since time.Duration) time.Duration {
	early, late := r.Report*3/4, r.Report*5/4
	switch {
	case since < early:
		return r.Report - since
	case since < late:
		return (late - since) / 2
	}
	return 0 // overdue: it may be away, and a message would not find it either
}

// worth is the least that a message has to save.
const worth = 250 * time.Millisecond

// Desk keeps the budget.
type Desk struct {
	rules  Rules
	budget *rate.Limiter
	flying int
	silent int // messages in a row without an answer
	probed time.Time
}

// NewDesk returns a desk with a full budget.
func NewDesk(r Rules) *Desk {
	return &Desk{rules: r, budget: rate.NewLimiter(rate.Limit(r.Rate), max(1, int(2*r.Rate)))}
}

const (
	// Beyond this part of its processor share a controller sends only what is
	// most urgent, and beyond the other nothing.
	busy, full = 0.7, 0.9
	// So many messages in a row without an answer, and only one at a time goes
	// out, every probeEvery.
	mostSilent = 8
	probeEvery = time.Second
)

// Pick chooses the errands that are done now, the most urgent first, and
// charges the budget. load is the part of its processor share that the
// controller uses. Every errand chosen must be told of once with Done.
func (d *Desk) Pick(list []Errand, load float64, now time.Time) []Errand {
	if load > full {
		return nil
	}
	room := d.rules.Most - d.flying
	if d.silent >= mostSilent {
		if d.flying > 0 || now.Sub(d.probed) < probeEvery {
			return nil
		}
		room, d.probed = 1, now
	}
	slices.SortStableFunc(list, func(a, b Errand) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), -cmp.Compare(d.gain(a), d.gain(b)))
	})
	var out []Errand
	for _, e := range list {
		if len(out) >= room {
			break
		}
		if d.rules.Wait(e.Since) < worth || load > busy && e.Rank > 0 {
			continue
		}
		if !d.budget.AllowN(now, 1) {
			break
		}
		out = append(out, e)
	}
	d.flying += len(out)
	return out
}

// gain is what a message saves, over all its orders.
func (d *Desk) gain(e Errand) time.Duration {
	g := d.rules.Wait(e.Since) * time.Duration(max(1, e.Orders))
	if e.Halts {
		g *= 2
	}
	return g
}

// Done tells that a message is not under way any more, and whether it was
// answered.
func (d *Desk) Done(answered bool) {
	d.flying--
	if answered {
		d.silent = 0
	} else {
		d.silent++
	}
}

// Rules are what the desk was made with.
func (d *Desk) Rules() Rules { return d.rules }

// Flying is how many messages are under way.
func (d *Desk) Flying() int { return d.flying }

// Hold is how long a worker that has not answered so many messages in a row
// gets none: its reports carry its orders meanwhile. spread, from 0 to 1, keeps
// workers that fell silent together from being tried together.
func (r Rules) Hold(failed int, spread float64) time.Duration {
	d := r.Report << min(failed, 5)
	return d + time.Duration(spread*float64(d)/2)
}
