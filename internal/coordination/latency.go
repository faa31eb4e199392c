package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"reedtrack/internal/latency"
	"reedtrack/internal/placement"
)

// Latency recording. While it is disabled (s.latency is nil), each call costs one
// comparison.

// recordPlaced records how long a task waited until it was placed, by stage.
func (s *shard) recordPlaced(a *taskAttempt) {
	if s.latency == nil {
		return
	}
	now, j := time.Now(), a.job
	a.placedAt = now
	if a.key.task != j.nextTask-1 {
		return // not its first attempt
	}
	startableAt := j.receivedAt
	if j.startableAt.After(startableAt) {
		startableAt = j.startableAt
	}
	s.latency.Record(j.spec.Class, latency.Propagate, j.receivedAt.Sub(j.submittedAt))
	s.latency.Record(j.spec.Class, latency.Blocked, startableAt.Sub(j.receivedAt))
	stage := latency.AwaitCapacity
	if a.machine.grantedAt.After(startableAt) {
		stage = latency.AwaitMachine
	}
	s.latency.Record(j.spec.Class, stage, now.Sub(startableAt))
}

// recordStarted records how long the start command and the image fetch took.
func (s *shard) recordStarted(a *taskAttempt) {
	if s.latency == nil || a.placedAt.IsZero() || a.startSentAt.IsZero() {
		return
	}
	s.latency.Record(a.job.spec.Class, latency.Dispatch, a.startSentAt.Sub(a.placedAt))
	s.latency.Record(a.job.spec.Class, latency.Start, a.startedAt.Sub(a.startSentAt))
}

// recordFinished records how long a task ran.
func (s *shard) recordFinished(a *taskAttempt, now time.Time) {
	if s.latency == nil {
		return
	}
	s.latency.Record(a.job.spec.Class, latency.Run, now.Sub(a.startedAt))
	if a.job.isComplete() {
		a.job.completedAt = now
	}
}

// recordLost records the time spent on an attempt that did not complete its
// task.
func (s *shard) recordLost(a *taskAttempt) {
	if s.latency != nil && !a.placedAt.IsZero() && !a.job.done.Contains(a.key.task) {
		s.latency.Record(a.job.spec.Class, latency.LostAttempt, time.Since(a.placedAt))
	}
}

// recordConfirmed records when an unconfirmed job became startable.
func (s *shard) recordConfirmed(j *job) {
	if s.latency != nil && j.unconfirmed {
		j.startableAt = time.Now()
	}
}

// logLatencyLoop regularly logs the latency of tasks by stage since the
// controller's start and, more often, a summary of each shard.
func (n *Node) logLatencyLoop(ctx context.Context) {
	const summariesPerReport = 5
	for i := 1; ctx.Err() == nil; i++ {
		sleep(ctx, n.operator.LatencyLogInterval/summariesPerReport)
		n.mu.Lock()
		for _, index := range n.sortedShardIndexes() {
			slog.Info("shard summary", "shard", index, "summary", n.shards[index].summary())
		}
		n.mu.Unlock()
		if i%summariesPerReport == 0 {
			for _, summary := range n.latency.Summaries() {
				slog.Info("task latency", "stages", summary.String())
			}
		}
	}
}

// summary describes a shard's capacity, use and shortage in cores, and for
// each class the running and pending tasks, with those within a guarantee
// listed separately.
func (s *shard) summary() string {
	return s.capacitySummary() + s.quotaSummary() + s.classSummary()
}

// capacitySummary describes the shard's machines, in cores.
func (s *shard) capacitySummary() string {
	const largeTaskCores = 4
	var cores, used, largeFree, notReady, silent, booting float64
	for _, m := range s.machines {
		size := m.capacity[placement.Cores]
		switch {
		case m.isSchedulable():
			cores += size
			used += m.used[placement.Cores]
			if free := size - m.used[placement.Cores]; free >= largeTaskCores {
				largeFree += free
			}
		case m.isExpired():
			silent += size
		default:
			notReady += size
		}
	}
	for _, request := range s.booting {
		booting += float64(request.Count)
	}
	return fmt.Sprintf("machines=%d cores=%.0f used=%.0f wide=%.0f unready=%.0f silent=%.0f coming=%.0f settled=%v", len(s.machines), cores, used, largeFree, notReady, silent, booting, s.reconciled)
}

// quotaSummary describes each team's usage and share, in cores.
func (s *shard) quotaSummary() string {
	var text strings.Builder
	for _, team := range slices.Sorted(maps.Keys(s.shares)) {
		fmt.Fprintf(&text, " %s=%.0f/%.0f", team, s.used[team].Cores, s.shares[team].Cores)
	}
	return text.String()
}

// classSummary describes how many tasks of each class are running and pending.
func (s *shard) classSummary() string {
	type count struct {
		running         int
		pending         int
		withinGuarantee int // of pending
		unconfirmed     int // of pending
	}
	byClass := map[string]*count{}
	for _, j := range s.jobs {
		counts := byClass[j.spec.Class]
		if counts == nil {
			counts = &count{}
			byClass[j.spec.Class] = counts
		}
		pending := j.pendingTasks()
		counts.running += len(j.attempts)
		counts.pending += pending
		if j.withinGuarantee {
			counts.withinGuarantee += pending
		}
		if j.unconfirmed {
			counts.unconfirmed += pending
		}
	}
	var text strings.Builder
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		counts := byClass[class]
		fmt.Fprintf(&text, " %s:runs=%d,waits=%d,within=%d,unsure=%d", class, counts.running, counts.pending, counts.withinGuarantee, counts.unconfirmed)
	}
	return text.String()
}
