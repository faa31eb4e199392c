package coordination

import (
	"context"
	"log/slog"

	"reedtrack/internal/protocol"
)

// sendHalts sends a shard's halts straight to the workers. It only speeds up
// what their next reports bring anyway.
func (n *Node) sendHalts(i int) {
	type msg struct {
		addr string
		d    protocol.Direct
	}
	var out []msg
	now := n.now()
	n.mu.Lock()
	if s := n.shards[i]; s != nil && n.valid(now) {
		for _, m := range s.machines {
			due := false
			for _, r := range m.runs {
				due = due || r.halt && r.sent && r.haltOut.IsZero()
			}
			if due && m.heard && !m.expired && m.address != "" {
				out = append(out, msg{m.address, protocol.Direct{Baton: s.baton(m), Stint: m.stint, Orders: s.halts(m, now)}})
			}
		}
	}
	n.mu.Unlock()
	for _, o := range out {
		go func() {
			if err := n.direct(context.Background(), o.addr, o.d); err != nil {
				slog.Debug("direct halt failed", "worker", o.addr, "err", err)
			}
		}()
	}
}

// Checkin answers a worker's report. status is 200, 421 or 503.
func (n *Node) Checkin(r *protocol.Report) (status int, orders protocol.Orders, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
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
	// The time again: reading the report may have taken a while.
	now = n.now()
	if !now.Before(n.validTil) {
		return 503, orders, ""
	}
	return 200, protocol.Orders{Baton: s.baton(m), Orders: s.orders(m, now)}, ""
}

func (n *Node) redirect(name string) string {
	if name == n.set.HostName {
		return ""
	}
	return name
}
