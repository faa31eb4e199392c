package coordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"reedtrack/internal/transport"
)

const (
	// loopPeriod is how often a loop runs without being woken: often enough for time-based
	// changes, such as the end of a lease.
	loopPeriod = 250 * time.Millisecond
	// wakeBatchDelay is how long a woken loop waits for more events of the same burst,
	// such as the heartbeats of many workers.
	wakeBatchDelay = 20 * time.Millisecond
	// pauseToRuntimeRatio is the ratio of a loop's pause to its preceding run time: a loop
	// runs for at most a tenth of the time. On a limited CPU share it would otherwise
	// delay the answers to workers.
	pauseToRuntimeRatio = 9
	// maxLoopPause bounds that pause, so that one slow run does not stall the loop.
	// pauseThreshold depends on it.
	maxLoopPause = 2 * loopPeriod
	// fullPlansPerHeartbeat is how many full plans are made per heartbeat interval of the
	// workers. Plans take effect with heartbeats, so more plans would change nothing.
	fullPlansPerHeartbeat = 4
)

// loops returns the loops of the controller, all of which run concurrently. Loops with a
// wake channel also run when it is signalled.
func (n *Node) loops() []func(context.Context) {
	loops := []func(context.Context){
		n.leaseLoop,     // keeps the lease at the store; runs when the session's next step is due
		n.replica.Run,   // replicates the records; watches the store continuously
		n.readIndex.Run, // confirms that the replica is recent; runs when user requests wait for it
		n.cloudLoop,     // calls the cloud, as the leader; ten times a second, within the cloud's rate limit

		wakeableLoop(n.wake.plan, n.planTick),               // plans the shards; every loopPeriod
		wakeableLoop(n.wake.write, n.writeTick),             // writes the shards' records; every loopPeriod
		wakeableLoop(n.wake.leader, n.leaderTick),           // participates in leader election, writes grants as the leader; every loopPeriod
		wakeableLoop(n.wake.dependencies, n.dependencyTick), // reads job results, cancels dependent jobs; every loopPeriod
		n.delegationLoop, // writes delegations and acknowledgements, concurrently; every loopPeriod
	}
	if n.latency != nil {
		loops = append(loops, n.logLatencyLoop) // logs summaries; five times per LatencyLogInterval
	}
	for name, peer := range n.peers {
		// Exchanges statuses with one peer; every statusInterval.
		loops = append(loops, func(ctx context.Context) { n.statusExchangeLoop(ctx, name, peer) })
	}
	return loops
}

// Run runs the controller's loops until ctx is done.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range n.loops() {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// wakeChannels holds the channels that wake the loops before their next period, see
// signal.
type wakeChannels struct {
	plan         chan struct{}
	write        chan struct{}
	leader       chan struct{}
	dependencies chan struct{}
	delegations  chan struct{}
	lease        chan struct{}
}

// newWakeChannels returns channels with a buffer of one signal each: a loop that is woken
// several times before it runs needs to run only once.
func newWakeChannels() wakeChannels {
	return wakeChannels{
		plan:         make(chan struct{}, 1),
		write:        make(chan struct{}, 1),
		leader:       make(chan struct{}, 1),
		dependencies: make(chan struct{}, 1),
		delegations:  make(chan struct{}, 1),
		lease:        make(chan struct{}, 1),
	}
}

// wakeLoops wakes the loops that plan, write, delegate and lead.
func (n *Node) wakeLoops() {
	signal(n.wake.plan)
	signal(n.wake.write)
	signal(n.wake.delegations)
	signal(n.wake.leader)
}

// signal wakes the loop that reads the channel, unless a signal is already pending.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// wakeableLoop returns a loop that calls tick when woken, and at the latest after
// loopPeriod and the pause that follows the previous call. tick returns how long it used
// the CPU.
func wakeableLoop(wake <-chan struct{}, tick func(context.Context) time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-wake:
				sleep(ctx, wakeBatchDelay)
			case <-time.After(loopPeriod):
			}
			sleep(ctx, min(pauseToRuntimeRatio*tick(ctx), maxLoopPause))
		}
	}
}

// sleep waits for a duration, or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return // a timer of zero duration crashes the race detector in simulated time
	}
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// planTick plans all shards and sends the resulting direct messages to the workers. It
// returns how long planning took.
func (n *Node) planTick(ctx context.Context) time.Duration {
	took, planned := n.planShards()
	if planned {
		n.sendDirectMessages()
	}
	return took
}

// planShards plans all shards if this controller holds its lease and is not isolated from
// the workers.
func (n *Node) planShards() (took time.Duration, planned bool) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordLeaseChange(now)
	if !n.holdsLease(now) {
		n.failureDetector.pause()
		return 0, false
	}
	if n.stepDownIfIsolated(now) {
		return 0, false
	}
	start := time.Now()
	n.cpuMeter.update(now, n.cpuTime(), n.cpuShare())
	n.syncShards()
	n.resolveDependencies()
	n.updateWithinGuarantee()
	input := n.newPlanInput(now)
	n.detectFailures(input, now)
	n.updateDelegations(now)
	full := now.Sub(n.lastFullPlan) >= input.heartbeatInterval/fullPlansPerHeartbeat
	if full {
		n.lastFullPlan = now
	}
	for _, s := range n.shards {
		n.planShard(s, input, full, now)
	}
	clear(n.removedMachines)
	transport.RetainedAttempts.Set(float64(n.countRetainedAttempts()))
	return time.Since(start), true
}

// planShard updates the state of a shard's machines and plans its tasks.
func (n *Node) planShard(s *shard, input *planInput, full bool, now time.Time) {
	s.dirty = false
	n.markRemovedMachines(s)
	n.refreshDelegatedMachines(s, now)
	s.expireSilentMachines(now, n.timing.WorkerTimeout)
	if full {
		s.detectSlowMachines(now)
	}
	n.limitToFairShares(s)
	s.plan(input, full, now)
	s.scaleIn(input, now, n.timing.WorkerTimeout, n.maxIdleTime)
	for _, m := range s.machines {
		if m.cordoned || m.slow {
			n.cordonedMachines[m.lease.Machine] = true
		}
	}
}

// markRemovedMachines marks the machines of a shard that the leader reported as removed by
// the cloud; their tasks are lost.
func (n *Node) markRemovedMachines(s *shard) {
	for id := range n.removedMachines {
		if m := s.machines[id]; m != nil && !m.removed {
			slog.Info("machine removed by the cloud", "machine", id)
			s.markLost(m)
			m.removed = true
		}
	}
}

// cpuShare returns the CPU share that this process may use, in cores.
func (n *Node) cpuShare() float64 {
	if share := n.settings.Deployment.Limits.CPUShare; share > 0 {
		return share
	}
	return 1
}

// recordLeaseChange logs when this controller acquires or loses its lease, and the reason
// for a loss.
func (n *Node) recordLeaseChange(now time.Time) {
	state := n.leaseState(now)
	holdsLease := state == leaseHeld
	if holdsLease == n.session.loggedHoldsLease {
		return
	}
	n.session.loggedHoldsLease = holdsLease
	if holdsLease {
		slog.Info("lease acquired", "shards", len(n.shards))
		n.heartbeatProxy.wakeWaitingHeartbeats()
		return
	}
	slog.Warn("lease lost: no valid session, or no answer from the key-value store", "shards", len(n.shards), "reason", string(state),
		"since_renewal_s", now.Sub(n.session.own.RenewalSentAt()).Seconds(), "records_age_s", now.Sub(n.records.SyncedAt).Seconds())
}

// writeTick writes the records of this controller's shards. It returns 0 because it spends
// its time waiting for the store rather than using the CPU, so no pause is needed.
func (n *Node) writeTick(ctx context.Context) time.Duration {
	n.mu.Lock()
	holdsLease := n.holdsLease(n.now())
	n.mu.Unlock()
	if !holdsLease {
		return 0
	}
	n.advanceSchema(ctx)
	n.writeJobs(ctx)
	n.writeGrants(ctx)
	n.writeShardFences(ctx)
	n.migrateJobs(ctx)
	n.deleteStaleChunks(ctx)
	return 0
}
