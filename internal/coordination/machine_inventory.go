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

// What the cloud's list says of a machine; it has further values that don't
// matter here.
const (
	machineStarting = "starting"
	machineFailed   = "failed"
)

// cloudMachine is a machine that the cloud or its worker reported.
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
	granted          bool // some shard has had it
}

// isFree reports whether a machine that no shard has may be granted: it is up,
// empty, and the cloud has not announced to take it back.
func (m *cloudMachine) isFree(now time.Time, workerTimeout time.Duration) bool {
	silent := m.lastHeartbeat.IsZero() || now.Sub(m.lastHeartbeat) > workerTimeout
	return !silent && !m.hasTasks && !m.reclaimAnnounced
}

// receiveHeartbeat applies a heartbeat of a machine that no shard has.
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

// addStarting adds a machine that the cloud has just promised.
func (l *leadership) addStarting(id string, kind machineKind, now time.Time) {
	if l.machines[id] == nil {
		l.machines[id] = &cloudMachine{id: id, kind: kind, status: machineStarting, requestedAt: now}
	}
}

// forget removes a machine that is released or no longer exists. It is kept in
// mind that it was: late heartbeats and lists may still show it.
func (l *leadership) forget(id string) {
	l.released[id] = true
	delete(l.machines, id)
	l.removeBooting(func(booting *bootingMachine) bool { return booting.id == id })
}

// freeMachines lists, by name, the machines that may be granted, and notes which
// machines a shard has and since when the others are free.
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

// machineList is the cloud's whole list as it was requested at some time.
type machineList struct {
	machines    map[string]protocol.ListedMachine
	requestedAt time.Time
	// A list may be up to twice the lag old: one requested that much after a
	// machine was known to exist describes a later time, and lacks it only if it
	// no longer exists.
	maxAge time.Duration
}

// listMachines reads the cloud's whole list and compares it with what is known.
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

// readMachineList reads all pages of the cloud's list, by machine ID.
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

// addListedMachines takes over what a list says of each machine.
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

// addUnlistedGranted adds granted machines that a list lacks though it describes
// a later time than their grants. A machine was up when it was granted, so these
// no longer exist. This spares a new leader, and with it a new holder, the wait
// for the worker's lease.
func (n *Node) addUnlistedGranted(leadership *leadership, list machineList, now time.Time) {
	// The grants' times are those of other controllers' clocks.
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
				firstListedAt: now.Add(-time.Hour), // longer ago than any list describes
				granted:       true,
			}
		}
	}
}

// findRemoved finds the machines that the list shows as failed, or that no
// longer exist. Those that a shard has are reported to its holder; others that
// no longer exist are forgotten.
func (l *leadership) findRemoved(list machineList, shardOfMachine map[string]int) {
	l.failed = map[string]bool{}
	for id, machine := range l.machines {
		removed := list.showsRemoved(machine)
		_, granted := shardOfMachine[id]
		if removed && !granted {
			l.forget(id)
		} else if granted && (removed || machine.status == machineFailed) {
			l.failed[id] = true
		}
	}
}

// showsRemoved reports whether the list proves that a machine no longer exists.
func (list *machineList) showsRemoved(machine *cloudMachine) bool {
	if _, listed := list.machines[machine.id]; listed || machine.firstListedAt.IsZero() {
		return false
	}
	return list.requestedAt.Sub(machine.firstListedAt) > list.maxAge
}
