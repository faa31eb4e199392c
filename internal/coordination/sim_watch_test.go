package coordination

import (
	"time"
)

// watch polls the world for leader changes, for the number of running controllers, and,
// once all faults are over, for waiting jobs.
func (w *world) watch() {
	var none time.Time // since when all controllers are down
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
			w.recordEventLocked("all controllers down for a lease")
		}
		if up == 1 {
			w.recordEventLocked("one controller up")
		}
		if now := time.Now(); !w.recoveredAt.IsZero() && now.Sub(w.waiting.checkedAt) >= time.Second {
			w.checkWaiting(now)
		}
		w.mu.Unlock()
		w.followLeadership()
	}
}

// followLeadership records leader changes. To all controllers it then delivers the
// heartbeats kept for this moment, at once and again after the new leader has acted.
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
	revision := uint64(0)
	if n.leadership != nil {
		revision = n.leadership.revision
	}
	n.mu.Unlock()
	w.mu.Lock()
	if revision <= w.leaderRevision {
		w.mu.Unlock()
		return
	}
	if w.leaderRevision != 0 {
		w.recordEventLocked("leader changed")
	}
	w.leaderRevision = revision
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
		deliver("kept heartbeat as the leader changes")
		time.Sleep(4 * time.Second)
		deliver("kept heartbeat after the new leader acted")
	})
}
