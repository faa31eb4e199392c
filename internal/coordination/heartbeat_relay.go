package coordination

import (
	"errors"
	"log/slog"
	"maps"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// A worker that gets no answer from its holder tries the next controller. A redirect back
// to the holder would cost another round trip while its lease is running out. If that
// controller can reach the holder, it therefore relays the heartbeat and returns the
// holder's answer. To the holder, a relayed heartbeat is one that took longer: it is
// ordered by session and sequence number like a direct one, and the worker discards a late
// answer as usual. docs/safety.md has the argument.

const (
	// relayTimeout is how long a relay waits for the holder. A worker waits 4 s for an
	// answer, and must still get a redirect in time if the holder does not answer.
	relayTimeout = time.Second
	// maxRelayedMachines is the maximum number of machines in relayedAt. Beyond that,
	// workers are redirected.
	maxRelayedMachines = 4096
)

// heartbeatRelay is the state needed to relay heartbeats and to receive relayed ones.
type heartbeatRelay struct {
	disabled       bool                  // set by tests: workers are always redirected
	relayedAt      map[string]time.Time  // time of the last relayed heartbeat, by machine
	evictedAt      time.Time             // time of the last eviction from relayedAt
	loggedRefusals map[relayRefusal]bool // refusals that were already logged
}

func newHeartbeatRelay() heartbeatRelay {
	return heartbeatRelay{relayedAt: map[string]time.Time{}, loggedRefusals: map[relayRefusal]bool{}}
}

// begin records that a machine's heartbeat is relayed now. It returns false if one was
// relayed within the interval, or if the maximum number of machines is reached.
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

// evictBefore removes the machines whose last relayed heartbeat is older than limit.
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
// worker should be redirected. That is the case if the holder is unreachable, the
// machine's previous heartbeat was relayed too, the heartbeat exceeds the size that a
// holder accepts, or either controller is short of CPU time. A worker that gave up on a
// busy holder would cost both controllers an additional relay.
func (n *Node) newRelayCall(report *protocol.Heartbeat, shardIndex int, now time.Time) *relayCall {
	holder := n.records.Shards[shardIndex].Value.Holder.Name
	peer := n.peers[holder]
	if peer == nil || n.heartbeatRelay.disabled || !n.records.HeartbeatRelaysEnabled() || !n.heartbeatProxy.isReachable(holder, now) {
		return nil
	}
	if len(report.Tasks) > maxRelayedTasks || n.isHolderOverloaded(shardIndex) || n.cpuMeter.utilization > maxUtilization {
		return nil
	}
	// Longer than the heartbeat interval, so that a worker that was answered by a relay is
	// redirected to its holder with its next heartbeat.
	interval := n.failureDetector.timing.SuspectAfter()
	if !n.heartbeatRelay.begin(report.Machine, interval, now) {
		return nil
	}
	relayed := &RelayedHeartbeat{From: n.settings.HostName, Session: n.session.id, Hops: relayHopCount, Report: *report}
	return &relayCall{peer: peer, holder: holder, message: PeerMessage{Heartbeat: relayed}}
}

// recordFailedRelay records that a holder did not answer a relayed heartbeat and may be
// unreachable. Until it is reached again, heartbeats wait until this controller may answer
// as its proxy.
func (n *Node) recordFailedRelay(holder string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeatProxy.relayFailed[holder] = true
}

// errNoRelayedAnswer is returned for a reply that contains no answer to a heartbeat.
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
