package coordination

import (
	"time"

	"reedtrack/internal/protocol"
)

// holdsMachine reports whether a controller holds the shard of a machine.
func (n *Node) holdsMachine(machine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, granted := n.records.ShardOfMachine[machine]
	return granted && n.shards[i] != nil
}

// checkProxyAnswer checks an answer that a heartbeat proxy gives in place of the holder; the
// caller holds the world's lock.
func (w *world) checkProxyAnswer(m *simWorker, orders protocol.HeartbeatResponse) {
	w.recordEventLocked("a heartbeat proxy answers")
	for _, o := range orders.Commands {
		switch o.Verb {
		case protocol.VerbStop:
			w.recordEventLocked("a heartbeat proxy stops a task")
		default:
			w.violationf("a heartbeat proxy has %s %s a task", m.id, o.Verb)
		}
	}
	if time.Since(m.lastAcknowledged) > time.Duration(w.settings.Deployment.Workers.LeaseS/2*float64(time.Second)) {
		w.recordEventLocked("a heartbeat proxy answers late in a worker's lease")
	}
}
