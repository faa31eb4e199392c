package coordination

import (
	"testing"
	"time"

	"reedtrack/internal/clusterstate"
	"reedtrack/internal/storage"
)

// stepsDownWithin reports whether a controller steps down within a period in which it
// receives no heartbeats.
func (n *Node) stepsDownWithin(silence time.Duration, now time.Time) bool {
	const step = 500 * time.Millisecond // interval of the loop that detects failures
	steppedDown := n.stepDownIfIsolated(now)
	for end := now.Add(silence); now.Before(end) && !steppedDown; {
		now = now.Add(step)
		steppedDown = n.stepDownIfIsolated(now)
	}
	return steppedDown
}

// Guards against a holder that steps down during a partition between zones because the few
// machines on its side are silent for a moment: its jobs would then make no progress until
// the partition ends. It still steps down if the silence lasts, or if many machines should
// report to it.
func TestFewSilentMachinesAmongDelegated(t *testing.T) {
	const machinesPerZone = 4
	for _, c := range []struct {
		name      string
		delegated int // of the eight machines
		silence   time.Duration
		stepsDown bool
	}{
		{"a lost heartbeat of two machines", 6, 9 * time.Second, false},
		{"two machines silent for long", 6, 13 * time.Second, true},
		{"four machines silent", 4, 5 * time.Second, true},
		{"all machines delegated", 8, 5 * time.Second, true},
		{"none delegated", 0, 5 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, s, _, report := newDetectionShard(machinesPerZone)
			now := time.Now()
			n.records.Controllers["n1"] = clusterstate.Entry[storage.Controller]{}
			n.records.Controllers["n2"] = clusterstate.Entry[storage.Controller]{}
			names := append(machineNames(0, machinesPerZone), machineNames(1, machinesPerZone)...)
			report(now, names...)
			delegated := map[string]bool{}
			for _, name := range names[len(names)-c.delegated:] {
				delegated[name] = true
			}
			n.records.DelegatedMachines[s.index] = delegated
			if steppedDown := n.stepsDownWithin(c.silence, now); steppedDown != c.stepsDown {
				t.Errorf("stepped down: %v, want %v", steppedDown, c.stepsDown)
			}
		})
	}
}

// Guards against a new holder that steps down during a partition between zones because the
// machines that a heartbeat proxy answers have never reported to it: the few that should
// report to it may be silent by coincidence. It still steps down if they stay silent, or
// are many.
func TestNewHolderWithDelegatedMachines(t *testing.T) {
	const machinesPerZone = 4
	for _, c := range []struct {
		name      string
		delegated int // out of eight machines, none of which has reported
		granted   int // number of the others that have just been granted
		silence   time.Duration
		stepsDown bool
	}{
		{"two silent", 6, 0, 9 * time.Second, false},
		{"two silent for long", 6, 0, 13 * time.Second, true},
		{"four silent", 4, 0, 9 * time.Second, true},
		{"three silent, one just granted", 4, 1, 6 * time.Second, false},
		{"all delegated", 8, 0, 9 * time.Second, true},
		{"none delegated", 0, 0, 9 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, s, _, _ := newDetectionShard(machinesPerZone)
			now := time.Now()
			n.records.Controllers["n1"] = clusterstate.Entry[storage.Controller]{}
			n.records.Controllers["n2"] = clusterstate.Entry[storage.Controller]{}
			names := append(machineNames(0, machinesPerZone), machineNames(1, machinesPerZone)...)
			for _, name := range names[:c.granted] {
				s.machines[name].grantedAt = now.Add(c.silence)
			}
			delegated := map[string]bool{}
			for _, name := range names[len(names)-c.delegated:] {
				delegated[name] = true
			}
			n.records.DelegatedMachines[s.index] = delegated
			if steppedDown := n.stepsDownWithin(c.silence, now); steppedDown != c.stepsDown {
				t.Errorf("stepped down: %v, want %v", steppedDown, c.stepsDown)
			}
		})
	}
}
