package coordination

import (
	"net/http"
	"time"

	"reedtrack/internal/protocol"
)

// HeartbeatAnswer is the answer to a worker's heartbeat. Only one with status 200
// renews the worker's lease. It is also sent between controllers, in a PeerReply.
type HeartbeatAnswer struct {
	Status     int                        `cbor:"Status"`               // http.StatusOK, StatusMisdirectedRequest or StatusServiceUnavailable
	Response   protocol.HeartbeatResponse `cbor:"Response"`             // with http.StatusOK: what the worker is to do
	RedirectTo string                     `cbor:"RedirectTo,omitempty"` // with http.StatusMisdirectedRequest: the controller to report to; empty: unknown
	RelayedTo  string                     `cbor:"-"`                    // the holder whose answer this is; empty: this controller's own
}

// unavailableAnswer is the answer of a controller that can't decide what the
// worker is to do.
var unavailableAnswer = HeartbeatAnswer{Status: http.StatusServiceUnavailable}

// Heartbeat answers a worker's heartbeat: as the holder of its shard, as a proxy for
// a holder that can't be reached, or with the answer of a holder that can. The
// leader also takes note of machines that belong to no shard yet. All others
// redirect the worker.
func (n *Node) Heartbeat(report *protocol.Heartbeat) HeartbeatAnswer {
	n.recordHeartbeatArrival()
	deadline := time.Now().Add(maxHeartbeatWait)
	for isLast := false; ; {
		answer, better := n.answerNow(report)
		if better.relay != nil {
			relayed, err := better.relay.call()
			if err == nil {
				return relayed
			}
			n.recordFailedRelay(better.relay.holder)
			answer, better = n.answerNow(report)
		}
		if isLast || better.change == nil {
			return answer
		}
		isLast = !n.awaitChange(better.change, deadline)
	}
}

// recordHeartbeatArrival records that a worker reaches this controller.
func (n *Node) recordHeartbeatArrival() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failureDetector.isolation.RecordHeartbeat()
}

// answerAlternative is where a better answer than a redirect or 503 may come from; at most one
// of its fields is set.
type answerAlternative struct {
	relay  *relayCall      // the holder
	change <-chan struct{} // this controller, once that is closed
}

// answerNow returns this controller's answer to a worker's heartbeat as things stand,
// and where a better one may come from.
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

// redirectToHolder redirects a machine to the holder of its shard, or to a controller that
// may answer in the place of one that does not answer.
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

// answerUngranted answers a machine that belongs to no shard. The leader, which
// is to grant it, learns that it has booted.
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
		// Place tasks at once, so that their starts are part of this answer and
		// freed capacity does not wait for another heartbeat.
		s.fillMachine(m, n.teams)
	}
	if s.dirty {
		n.wakeLoops()
	}
	// Check the lease again: decoding the heartbeat may have taken a while, and
	// on a shared processor the process may be paused at any point.
	if now = n.now(); !n.holdsLease(now) {
		return unavailableAnswer
	}
	return HeartbeatAnswer{
		Status:   http.StatusOK,
		Response: protocol.HeartbeatResponse{FencingToken: s.machineToken(m), Commands: s.buildOrders(m, now)},
	}
}

// redirect sends the worker to another controller. If that would be this one,
// it is not named, and the worker tries the next.
func (n *Node) redirect(name string) HeartbeatAnswer {
	if name == n.settings.HostName {
		name = ""
	}
	return HeartbeatAnswer{Status: http.StatusMisdirectedRequest, RedirectTo: name}
}
