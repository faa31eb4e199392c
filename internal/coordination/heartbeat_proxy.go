package coordination

import (
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/heartbeatproxy"
	"reedtrack/internal/protocol"
)

// heartbeatProxy is the state of answering heartbeats for a holder that can't
// be reached: the workers in this controller's zone are delegated to it, and
// their holder acknowledges that. What the proxy and the holder have written to the
// store is in the copy of the records.
type heartbeatProxy struct {
	delegations       map[int]*heartbeatproxy.Delegation // machines delegated to this controller, by shard
	lastReached       map[string]time.Time               // when a call to each other controller last succeeded
	firstCalled       map[string]time.Time               // when the first call to each was due
	relayFailed       map[string]bool                    // controllers that did not answer a relayed heartbeat since they were last reached
	loggedAnswering   map[int]bool                       // shards for which it was logged that this controller answers
	loggedFenceErrors map[string]bool                    // invalid fences that were logged
	sentTxns          sentTxns                           // writes of delegations and acknowledgements, as both sides
	changed           chan struct{}                      // closed and replaced when kept heartbeats are to be decided anew
	waitingHeartbeats int                                // heartbeats that are kept
	ignoreDelegated   bool                               // set by tests: delegated machines count as silent
	acknowledgeAlways bool                               // set by tests: the holder acknowledges whatever is in flight
	timing            heartbeatproxy.Timing
}

const (
	// unreachableAfter is the time without a successful call, of two a second
	// (see statusInterval), after which a controller counts as unreachable. A
	// single lost call is no reason to write delegations.
	unreachableAfter = 2 * time.Second
	// delegationTimeout is how long a machine stays delegated before it reports to
	// the proxy: a worker tries another controller 5 s after each that it does
	// not reach.
	delegationTimeout = 15 * time.Second
)

// newHeartbeatProxy returns a proxy without delegations.
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

// endSession forgets what this controller does as a proxy under a session that is over: its
// records end with it, and the next session answers for nobody before it has written its own.
func (p *heartbeatProxy) endSession() {
	clear(p.delegations)
	clear(p.sentTxns)
	p.wakeWaitingHeartbeats()
}

// recordReached records that another controller answered a call. Heartbeats that are kept
// since it did not answer a relay are decided anew.
func (p *heartbeatProxy) recordReached(name string, now time.Time) {
	p.lastReached[name] = now
	if p.relayFailed[name] {
		delete(p.relayFailed, name)
		p.wakeWaitingHeartbeats()
	}
}

// isReachable reports whether another controller has recently answered a call.
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

// answerAsProxy answers a heartbeat in place of a holder that can't be
// reached: it renews the worker's lease and stops tasks of cancelled jobs, and
// starts nothing. That is safe once the store has the machine's delegation and
// the holder's acknowledgement: from then on the holder takes the machine's lease
// for valid, however long it is silent, and sends it nothing directly.
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
	// Check the lease again, as the holder does.
	return response, n.holdsLease(n.now())
}

// stopCommandsForEndedJobs returns commands that stop, without a grace period, what a
// worker still runs of jobs that have ended, and what direct starts may have
// started since it sent its heartbeat.
func (n *Node) stopCommandsForEndedJobs(report *protocol.Heartbeat, starts []heartbeatproxy.Attempt) []protocol.Command {
	const noGracePeriod = 0
	stops := []protocol.Command{}
	listed := map[heartbeatproxy.Attempt]bool{}
	for _, task := range report.Tasks {
		listed[heartbeatproxy.Attempt{Task: task.Task, Number: task.Attempt}] = true
		if key := parseTaskKey(task.Task); task.State != protocol.Exited && n.hasJobEnded(key.job) {
			stops = append(stops, stopCommand(key, task.Attempt, noGracePeriod))
		}
	}
	for _, start := range starts {
		if key := parseTaskKey(start.Task); !listed[start] && n.hasJobEnded(key.job) {
			stops = append(stops, stopCommand(key, start.Number, noGracePeriod))
		}
	}
	return stops
}

// hasJobEnded reports whether no live record of a job is known. A job whose record
// can't be decoded has not ended.
func (n *Node) hasJobEnded(job string) bool {
	return n.records.Jobs[job] == nil && !n.records.UnreadableJobs[job]
}

// machineToken returns the fencing token of a machine of a shard that another
// controller holds.
func (n *Node) machineToken(shardIndex int, name string) uint64 {
	token := n.records.Shards[shardIndex].Value.FencingToken
	for _, lease := range n.records.Grants[shardIndex].Value.Machines {
		if lease.Machine == name {
			token = max(token, lease.FencingToken)
		}
	}
	return token
}
