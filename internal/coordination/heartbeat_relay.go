package coordination

import (
	"errors"
	"log/slog"
	"maps"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// A worker that got no answer from its holder turns to the next controller. To be
// sent back costs it one more exchange of a lease that is running out. So that
// controller relays the heartbeat to the holder, if it reaches it, and returns the
// holder's answer. To the holder it is a heartbeat that took longer: it is ordered by
// session and sequence like one that came straight, and the worker drops its answer
// as late as any other. docs/safety.md has the argument.

const (
	// relayTimeout is how long a relay waits for the holder. A worker waits 4 s, and
	// is to be redirected in time if the holder does not answer.
	relayTimeout = time.Second
	// maxRelayedMachines is how many machines are remembered as relayed. Beyond that
	// workers are redirected.
	maxRelayedMachines = 4096
)

// heartbeatRelay is the state of relaying heartbeats, and of receiving relayed ones.
type heartbeatRelay struct {
	disabled       bool                  // set by tests: workers are redirected
	relayedAt      map[string]time.Time  // when a heartbeat of each machine was last relayed
	evictedAt      time.Time             // when machines were last forgotten
	loggedRefusals map[relayRefusal]bool // refusals of relayed heartbeats that were logged
}

// newHeartbeatRelay returns a relay that has relayed nothing.
func newHeartbeatRelay() heartbeatRelay {
	return heartbeatRelay{relayedAt: map[string]time.Time{}, loggedRefusals: map[relayRefusal]bool{}}
}

// begin records that a machine's heartbeat is relayed now. It returns false if one
// was a short time ago, or too many machines are remembered.
func (r *heartbeatRelay) begin(machine string, interval time.Duration, now time.Time) bool {
	if now.Sub(r.evictedAt) >= interval {
		r.evictBefore(now.Add(-interval))
		r.evictedAt = now
	}
	if last, found := r.relayedAt[machine]; found && now.Sub(last) < interval {
		return false
	}
	if len(r.relayedAt) >= maxRelayedMachines {
		return false
	}
	r.relayedAt[machine] = now
	return true
}

// evictBefore forgets the machines whose last relayed heartbeat was before a time.
func (r *heartbeatRelay) evictBefore(limit time.Time) {
	maps.DeleteFunc(r.relayedAt, func(_ string, at time.Time) bool { return at.Before(limit) })
}

// relayCall is a call that relays one heartbeat.
type relayCall struct {
	peer    Peer
	holder  string
	message PeerMessage
}

// newRelayCall returns the call that relays a heartbeat to the holder, or nil if the
// worker is to be redirected: the holder is not reachable, the machine's last
// heartbeat was relayed too, this one is larger than a holder takes, or a processor is
// short: a worker that gave a busy holder up would cost both a relay more.
func (n *Node) newRelayCall(report *protocol.Heartbeat, shardIndex int, now time.Time) *relayCall {
	holder := n.records.Shards[shardIndex].Value.Holder.Name
	peer := n.peers[holder]
	if peer == nil || n.heartbeatRelay.disabled || !n.records.HeartbeatRelaysEnabled() || !n.heartbeatProxy.isReachable(holder, now) {
		return nil
	}
	if len(report.Tasks) > maxRelayedTasks || n.isHolderOverloaded(shardIndex) || n.cpuMeter.utilization > maxUtilization {
		return nil
	}
	// Longer than from one heartbeat to the next: a worker that was answered by a relay
	// is then sent to its holder.
	interval := n.failureDetector.timing.SuspectAfter()
	if !n.heartbeatRelay.begin(report.Machine, interval, now) {
		return nil
	}
	relayed := &RelayedHeartbeat{From: n.settings.HostName, Session: n.session.id, Hops: relayHopCount, Report: *report}
	return &relayCall{peer: peer, holder: holder, message: PeerMessage{Heartbeat: relayed}}
}

// recordFailedRelay records that a holder did not answer a relayed heartbeat. It may be out
// of reach: until it is reached again, heartbeats are kept for when this controller may
// answer in its place.
func (n *Node) recordFailedRelay(holder string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeatProxy.relayFailed[holder] = true
}

// errNoRelayedAnswer is the error of a reply without an answer to a heartbeat.
var errNoRelayedAnswer = errors.New("reply without an answer to the relayed heartbeat")

// call relays the heartbeat and returns the holder's answer.
func (c *relayCall) call() (HeartbeatAnswer, error) {
	var reply PeerReply
	err := c.peer.TryCall(relayTimeout, &c.message, &reply)
	if err == nil && reply.Heartbeat == nil {
		err = errNoRelayedAnswer
	}
	if err != nil {
		transport.HeartbeatRelays.WithLabelValues("failed").Inc()
		slog.Debug("heartbeat not relayed", "machine", c.message.Heartbeat.Report.Machine, "holder", c.holder, "err", err)
		return HeartbeatAnswer{}, err
	}
	transport.HeartbeatRelays.WithLabelValues("answered").Inc()
	answer := *reply.Heartbeat
	answer.RelayedTo = c.holder
	return answer, nil
}
