package coordination

import (
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// A proxy may not answer before its delegation is acknowledged, and a redirect to the
// unreachable holder would make the worker spend the rest of its lease on retries. The
// proxy therefore redirects the worker to another proxy that may answer, or lets the
// heartbeat wait for a bounded time and answers it as soon as it may. The same applies to
// a controller that is about to become a proxy because its relay to the holder got no
// answer. It also applies to a controller whose lease is valid but whose replicated
// records are not recent, as just after a partition from the key-value store, which would
// otherwise answer 503. To the worker it is an answer that took longer; docs/safety.md has
// the argument.

const (
	// maxHeartbeatWait is how long a heartbeat may wait. A worker waits 4 s from when it
	// sent the heartbeat, and must still get a redirect in time if nothing has changed.
	maxHeartbeatWait = 2 * time.Second
	// maxWaitingHeartbeats is the maximum number of heartbeats that wait at a time. Beyond
	// that, workers are redirected.
	maxWaitingHeartbeats = 4096
)

// otherProxy returns a reachable controller that, according to the records, may answer for
// a machine on behalf of its holder, or "". It also returns "" if the records list this
// controller, which does not answer: otherwise two proxies that are ending their
// delegations would redirect the worker to each other.
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
// for more machines, or nil if the heartbeat should not wait for that.
func (n *Node) acknowledgementChange(report *protocol.Heartbeat, shardIndex int) <-chan struct{} {
	proxy := &n.heartbeatProxy
	delegation := proxy.delegations[shardIndex]
	if delegation == nil || report.Zone != n.settings.Location || !delegation.AwaitsAcknowledgement(report.Machine) {
		return nil
	}
	return proxy.nextChange()
}

// delegationChange returns a channel that is closed when this controller may answer for
// more machines, or when it reaches the holder that did not answer its relay again. It
// returns nil if the holder's session has ended, or if the machine can't be delegated to
// this controller.
func (n *Node) delegationChange(report *protocol.Heartbeat, shardIndex int) <-chan struct{} {
	if !n.records.HeartbeatProxiesEnabled() || n.settings.Location == "" || report.Zone != n.settings.Location {
		return nil
	}
	if !n.isHeldByPeer(shardIndex) {
		return nil
	}
	return n.heartbeatProxy.nextChange()
}

// leaseChange returns a channel that is closed when this controller may act again, or nil
// unless it only lacks recent records.
func (n *Node) leaseChange(state leaseState) <-chan struct{} {
	if state != recordsNotRecent {
		return nil
	}
	return n.heartbeatProxy.nextChange()
}

// nextChange returns a channel that is closed when waiting heartbeats are to be
// re-evaluated, or nil if the maximum number of waiting heartbeats is reached.
func (p *heartbeatProxy) nextChange() <-chan struct{} {
	if p.waitingHeartbeats >= maxWaitingHeartbeats {
		return nil
	}
	return p.changed
}

// awaitChange blocks until the channel is closed. It returns false if that did not happen
// before the deadline.
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

// countWaitingHeartbeat adds change to the number of waiting heartbeats.
func (n *Node) countWaitingHeartbeat(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeatProxy.waitingHeartbeats += change
}

// wakeWaitingHeartbeats causes all waiting heartbeats to be re-evaluated.
func (p *heartbeatProxy) wakeWaitingHeartbeats() {
	close(p.changed)
	p.changed = make(chan struct{})
}
