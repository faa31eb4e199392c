package coordination

import (
	"slices"
	"time"

	"reedtrack/internal/storage"
)

// machineAssigner selects the shards to which free machines are granted.
type machineAssigner struct {
	builder      *grantBuilder
	statuses     []*ShardStatus // by shard; nil: none received
	requestedFor map[string]int // shard for which a booted machine was requested, by machine
	grantedCount map[int]int    // machines granted so far, by shard
}

// grantMachines grants machines that are up and belong to no shard to the
// shard for which they were requested, or to one whose pending tasks need such
// a machine.
func (n *Node) grantMachines(builder *grantBuilder, statuses []*ShardStatus, token uint64, now time.Time) []grantedMachine {
	assigner := machineAssigner{
		builder:      builder,
		statuses:     statuses,
		requestedFor: map[string]int{},
		grantedCount: map[int]int{},
	}
	for _, booting := range n.leadership.booting {
		if booting.id != "" {
			assigner.requestedFor[booting.id] = booting.shard
		}
	}
	var granted []grantedMachine
	for _, machine := range n.leadership.freeMachines(n.records.ShardOfMachine, now, n.timing.WorkerTimeout) {
		shard, ok := assigner.selectShard(machine)
		if !ok {
			continue
		}
		assigner.grantedCount[shard]++
		builder.addMachine(shard, storage.MachineLease{
			Machine:      machine.id,
			MachineType:  machine.kind.MachineType,
			Zone:         machine.kind.Zone,
			Spot:         machine.kind.Spot,
			FencingToken: token,
			GrantedAt:    now.Add(time.Second - 1).Unix(), // rounded up
		})
		granted = append(granted, grantedMachine{id: machine.id, shard: shard})
	}
	return granted
}

// selectShard selects the shard to which a machine is granted: the one for
// which it was requested, otherwise the one that has been granted the fewest
// machines so far.
func (a *machineAssigner) selectShard(machine *cloudMachine) (shard int, ok bool) {
	if shard, ok := a.requestedFor[machine.id]; ok && (a.isSuitable(shard, machine) || a.requestsMachines(shard, machine)) {
		return shard, true
	}
	shard = -1
	for i := range a.statuses {
		if a.isSuitable(i, machine) && (shard < 0 || a.grantedCount[i] < a.grantedCount[shard]) {
			shard = i
		}
	}
	return shard, shard >= 0
}

// isSuitable reports whether pending tasks of a shard need a machine of this
// kind.
func (a *machineAssigner) isSuitable(shard int, machine *cloudMachine) bool {
	status := a.statuses[shard]
	return status != nil && slices.Contains(status.SuitableKinds, machine.kind) && a.builder.acceptsMachine(shard, machine)
}

// requestsMachines reports whether a shard still requests machines of any
// kind. If not, its tasks have been placed elsewhere since, and a machine
// requested for them may serve other shards.
func (a *machineAssigner) requestsMachines(shard int, machine *cloudMachine) bool {
	status := a.statuses[shard]
	return status != nil && len(status.ScaleOut) > 0 && a.builder.acceptsMachine(shard, machine)
}
