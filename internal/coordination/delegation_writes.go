package coordination

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// A worker whose holder is unreachable gets no answer until its delegation and then the
// acknowledgement are written, while its lease is running out. These writes therefore wait
// neither for responses to other writes nor for each other. An unanswered write is resent
// with the same preconditions long before it times out: the first copy to be executed
// makes the others fail. docs/safety.md has the argument.

const (
	// delegationRepeatInterval is the time after which an unanswered write is resent, if
	// the write budget suffices for it in addition to other writes.
	delegationRepeatInterval = storage.HedgeInterval
	// maxQuickRepeats is the maximum number of copies that are sent at
	// delegationRepeatInterval.
	maxQuickRepeats = 8
	// delegationRetryInterval is the time between two copies in all other cases.
	delegationRetryInterval = 2 * time.Second
)

// sentTxns holds the recently sent transactions of delegations and acknowledgements, by
// the first key that each of them writes.
type sentTxns map[string]*sentTxn

// sentTxn is the state of the copies of a transaction.
type sentTxn struct {
	preconditions []protocol.Precondition
	lastSentAt    time.Time
	repeats       int    // copies sent after the first
	revision      uint64 // revision at which a copy was executed; 0: not confirmed
}

// nextSendTime returns when the transaction may be resent. hasBudget reports whether
// the write budget suffices for it in addition to other writes.
func (s *sentTxn) nextSendTime(hasBudget bool) time.Time {
	if hasBudget && s.repeats < maxQuickRepeats && s.revision == 0 {
		return s.lastSentAt.Add(delegationRepeatInterval)
	}
	return s.lastSentAt.Add(delegationRetryInterval)
}

// begin records that a transaction is sent now, and returns the state of its copies. It
// returns nil if the transaction has to wait, because a copy was sent recently, or was
// executed and is not yet visible in the replicated records. budget is the number of
// writes available in addition to other writes.
func (s sentTxns) begin(txn protocol.Txn, budget int, now time.Time) *sentTxn {
	sent := s[firstKey(txn)]
	if sent == nil || !slices.Equal(sent.preconditions, txn.Preconditions) {
		sent = &sentTxn{preconditions: txn.Preconditions, lastSentAt: now}
		s[firstKey(txn)] = sent
		return sent
	}
	if now.Before(sent.nextSendTime(budget >= len(txn.Writes))) {
		return nil
	}
	sent.lastSentAt = now
	sent.repeats++
	return sent
}

// evictOld removes the transactions that have not been sent recently.
func (s sentTxns) evictOld(now time.Time) {
	maps.DeleteFunc(s, func(_ string, sent *sentTxn) bool {
		return now.Sub(sent.lastSentAt) > 2*delegationRetryInterval
	})
}

// dueDelegationTxn is a transaction that is due to be sent, with the state of its copies.
type dueDelegationTxn struct {
	protocol.Txn
	sent *sentTxn
}

func firstKey(txn protocol.Txn) string { return txn.Writes[0].Put + txn.Writes[0].Delete }

// delegationLoop writes this controller's delegations as a proxy and its acknowledgements
// as a holder, all concurrently.
func (n *Node) delegationLoop(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	tick := func(ctx context.Context) time.Duration {
		txns, took := n.dueDelegationTxns()
		for _, due := range txns {
			sending.Go(func() { n.sendDelegationTxn(ctx, due) })
		}
		return took
	}
	wakeableLoop(n.wake.delegations, tick)(ctx)
}

// dueDelegationTxns returns the transactions of both the proxy and the holder side that
// are due now, and how long it took to compute them.
func (n *Node) dueDelegationTxns() (due []dueDelegationTxn, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	start := time.Now()
	now := n.now()
	if !n.holdsLease(now) || !n.records.HeartbeatProxiesEnabled() {
		return nil, 0
	}
	sentTxns := n.heartbeatProxy.sentTxns
	sentTxns.evictOld(now)
	budget := n.store.DeferrableWrites()
	for _, txn := range append(n.acknowledgementTxns(), n.delegationTxns(now)...) {
		if sent := sentTxns.begin(txn, budget, now); sent != nil {
			due = append(due, dueDelegationTxn{Txn: txn, sent: sent})
			budget -= len(txn.Writes)
		}
	}
	return due, time.Since(start)
}

// sendDelegationTxn sends one copy of a transaction. A failed transaction is rebuilt from
// the then current records and sent again.
func (n *Node) sendDelegationTxn(ctx context.Context, due dueDelegationTxn) {
	repeat := time.AfterFunc(delegationRepeatInterval, func() { signal(n.wake.delegations) })
	revision, err := n.store.TxnForWorkerLease(ctx, due.Txn)
	slog.Debug("delegations written", "key", firstKey(due.Txn), "writes", len(due.Writes), "err", err)
	if err != nil {
		return
	}
	repeat.Stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	due.sent.revision = revision
}
