package coordination

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// heartbeatOutcome is the outcome of a worker's heartbeat.
type heartbeatOutcome string

const (
	heartbeatDelivered     heartbeatOutcome = "delivered"
	heartbeatCutOff        heartbeatOutcome = "cut off"
	heartbeatDelayed       heartbeatOutcome = "held up"
	heartbeatRefused       heartbeatOutcome = "controller down"
	heartbeatAnswerLost    heartbeatOutcome = "answer lost"
	heartbeatAnswerDropped heartbeatOutcome = "answer dropped by the worker"
)

// tracedHeartbeat is a worker's heartbeat and its outcome.
type tracedHeartbeat struct {
	sentAt   time.Time
	to       string
	sequence uint64
	outcome  heartbeatOutcome
	status   int
	redirect string
	token    uint64
	tookS    float64
	lost     bool // the network lost it or its answer, which was a success or a redirect
	renews   bool // without the loss it would have renewed the lease
}

// maxTracedHeartbeats is the number of heartbeats kept per worker.
const maxTracedHeartbeats = 60

// heartbeatTrace holds a worker's most recent heartbeats.
type heartbeatTrace struct{ heartbeats []tracedHeartbeat }

func (t *heartbeatTrace) add(h tracedHeartbeat) {
	if t.heartbeats = append(t.heartbeats, h); len(t.heartbeats) > maxTracedHeartbeats {
		t.heartbeats = slices.Delete(t.heartbeats, 0, 1)
	}
}

// minExplainingLosses is the number of exchanges lost by the simulated network that alone
// explain an expired lease: each costs the worker 4 s of waiting and a heartbeat to a
// controller that only redirects it.
const minExplainingLosses = 3

// isExplainedByLosses reports whether a worker, since a given time, lost at least
// minExplainingLosses exchanges to the simulated network without an injected fault, one of
// which would have renewed its lease, and was redirected or cut off in all others. It is
// used in diagnostics only: an explained lease expiry still counts as a failure.
func (t *heartbeatTrace) isExplainedByLosses(since time.Time) bool {
	lost, renewing := 0, 0
	for _, h := range t.heartbeats {
		if !h.sentAt.After(since) || h.outcome == heartbeatCutOff {
			continue
		}
		if !h.lost && h.status != http.StatusMisdirectedRequest {
			return false
		}
		if h.lost {
			lost++
		}
		if h.lost && h.renews {
			renewing++
		}
	}
	return lost >= minExplainingLosses && renewing > 0
}

// mayAnswerMachine reports whether a controller answers a machine's heartbeats with 200, as
// its holder or its proxy.
func (n *Node) mayAnswerMachine(machine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, granted := n.records.ShardOfMachine[machine]
	proxy := n.heartbeatProxy.delegations[i]
	return granted && (n.shards[i] != nil || proxy != nil && proxy.CanAnswer(machine))
}

// describe lists the heartbeats with their times since the start of the fault period.
func (t *heartbeatTrace) describe(w *world) string {
	var text strings.Builder
	for _, h := range t.heartbeats {
		fmt.Fprintf(&text, "\n\t%.1f #%d to %s: %s", h.sentAt.Sub(w.startedAt).Seconds(), h.sequence, h.to, h.outcome)
		if h.status != 0 {
			fmt.Fprintf(&text, ", %d %s token %d", h.status, h.redirect, h.token)
		}
		fmt.Fprintf(&text, " after %.1f s", h.tookS)
	}
	return text.String()
}

// recordLeaseEnd records the outcomes of a worker's heartbeats before its lease expired with
// a task on it, and the controllers' view of the machine; the caller holds the world's lock.
func (w *world) recordLeaseEnd(m *simWorker, t *simTask, now time.Time) {
	text := fmt.Sprintf("%s in zone %s drops %s at %.1f, session %d, token %d, last answered heartbeat sent at %.1f, explained by lost exchanges %v:%s",
		m.id, m.request.Zone, t.name, now.Sub(w.startedAt).Seconds(), m.session, m.token, m.lastAcknowledged.Sub(w.startedAt).Seconds(),
		m.trace.isExplainedByLosses(m.lastAcknowledged), m.trace.describe(w))
	id := m.id
	w.spawn(func() {
		text += w.describeMachine(id)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.leaseEnds = append(w.leaseEnds, text)
	})
}

// describeMachine describes each controller's view of a machine and its delegation.
func (w *world) describeMachine(id string) string {
	var text strings.Builder
	for i := range w.nodes {
		n := w.node(i)
		if n == nil {
			continue
		}
		n.mu.Lock()
		index, granted := n.records.ShardOfMachine[id]
		fmt.Fprintf(&text, "\n\t%s zone %s lease %v: shard %d granted %v to %s", n.settings.HostName, n.settings.Location, n.holdsLease(n.now()), index, granted, n.records.Shards[index].Value.Holder.Name)
		if d := n.heartbeatProxy.delegations[index]; granted && d != nil {
			fmt.Fprintf(&text, ", proxy active %v can answer %v", d.IsActive(), d.CanAnswer(id))
		}
		if s := n.shards[index]; granted && s != nil && s.machines[id] != nil {
			m := s.machines[id]
			fmt.Fprintf(&text, ", holder: delegated %v expired %v releasing %v removed %v unreported %v", n.records.DelegatedMachines[index][id], m.isExpired(), m.releasing, m.removed, m.mayRunUnreportedTasks())
			for key, a := range m.attempts {
				fmt.Fprintf(&text, "; %v %s start %+v sent %.1f", key, a.status, a.start, a.startSentAt.Sub(w.startedAt).Seconds())
			}
		}
		for delegationID, record := range n.records.Delegations {
			if slices.Contains(record.Value.Machines, id) {
				ack := n.records.DelegationAcks[delegationID].Value
				fmt.Fprintf(&text, "; record %v revision %d token %d, acknowledged %v of %d", delegationID, record.Revision, record.Value.FencingToken, slices.Contains(ack.Machines, id), ack.DelegationRevision)
			}
		}
		n.mu.Unlock()
	}
	return text.String()
}
