package failuredetector

import "time"

// Machine is the silence of a machine. Only machines that have sent a heartbeat,
// or whose leases have expired, are evaluated.
type Machine struct {
	Zone    int           // from 0
	Silence time.Duration // since its newest heartbeat, or since the controller could receive any if that is later
	Expired bool          // silent until its worker's lease expired, and not known to be gone for good
}

// State is what a machine is worth for new work.
type State uint8

// States of a machine.
const (
	Healthy     State = iota
	Suspect           // gets no new tasks; its capacity is waited for
	Unreachable       // gets no new tasks; its capacity is not waited for
)

// View is what the silence of all machines of a controller amounts to.
type View struct {
	States           []State // of the machines, in the order given
	UnreachableZones []bool  // by zone: nearly all of its machines are silent, while others are heard
	// Inconclusive means that nearly all machines of all zones are silent. More
	// likely than all of them the controller itself is cut off, so all states are
	// Healthy, and no zone is unreachable. Scaling out to replace what is silent
	// would not help: see MaxProbes.
	Inconclusive bool
}

const (
	// correlatedFailureRatio is the part of the machines of a zone, or of all, that must
	// be silent to count as a common loss. Below 1, since a few heartbeats may
	// have arrived just before the loss.
	correlatedFailureRatio = 0.85
	// minCorrelatedFailure is the number of machines below which silence is not taken for
	// a common loss: so few may well fail independently.
	minCorrelatedFailure = 4
)

// silenceCount counts machines, and those of them that are silent.
type silenceCount struct{ silent, total int }

func (c *silenceCount) add(silent bool) {
	c.total++
	if silent {
		c.silent++
	}
}

// isCorrelatedFailure reports whether so many are silent that they have a common cause.
func (c silenceCount) isCorrelatedFailure() bool {
	return c.total >= minCorrelatedFailure && float64(c.silent) >= correlatedFailureRatio*float64(c.total)
}

// isMinority reports whether less than half are silent.
func (c silenceCount) isMinority() bool { return 2*c.silent < c.total }

// Evaluate returns the view of a controller on its machines. Their zones are
// numbered from 0 to zones-1.
func (t Timing) Evaluate(zones int, machines []Machine) View {
	v := View{States: make([]State, len(machines)), UnreachableZones: make([]bool, zones)}
	byZone := make([]silenceCount, zones)
	var all silenceCount
	for _, m := range machines {
		silent := t.isSilent(m)
		byZone[m.Zone].add(silent)
		all.add(silent)
	}
	if all.isCorrelatedFailure() {
		v.Inconclusive = true
		return v
	}
	for zone, count := range byZone {
		others := silenceCount{silent: all.silent - count.silent, total: all.total - count.total}
		// While the others fall silent too, the view is on its way to being
		// inconclusive, and the zone is not the cause.
		v.UnreachableZones[zone] = count.isCorrelatedFailure() && others.isMinority()
	}
	for i, m := range machines {
		v.States[i] = t.stateOf(m, v.UnreachableZones[m.Zone])
	}
	return v
}

// isSilent reports whether a machine has missed a heartbeat.
func (t Timing) isSilent(m Machine) bool { return m.Expired || m.Silence > t.SuspectAfter() }

func (t Timing) stateOf(m Machine, zoneUnreachable bool) State {
	switch {
	case !t.isSilent(m):
		return Healthy
	case m.Expired, zoneUnreachable, m.Silence > t.UnreachableAfter():
		return Unreachable
	default:
		return Suspect
	}
}

// machinesPerProbe relates probes to the machines that they could replace.
const machinesPerProbe = 64

// MaxProbes returns how many new machines a controller with an inconclusive view
// may have booting in place of those that are silent. If one of them is heard,
// the silent ones were lost, and the view becomes conclusive.
func MaxProbes(machines int) int { return 1 + machines/machinesPerProbe }
