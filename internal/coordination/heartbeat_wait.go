package coordination

import (
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// A proxy that is not acknowledged yet may not answer, and knows that the holder, to which
// it would redirect the worker, can't be reached: the worker would spend the rest of its
// lease going round. So it redirects to another proxy that may answer, or keeps the
// heartbeat for a while and answers it as soon as it may itself. So does a controller that
// is about to be a proxy: its relay to the holder got no answer. And so does one whose
// lease is valid while its copy of the records is not recent, as in the instant after it was
// cut off from the key-value store: it would send the worker away with 503. To the worker
// that is an answer that took longer; docs/safety.md has the argument.

const (
	// maxHeartbeatWait is how long a heartbeat is kept. A worker waits 4 s from when
	// it sent it, and is to be redirected in time if nothing has changed.
	maxHeartbeatWait = 2 * time.Second
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
		if id.Shard != shardIndex || !isCurrentAcknowledgement(ack, delegation.Revision, shardLease) || !slices.Contains(ack.Machines, machine) {
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

// acknowledgementChange returns a channel that is closed when this controller may answer
// for more machines, if a heartbeat is worth keeping for that; else nil.
func (n *Node) acknowledgementChange(report *protocol.Heartbeat, shardIndex int) <-chan struct{} {
	proxy := &n.heartbeatProxy
	delegation := proxy.delegations[shardIndex]
	if delegation == nil || report.Zone != n.settings.Location || !delegation.AwaitsAcknowledgement(report.Machine) {
		return nil
	}
	return proxy.nextChange()
}

// delegationChange returns a channel that is closed when this controller may answer for more
// machines, or reaches the holder of a machine of its zone again, which has not answered it;
// nil if the holder's session is over, or the machine can't be delegated to this controller.
func (n *Node) delegationChange(report *protocol.Heartbeat, shardIndex int) <-chan struct{} {
	if !n.records.HeartbeatProxiesEnabled() || n.settings.Location == "" || report.Zone != n.settings.Location {
		return nil
	}
	if !n.isHeldByPeer(shardIndex) {
		return nil
	}
	return n.heartbeatProxy.nextChange()
}

// leaseChange returns a channel that is closed when this controller may act again, if it
// lacks only a recent copy of the records for that; else nil.
func (n *Node) leaseChange(state leaseState) <-chan struct{} {
	if state != recordsNotRecent {
		return nil
	}
	return n.heartbeatProxy.nextChange()
}

// nextChange returns a channel that is closed when heartbeats that are kept are to be
// decided anew, or nil if no more are to be kept.
func (p *heartbeatProxy) nextChange() <-chan struct{} {
	if p.waitingHeartbeats >= maxWaitingHeartbeats {
		return nil
	}
	return p.changed
}

// awaitChange keeps a heartbeat until a channel is closed. It returns false if that did not
// happen before the deadline.
func (n *Node) awaitChange(change <-chan struct{}, deadline time.Time) bool {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return false
	}
	n.countWaitingHeartbeat(1)
	defer n.countWaitingHeartbeat(-1)
	timeout := time.NewTimer(remaining)
	defer timeout.Stop()
	select {
	case <-change:
		return true
	case <-timeout.C:
		return false
	}
}

// countWaitingHeartbeat changes the number of heartbeats that are kept.
func (n *Node) countWaitingHeartbeat(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeatProxy.waitingHeartbeats += change
}

// wakeWaitingHeartbeats has the heartbeats that are kept decided anew.
func (p *heartbeatProxy) wakeWaitingHeartbeats() {
	close(p.changed)
	p.changed = make(chan struct{})
}
