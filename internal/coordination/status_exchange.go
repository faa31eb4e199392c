package coordination

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/storage"
)

// Status is the status that a controller sends to its peers twice a second. The tags keep
// the field names of former versions.
type Status struct {
	From        string        `cbor:"From"`
	Session     uint64        `cbor:"Session"`
	HoldsLease  bool          `cbor:"Valid"`
	Utilization float64       `cbor:"Busy"` // fraction of its CPU share in use
	Shards      []ShardStatus `cbor:"Shards"`
	Cordoned    []string      `cbor:"Bad"`

	receivedAt time.Time
}

// ShardStatus is the state and the requests of a shard, as sent by its holder.
type ShardStatus struct {
	Index          int                          `cbor:"Index"`
	FencingToken   uint64                       `cbor:"Term"`
	BootingVersion uint64                       `cbor:"Ver"`
	ScaleOut       []machineRequest             `cbor:"Rent"`
	BootingCores   float64                      `cbor:"Booting"` // cores of booting machines
	SuitableKinds  []machineKind                `cbor:"Fits"`
	Used           map[string]storage.Resources `cbor:"Used"`
	Desired        map[string]storage.Resources `cbor:"Wanted"`
	// SmallestTask is the smallest resource need of a pending task, by team. It is sent
	// once every controller runs a version that supports it.
	SmallestTask map[string]storage.Resources `cbor:"Units,omitempty"`
	Running      map[string]int               `cbor:"Running"`
	// Startable is the part of Desired that the shard has machines for, by team, where
	// that is less than Desired. SpareCapacity is free capacity that none of the shard's
	// own tasks can use. Both are sent once every controller runs a version that supports
	// them.
	Startable     map[string]storage.Resources `cbor:"Startable,omitempty"`
	SpareCapacity []spareCapacity              `cbor:"Room,omitempty"`
}

// StatusReply is the reply to a Status. Only the leader fills in more than the sender and
// whether it holds its lease.
type StatusReply struct {
	From       string        `cbor:"From"`
	HoldsLease bool          `cbor:"Valid"`
	IsLeader   bool          `cbor:"Lead"`
	Shards     []ShardReply  `cbor:"Shards"`
	NoCapacity []machineKind `cbor:"Refused"`
	Removed    []string      `cbor:"Gone"`
}

// ShardReply contains the booting machines of a holder's shard.
type ShardReply struct {
	Index          int              `cbor:"Index"`
	BootingVersion uint64           `cbor:"Ver"`
	Booting        []machineRequest `cbor:"Booting"`
}

const (
	// statusInterval is how often each pair of controllers exchanges statuses.
	statusInterval = 500 * time.Millisecond
	// statusTimeout is how long to wait for a peer's reply.
	statusTimeout = time.Second
	// statusValidity is how long a status or reply remains valid: a few exchanges may
	// fail.
	statusValidity = 4 * statusInterval
)

// statusExchangeLoop sends this controller's status to a peer and applies the replies.
func (n *Node) statusExchangeLoop(ctx context.Context, name string, peer Peer) {
	for ctx.Err() == nil {
		status := n.currentStatus()
		var reply StatusReply
		if err := peer.Call(statusTimeout, status, &reply); err != nil {
			slog.Debug("status exchange failed", "peer", name, "err", err)
		} else {
			n.mu.Lock()
			n.heartbeatProxy.recordReached(name, n.now())
			n.applyStatusReply(&reply)
			n.mu.Unlock()
		}
		sleep(ctx, statusInterval)
	}
}

// currentStatus returns the status to send to the peers. It is rebuilt once per round and
// shared by all peers.
func (n *Node) currentStatus() *Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.publishedStatus == nil || now.Sub(n.publishedStatus.receivedAt) > statusInterval/2 {
		n.publishedStatus = n.buildStatus()
		n.publishedStatus.receivedAt = now
	}
	return n.publishedStatus
}

// buildStatus returns the status of this controller. It is encoded without holding the
// lock, so it shares no mutable state.
func (n *Node) buildStatus() *Status {
	status := &Status{
		From:        n.settings.HostName,
		Session:     n.session.id,
		HoldsLease:  n.holdsLease(n.now()),
		Utilization: n.cpuMeter.utilization,
	}
	for id := range n.cordonedMachines {
		status.Cordoned = append(status.Cordoned, id)
	}
	if !status.HoldsLease {
		return status
	}
	for _, s := range n.shards {
		status.Shards = append(status.Shards, n.buildShardStatus(s))
	}
	return status
}

// buildShardStatus returns the status of a shard of this controller.
func (n *Node) buildShardStatus(s *shard) ShardStatus {
	status := ShardStatus{
		Index:          s.index,
		FencingToken:   s.fencingToken,
		BootingVersion: s.bootingVersion,
		BootingCores:   n.bootingCores(s),
		// Unlike slices.Clone, append returns nil for an empty slice; nil and empty slices
		// are encoded differently.
		ScaleOut:      append([]machineRequest(nil), s.scaleOut...),
		SuitableKinds: append([]machineKind(nil), s.suitableKinds...),
		Used:          maps.Clone(s.used),
		Desired:       maps.Clone(s.desired),
		Running:       map[string]int{},
	}
	if n.records.HeartbeatProxiesEnabled() {
		status.SmallestTask = maps.Clone(s.smallestTask)
	}
	if n.records.ShardCapacityEnabled() {
		status.Startable = maps.Clone(s.startable)
		status.SpareCapacity = slices.Clone(s.spareCapacity)
	}
	for id, j := range s.jobs {
		if running := len(j.attempts); running > 0 {
			status.Running[id] = running
		}
	}
	return status
}

// ReceiveStatus applies another controller's status and returns the reply.
func (n *Node) ReceiveStatus(status Status) StatusReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	status.receivedAt = now
	reply := StatusReply{From: n.settings.HostName, HoldsLease: n.holdsLease(now)}
	if history := n.session.histories[status.From]; history != nil && history.IsExpired(status.Session) {
		// A delayed message of a terminated process may arrive minutes after those of its
		// successor.
		return reply
	}
	n.dropInvalidValues(&status)
	n.peerStatus[status.From] = &status
	if n.leadership != nil && reply.HoldsLease {
		n.leadership.receiveStatus(n, &status, now)
		n.leadership.answerStatus(n, &status, &reply, now)
	}
	return reply
}

// applyStatusReply applies a peer's reply. The leader's reply also contains booting and
// removed machines.
func (n *Node) applyStatusReply(reply *StatusReply) {
	now := n.now()
	if peer := n.peerStatus[reply.From]; peer != nil {
		peer.HoldsLease = reply.HoldsLease
	}
	if !reply.IsLeader {
		return
	}
	for _, shardReply := range reply.Shards {
		s := n.shards[shardReply.Index]
		if s == nil || s.bootingVersion == shardReply.BootingVersion {
			continue
		}
		s.bootingVersion = shardReply.BootingVersion
		s.setBooting(shardReply.Booting, now)
		s.scaleOut = s.scaleOut[:0] // replanned before it is sent again
		n.wakeLoops()
	}
	clear(n.noCapacityUntil)
	for _, kind := range reply.NoCapacity {
		n.noCapacityUntil[kind] = now.Add(statusValidity)
	}
	for _, id := range reply.Removed {
		n.removedMachines[id] = true
	}
}

// IsReady reports whether this controller should receive user requests: it holds its
// lease, or no other controller does either, as during an outage of the store, when a
// quick refusal serves users better than no answer.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.holdsLease(now) {
		return true
	}
	for _, status := range n.peerStatus {
		if status.HoldsLease && now.Sub(status.receivedAt) < statusValidity {
			return false
		}
	}
	return n.records.Loaded
}
