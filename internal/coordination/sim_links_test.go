package coordination

import (
	"slices"
	"time"

	"reedtrack/internal/protocol"
)

// reaches reports whether workers of a zone and a controller can reach each other.
func (w *world) reaches(zone string, n *simNode) bool {
	return !n.cutFromWorkers && (w.isolatedZone == "" || n.inIsolatedZone == (zone == w.isolatedZone)) && (!w.zonesSeparated || n.zone == "" || n.zone == zone)
}

// pauseLeft returns how much longer a controller is paused, neither sending nor receiving.
func (w *world) pauseLeft(i int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := time.Until(w.nodes[i].pausedUntil); d > 0 {
		return d
	}
	return 0
}

// storeLatency returns the added latency of a store request, which is occasionally
// seconds.
func (w *world) storeLatency() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDelay == 0 {
		return 0
	}
	if w.random.IntN(4) == 0 {
		w.recordEventLocked("the state service delays a request by seconds")
		return w.storeDelay + time.Duration(w.random.Int64N(int64(w.storeDelay)))
	}
	return w.storeDelay / 8
}

// heartbeatLatency returns the added latency of a heartbeat or its answer.
func (w *world) heartbeatLatency() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.heartbeatDelay == 0 {
		return 0
	}
	w.recordEventLocked("heartbeat delayed by a slow link")
	return time.Duration(w.random.Int64N(int64(w.heartbeatDelay)))
}

// copyHeartbeat creates, at the configured rate, a copy of a heartbeat that arrives later;
// the caller holds the world's lock.
func (w *world) copyHeartbeat(r *protocol.Heartbeat, to int) {
	if w.random.Float64() >= w.heartbeatCopyRate {
		return
	}
	c := *r
	c.Tasks = slices.Clone(r.Tasks)
	if w.disabledGuards.order {
		c.Sequence += 1 << 30
	}
	if w.disabledGuards.term {
		c.FencingToken = 1 << 60
	}
	if w.copiesForNextLeader {
		w.keptHeartbeats = append(w.keptHeartbeats, &c)
		return
	}
	delay := 2*time.Second + time.Duration(w.random.IntN(30000))*time.Millisecond
	w.spawn(func() {
		time.Sleep(delay)
		if n := w.node(to); n != nil && w.ctx.Err() == nil {
			status := n.Heartbeat(&c).Status
			w.mu.Lock()
			defer w.mu.Unlock()
			w.recordEventLocked("heartbeat copy")
			if delay.Seconds() > w.settings.Deployment.Workers.LeaseS {
				w.recordEventLocked("heartbeat copy, more than a lease late")
			}
			if m := w.workers[c.Machine]; m != nil && m.session > c.Session {
				w.recordEventLocked("heartbeat copy of an earlier session")
			}
			if status == 200 {
				w.recordEventLocked("heartbeat copy answered")
			}
		}
	})
}
