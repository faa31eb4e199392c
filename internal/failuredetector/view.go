package failuredetector

import "time"

// Machine is the input of Evaluate for one machine. Only machines that have sent a
// heartbeat, or whose leases have expired, are evaluated.
type Machine struct {
	Zone    int           // from 0
	Silence time.Duration // since its latest heartbeat, or since the controller could receive any if that is later
	Expired bool          // silent until its worker's lease expired, and not reported as removed by the cloud
}

// State is the availability of a machine for new tasks.
type State uint8

// States of a machine.
const (
	Healthy     State = iota
	Suspect           // gets no new tasks; its capacity is expected to return
	Unreachable       // gets no new tasks; its capacity may be replaced
)

// View is the result of evaluating all machines of a controller.
type View struct {
	States           []State // of the machines, in the order given
	UnreachableZones []bool  // by zone: nearly all of its machines are silent, but most others are not
	// Inconclusive means that nearly all machines of all zones are silent. It is
	// more likely that the controller itself is isolated than that all machines
	// have failed, so all states are Healthy and no zone is unreachable. Scaling
	// out to replace the silent machines would not help: see MaxProbes.
	Inconclusive bool
}

const (
	// correlatedFailureRatio is the fraction of the machines of a zone, or of all
	// machines, that must be silent to count as a correlated failure. It is below 1
	// because a few heartbeats may have arrived just before the failure.
	correlatedFailureRatio = 0.85
	// minCorrelatedFailure is the minimum number of machines for a correlated failure:
	// fewer may well fail independently.
	minCorrelatedFailure = 4
)

// silenceCount counts silent machines and all machines of a group.
type silenceCount struct{ silent, total int }

func (c *silenceCount) add(silent bool) {
	c.total++
	if silent {
		c.silent++
	}
}

// isCorrelatedFailure reports whether enough machines are silent to assume a common cause.
func (c silenceCount) isCorrelatedFailure() bool {
	return c.total >= minCorrelatedFailure && float64(c.silent) >= correlatedFailureRatio*float64(c.total)
}

// isMinority reports whether fewer than half of the machines are silent.
func (c silenceCount) isMinority() bool { return 2*c.silent < c.total }

// Evaluate classifies the machines of a controller. Their zones are numbered from 0 to
// zones-1.
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
		// If the other zones are becoming silent too, the view is about to become
		// inconclusive, and the failure is not specific to this zone.
		v.UnreachableZones[zone] = count.isCorrelatedFailure() && others.isMinority()
	}
	for i, m := range machines {
		v.States[i] = t.stateOf(m, v.UnreachableZones[m.Zone])
	}
	return v
}

// isSilent reports whether the machine has missed a heartbeat or its lease has expired.
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

// machinesPerProbe is the number of silent machines for each additional probe machine.
const machinesPerProbe = 64

// MaxProbes returns how many replacement machines a controller with an inconclusive view
// may have booting. A heartbeat from one of them implies that the silent machines have
// failed, and the view becomes conclusive.
func MaxProbes(machines int) int { return 1 + machines/machinesPerProbe }
