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
	answer, relay := n.answerOrRelay(report)
	if relay == nil {
		return answer
	}
	if relayed, err := relay.call(); err == nil {
		return relayed
	}
	return answer
}

// answerOrRelay returns this controller's answer to a worker's heartbeat, and a
// relay if the holder's answer is to be asked for first.
func (n *Node) answerOrRelay(report *protocol.Heartbeat) (HeartbeatAnswer, *relayCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.failureDetector.isolation.RecordHeartbeat()
	if !n.holdsLease(now) {
		return unavailableAnswer, nil
	}
	shardIndex, granted := n.records.ShardOfMachine[report.Machine]
	if !granted {
		return n.answerUngranted(report, now), nil
	}
	if s := n.shards[shardIndex]; s != nil {
		return n.answerAsHolder(s, report, now), nil
	}
	if response, ok := n.answerForHolder(report, shardIndex, now); ok {
		return HeartbeatAnswer{Status: http.StatusOK, Response: response}, nil
	}
	holder := n.records.Shards[shardIndex].Value.Holder.Name
	if n.peers[holder] == nil || n.heartbeatProxy.isReachable(holder, now) {
		return n.redirect(holder), n.newRelayCall(report, shardIndex, now)
	}
	if proxy := n.otherProxy(report.Machine, shardIndex, now); proxy != "" {
		return n.redirect(proxy), nil
	}
	return n.redirect(holder), nil
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
