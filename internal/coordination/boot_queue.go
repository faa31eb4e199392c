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
	// scaleOutRetryDelay is the delay before an unanswered scale-out call is
	// retried.
	scaleOutRetryDelay = time.Second
	// noCapacityDelay is the delay before a kind of machine is requested again
	// after the cloud had no capacity for it.
	noCapacityDelay = 15 * time.Second
	// maxBootTimeFactor bounds how long a machine may boot, as a multiple of
	// its type's boot time; after that it is no longer expected.
	maxBootTimeFactor = 3
)

// bootingMachine is a machine that is booting for a shard, or that is queued to
// be requested for it. It is removed once it is granted, has failed or is
// overdue.
//
// Holders repeat their shortage in every status, so the same request must not be
// queued twice: a status carries the version of the shard's list of booting
// machines that its plan was based on, and receiveStatus drops the request if
// the list has changed since.
type bootingMachine struct {
	kind         machineKind
	shard        int
	id           string // empty until the cloud has responded
	requestID    string
	since        time.Time
	batchSize    int
	callInFlight bool
	requested    bool // sent at least once, so the cloud may have executed it
}

// requestMachines queues a scale-out, split into requests of at most
// [protocol.MaxMachinesPerRequest] machines.
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

// nextRequestID returns a unique ID for a request to the cloud. It contains the
// revision of the leader key, which differs between leaders, so IDs are never
// reused.
func (l *leadership) nextRequestID() string {
	l.requestCount++
	return fmt.Sprintf("r-%d-%d", l.revision, l.requestCount)
}

// bootingVersion returns the version of a shard's list of booting machines, which
// increases with every change. It starts from the leader key's revision, so that
// versions of two leaders never match.
func (l *leadership) bootingVersion(shard int) uint64 {
	return l.revision<<16 + l.bootingVersions[shard]
}

// addListedBooting adds a booting machine that this leader has no request for:
// an earlier leader requested it, or a call that was abandoned. The shard that it
// was requested for is unknown, so such machines are distributed over all shards.
func (l *leadership) addListedBooting(machine *cloudMachine, shardCount int, now time.Time) {
	shard := len(l.booting) % shardCount
	l.booting = append(l.booting, &bootingMachine{kind: machine.kind, shard: shard, id: machine.id, since: now})
	l.bootingVersions[shard]++
}

// removeBooting removes matching machines from the booting machines.
func (l *leadership) removeBooting(matches func(machine *bootingMachine) bool) {
	l.booting = slices.DeleteFunc(l.booting, func(machine *bootingMachine) bool {
		if matches(machine) {
			l.bootingVersions[machine.shard]++
			return true
		}
		return false
	})
}

// removeGranted removes granted machines from the booting machines.
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

// removeLateBooting removes machines whose boot is overdue: they are no longer
// expected.
func (l *leadership) removeLateBooting(now time.Time, bootTime func(machineType string) time.Duration) {
	l.removeBooting(func(booting *bootingMachine) bool {
		return booting.id != "" && now.Sub(booting.since) > maxBootTimeFactor*bootTime(booting.kind.MachineType)
	})
}

// scaleOutCall returns the call that requests all booting machines that share
// first's request ID.
//
// Retries send the same request, with the count of the first attempt, until it
// is answered: the cloud executes each request ID only once.
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

// retryScaleOut allows a request to be sent again after scaleOutRetryDelay.
func (n *Node) retryScaleOut(batch []*bootingMachine) {
	time.AfterFunc(scaleOutRetryDelay, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, machine := range batch {
			machine.callInFlight = false
		}
	})
}

// receiveMachines applies the cloud's response to a request: the names of the
// booting machines, fewer than requested if the cloud has run out of capacity of
// the kind.
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
	// Queued requests for a kind without capacity are dropped, so that they don't
	// delay requests for other machines.
	l.removeBooting(func(machine *bootingMachine) bool {
		if machine.id != "" {
			return false
		}
		return machine.requestID == request.RequestID || incomplete && !machine.requested && machine.kind == kind
	})
}
