package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	testLimits = Limits{HeartbeatInterval: 5 * time.Second, MessagesPerSecond: 20, MaxInFlight: 10}
	testTime   = time.Unix(1e9, 0)
)

// randomTargets draws up to 39 targets.
func randomTargets(rnd *rand.Rand) []Target {
	var list []Target
	for i := range rnd.IntN(40) {
		list = append(list, Target{
			Worker:         i,
			Rank:           rnd.IntN(4),
			Commands:       1 + rnd.IntN(9),
			SinceHeartbeat: time.Duration(rnd.IntN(7000)) * time.Millisecond,
			Stops:          rnd.IntN(4) == 0,
		})
	}
	return list
}

// The selection from random targets matches a simple check of all targets, stays within
// the budget, and bounds the messages in flight.
func TestSelectTakesMostUrgentWithinBudget(t *testing.T) {
	const rounds, interval = 40, 100 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		limiter := NewLimiter(testLimits)
		now := testTime
		sent, inFlight := 0, 0
		for range rounds {
			targets := randomTargets(rnd)
			load := rnd.Float64()
			selected := limiter.Select(slices.Clone(targets), load, now)
			inFlight += len(selected)
			sent += len(selected)
			if inFlight > testLimits.MaxInFlight || limiter.InFlight() != inFlight {
				t.Fatalf("%d in flight, the limiter reports %d", inFlight, limiter.InFlight())
			}
			checkSelected(t, targets, selected, load)
			for ; inFlight > 0 && rnd.IntN(3) > 0; inFlight-- {
				limiter.RecordResult(true)
			}
			now = now.Add(interval)
		}
		// The budget accrued over all rounds, and the burst.
		if bound := int(testLimits.MessagesPerSecond * ((rounds * interval).Seconds() + burstSeconds)); sent > bound {
			t.Fatalf("%d messages, at most %d", sent, bound)
		}
	}
}

// checkSelected checks that only worthwhile targets were selected, and none
// before a more urgent one.
func checkSelected(t *testing.T, targets, selected []Target, load float64) {
	t.Helper()
	const noRank = 9
	mostUrgentLeft := noRank
	for _, target := range targets {
		if testLimits.ExpectedWait(target.SinceHeartbeat) < minSaving || load > busyLoad && target.Rank > 0 || load > fullLoad {
			if slices.Contains(selected, target) {
				t.Fatalf("%+v selected at load %g", target, load)
			}
		} else if !slices.Contains(selected, target) {
			mostUrgentLeft = min(mostUrgentLeft, target.Rank)
		}
	}
	for _, target := range selected {
		if target.Rank > mostUrgentLeft {
			t.Fatalf("%+v selected before one of rank %d", target, mostUrgentLeft)
		}
	}
}

// Without responses only occasional probes are sent, until one is answered.
func TestMessagesAreGivenUpWithoutResponses(t *testing.T) {
	limiter := NewLimiter(testLimits)
	now := testTime
	const workers = 10
	targets := func() []Target {
		var list []Target
		for i := range workers {
			list = append(list, Target{Worker: i, Commands: 1})
		}
		return list
	}
	for range limiter.Select(targets(), 0, now) {
		limiter.RecordResult(false)
	}
	attempts := 0
	for range 100 { // ten seconds
		now = now.Add(100 * time.Millisecond)
		for range limiter.Select(targets(), 0, now) {
			attempts++
			limiter.RecordResult(false)
		}
	}
	if attempts < 8 || attempts > 10 {
		t.Errorf("%d attempts in ten seconds without a response", attempts)
	}
	now = now.Add(time.Second)
	limiter.Select(targets(), 0, now)
	limiter.RecordResult(true)
	if got := len(limiter.Select(targets(), 0, now)); got != workers {
		t.Errorf("%d selected after a response", got)
	}
}
