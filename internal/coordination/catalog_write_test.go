package coordination

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// The leader stores the machine types again soon after a write that failed or
// was not answered. Waiting for the next regular read left the other
// controllers without machine types for a minute, so they acquired no shard.
func TestFailedCatalogWriteIsRepeated(t *testing.T) {
	for name, fate := range map[string]forcedOutcome{
		"refused":              {refused: true},
		"unanswered, too late": {late: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, nil)
				stop := w.open()
				defer stop()
				w.linkLoss, w.txnFailureRate = linkLoss{}, 0
				w.addNodes(3)
				var writes atomic.Int32
				for i := range w.nodes {
					w.start(i)
					link := w.nodes[i].storeLink
					link.mu.Lock()
					link.decideOutcome = func(txn protocol.Txn) forcedOutcome {
						if txn.Writes[0].Put != storage.CatalogKey || writes.Add(1) > 1 {
							return forcedOutcome{}
						}
						return fate
					}
					link.mu.Unlock()
				}
				time.Sleep(10 * time.Second)
				for _, o := range w.nodes {
					o.node.mu.Lock()
					if len(o.node.records.MachineTypes) == 0 || len(o.node.shards) != 1 {
						t.Errorf("%s has %d machine types and %d shards", o.name, len(o.node.records.MachineTypes), len(o.node.shards))
					}
					o.node.mu.Unlock()
				}
				if count := writes.Load(); count < 2 {
					t.Errorf("the machine types were written %d times", count)
				}
			})
		})
	}
}
