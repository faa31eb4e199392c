package failuredetector

import (
	"math/rand/v2"
	"time"
)

var testTiming = Timing{HeartbeatInterval: 5 * time.Second}

// never is later than the end of any test.
const never = time.Duration(1 << 62)

// fleet simulates the machines of a deployment. Each sends heartbeats at the protocol's
// interval until it fails.
type fleet struct {
	rnd           *rand.Rand
	zoneCount     int
	zones         []int
	lastHeartbeat []time.Duration
	nextHeartbeat []time.Duration
	failsAt       []time.Duration
}

func newFleet(seed uint64, zones, machines int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), zoneCount: zones}
	for i := range machines {
		f.zones = append(f.zones, i%zones)
		f.lastHeartbeat = append(f.lastHeartbeat, 0)
		f.nextHeartbeat = append(f.nextHeartbeat, f.interval())
		f.failsAt = append(f.failsAt, never)
	}
	return f
}

// interval draws the time from one heartbeat to the next.
func (f *fleet) interval() time.Duration {
	return time.Duration((0.75 + f.rnd.Float64()/2) * float64(testTiming.HeartbeatInterval))
}

// machinesAt returns the machines as a controller sees them. now must not decrease.
func (f *fleet) machinesAt(now time.Duration) []Machine {
	out := make([]Machine, len(f.zones))
	for i := range out {
		for f.nextHeartbeat[i] <= min(now, f.failsAt[i]) {
			f.lastHeartbeat[i] = f.nextHeartbeat[i]
			f.nextHeartbeat[i] += f.interval()
		}
		silence := now - f.lastHeartbeat[i]
		out[i] = Machine{Zone: f.zones[i], Silence: silence, Expired: silence > 6*testTiming.HeartbeatInterval}
	}
	return out
}

// failure is a kind of failure that a test injects.
type failure int

const (
	noFailure failure = iota
	singleFailures
	zoneFailure
	totalFailure
	failureKinds
)

func (k failure) String() string {
	return [...]string{"none", "single machines", "zone", "all machines"}[k]
}

// noZone is the zone of failures that do not affect a whole zone.
const noZone = -1

// inject makes machines fail at or after the given time, and returns the zone that fails
// entirely, or noZone.
func (f *fleet) inject(kind failure, from time.Duration, rnd *rand.Rand) (zone int) {
	zone = noZone
	switch kind {
	case singleFailures: // about a third, independently
		for i := range f.failsAt {
			if rnd.IntN(3) == 0 && i%minCorrelatedFailure != 0 {
				f.failsAt[i] = from + time.Duration(rnd.IntN(20))*time.Second
			}
		}
	case zoneFailure:
		zone = rnd.IntN(f.zoneCount)
		for i := range f.failsAt {
			if f.zones[i] == zone {
				f.failsAt[i] = from
			}
		}
	case totalFailure:
		for i := range f.failsAt {
			f.failsAt[i] = from
		}
	}
	return zone
}
