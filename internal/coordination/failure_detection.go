package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/failuredetector"
)

// failureDetector decides what the silence of workers means: which machines are
// suspect, which zones are unreachable, and whether this controller is itself
// isolated.
type failureDetector struct {
	timing           failuredetector.Timing
	isolation        *failuredetector.IsolationDetector
	zoneIndex        nameIndex // numbers of the zones, from 1
	listeningSince   time.Time // heartbeats could be received since then: the lease was held, and the process not paused
	checkedAt        time.Time // when failures were last detected
	unreachableZones map[string]bool
	observations     []failuredetector.Machine // reused between calls
	observedMachines []*machine
}

// newFailureDetector returns a detector for workers that send a heartbeat per
// interval.
func newFailureDetector(heartbeatInterval time.Duration) failureDetector {
	timing := failuredetector.Timing{HeartbeatInterval: heartbeatInterval}
	return failureDetector{
		timing:           timing,
		isolation:        failuredetector.NewIsolationDetector(timing),
		zoneIndex:        nameIndex{"": 0}, // 0: a machine whose zone has no number yet
		unreachableZones: map[string]bool{},
	}
}

// pause records that this controller does not hold its lease: workers are sent
// elsewhere, and their silence meanwhile means nothing.
func (d *failureDetector) pause() {
	d.isolation.Pause()
	d.listeningSince = time.Time{}
}

// pauseThreshold is the time between two checks from which on the process must
// have been paused or starved of processor time: plans are made at least every
// 0.75 s (loopPeriod and maxLoopPause), and this is twice that. Heartbeats sent
// meanwhile wait in its sockets.
const pauseThreshold = 2 * (loopPeriod + maxLoopPause)

// detectFailures evaluates all machines of this controller's shards together,
// and notes which are healthy and which zones are unreachable.
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

// observe adds a machine to those that are evaluated, unless nothing can follow
// from its silence: the cloud has removed it, or it has never reported here.
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

// stepDownIfIsolated gives up this controller's session if no worker reaches it
// any more while another controller could serve them: otherwise the workers'
// leases would expire and they would drop all that they run.
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
	overdue       int // of neverReported, those that should have by now
	delegated     int // of all, those that a heartbeat proxy hears instead
	expected      int // of all others, those that should report here
}

// countReporting counts the machines of all shards that the cloud has not
// removed.
func (n *Node) countReporting(now time.Time) reportingCounts {
	var counts reportingCounts
	patience := n.failureDetector.timing.SuspectAfter()
	for _, s := range n.shards {
		settled := now.Sub(s.acquiredAt) > patience
		for _, m := range s.machines {
			if m.removed {
				continue
			}
			switch {
			case m.hasReported():
				counts.reporting++
			case settled:
				counts.neverReported++
				counts.overdue++
			default:
				counts.neverReported++
			}
			switch {
			case n.records.DelegatedMachines[s.index][m.lease.Machine]:
				counts.delegated++
			case m.hasReported() || now.Sub(m.grantedAt) > patience:
				counts.expected++
			}
		}
	}
	return counts
}

// tasksOnReclaimedMachines lists the tasks that will have to start again
// because the cloud reclaims their machine before they can end. What fits on
// present machines is left out: for the rest, machines are requested while they
// can still boot during the notice.
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
			spaces = append(spaces, &freeSpace{m, m.freeCapacity()})
		}
	}
	return excludeFitting(unplaced, spaces)
}
