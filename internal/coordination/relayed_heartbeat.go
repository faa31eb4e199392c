package coordination

import (
	"errors"
	"fmt"
	"log/slog"

	"reedtrack/internal/protocol"
)

// This file implements the holder's side of heartbeat_relay.go.

const (
	// maxRelayedTasks is the maximum number of tasks that a relayed heartbeat may list.
	maxRelayedTasks = 4096
	// relayHopCount is the hop count of a relayed heartbeat. It is only ever relayed once,
	// directly to the holder.
	relayHopCount = 1
	// maxLoggedRefusals is the maximum number of distinct refusals that are logged.
	maxLoggedRefusals = 64
)

// RelayedHeartbeat is a worker's heartbeat that a controller relays to the holder of the
// machine's shard.
type RelayedHeartbeat struct {
	From    string             `cbor:"From"`    // the controller that relays
	Session uint64             `cbor:"Session"` // its session
	Hops    int                `cbor:"Hops"`    // how many times the heartbeat has been relayed
	Report  protocol.Heartbeat `cbor:"Report"`
}

// relayRefusal is the reason why a relayed heartbeat is refused.
type relayRefusal struct {
	from   string // the controller that relayed it
	reason string
}

// Error returns a message with the controller and the reason.
func (e relayRefusal) Error() string {
	return fmt.Sprintf("heartbeat relayed by %s: %s", e.from, e.reason)
}

// checkRelayedHeartbeat returns an error for a relayed heartbeat that must not be
// processed.
func (n *Node) checkRelayedHeartbeat(relayed *RelayedHeartbeat) error {
	history := n.session.histories[relayed.From]
	switch {
	case n.peers[relayed.From] == nil:
		return relayRefusal{relayed.From, "unknown controller"}
	case history != nil && history.IsExpired(relayed.Session):
		return relayRefusal{relayed.From, "too old: its session has ended"}
	case relayed.Hops != relayHopCount:
		return relayRefusal{relayed.From, "relayed before"}
	case len(relayed.Report.Tasks) > maxRelayedTasks:
		return relayRefusal{relayed.From, "too large"}
	}
	return relayed.Report.Validate()
}

// receiveRelayedHeartbeat answers a relayed heartbeat as the holder of its shard.
func (n *Node) receiveRelayedHeartbeat(relayed *RelayedHeartbeat) HeartbeatAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkRelayedHeartbeat(relayed); err != nil {
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

// logRelayRefusal logs that a relayed heartbeat is refused, once for each controller and
// reason.
func (n *Node) logRelayRefusal(from string, err error) {
	refusal := relayRefusal{from, "invalid"}
	errors.As(err, &refusal)
	logged := n.heartbeatRelay.loggedRefusals
	if !logged[refusal] && len(logged) < maxLoggedRefusals {
		logged[refusal] = true
		slog.Warn("relayed heartbeat refused", "err", err)
	}
}
