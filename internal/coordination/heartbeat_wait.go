package coordination

import (
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// A proxy that is not acknowledged yet may not answer, and knows that the holder, to which
// it would redirect the worker, can't be reached: the worker would spend the rest of its
// lease going round. So it redirects to another proxy that may answer, or keeps the
// heartbeat for a while and answers it as soon as it may itself. To the worker that is an
// answer that took longer; docs/safety.md has the argument.

const (
	// acknowledgementWait is how long a heartbeat is kept. A worker waits 4 s from when
	// it sent it, and is to be redirected in time if there is no acknowledgement.
	acknowledgementWait = 2 * time.Second
	// maxWaitingHeartbeats is how many heartbeats are kept at a time. Beyond that
	// workers are redirected.
	maxWaitingHeartbeats = 4096
)

// otherProxy returns a reachable controller that the records show to answer for a machine
// in place of its holder, or "". If they show this controller too, which does not answer,
// there is none: two that end their delegations would redirect the worker to each other.
func (n *Node) otherProxy(machine string, shardIndex int, now time.Time) string {
	shardLease := n.records.Shards[shardIndex].Value
	other := ""
	for id, delegation := range n.records.Delegations {
		ack := n.records.DelegationAcks[id].Value
		if id.Shard != shardIndex || !acknowledges(ack, delegation.Revision, shardLease) || !slices.Contains(ack.Machines, machine) {
			continue
		}
		if id.Controller == n.settings.HostName {
			return ""
		}
		if n.peers[id.Controller] != nil && n.heartbeatProxy.isReachable(id.Controller, now) {
			other = id.Controller
		}
	}
	return other
}

// pendingAcknowledgement returns a channel that is closed when this controller may answer
// for more machines, if a heartbeat is worth keeping for that; else nil.
func (n *Node) pendingAcknowledgement(report *protocol.Heartbeat, shardIndex int) <-chan struct{} {
	proxy := &n.heartbeatProxy
	delegation := proxy.delegations[shardIndex]
	if delegation == nil || report.Zone != n.settings.Location || !delegation.AwaitsAcknowledgement(report.Machine) {
		return nil
	}
	if proxy.waitingHeartbeats >= maxWaitingHeartbeats {
		return nil
	}
	return proxy.acknowledged
}

// awaitAcknowledgement keeps a heartbeat until this controller may answer it as a proxy,
// or acknowledgementWait is over. It returns the answer as things then stand.
func (n *Node) awaitAcknowledgement(report *protocol.Heartbeat, better betterAnswer) (HeartbeatAnswer, betterAnswer) {
	n.countWaitingHeartbeat(1)
	defer n.countWaitingHeartbeat(-1)
	timeout := time.NewTimer(acknowledgementWait)
	defer timeout.Stop()
	for {
		timedOut := false
		select {
		case <-better.acknowledgement:
		case <-timeout.C:
			timedOut = true
		}
		var answer HeartbeatAnswer
		answer, better = n.answerNow(report)
		if timedOut || better.acknowledgement == nil {
			return answer, better
		}
	}
}

// countWaitingHeartbeat changes the number of heartbeats that are kept.
func (n *Node) countWaitingHeartbeat(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeatProxy.waitingHeartbeats += change
}

// wakeWaitingHeartbeats has the heartbeats that wait for an acknowledgement look again.
func (p *heartbeatProxy) wakeWaitingHeartbeats() {
	close(p.acknowledged)
	p.acknowledged = make(chan struct{})
}
