package coordination

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
)

const (
	// cloudRateFraction is the part of the cloud's rate limit that is used: the
	// rest is a margin, so that no call is refused.
	cloudRateFraction = 0.9
	// cloudPollInterval is how often it is checked whether a call is due.
	cloudPollInterval = 100 * time.Millisecond
	// minListInterval is the least time between two requests of the list.
	minListInterval = time.Second
	// listRetryDelay and releaseRetryDelay are how long failed calls wait
	// before they are repeated.
	listRetryDelay    = time.Second
	releaseRetryDelay = 500 * time.Millisecond
	// returnedMaxIdle is how long a machine that a holder returned is kept for
	// another shard: the holder has waited already.
	returnedMaxIdle = 4 * statusInterval
	// bootTimeoutFactor is after how many times its type's boot time a machine
	// that has never sent a heartbeat is released.
	bootTimeoutFactor = 4
)

// cloudErrorLog bounds the log during an outage of the cloud.
var cloudErrorLog = rate.Sometimes{First: 5, Interval: 10 * time.Second}

// cloudCall is a call to the cloud, which also applies the outcome.
type cloudCall func(context.Context)

// cloudLoop makes the leader's calls to the cloud, one after the other.
func (n *Node) cloudLoop(ctx context.Context) {
	budget := rate.NewLimiter(rate.Limit(n.settings.Deployment.Cloud.RPS*cloudRateFraction), 1)
	for ctx.Err() == nil {
		call := n.readyCloudCall()
		if call == nil {
			sleep(ctx, cloudPollInterval)
			continue
		}
		if budget.Wait(ctx) == nil {
			call(ctx)
		}
	}
}

// readyCloudCall returns the call to make now; nil if there is none or this
// controller doesn't lead.
func (n *Node) readyCloudCall() cloudCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership == nil || !n.holdsLease(n.now()) {
		return nil
	}
	return n.nextCloudCall(n.leadership, n.now())
}

// nextCloudCall selects the next call to the cloud, scale-out first; nil if
// there is none.
func (n *Node) nextCloudCall(leadership *leadership, now time.Time) cloudCall {
	if n.records.MachineTypes == nil || now.Sub(leadership.catalogReadAt) > catalogReadInterval {
		leadership.catalogReadAt = now
		return n.readCatalog
	}
	for _, booting := range leadership.booting {
		if booting.id == "" && !booting.callInFlight {
			return n.scaleOutCall(leadership, booting, now)
		}
	}
	if names := n.machinesToRelease(leadership, now); len(names) > 0 {
		return func(ctx context.Context) { n.releaseMachines(ctx, leadership, names) }
	}
	listLag := config.Seconds(n.settings.Deployment.Cloud.ListLagS)
	if now.Sub(leadership.listedAt) > max(listLag, minListInterval) {
		return func(ctx context.Context) { n.listMachines(ctx, leadership, now) }
	}
	return nil
}

// machinesToRelease lists machines that no shard needs, and those that failed.
func (n *Node) machinesToRelease(leadership *leadership, now time.Time) []string {
	if !leadership.isReady(now) {
		return nil
	}
	var names []string
	for id, machine := range leadership.machines {
		if _, granted := n.records.ShardOfMachine[id]; granted {
			continue
		}
		if leadership.cordoned[id] || n.shouldRelease(machine, now) {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), protocol.MaxMachinesPerRelease)]
}

// shouldRelease reports whether a machine that no shard has is of no use: it failed,
// doesn't report, runs tasks of nobody, or nobody has wanted it for too long.
func (n *Node) shouldRelease(machine *cloudMachine, now time.Time) bool {
	if machine.status == machineFailed || machine.hasTasks {
		return true
	}
	if machine.lastHeartbeat.IsZero() {
		if now.Sub(machine.requestedAt) > bootTimeoutFactor*n.bootTime(machine.kind.MachineType) {
			return true
		}
	} else if now.Sub(machine.lastHeartbeat) > n.timing.WorkerTimeout {
		return true
	}
	maxIdle := returnedMaxIdle
	if !machine.granted {
		maxIdle = n.maxIdleTime(machine.kind)
	}
	return !machine.unassignedSince.IsZero() && now.Sub(machine.unassignedSince) > maxIdle
}

// releaseMachines returns machines to the cloud.
func (n *Node) releaseMachines(ctx context.Context, leadership *leadership, names []string) {
	err := n.cloud.Release(ctx, names)
	slog.Info("machines released", "machines", names, "err", err)
	if err != nil {
		sleep(ctx, releaseRetryDelay)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range names {
		leadership.forget(id)
	}
}
