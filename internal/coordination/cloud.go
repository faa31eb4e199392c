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
	// cloudRateFraction is the fraction of the cloud's rate limit that is
	// used; the rest is a margin, so that no call is refused.
	cloudRateFraction = 0.9
	// cloudPollInterval is how often to check whether a call is due.
	cloudPollInterval = 100 * time.Millisecond
	// minListInterval is the minimum time between two list requests.
	minListInterval = time.Second
	// listRetryDelay and releaseRetryDelay are the delays before a failed call
	// is repeated.
	listRetryDelay    = time.Second
	releaseRetryDelay = 500 * time.Millisecond
	// returnedMaxIdle is how long a machine that a holder returned is kept for
	// another shard. It is short because the holder has already waited before
	// returning it.
	returnedMaxIdle = 4 * statusInterval
	// bootTimeoutFactor times the boot time of its type is how long a machine
	// may take to send its first heartbeat before it is released.
	bootTimeoutFactor = 4
)

// cloudErrorLog limits logging during a cloud outage.
var cloudErrorLog = rate.Sometimes{First: 5, Interval: 10 * time.Second}

// cloudCall is a call to the cloud that also applies its result.
type cloudCall func(context.Context)

// cloudLoop makes the leader's calls to the cloud, one at a time.
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
// controller is not the leader.
func (n *Node) readyCloudCall() cloudCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership == nil || !n.holdsLease(n.now()) {
		return nil
	}
	return n.nextCloudCall(n.leadership, n.now())
}

// nextCloudCall selects the next call to the cloud: a catalog read that is
// due, then scale-out, release and list, in this order. It returns nil if
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
	if ids := n.machinesToRelease(leadership, now); len(ids) > 0 {
		return func(ctx context.Context) { n.releaseMachines(ctx, leadership, ids) }
	}
	listLag := config.Seconds(n.settings.Deployment.Cloud.ListLagS)
	if now.Sub(leadership.listedAt) > max(listLag, minListInterval) {
		return func(ctx context.Context) { n.listMachines(ctx, leadership, now) }
	}
	return nil
}

// machinesToRelease lists machines granted to no shard that are cordoned or
// should be released, at most as many as one call may release.
func (n *Node) machinesToRelease(leadership *leadership, now time.Time) []string {
	if !leadership.isReady(now) {
		return nil
	}
	var ids []string
	for id, machine := range leadership.machines {
		if _, granted := n.records.ShardOfMachine[id]; granted {
			continue
		}
		if leadership.cordoned[id] || n.shouldRelease(machine, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), protocol.MaxMachinesPerRelease)]
}

// shouldRelease reports whether a machine granted to no shard should be
// released: it failed, sends no heartbeats, runs tasks although no shard has
// it, or has been unassigned for too long.
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
func (n *Node) releaseMachines(ctx context.Context, leadership *leadership, ids []string) {
	err := n.cloud.Release(ctx, ids)
	slog.Info("machines released", "machines", ids, "err", err)
	if err != nil {
		sleep(ctx, releaseRetryDelay)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		leadership.dropMachine(id)
	}
}
