package coordination

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// failoverWrites counts the writes that give a shard to its next holder, and decides their
// outcomes.
type failoverWrites struct {
	unanswered     int // how many first copies per sender and key get no answer
	lateWriteDelay time.Duration
	mu             sync.Mutex
	copies         map[string]int
	carriedOut     map[string]int // by key and preconditions
}

// failoverKey returns the leader or shard key that a transaction writes, or an empty string
// if it writes neither.
func failoverKey(txn protocol.Txn) string {
	for _, write := range txn.Writes {
		if _, isShard := storage.ParseShardKey(write.Put); isShard || write.Put == storage.LeaderKey {
			return write.Put
		}
	}
	return ""
}

// decide returns the outcome of a controller's transaction.
func (f *failoverWrites) decide(sender string, txn protocol.Txn) forcedOutcome {
	key := failoverKey(txn)
	if key == "" {
		return forcedOutcome{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies[sender+key]++
	outcome := forcedOutcome{done: func(status int) { f.recordDone(fmt.Sprint(key, txn.Preconditions), status) }}
	if f.copies[sender+key] <= f.unanswered {
		outcome.late = f.lateWriteDelay
	}
	return outcome
}

// recordDone counts the copies of a write that were committed.
func (f *failoverWrites) recordDone(write string, status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status == http.StatusOK {
		f.carriedOut[write]++
	}
}

// unheldShards returns the number of shards that no controller holds under a valid lease.
func (w *world) unheldShards() int {
	held := map[int]bool{}
	for i := range w.nodes {
		n := w.node(i)
		if n == nil {
			continue
		}
		n.mu.Lock()
		for shard := range n.shards {
			held[shard] = held[shard] || n.holdsLease(n.now())
		}
		n.mu.Unlock()
	}
	return len(w.nodes) - len(held)
}

// Guards against workers that lose their shard's holder for long because the writes of a
// failover get no answer: first the leader key, then the shard's lease. The holder that
// fails is also the leader.
func TestFailoverOutlivesUnansweredWrites(t *testing.T) {
	for _, unanswered := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(unanswered, " unanswered"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, nil)
				stop := w.open()
				w.linkLoss, w.txnFailureRate = linkLoss{}, 0
				w.startSteadyLoad(3, 6)
				time.Sleep(60 * time.Second)
				leader := w.leader()
				if leader < 0 || w.unheldShards() > 0 {
					stop()
					t.Fatalf("leader %d, %d shards without a holder", leader, w.unheldShards())
				}
				writes := &failoverWrites{unanswered: unanswered, lateWriteDelay: lateWriteDelay, copies: map[string]int{}, carriedOut: map[string]int{}}
				for _, n := range w.nodes {
					n.storeLink.mu.Lock()
					n.storeLink.decideOutcome = func(txn protocol.Txn) forcedOutcome { return writes.decide(n.name, txn) }
					n.storeLink.mu.Unlock()
				}
				w.endSession(leader)
				failedAt := time.Now()
				for time.Since(failedAt) < maxProxyDelay && w.unheldShards() > 0 {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("%d shards without a holder after %v", w.unheldShards(), time.Since(failedAt))
				if w.unheldShards() > 0 {
					t.Errorf("%d shards without a holder %v after their holder failed", w.unheldShards(), time.Since(failedAt))
				}
				time.Sleep(2 * lateWriteDelay)
				stop()
				for write, count := range writes.carriedOut {
					if count > 1 {
						t.Errorf("%d copies committed: %s", count, write)
					}
				}
				w.check(t)
			})
		})
	}
}

// endSession stops a controller permanently and revokes its lease.
func (w *world) endSession(i int) {
	n := w.node(i)
	n.mu.Lock()
	lease := n.session.own.Lease()
	n.mu.Unlock()
	w.kill(i)
	w.store.Handle(w.ctx, http.MethodDelete, "/grants/"+jsonText(lease), nil, nil)
}
