package coordination

import (
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/heartbeatproxy"
	"reedtrack/internal/protocol"
)

// heartbeatProxy is the state needed to answer heartbeats for an unreachable holder. The
// workers in this controller's zone are delegated to it, and their holder acknowledges the
// delegation. The records that the proxy and the holder have written are in the replicated
// records.
type heartbeatProxy struct {
	delegations       map[int]*heartbeatproxy.Delegation // machines delegated to this controller, by shard
	lastReached       map[string]time.Time               // time of the last successful call, by controller
	firstCalled       map[string]time.Time               // time when the first call was due, by controller
	relayFailed       map[string]bool                    // controllers that failed to answer a relayed heartbeat since they were last reached
	loggedAnswering   map[int]bool                       // shards for which it was logged that this controller answers
	loggedFenceErrors map[string]bool                    // invalid fences that were already logged
	sentTxns          sentTxns                           // sent transactions of the proxy and the holder side
	changed           chan struct{}                      // closed and replaced when waiting heartbeats are to be re-evaluated
	waitingHeartbeats int                                // number of waiting heartbeats
	ignoreDelegated   bool                               // set by tests: delegated machines are treated as silent
	acknowledgeAlways bool                               // set by tests: the holder acknowledges machines regardless of starts in flight
	timing            heartbeatproxy.Timing
}

const (
	// unreachableAfter is the time without a successful call, of which there are two per
	// second (see statusInterval), after which a controller counts as unreachable. A
	// single lost call does not cause delegations to be written.
	unreachableAfter = 2 * time.Second
	// delegationTimeout is how long a machine stays delegated without having reported to
	// the proxy. A worker tries the next controller 5 s after each one that it can't
	// reach.
	delegationTimeout = 15 * time.Second
)

func newHeartbeatProxy(t config.Timing) heartbeatProxy {
	return heartbeatProxy{
		delegations:       map[int]*heartbeatproxy.Delegation{},
		lastReached:       map[string]time.Time{},
		firstCalled:       map[string]time.Time{},
		relayFailed:       map[string]bool{},
		loggedAnswering:   map[int]bool{},
		loggedFenceErrors: map[string]bool{},
		sentTxns:          sentTxns{},
		changed:           make(chan struct{}),
		timing:            heartbeatproxy.Timing{DelegationTimeout: delegationTimeout, WorkerExpiry: t.WorkerTimeout},
	}
}

// endSession discards the proxy state of an ended session. The session's records are
// deleted with it, and the next session answers for no machine until it has written its
// own.
func (p *heartbeatProxy) endSession() {
	clear(p.delegations)
	clear(p.sentTxns)
	p.wakeWaitingHeartbeats()
}

// recordReached records that another controller answered a call. Heartbeats that wait
// because the controller did not answer a relay are re-evaluated.
func (p *heartbeatProxy) recordReached(name string, now time.Time) {
	p.lastReached[name] = now
	if p.relayFailed[name] {
		delete(p.relayFailed, name)
		p.wakeWaitingHeartbeats()
	}
}

// isReachable reports whether another controller has recently answered a call. The time
// before the first call counts as reachable.
func (p *heartbeatProxy) isReachable(name string, now time.Time) bool {
	if p.firstCalled[name].IsZero() {
		p.firstCalled[name] = now
	}
	last := p.lastReached[name]
	if last.Before(p.firstCalled[name]) {
		last = p.firstCalled[name]
	}
	return now.Sub(last) < unreachableAfter
}

// answerAsProxy answers a heartbeat on behalf of an unreachable holder: it renews the
// worker's lease and stops tasks of ended jobs, but starts nothing. This is safe once the
// store has the machine's delegation and the holder's acknowledgement: from then on the
// holder treats the machine's lease as valid regardless of its silence, and sends it no
// direct messages.
func (n *Node) answerAsProxy(report *protocol.Heartbeat, shardIndex int, now time.Time) (protocol.HeartbeatResponse, bool) {
	delegation := n.heartbeatProxy.delegations[shardIndex]
	if delegation == nil || !n.records.HeartbeatProxiesEnabled() || report.Zone != n.settings.Location {
		return protocol.HeartbeatResponse{}, false
	}
	delegation.RecordHeartbeat(report.Machine, now)
	fence := delegation.Fence(report.Machine)
	token := max(n.machineToken(shardIndex, report.Machine), fence.Token)
	if !delegation.CanAnswer(report.Machine) || report.FencingToken > token {
		return protocol.HeartbeatResponse{}, false
	}
	response := protocol.HeartbeatResponse{FencingToken: token, Commands: n.stopCommandsForEndedJobs(report, fence.Starts)}
	// Check the lease again, as answerAsHolder does.
	return response, n.holdsLease(n.now())
}

// stopCommandsForEndedJobs returns commands that stop, without a grace period, the tasks
// of ended jobs: those that the worker reports, and those that a direct start may have
// started since the worker sent its heartbeat.
func (n *Node) stopCommandsForEndedJobs(report *protocol.Heartbeat, starts []heartbeatproxy.Attempt) []protocol.Command {
	const noGracePeriod = 0
	budget := protocol.NewCommandBudget()
	stops := []protocol.Command{}
	add := func(key taskKey, attempt uint64) {
		if stop := stopCommand(key, attempt, noGracePeriod); budget.Reserve(stop) {
			stops = append(stops, stop)
		}
	}
	listed := map[heartbeatproxy.Attempt]bool{}
	for _, task := range report.Tasks {
		listed[heartbeatproxy.Attempt{Task: task.Task, Number: task.Attempt}] = true
		if key := parseTaskKey(task.Task); task.State != protocol.Exited && n.hasJobEnded(key.job) {
			add(key, task.Attempt)
		}
	}
	for _, start := range starts {
		if key := parseTaskKey(start.Task); !listed[start] && n.hasJobEnded(key.job) {
			add(key, start.Number)
		}
	}
	return stops
}

// hasJobEnded reports whether the records contain no live job with this ID. A job whose
// record can't be decoded has not ended.
func (n *Node) hasJobEnded(job string) bool {
	return n.records.Jobs[job] == nil && !n.records.UnreadableJobs[job]
}

// machineToken returns the fencing token of a machine whose shard is held by another
// controller.
func (n *Node) machineToken(shardIndex int, name string) uint64 {
	token := max(n.records.Shards[shardIndex].Value.FencingToken, n.records.ShardFenceToken(shardIndex))
	for _, lease := range n.records.Grants[shardIndex].Value.Machines {
		if lease.Machine == name {
			token = max(token, lease.FencingToken)
		}
	}
	return token
}
