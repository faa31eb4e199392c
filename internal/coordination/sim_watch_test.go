package coordination

import (
	"time"
)

// watch records when another controller leads, and brings it, and all others,
// the heartbeats that were kept for then, at once and again when it has acted;
// and how few controllers are up.
func (w *world) watch() {
	var none time.Time // since when no controller is up
	for w.ctx.Err() == nil {
		sleep(w.ctx, 20*time.Millisecond)
		w.mu.Lock()
		up := 0
		for _, n := range w.nodes {
			if n.node != nil {
				up++
			}
		}
		switch {
		case up > 0:
			none = time.Time{}
		case none.IsZero():
			none = time.Now()
		case time.Since(none).Seconds() > w.settings.Deployment.Workers.LeaseS:
			w.recordEventLocked("all away for a lease")
		}
		if up == 1 {
			w.recordEventLocked("one is up alone")
		}
		if now := time.Now(); !w.recoveredAt.IsZero() && now.Sub(w.waiting.checkedAt) >= time.Second {
			w.checkWaiting(now)
		}
		w.mu.Unlock()
		w.followLeadership()
	}
}

func (w *world) followLeadership() {
	i := w.leader()
	if i < 0 {
		return
	}
	n := w.node(i)
	if n == nil {
		return
	}
	n.mu.Lock()
	reign := uint64(0)
	if n.leadership != nil {
		reign = n.leadership.revision
	}
	n.mu.Unlock()
	w.mu.Lock()
	if reign <= w.leaderRevision {
		w.mu.Unlock()
		return
	}
	if w.leaderRevision != 0 {
		w.recordEventLocked("another leads")
	}
	w.leaderRevision = reign
	kept := w.keptHeartbeats
	w.keptHeartbeats = nil
	w.mu.Unlock()
	deliver := func(what string) {
		for _, r := range kept {
			for k := range w.nodes {
				if n := w.node(k); n != nil && w.ctx.Err() == nil {
					n.Heartbeat(r)
					w.recordEvent(what)
				}
			}
		}
	}
	w.spawn(func() {
		deliver("kept report as another begins to lead")
		time.Sleep(4 * time.Second)
		deliver("kept report after the new leader acted")
	})
}
