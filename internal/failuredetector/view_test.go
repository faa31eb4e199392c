package failuredetector

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In random deployments with independent failures, the loss of a zone or the loss of all
// heartbeats, each failure is detected in time and there are no false positives.
func TestEvaluateTellsFailuresApart(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		zones := 1 + rnd.IntN(3)
		f := newFleet(seed, zones, zones*(minCorrelatedFailure+rnd.IntN(60)))
		from := 20 * time.Second
		kind := failure(rnd.IntN(int(failureKinds)))
		failedZone := f.inject(kind, from, rnd)
		inconclusive := kind == totalFailure || kind == zoneFailure && zones == 1
		for now := time.Duration(0); now < 100*time.Second; now += 250 * time.Millisecond {
			machines := f.machinesAt(now)
			v := testTiming.Evaluate(zones, machines)
			// Includes the longest interval between two heartbeats.
			recognized := now > from+testTiming.SuspectAfter()+testTiming.HeartbeatInterval*5/4
			if v.Inconclusive != inconclusive && (recognized || !inconclusive) {
				t.Fatalf("seed %d, failure of %v: inconclusive %v at %v", seed, kind, v.Inconclusive, now)
			}
			for zone, unreachable := range v.UnreachableZones {
				want := zone == failedZone && !inconclusive
				// Before the view becomes inconclusive, a zone may appear unreachable.
				if unreachable != want && (recognized || unreachable && !inconclusive) {
					t.Fatalf("seed %d, failure of %v: zone %d unreachable %v at %v", seed, kind, zone, unreachable, now)
				}
			}
			for i, m := range machines {
				failed := now > f.failsAt[i]
				switch state := v.States[i]; {
				case inconclusive && recognized && state != Healthy, state != Healthy && !failed:
					t.Fatalf("seed %d, failure of %v: machine %d, silent for %v, has state %d at %v", seed, kind, i, m.Silence, state, now)
				case !inconclusive && state == Healthy && now > f.failsAt[i]+testTiming.SuspectAfter():
					t.Fatalf("seed %d, failure of %v: machine %d is considered healthy at %v, failed at %v", seed, kind, i, now, f.failsAt[i])
				}
			}
		}
	}
}
