package coordination

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

// Statuses of machines in the cloud's list. Its other values don't matter here.
const (
	machineStarting = "starting"
	machineFailed   = "failed"
)

// cloudMachine is a machine known from the cloud or from its worker's
// heartbeats.
type cloudMachine struct {
	id               string
	kind             machineKind
	status           string
	requestedAt      time.Time // approximately
	firstListedAt    time.Time // when a list first showed it
	lastHeartbeat    time.Time
	reclaimAnnounced bool
	hasTasks         bool // its heartbeat lists tasks that have not ended
	unassignedSince  time.Time
	granted          bool // has been granted to some shard
}

// isFree reports whether a machine that no shard has may be granted: it is up
// and empty, and the cloud has not announced that it will reclaim it.
func (m *cloudMachine) isFree(now time.Time, workerTimeout time.Duration) bool {
	silent := m.lastHeartbeat.IsZero() || now.Sub(m.lastHeartbeat) > workerTimeout
	return !silent && !m.hasTasks && !m.reclaimAnnounced
}

// receiveHeartbeat applies a heartbeat of a machine that is granted to no
// shard.
func (l *leadership) receiveHeartbeat(report *protocol.Heartbeat, now time.Time) {
	if l.released[report.Machine] {
		return
	}
	machine := l.machines[report.Machine]
	if machine == nil {
		machine = &cloudMachine{
			id:          report.Machine,
			kind:        machineKind{report.MachineType, report.Zone, report.Spot},
			requestedAt: now,
		}
		l.machines[report.Machine] = machine
	}
	machine.lastHeartbeat = now
	machine.reclaimAnnounced = report.InterruptionSeconds != nil
	machine.hasTasks = slices.ContainsFunc(report.Tasks, func(task protocol.TaskStatus) bool {
		return task.State != protocol.Exited
	})
}

// addStarting adds a machine that the cloud has just agreed to start.
func (l *leadership) addStarting(id string, kind machineKind, now time.Time) {
	if l.machines[id] == nil {
		l.machines[id] = &cloudMachine{id: id, kind: kind, status: machineStarting, requestedAt: now}
	}
}

// dropMachine removes a machine that is released or no longer exists. Its ID is
// kept in released, since late heartbeats and lists may still contain it.
func (l *leadership) dropMachine(id string) {
	l.released[id] = true
	delete(l.machines, id)
	l.removeBooting(func(booting *bootingMachine) bool { return booting.id == id })
}

// freeMachines lists the machines that may be granted, sorted by ID, and
// records which machines a shard has and since when the others have been
// unassigned.
func (l *leadership) freeMachines(shardOfMachine map[string]int, now time.Time, workerTimeout time.Duration) []*cloudMachine {
	var free []*cloudMachine
	for id, machine := range l.machines {
		if _, ok := shardOfMachine[id]; ok {
			machine.granted, machine.unassignedSince = true, time.Time{}
			continue
		}
		if !machine.isFree(now, workerTimeout) || l.cordoned[id] || l.released[id] {
			continue
		}
		if machine.unassignedSince.IsZero() {
			machine.unassignedSince = now
		}
		free = append(free, machine)
	}
	slices.SortFunc(free, func(a, b *cloudMachine) int { return cmp.Compare(a.id, b.id) })
	return free
}

// machineList is the cloud's complete list as requested at some time.
type machineList struct {
	machines    map[string]protocol.ListedMachine
	requestedAt time.Time
	// A list may describe a time up to twice the lag ago. If it was requested
	// longer than maxAge after a machine was known to exist, and lacks the
	// machine, the machine no longer exists.
	maxAge time.Duration
}

// listMachines reads the cloud's complete list and updates the inventory from
// it.
func (n *Node) listMachines(ctx context.Context, leadership *leadership, requestedAt time.Time) {
	machines, err := n.readMachineList(ctx)
	if err != nil {
		cloudErrorLog.Do(func() { slog.Warn("machine list read failed", "err", err) })
		sleep(ctx, listRetryDelay)
		return
	}
	lag := config.Seconds(n.settings.Deployment.Cloud.ListLagS)
	list := machineList{machines: machines, requestedAt: requestedAt, maxAge: 2*lag + time.Second}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.addListedMachines(leadership, list, now)
	n.addUnlistedGranted(leadership, list, now)
	leadership.findRemoved(list, n.records.ShardOfMachine)
	leadership.removeFailedBooting()
	leadership.removeLateBooting(now, n.bootTime)
	leadership.listedAt = requestedAt
	n.wakeLoops()
}

// readMachineList reads all pages of the cloud's list, and returns it by
// machine ID.
func (n *Node) readMachineList(ctx context.Context) (map[string]protocol.ListedMachine, error) {
	machines := map[string]protocol.ListedMachine{}
	since := ""
	for {
		page, err := n.cloud.List(ctx, since)
		if err != nil {
			return nil, err
		}
		for _, m := range page.Machines {
			machines[m.ID] = m
			since = m.ID
		}
		if !page.HasNext || len(page.Machines) == 0 {
			return machines, nil
		}
	}
}

// addListedMachines updates the inventory from the machines on a list.
func (n *Node) addListedMachines(leadership *leadership, list machineList, now time.Time) {
	for id, listed := range list.machines {
		if leadership.released[id] {
			continue
		}
		machine := leadership.machines[id]
		if machine == nil {
			machine = &cloudMachine{
				id:          id,
				kind:        machineKind{listed.MachineType, listed.Zone, listed.Spot},
				requestedAt: list.requestedAt.Add(-config.Seconds(listed.AgeSeconds)),
			}
			leadership.machines[id] = machine
			if _, granted := n.records.ShardOfMachine[id]; !granted && listed.Status == machineStarting {
				leadership.addListedBooting(machine, n.operator.Shards, now)
			}
		}
		machine.status = listed.Status
		if machine.firstListedAt.IsZero() {
			machine.firstListedAt = now
		}
	}
}

// addUnlistedGranted adds granted machines that are missing from a list
// although it describes a later time than their grants. A machine was up when
// it was granted, so these no longer exist. A new leader, and with it a new holder,
// therefore need not wait for the worker's lease to expire.
func (n *Node) addUnlistedGranted(leadership *leadership, list machineList, now time.Time) {
	// Grant times come from other controllers' clocks.
	maxClockError := 2 * int64(n.settings.Deployment.ClockErrorMS)
	minAgeMS := list.maxAge.Milliseconds() + maxClockError
	for _, grant := range n.records.Grants {
		for _, lease := range grant.Value.Machines {
			ageMS := list.requestedAt.UnixMilli() - 1000*lease.GrantedAt
			if _, listed := list.machines[lease.Machine]; listed || lease.GrantedAt == 0 || ageMS <= minAgeMS {
				continue
			}
			if leadership.machines[lease.Machine] != nil {
				continue
			}
			leadership.machines[lease.Machine] = &cloudMachine{
				id:            lease.Machine,
				kind:          machineKind{lease.MachineType, lease.Zone, lease.Spot},
				requestedAt:   now,
				firstListedAt: now.Add(-time.Hour), // before any time that a list may describe
				granted:       true,
			}
		}
	}
}

// findRemoved finds machines that the list marks as failed, or that no longer
// exist. Those that a shard has are reported to its holder; others that no
// longer exist are removed.
func (l *leadership) findRemoved(list machineList, shardOfMachine map[string]int) {
	l.failed = map[string]bool{}
	for id, machine := range l.machines {
		removed := list.confirmsRemoval(machine)
		_, granted := shardOfMachine[id]
		if removed && !granted {
			l.dropMachine(id)
		} else if granted && (removed || machine.status == machineFailed) {
			l.failed[id] = true
		}
	}
}

// confirmsRemoval reports whether the list proves that a machine no longer exists.
func (list *machineList) confirmsRemoval(machine *cloudMachine) bool {
	if _, listed := list.machines[machine.id]; listed || machine.firstListedAt.IsZero() {
		return false
	}
	return list.requestedAt.Sub(machine.firstListedAt) > list.maxAge
}
