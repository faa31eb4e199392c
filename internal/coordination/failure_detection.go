package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/failuredetector"
)

// failureDetector derives from missing heartbeats which machines are suspect, which zones
// are unreachable, and whether this controller is itself isolated.
type failureDetector struct {
	timing           failuredetector.Timing
	isolation        *failuredetector.IsolationDetector
	zoneIndex        nameIndex // zone numbers, starting at 1
	listeningSince   time.Time // since when heartbeats could be received without interruption: the lease was held, and the process was not paused
	checkedAt        time.Time // time of the last call to detectFailures
	unreachableZones map[string]bool
	observations     []failuredetector.Machine // reused between calls to avoid allocations
	observedMachines []*machine
}

// newFailureDetector returns a detector for workers that send one heartbeat per interval.
func newFailureDetector(heartbeatInterval time.Duration) failureDetector {
	timing := failuredetector.Timing{HeartbeatInterval: heartbeatInterval}
	return failureDetector{
		timing:           timing,
		isolation:        failuredetector.NewIsolationDetector(timing),
		zoneIndex:        nameIndex{"": 0}, // 0: machine whose zone has no number yet
		unreachableZones: map[string]bool{},
	}
}

// pause records that this controller does not hold its lease. Workers are redirected
// while it does not, so their silence is not evaluated.
func (d *failureDetector) pause() {
	d.isolation.Pause()
	d.listeningSince = time.Time{}
}

// pauseThreshold is the time between two checks above which the process must have been
// paused or starved of CPU time. Planning runs at least every 0.75 s (loopPeriod and
// maxLoopPause); the threshold is twice that. Heartbeats sent during the pause are still
// queued in the process's sockets.
const pauseThreshold = 2 * (loopPeriod + maxLoopPause)

// detectFailures evaluates all machines of this controller's shards together, and records
// each machine's health and which zones are unreachable.
func (n *Node) detectFailures(input *planInput, now time.Time) {
	detector := &n.failureDetector
	if detector.listeningSince.IsZero() || now.Sub(detector.checkedAt) > pauseThreshold {
		detector.listeningSince = now
	}
	detector.checkedAt = now
	detector.observations = detector.observations[:0]
	detector.observedMachines = detector.observedMachines[:0]
	for _, s := range n.shards {
		for _, m := range s.machines {
			detector.observe(m, now)
		}
	}
	verdict := detector.timing.Evaluate(len(detector.zoneIndex), detector.observations)
	for k, m := range detector.observedMachines {
		m.health = verdict.States[k]
	}
	for zone, number := range detector.zoneIndex {
		if verdict.UnreachableZones[number] != detector.unreachableZones[zone] {
			slog.Warn("zone reachability changed", "zone", zone, "unreachable", verdict.UnreachableZones[number])
			detector.unreachableZones[zone] = verdict.UnreachableZones[number]
		}
	}
	input.unreachableZones, input.isolated = detector.unreachableZones, verdict.Inconclusive
}

// observe adds a machine to the evaluated ones. It skips machines whose silence has no
// meaning: those that the cloud has removed or that have never reported to this
// controller.
func (d *failureDetector) observe(m *machine, now time.Time) {
	if m.removed || !m.hasReported() && !m.isExpired() {
		return
	}
	if m.zoneIndex == 0 {
		m.zoneIndex = d.zoneIndex.indexOf(m.lease.Zone)
	}
	lastHeartbeat := m.lastHeartbeat
	if lastHeartbeat.Before(d.listeningSince) {
		lastHeartbeat = d.listeningSince
	}
	d.observedMachines = append(d.observedMachines, m)
	d.observations = append(d.observations, failuredetector.Machine{Zone: m.zoneIndex, Silence: now.Sub(lastHeartbeat), Expired: m.isExpired()})
}

// stepDownIfIsolated ends this controller's session if no worker can reach it while
// another controller could serve the workers. Otherwise the workers' leases would expire
// and they would drop all their tasks.
func (n *Node) stepDownIfIsolated(now time.Time) bool {
	detector := &n.failureDetector
	if n.session.own.IsUnanswered(now) {
		detector.isolation.TickStoreUnreachable(now)
		return false
	}
	detector.isolation.Tick(now)
	if detector.isolation.Silence() <= detector.timing.SuspectAfter() || len(n.records.Controllers) < 2 {
		return false
	}
	counts := n.countReporting(now)
	if counts.delegated > 0 && detector.isolation.MayBeCoincidence(counts.expected) {
		return false
	}
	if !detector.isolation.ShouldStepDown(counts.reporting, counts.neverReported, counts.overdue, now) {
		return false
	}
	slog.Warn("session given up: no heartbeats received", "shards", len(n.shards), "reporting_machines", counts.reporting, "delegated_machines", counts.delegated,
		"never_reported_machines", counts.neverReported, "expected_machines", counts.expected, "silence", detector.isolation.Silence())
	detector.isolation.RecordStepDown(counts.reporting > 0, now)
	n.session.own.StepDown(now.Add(detector.timing.ReopenDelay()))
	n.applySession()
	signal(n.wake.lease)
	return true
}

// reportingCounts counts the machines of this controller's shards by whether they
// have ever reported to it.
type reportingCounts struct {
	reporting     int
	neverReported int
	overdue       int // subset of neverReported that should have reported by now
	delegated     int // machines that report to a heartbeat proxy instead
	expected      int // machines that are not delegated and should report here
}

// countReporting counts the machines of all shards, except those that the cloud has
// removed.
func (n *Node) countReporting(now time.Time) reportingCounts {
	var counts reportingCounts
	gracePeriod := n.failureDetector.timing.SuspectAfter()
	for _, s := range n.shards {
		isOverdue := now.Sub(s.acquiredAt) > gracePeriod
		for _, m := range s.machines {
			if m.removed {
				continue
			}
			switch {
			case m.hasReported():
				counts.reporting++
			case isOverdue:
				counts.neverReported++
				counts.overdue++
			default:
				counts.neverReported++
			}
			switch {
			case n.records.DelegatedMachines[s.index][m.lease.Machine]:
				counts.delegated++
			case m.hasReported() || now.Sub(m.grantedAt) > gracePeriod:
				counts.expected++
			}
		}
	}
	return counts
}

// tasksOnReclaimedMachines returns the tasks that will have to be restarted because the
// cloud reclaims their machine before they can finish. Tasks that fit on existing machines
// are excluded. For the rest, machines are requested early enough to boot during the
// reclaim notice.
func (s *shard) tasksOnReclaimedMachines(machines []*machine, now time.Time) []unplacedTasks {
	var unplaced []unplacedTasks
	indexOf := map[*job]int{}
	for _, m := range machines {
		if m.reclaimAt.IsZero() || m.removed || m.isExpired() {
			continue
		}
		for _, r := range m.attempts {
			if r.job.ended || r.job.spec.EstimatedSeconds-r.secondsRunning(now) < m.reclaimAt.Sub(now).Seconds() {
				continue
			}
			if _, ok := indexOf[r.job]; !ok {
				indexOf[r.job] = len(unplaced)
				unplaced = append(unplaced, unplacedTasks{r.job, 0})
			}
			unplaced[indexOf[r.job]].count++
		}
	}
	if len(unplaced) == 0 {
		return nil
	}
	var spaces []*freeSpace
	for _, m := range machines {
		if m.isSchedulable() && !m.draining {
			spaces = append(spaces, &freeSpace{m, m.freeCapacity(), m.freeTaskSlots()})
		}
	}
	return excludeFitting(unplaced, spaces)
}
