package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// scaleOutRetryDelay is how long a scale-out call that was not answered
	// waits before it is repeated.
	scaleOutRetryDelay = time.Second
	// noCapacityDelay is how long a kind of machine that the cloud has none of
	// is not requested again.
	noCapacityDelay = 15 * time.Second
	// maxBootTimes is after how many times its type's boot time a machine is
	// not counted on any longer.
	maxBootTimes = 3
)

// bootingMachine is a machine that boots for a shard, or that is to be
// requested for it. It is removed once it is granted, has failed or is late.
//
// Holders send the leader what they lack at every status, so a request must not
// be queued twice: a status names the version of what boots for the shard that
// its plan took into account, and receiveStatus drops it if that has changed.
type bootingMachine struct {
	kind         machineKind
	shard        int
	id           string // empty until the cloud has answered
	requestID    string
	since        time.Time
	batchSize    int
	callInFlight bool
	requested    bool // sent at least once: it may have been carried out
}

// requestMachines queues a scale-out, in requests of at most what the cloud
// accepts.
func (l *leadership) requestMachines(shard int, request machineRequest, now time.Time) {
	if request.Count <= 0 || now.Before(l.noCapacityUntil[request.Kind]) {
		return
	}
	slog.Info("scale-out requested", "shard", shard, "machine_type", request.Kind.MachineType, "zone", request.Kind.Zone, "spot", request.Kind.Spot, "count", request.Count)
	for request.Count > 0 {
		count := min(request.Count, protocol.MaxMachinesPerRequest)
		request.Count -= count
		requestID := l.nextRequestID()
		for range count {
			l.booting = append(l.booting, &bootingMachine{
				kind:      request.Kind,
				shard:     shard,
				requestID: requestID,
				since:     now,
				batchSize: count,
			})
		}
	}
	l.bootingVersions[shard]++
}

// nextRequestID returns an ID for a request to the cloud. The leader's key has
// another revision under each leader, so no ID is ever used twice.
func (l *leadership) nextRequestID() string {
	l.requestCount++
	return fmt.Sprintf("r-%d-%d", l.revision, l.requestCount)
}

// bootingVersion counts the changes of what boots for a shard; it starts from
// the leader key's revision, so that versions of two leaders never match.
func (l *leadership) bootingVersion(shard int) uint64 {
	return l.revision<<16 + l.bootingVersions[shard]
}

// addListedBooting adds a machine that boots though this leader has not
// requested it: an earlier leader has, or a call that was given up. Nobody knows
// for which shard, so they are spread over all.
func (l *leadership) addListedBooting(machine *cloudMachine, shardCount int, now time.Time) {
	shard := len(l.booting) % shardCount
	l.booting = append(l.booting, &bootingMachine{kind: machine.kind, shard: shard, id: machine.id, since: now})
	l.bootingVersions[shard]++
}

// removeBooting removes matching machines from those that boot.
func (l *leadership) removeBooting(matches func(machine *bootingMachine) bool) {
	l.booting = slices.DeleteFunc(l.booting, func(machine *bootingMachine) bool {
		if matches(machine) {
			l.bootingVersions[machine.shard]++
			return true
		}
		return false
	})
}

// removeGranted removes machines that are granted: they have booted.
func (l *leadership) removeGranted(machines []grantedMachine) {
	granted := map[string]bool{}
	for _, machine := range machines {
		granted[machine.id] = true
	}
	l.removeBooting(func(booting *bootingMachine) bool { return granted[booting.id] })
}

// removeFailedBooting removes the first machine that failed while it booted.
func (l *leadership) removeFailedBooting() {
	for _, booting := range l.booting {
		machine := l.machines[booting.id]
		if machine != nil && machine.status == machineFailed {
			l.removeBooting(func(other *bootingMachine) bool { return other == booting })
			return
		}
	}
}

// removeLateBooting removes machines that are late to boot: they are not
// counted on any longer.
func (l *leadership) removeLateBooting(now time.Time, bootTime func(machineType string) time.Duration) {
	l.removeBooting(func(booting *bootingMachine) bool {
		return booting.id != "" && now.Sub(booting.since) > maxBootTimes*bootTime(booting.kind.MachineType)
	})
}

// scaleOutCall returns the call that requests all booting machines of first's
// request.
//
// The request stays the same until it is answered: the cloud carries out one
// request ID once. The count is that of the first attempt.
func (n *Node) scaleOutCall(leadership *leadership, first *bootingMachine, now time.Time) func(context.Context) {
	var batch []*bootingMachine
	for _, machine := range leadership.booting {
		if machine.requestID == first.requestID {
			machine.callInFlight, machine.requested = true, true
			batch = append(batch, machine)
		}
	}
	request := protocol.MachineRequest{
		RequestID:   first.requestID,
		MachineType: first.kind.MachineType,
		Zone:        first.kind.Zone,
		Spot:        first.kind.Spot,
		Count:       first.batchSize,
	}
	return func(ctx context.Context) {
		names, err := n.cloud.RequestMachines(ctx, request)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil && !errors.Is(err, ErrNoCapacity) {
			cloudErrorLog.Do(func() { slog.Warn("scale-out call failed", "request_id", request.RequestID, "err", err) })
			n.retryScaleOut(batch)
			return
		}
		leadership.receiveMachines(request, batch, names, n.now())
		n.wakeLoops()
	}
}

// retryScaleOut lets a request be sent again after a while.
func (n *Node) retryScaleOut(batch []*bootingMachine) {
	time.AfterFunc(scaleOutRetryDelay, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, machine := range batch {
			machine.callInFlight = false
		}
	})
}

// receiveMachines applies the cloud's answer to a request: the names of the
// machines that boot, fewer than requested if it has no more of the kind.
func (l *leadership) receiveMachines(request protocol.MachineRequest, batch []*bootingMachine, names []string, now time.Time) {
	kind := machineKind{request.MachineType, request.Zone, request.Spot}
	incomplete := len(names) < len(batch)
	if incomplete {
		l.noCapacityUntil[kind] = now.Add(noCapacityDelay)
		slog.Info("scale-out incomplete", "machine_type", request.MachineType, "zone", request.Zone, "spot", request.Spot, "received", len(names), "requested", request.Count)
	}
	for i, machine := range batch {
		machine.callInFlight = false
		if i < len(names) {
			machine.id, machine.since = names[i], now
			l.addStarting(machine.id, machine.kind, now)
		}
	}
	// A kind that the cloud has none of is not requested over and over while
	// requests for other machines wait.
	l.removeBooting(func(machine *bootingMachine) bool {
		if machine.id != "" {
			return false
		}
		return machine.requestID == request.RequestID || incomplete && !machine.requested && machine.kind == kind
	})
}
