package policy

import (
	"math"

	"reedtrack/internal/protocol"
)

// Urgency thresholds.
const (
	minUrgent = int(protocol.PriorityHigh) // the lowest urgency that preempts without a minimum quota
	maxUrgent = int(protocol.PriorityProd) // preempts immediately if the job has no deadline
)

// MaxPreemptions bounds how often a task is preempted, so that it eventually ends even
// during a lasting shortage.
const MaxPreemptions = 2

// Thresholds for preemption by work within the minimum quota of its team, relative to its
// start objective.
const (
	// startObjectiveGraceDivisor divides the objective: a job waits for that fraction of
	// it for tasks to end on their own.
	startObjectiveGraceDivisor = 3
	// missedObjectiveRetry is the multiple of the objective after which a job that has
	// missed it preempts again.
	missedObjectiveRetry = 4
	// longOverdueObjectives is the multiple of the objective after which a job preempts
	// urgent work too. Without a bound it would wait for other teams, which it does not
	// have to.
	longOverdueObjectives = 8
)

// Times in heartbeat intervals of a worker, since heartbeats report the end of tasks.
const (
	// quotaWaitHeartbeats is how long work within a minimum quota waits for tasks to end
	// on their own, if there is no start objective.
	quotaWaitHeartbeats = 2
	// urgentWaitHeartbeats is the same for urgent work without a deadline.
	urgentWaitHeartbeats = 4
	// urgentSlackHeartbeats is the slack below which urgent work preempts: the time to
	// stop a task, to receive the report and to start another, with a margin.
	urgentSlackHeartbeats = 4
)

// Parameters of the preemption cost.
const (
	// startOverheadSeconds is the cost of a restart in addition to the lost work: the
	// wait for a machine, a message to it, and often an image download.
	startOverheadSeconds = 5
	// minBilledCores is the minimum number of cores for which a task counts, so that
	// preempting very small tasks is not free.
	minBilledCores = 0.1
)

// Preemptor is a job that waits for capacity used by others. Times are in seconds.
type Preemptor struct {
	Urgency        int // the lowest is 0
	WithinMinQuota bool
	Waited         float64
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval float64
	// StartObjective is the service-level objective for the start of work within the
	// minimum quota; 0: there is none.
	StartObjective float64
	// Slack is the time until the job must start to meet its deadline; +Inf: it has no
	// deadline.
	Slack float64
}

// ShouldPreempt reports whether a job should preempt others.
//
// Work within the minimum quota of its team preempts while this can still meet the start
// objective: not immediately, since tasks end all the time, and not when the victims would
// end too late. After the objective is missed, other tasks are likely to end soon anyway,
// so preemption gains nothing. The job preempts again after a multiple of the objective,
// since it does not have to wait for other teams.
//
// Urgent work preempts when it would otherwise miss its deadline but can still meet it.
// Other waiting work is served as tasks end: if it preempted tasks, those would preempt
// others in turn.
func (p Preemptor) ShouldPreempt() bool {
	if p.WithinMinQuota {
		return p.shouldPreemptForQuota()
	}
	if p.Urgency < minUrgent {
		return false
	}
	if math.IsInf(p.Slack, 1) {
		return p.Urgency >= maxUrgent || p.Waited > urgentWaitHeartbeats*p.HeartbeatInterval
	}
	return p.Slack > 0 && p.Slack < urgentSlackHeartbeats*p.HeartbeatInterval
}

func (p Preemptor) shouldPreemptForQuota() bool {
	if p.StartObjective <= 0 {
		return p.Waited > quotaWaitHeartbeats*p.HeartbeatInterval
	}
	canMeetObjective := p.Waited > p.StartObjective/startObjectiveGraceDivisor && p.Waited < p.StartObjective
	return canMeetObjective || p.Waited > missedObjectiveRetry*p.StartObjective
}

// isLongOverdue reports whether work within a minimum quota has waited long enough to
// preempt work of any urgency.
func (p Preemptor) isLongOverdue() bool {
	return p.Waited > longOverdueObjectives*max(p.StartObjective, p.HeartbeatInterval)
}

// RunningTask is a running or starting task that could be preempted.
type RunningTask struct {
	Urgency        int
	WithinMinQuota bool
	// BeyondMinQuota reports that the task belongs to another team, which has its minimum
	// quota without it.
	BeyondMinQuota bool
	// BelowMinService reports that its class or team is below its minimum service level.
	BelowMinService bool
	Preemptions     int     // so far
	LostSeconds     float64 // the run time that would be lost
	Cores           float64
}

// CanPreempt reports whether a task may be preempted in favor of a job.
//
// A job preempts tasks of lower urgency, unless they are within a minimum quota and the
// job is not. Work within a minimum quota also preempts tasks of another team beyond that
// team's minimum quota. It preempts urgent ones only if it is urgent itself or long
// overdue: otherwise large tasks of low urgency each preempted several small urgent ones,
// which preempted others in turn. Tasks of a class or team below its minimum service level
// are preempted only for work within a minimum quota.
func (p Preemptor) CanPreempt(t RunningTask) bool {
	isLessUrgent := t.Urgency < p.Urgency && (p.WithinMinQuota || !t.WithinMinQuota)
	isReclaimed := p.WithinMinQuota && !t.WithinMinQuota && t.BeyondMinQuota &&
		(t.Urgency <= max(p.Urgency, minUrgent-1) || p.isLongOverdue())
	return (isLessUrgent || isReclaimed) && t.Preemptions < MaxPreemptions && (p.WithinMinQuota || !t.BelowMinService)
}

// IsWorthLoss reports whether one of the job's tasks justifies the preemption: the lost
// work must not exceed the task's work, and the victims' cost must not exceed the task's
// work weighted by its urgency. All amounts are in core-seconds.
func (p Preemptor) IsWorthLoss(taskWork, lostWork, victimsCost float64) bool {
	return lostWork <= taskWork && victimsCost <= taskWork*urgencyWeight(p.Urgency)
}

// PreemptionCost returns the cost of preempting a task in core-seconds, weighted by
// urgency. If only the lost work counted, the youngest and smallest tasks would be
// preempted first: urgent ones that have just started and then preempt others in turn.
func (t RunningTask) PreemptionCost() float64 {
	return (t.LostSeconds + startOverheadSeconds) * max(t.Cores, minBilledCores) * urgencyWeight(t.Urgency)
}

// urgencyWeight returns the weight of a core-second by urgency: 1, 3, 5 or 7.
func urgencyWeight(urgency int) float64 { return float64(1 + 2*urgency) }
