package coordination

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a holder that steps down after its process was paused: it received
// nothing from the workers or the key-value store, which is no evidence that the workers
// can't reach it.
func TestHolderKeepsSessionAfterPause(t *testing.T) {
	const pauseDuration = 6 * time.Second // longer than a step-down takes, shorter than the lease
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, nil)
		stop := w.open()
		defer stop()
		w.fillMachines = 20
		holder := w.node(w.startSteadyLoad(3, 6))
		session, shards := sessionAndShards(holder)
		w.mu.Lock()
		for _, n := range w.nodes {
			if n.node == holder {
				n.pausedUntil = time.Now().Add(pauseDuration)
			}
		}
		w.mu.Unlock()
		time.Sleep(pauseDuration + 5*time.Second)
		sessionAfter, shardsAfter := sessionAndShards(holder)
		if sessionAfter != session || shardsAfter != shards {
			t.Errorf("session %d with %d shards before, %d with %d after", session, shards, sessionAfter, shardsAfter)
		}
	})
}

// sessionAndShards returns a controller's session and the number of shards it holds.
func sessionAndShards(n *Node) (session uint64, shards int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.session.id, len(n.shards)
}
