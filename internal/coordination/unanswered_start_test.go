package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
)

// unansweredStart is a case of direct starts that get no answer while a partition
// separates two zones.
type unansweredStart struct {
	outcome        string
	maxDelay       time.Duration // of the starts; those delayed beyond the end never arrive
	cancelled      bool          // jobs are cancelled during the cut
	holderReplaced bool
	proxyRestarted bool
}

// ciUnansweredStartStep is the step at which CI samples the cases; -all plays all.
const ciUnansweredStartStep = 9

// unansweredStarts returns all combinations.
func unansweredStarts() (cases []unansweredStart) {
	for _, c := range []unansweredStart{
		{outcome: "carried out, answer lost", maxDelay: minCommandDelay + sec/2},
		{outcome: "late during the cut", maxDelay: 40 * sec},
		{outcome: "late, also after the cut", maxDelay: 150 * sec},
		{outcome: "lost", maxDelay: 24 * time.Hour},
	} {
		for k := range 8 {
			c.cancelled, c.holderReplaced, c.proxyRestarted = k&1 != 0, k&2 != 0, k&4 != 0
			cases = append(cases, c)
		}
	}
	return cases
}

// faults returns the faults: from 54 s on no direct start is answered, and from 60 s to
// 120 s the zones are separated.
func (c unansweredStart) faults() []fault {
	list := []fault{
		{at: 54 * sec, kind: directLate, share: 1, maxDelay: c.maxDelay, verb: protocol.VerbStart, duration: 20 * sec},
		{at: 60 * sec, kind: zonesSeparated, duration: 60 * sec},
	}
	if c.cancelled {
		list = append(list, cancelFaults(2, 0, 61*sec, 66*sec, 80*sec)...)
	}
	if c.holderReplaced {
		list = append(list, fault{at: 75 * sec, kind: controllerEnds, target: targetBusiest, duration: 6 * sec})
	}
	if c.proxyRestarted {
		list = append(list, fault{at: 90 * sec, kind: controllerEnds, target: targetNonLeaders, duration: 300 * time.Millisecond})
	}
	return list
}

// Guards against tasks lost behind a partition between zones because a direct start to their
// machine was unanswered (issue 46): they are kept, whatever the start's outcome.
func TestUnansweredStartLosesNoTaskBehindCut(t *testing.T) {
	for k, c := range unansweredStarts() {
		if k%ciUnansweredStartStep != 0 && !*all {
			continue
		}
		t.Run(fmt.Sprintf("%s, cancelled %v, holder replaced %v, proxy restarted %v", c.outcome, c.cancelled, c.holderReplaced, c.proxyRestarted), func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 40
			for seed := range uint64(maxSeeds) {
				w := c.play(t, seed)
				w.check(t)
				if lost := leaseExpiryViolation(w); lost != "" && !c.holderReplaced {
					t.Error(lost)
				}
				if t.Failed() || len(w.events["a heartbeat proxy answers under a newer token"]) > 0 {
					return
				}
			}
			t.Error("no machine was answered under a newer token")
		})
	}
}

// play simulates a case: long jobs run in both zones, and jobs with two tasks are submitted
// as the partition begins.
func (c unansweredStart) play(t *testing.T, seed uint64) *world {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(seed, nil)
		w.allowMachines(20)
		w.script = c.faults()
		w.adjustJob = func(k int, j *protocol.Job, u *user) {
			inBothZones(100)(k, j, u)
			j.Cores, j.ImageGB = 1, 1
			if k%4 < 2 {
				j.Tasks, u.submitAfter = 2, 57*sec+time.Duration(k)*sec/8
			}
		}
		w.play(20, 150*sec, 400*sec)
	})
	return w
}
