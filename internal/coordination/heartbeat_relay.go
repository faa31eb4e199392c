package coordination

import (
	"errors"
	"fmt"
	"log/slog"
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
	// relayIntervalFactor is the least time between two relayed heartbeats of a
	// machine, in heartbeat intervals: longer than from one heartbeat to the next, so
	// that a worker which was answered by a relay is then sent to its holder.
	relayIntervalFactor = 1.5
	// maxRelayedMachines is how many machines are remembered as relayed. Beyond that
	// workers are redirected.
	maxRelayedMachines = 4096
	// maxRelayedTasks is how many tasks a relayed heartbeat may list.
	maxRelayedTasks = 4096
	// relayHops is how often a relayed heartbeat has been relayed: it goes to the holder
	// or nowhere.
	relayHops = 1
	// maxLoggedRefusals bounds the refusals that are logged.
	maxLoggedRefusals = 64
)

// PeerMessage is what a controller sends to another: its status, or a heartbeat that
// it relays. The status has the form in which former versions send it.
type PeerMessage struct {
	Status
	Heartbeat *RelayedHeartbeat `cbor:"Heartbeat,omitempty"` // from storage.SchemaHeartbeatRelays on
}

// PeerReply answers a PeerMessage in kind.
type PeerReply struct {
	StatusReply
	Heartbeat *RelayedAnswer `cbor:"Heartbeat,omitempty"`
}

// RelayedHeartbeat is a worker's heartbeat that a controller relays to the holder of
// the machine's shard.
type RelayedHeartbeat struct {
	From    string             `cbor:"From"`    // the controller that relays
	Session uint64             `cbor:"Session"` // its session
	Hops    int                `cbor:"Hops"`    // how often the heartbeat has been relayed
	Report  protocol.Heartbeat `cbor:"Report"`
}

// RelayedAnswer is the holder's answer to a RelayedHeartbeat; see HeartbeatAnswer.
type RelayedAnswer struct {
	Status     int                        `cbor:"Status"`
	Response   protocol.HeartbeatResponse `cbor:"Response"`
	RedirectTo string                     `cbor:"RedirectTo,omitempty"`
}

// heartbeatRelay is the state of relaying heartbeats, and of receiving relayed ones.
type heartbeatRelay struct {
	disabled       bool                  // set by tests: workers are redirected
	relayedAt      map[string]time.Time  // when a heartbeat of each machine was last relayed
	loggedRefusals map[relayRefusal]bool // refusals of relayed heartbeats that were logged
}

// newHeartbeatRelay returns a relay that has relayed nothing.
func newHeartbeatRelay() heartbeatRelay {
	return heartbeatRelay{relayedAt: map[string]time.Time{}, loggedRefusals: map[relayRefusal]bool{}}
}

// begin records that a machine's heartbeat is relayed now. It returns false if one
// was a short time ago, or too many machines are remembered.
func (r *heartbeatRelay) begin(machine string, interval time.Duration, now time.Time) bool {
	if last, found := r.relayedAt[machine]; found && now.Sub(last) < interval {
		return false
	}
	if len(r.relayedAt) >= maxRelayedMachines {
		r.forgetBefore(now.Add(-interval))
	}
	if len(r.relayedAt) >= maxRelayedMachines {
		return false
	}
	r.relayedAt[machine] = now
	return true
}

// forgetBefore forgets the machines whose last relayed heartbeat was before a time.
func (r *heartbeatRelay) forgetBefore(limit time.Time) {
	for machine, at := range r.relayedAt {
		if at.Before(limit) {
			delete(r.relayedAt, machine)
		}
	}
}

// relayCall is a call that relays one heartbeat.
type relayCall struct {
	peer    Peer
	holder  string
	message PeerMessage
}

// newRelayCall returns the call that relays a heartbeat to the holder, or nil if the
// worker is to be redirected: the holder is not reachable, or the machine's last
// heartbeat was relayed too.
func (n *Node) newRelayCall(report *protocol.Heartbeat, holder string, now time.Time) *relayCall {
	peer := n.peers[holder]
	if peer == nil || n.heartbeatRelay.disabled || !n.records.HeartbeatRelaysEnabled() || !n.heartbeatProxy.isReachable(holder, now) {
		return nil
	}
	interval := time.Duration(relayIntervalFactor * n.settings.Deployment.Workers.ReportS * float64(time.Second))
	if !n.heartbeatRelay.begin(report.Machine, interval, now) {
		return nil
	}
	relayed := &RelayedHeartbeat{From: n.settings.HostName, Session: n.session.id, Hops: relayHops, Report: *report}
	return &relayCall{peer: peer, holder: holder, message: PeerMessage{Heartbeat: relayed}}
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
	answer := reply.Heartbeat
	return HeartbeatAnswer{Status: answer.Status, Response: answer.Response, RedirectTo: answer.RedirectTo, RelayedTo: c.holder}, nil
}

// relayRefusal is why a relayed heartbeat is refused.
type relayRefusal struct {
	from   string // the controller that relayed it
	reason string
}

// Error names the controller and the reason.
func (e relayRefusal) Error() string {
	return fmt.Sprintf("heartbeat relayed by %s: %s", e.from, e.reason)
}

// checkRelayed returns an error for a relayed heartbeat that must not be looked at.
func (n *Node) checkRelayed(relayed *RelayedHeartbeat) error {
	past := n.session.past[relayed.From]
	switch {
	case n.peers[relayed.From] == nil:
		return relayRefusal{relayed.From, "unknown controller"}
	case past != nil && past.IsExpired(relayed.Session):
		return relayRefusal{relayed.From, "too old: its session has ended"}
	case relayed.Hops != relayHops:
		return relayRefusal{relayed.From, "relayed before"}
	case len(relayed.Report.Tasks) > maxRelayedTasks:
		return relayRefusal{relayed.From, "too large"}
	}
	return relayed.Report.Validate()
}

// ReceiveMessage answers what another controller sends.
func (n *Node) ReceiveMessage(message PeerMessage) PeerReply {
	if message.Heartbeat == nil {
		return PeerReply{StatusReply: n.ReceiveStatus(message.Status)}
	}
	answer := n.receiveRelayed(message.Heartbeat)
	return PeerReply{Heartbeat: &RelayedAnswer{Status: answer.Status, Response: answer.Response, RedirectTo: answer.RedirectTo}}
}

// receiveRelayed answers a relayed heartbeat as the holder of its shard.
func (n *Node) receiveRelayed(relayed *RelayedHeartbeat) HeartbeatAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkRelayed(relayed); err != nil {
		n.logRelayRefusal(relayed.From, err)
		return unavailableAnswer
	}
	n.failureDetector.isolation.RecordRelayedHeartbeat()
	now := n.now()
	if !n.holdsLease(now) {
		return unavailableAnswer
	}
	shardIndex, granted := n.records.ShardOfMachine[relayed.Report.Machine]
	if !granted {
		return unavailableAnswer
	}
	if s := n.shards[shardIndex]; s != nil {
		return n.answerAsHolder(s, &relayed.Report, now)
	}
	return n.redirect(n.records.Shards[shardIndex].Value.Holder.Name)
}

// logRelayRefusal logs that a controller's relayed heartbeat is refused, once for
// each reason.
func (n *Node) logRelayRefusal(from string, err error) {
	refusal := relayRefusal{from, "invalid"}
	errors.As(err, &refusal)
	logged := n.heartbeatRelay.loggedRefusals
	if !logged[refusal] && len(logged) < maxLoggedRefusals {
		logged[refusal] = true
		slog.Warn("relayed heartbeat refused", "err", err)
	}
}
