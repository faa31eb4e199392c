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

// failoverWrites counts and decides the writes by which a shard comes to its next holder.
type failoverWrites struct {
	unanswered     int // of the first copies of each sender and kind
	lateWriteDelay time.Duration
	mu             sync.Mutex
	copies         map[string]int
	carriedOut     map[string]int // by key and the revision that they depend on
}

// kindOfFailoverWrite returns the key that decides a failover that a transaction writes;
// empty: none.
func kindOfFailoverWrite(txn protocol.Txn) string {
	for _, write := range txn.Writes {
		if _, isShard := storage.ParseShardKey(write.Put); isShard || write.Put == storage.LeaderKey {
			return write.Put
		}
	}
	return ""
}

// decide returns the fate of a transaction of a controller.
func (f *failoverWrites) decide(sender string, txn protocol.Txn) forcedFate {
	key := kindOfFailoverWrite(txn)
	if key == "" {
		return forcedFate{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies[sender+key]++
	fate := forcedFate{done: func(status int) { f.recordDone(fmt.Sprint(key, txn.Preconditions), status) }}
	if f.copies[sender+key] <= f.unanswered {
		fate.late = f.lateWriteDelay
	}
	return fate
}

// recordDone counts the copies of a write that were carried out.
func (f *failoverWrites) recordDone(write string, status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status == http.StatusOK {
		f.carriedOut[write]++
	}
}

// unheldShards returns how many shards no controller holds that may act.
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

// Guards against workers that wait for the next holder of their shard since the writes by
// which it is granted get no answer: the leader's key, then the shard's lease. The holder
// that has gone leads as well.
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
					n.wire.mu.Lock()
					n.wire.decideFate = func(txn protocol.Txn) forcedFate { return writes.decide(n.name, txn) }
					n.wire.mu.Unlock()
				}
				w.endSession(leader)
				gone := time.Now()
				for time.Since(gone) < maxProxyDelay && w.unheldShards() > 0 {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("%d shards without a holder after %v", w.unheldShards(), time.Since(gone))
				if w.unheldShards() > 0 {
					t.Errorf("%d shards without a holder %v after theirs has gone", w.unheldShards(), time.Since(gone))
				}
				time.Sleep(2 * lateWriteDelay)
				stop()
				for write, count := range writes.carriedOut {
					if count > 1 {
						t.Errorf("%d copies carried out: %s", count, write)
					}
				}
				w.check(t)
			})
		})
	}
}

// endSession ends a controller's process for good, and its lease with it.
func (w *world) endSession(i int) {
	n := w.node(i)
	n.mu.Lock()
	lease := n.session.own.Lease()
	n.mu.Unlock()
	w.kill(i)
	w.store.Handle(w.ctx, http.MethodDelete, "/grants/"+jsonText(lease), nil, nil)
}
