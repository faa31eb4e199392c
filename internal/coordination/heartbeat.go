package coordination

import (
	"net/http"
	"time"

	"reedtrack/internal/protocol"
)

// HeartbeatAnswer is the answer to a worker's heartbeat. Only an answer with status 200
// renews the worker's lease. It is also sent between controllers, in a PeerReply.
type HeartbeatAnswer struct {
	Status     int                        `cbor:"Status"`               // http.StatusOK, StatusMisdirectedRequest or StatusServiceUnavailable
	Response   protocol.HeartbeatResponse `cbor:"Response"`             // set with http.StatusOK: the commands for the worker
	RedirectTo string                     `cbor:"RedirectTo,omitempty"` // set with http.StatusMisdirectedRequest: the controller to report to; empty: unknown
	RelayedTo  string                     `cbor:"-"`                    // holder that gave this answer; empty: this controller
}

// unavailableAnswer is the answer of a controller that can't currently decide what the
// worker should do.
var unavailableAnswer = HeartbeatAnswer{Status: http.StatusServiceUnavailable}

// Heartbeat answers a worker's heartbeat: as the holder of its shard, as a proxy for an
// unreachable holder, or by relaying the heartbeat to a reachable holder. The leader also
// records machines that belong to no shard yet. In all other cases the worker is
// redirected.
func (n *Node) Heartbeat(report *protocol.Heartbeat) HeartbeatAnswer {
	n.recordHeartbeatArrival()
	deadline := time.Now().Add(maxHeartbeatWait)
	for isLast := false; ; {
		answer, alternative := n.answerNow(report)
		if alternative.relay != nil {
			relayed, err := alternative.relay.call()
			if err == nil {
				return relayed
			}
			n.recordFailedRelay(alternative.relay.holder)
			answer, alternative = n.answerNow(report)
		}
		if isLast || alternative.change == nil {
			return answer
		}
		isLast = !n.awaitChange(alternative.change, deadline)
	}
}

// recordHeartbeatArrival records that this controller is reachable for workers.
func (n *Node) recordHeartbeatArrival() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failureDetector.isolation.RecordHeartbeat()
}

// answerAlternative is a possible source of a better answer than a redirect or 503. At
// most one of its fields is set.
type answerAlternative struct {
	relay  *relayCall      // relays the heartbeat to the holder
	change <-chan struct{} // closed when this controller may have a better answer
}

// answerNow returns this controller's answer to a worker's heartbeat in the current state,
// and the possible source of a better one.
func (n *Node) answerNow(report *protocol.Heartbeat) (HeartbeatAnswer, answerAlternative) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if state := n.leaseState(now); state != leaseHeld {
		return unavailableAnswer, answerAlternative{change: n.leaseChange(state)}
	}
	shardIndex, granted := n.records.ShardOfMachine[report.Machine]
	if !granted {
		return n.answerUngranted(report, now), answerAlternative{}
	}
	if s := n.shards[shardIndex]; s != nil {
		return n.answerAsHolder(s, report, now), answerAlternative{}
	}
	if response, ok := n.answerAsProxy(report, shardIndex, now); ok {
		return HeartbeatAnswer{Status: http.StatusOK, Response: response}, answerAlternative{}
	}
	return n.redirectToHolder(report, shardIndex, now)
}

// redirectToHolder redirects a machine to the holder of its shard or, if the holder is
// unreachable, to a controller that may answer as its proxy.
func (n *Node) redirectToHolder(report *protocol.Heartbeat, shardIndex int, now time.Time) (HeartbeatAnswer, answerAlternative) {
	holder := n.records.Shards[shardIndex].Value.Holder.Name
	isReachable := n.peers[holder] == nil || n.heartbeatProxy.isReachable(holder, now)
	if isReachable && !n.heartbeatProxy.relayFailed[holder] {
		return n.redirect(holder), answerAlternative{relay: n.newRelayCall(report, shardIndex, now)}
	}
	if proxy := n.otherProxy(report.Machine, shardIndex, now); proxy != "" {
		return n.redirect(proxy), answerAlternative{}
	}
	if isReachable || n.heartbeatProxy.delegations[shardIndex] == nil {
		return n.redirect(holder), answerAlternative{change: n.delegationChange(report, shardIndex)}
	}
	return n.redirect(holder), answerAlternative{change: n.acknowledgementChange(report, shardIndex)}
}

// answerUngranted answers a machine that belongs to no shard. The leader, which will grant
// it to a shard, records that it has booted.
func (n *Node) answerUngranted(report *protocol.Heartbeat, now time.Time) HeartbeatAnswer {
	if n.leadership == nil {
		return n.redirect(n.records.Leader.Value.Name)
	}
	n.leadership.receiveHeartbeat(report, now)
	n.wakeLoops()
	return unavailableAnswer
}

// answerAsHolder answers a machine of a shard that this controller holds.
func (n *Node) answerAsHolder(s *shard, report *protocol.Heartbeat, now time.Time) HeartbeatAnswer {
	m := s.machines[report.Machine]
	if m == nil || m.releasing || !s.receiveHeartbeat(m, report, now) {
		return unavailableAnswer
	}
	if s.capacityFreed {
		// Place tasks immediately, so that this answer contains their starts and the freed
		// capacity does not stay idle until the next heartbeat.
		s.fillMachine(m, n.teams)
	}
	if s.dirty {
		n.wakeLoops()
	}
	// Check the lease again: decoding the heartbeat may have taken a while, and the
	// process may be paused at any point when it shares a CPU.
	if now = n.now(); !n.holdsLease(now) {
		return unavailableAnswer
	}
	return HeartbeatAnswer{
		Status:   http.StatusOK,
		Response: protocol.HeartbeatResponse{FencingToken: s.machineToken(m), Commands: s.buildCommands(m, now)},
	}
}

// redirect redirects the worker to the named controller. If that is this controller, the
// answer names none and the worker tries the next controller.
func (n *Node) redirect(name string) HeartbeatAnswer {
	if name == n.settings.HostName {
		name = ""
	}
	return HeartbeatAnswer{Status: http.StatusMisdirectedRequest, RedirectTo: name}
}
