package coordination

import "reedtrack/internal/protocol"

// Checkin answers a worker's report. status is 200, 421 or 503.
func (n *Node) Checkin(r *protocol.Report) (status int, orders protocol.Orders, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.hearing.ear.Heard()
	if !n.valid(now) {
		return 503, orders, ""
	}
	i, granted := n.owner[r.Machine]
	if !granted {
		if n.lead == nil {
			return 421, orders, n.redirect(n.leaderRec.v.Name)
		}
		n.lead.reported(r, now)
		n.wake()
		return 503, orders, ""
	}
	s := n.shards[i]
	if s == nil {
		if orders, ok := n.answerFor(r, i, now); ok {
			return 200, orders, ""
		}
		return 421, orders, n.redirect(n.shardRecs[i].v.Holder.Name)
	}
	m := s.machines[r.Machine]
	if m == nil || m.release || !s.report(m, r, now) {
		return 503, orders, ""
	}
	if s.freed {
		// Place at once, so that starts travel with this very answer and room
		// that came free does not wait for another report.
		s.fill(m, n.teams)
	}
	if s.news {
		n.wake()
	}
	// Lease and copy again: reading the report may have taken a while, and on a
	// processor that others use a process may stand still at any point.
	if now = n.now(); !n.valid(now) {
		return 503, orders, ""
	}
	return 200, protocol.Orders{Token: s.token(m), Orders: s.orders(m, now)}, ""
}

func (n *Node) redirect(name string) string {
	if name == n.set.HostName {
		return ""
	}
	return name
}
