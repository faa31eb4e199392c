package coordination

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// leadership is the leader's state that is not in the records. A new leader starts
// with an empty state and rebuilds it from heartbeats, statuses and the cloud's list.
//
// The leader is the controller whose session the leader's key names. The table lists
// the writers of each record, and the records that must be unchanged since the writer
// read them:
//
//	record               writer                        unchanged
//	leader's key         any controller, if vacant     the key itself
//	catalog              leader                        leader's key
//	last fencing token   leader, with each grant       leader's key, the token itself
//	shard lease          leader                        the same, the lease itself, the keys
//	                                                   of the former and the new holder
//	shard's grant        leader, to add to it          leader's key, last fencing token,
//	                                                   shard lease, the grant itself
//	                     leader, to split it           leader's key, the grant itself
//	                     shard's holder, to take       shard lease, the grant itself
//	                     from it
//
// A write may be executed long after it was sent, even after its sender has abandoned
// it or has terminated. It then fails: the leader's key has another revision under
// another leader, the fencing token increases with each grant, the shard lease changes
// with the holder, and the grant with every addition or removal. docs/safety.md has the
// arguments.
type leadership struct {
	// The leadership term, set once by newLeadership.
	revision   uint64 // revision of the leader's key; part of the leader's request IDs
	acquiredAt time.Time

	// The last grant that was written, set by writeGrant.
	grantRevision  uint64
	grantWrittenAt time.Time

	// Booting machines, and kinds for which the cloud has no capacity: see boot_queue.go.
	requestCount    int
	booting         []*bootingMachine
	bootingVersions map[int]uint64
	noCapacityUntil map[machineKind]time.Time

	// Running and former machines: see machine_inventory.go.
	machines map[string]*cloudMachine
	released map[string]bool
	failed   map[string]bool // granted machines that the last list marks as failed or does not contain
	listedAt time.Time       // time when the last complete list was requested

	// Machines that holders reported as faulty or slow, set by receiveStatus.
	cordoned map[string]bool

	// When the catalog was last read, set by nextCloudCall and readCatalog.
	catalogReadAt time.Time
}

// newLeadership returns the state of a leader that has just been elected.
func newLeadership(revision uint64, now time.Time) *leadership {
	return &leadership{
		revision:        revision,
		acquiredAt:      now,
		machines:        map[string]*cloudMachine{},
		bootingVersions: map[int]uint64{},
		noCapacityUntil: map[machineKind]time.Time{},
		cordoned:        map[string]bool{},
		released:        map[string]bool{},
	}
}

// isReady reports whether a new leader has enough information to make decisions: every
// controller has had time to send its status, and a complete list of the cloud's machines
// was requested after it was elected.
func (l *leadership) isReady(now time.Time) bool {
	return now.Sub(l.acquiredAt) > 3*statusInterval && l.listedAt.After(l.acquiredAt)
}

// establishLeadership assumes the leader's duties, unless this controller already has
// them under the current leader's key. Everything that a leader does starts here:
//
//   - leaderTick writes grants;
//   - cloudLoop reads the catalog, requests, lists and releases machines;
//   - ReceiveStatus replies to holders with the booting machines of their shards, and
//     queues the machines that they request;
//   - Heartbeat keeps the state of machines that belong to no shard;
//   - deleteStaleChunks deletes completion chunks of ended jobs.
//
// advanceSchema raises the schema version as soon as the leader's key names this
// controller.
func (n *Node) establishLeadership(now time.Time) {
	revision := n.records.Leader.Revision
	if n.leadership != nil && n.leadership.revision == revision {
		return
	}
	n.leadership = newLeadership(revision, now)
	slog.Info("leadership acquired", "revision", revision)
}

// revokeLeadership ends the duties that establishLeadership lists. Transactions in flight
// fail, since they are conditional on the leader's key. A call to the cloud may still be
// executed; its outcome is recorded in the discarded state.
func (n *Node) revokeLeadership() {
	n.leadership = nil
}

// leaderTick participates in leader election and, as the leader, writes grants. It returns
// how long planning took.
func (n *Node) leaderTick(ctx context.Context) time.Duration {
	n.mu.Lock()
	now := n.now()
	if !n.holdsLease(now) {
		n.mu.Unlock()
		return 0
	}
	leads := n.isOwnSession(n.records.Leader.Value)
	n.store.SetLeading(leads, n.storeLimits().WriteRPS, n.settings.Deployment.Count)
	if !leads {
		n.revokeLeadership()
		candidacy := n.planCandidacy()
		n.mu.Unlock()
		n.writeCandidacy(ctx, candidacy)
		return 0
	}
	n.establishLeadership(now)
	start := time.Now()
	plan := n.planAsLeader(now)
	leadership := n.leadership
	took := time.Since(start)
	n.mu.Unlock()
	if plan != nil {
		n.writeGrant(ctx, leadership, plan)
	}
	return took
}

// planCandidacy returns the transaction that makes this controller the leader, or nil
// while the leader's key names another controller. A key that names this controller
// belongs to one of its ended sessions.
func (n *Node) planCandidacy() *protocol.Txn {
	leader := n.records.Leader
	if leader.Revision != 0 && leader.Value.Name != n.settings.HostName {
		return nil
	}
	self := storage.Controller{Name: n.settings.HostName, Session: n.session.id}
	return &protocol.Txn{
		Preconditions: []protocol.Precondition{n.leaderPrecondition()},
		Writes:        []protocol.Write{{Put: storage.LeaderKey, Value: self, LeaseID: self.Session}},
	}
}

// writeCandidacy tries to write the leader's key. Whether it succeeded is read from the
// replicated records.
func (n *Node) writeCandidacy(ctx context.Context, candidacy *protocol.Txn) {
	if candidacy == nil {
		return
	}
	_, err := n.store.HedgedTxn(ctx, *candidacy)
	slog.Debug("leader key write attempted", "err", err)
}

func (n *Node) planAsLeader(now time.Time) *grantPlan {
	status := n.buildStatus()
	n.serveOwnShards(status, now)
	if !n.isLastGrantApplied(now) {
		return nil
	}
	plan := n.planGrant(status, now)
	if plan != nil {
		n.leadership.removeGranted(plan.changes.machines)
	}
	return plan
}

// serveOwnShards processes the leader's own status like that of any other controller.
func (n *Node) serveOwnShards(status *Status, now time.Time) {
	n.leadership.receiveStatus(n, status, now)
	reply := StatusReply{From: n.settings.HostName, HoldsLease: true}
	n.leadership.answerStatus(n, status, &reply, now)
	n.applyStatusReply(&reply)
}

// isLastGrantApplied reports whether the replicated records contain the last grant, or
// maxApplyDelay has passed since it was written. The next grant is conditional on the last
// one's fencing token, so it would fail before that.
func (n *Node) isLastGrantApplied(now time.Time) bool {
	l := n.leadership
	return n.records.AppliedRevision >= l.grantRevision || now.Sub(l.grantWrittenAt) > maxApplyDelay
}

// writeGrant writes a grant and records the outcome.
func (n *Node) writeGrant(ctx context.Context, leadership *leadership, plan *grantPlan) {
	revision, err := n.sendGrant(ctx, plan)
	changes := plan.changes.String()
	switch {
	case err == nil:
		n.mu.Lock()
		leadership.grantRevision, leadership.grantWrittenAt = revision, n.now()
		n.mu.Unlock()
		slog.Info("grant written", "changes", changes)
	case errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrBudgetExhausted):
		slog.Debug("grant write failed", "changes", changes, "err", err)
	default:
		slog.Warn("grant write failed", "changes", changes, "err", err)
	}
}

// sendGrant sends a grant. The workers of a shard without a holder get no answers until
// a new holder is granted the shard, so a grant of a shard is hedged.
func (n *Node) sendGrant(ctx context.Context, plan *grantPlan) (uint64, error) {
	if plan.changes.shard != nil {
		return n.store.HedgedTxn(ctx, plan.txn)
	}
	return n.store.Txn(ctx, plan.txn)
}

// leaderPrecondition requires that the leader's key is unchanged since it was replicated.
func (n *Node) leaderPrecondition() protocol.Precondition {
	return protocol.Precondition{Key: storage.LeaderKey, Revision: n.records.Leader.Revision}
}
