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

// A worker whose holder can't be reached is not answered before its delegation and then
// the acknowledgement are written, while its lease runs out. So these writes wait neither
// for the answers to others nor for one another, and one that is not answered is sent again
// on the same preconditions long before it is given up: whichever copy is carried out first
// makes the others fail. docs/safety.md has the argument.

const (
	// delegationRepeatInterval is how long a write may go without an answer before it
	// is sent again, if the write budget has room beside other writes.
	delegationRepeatInterval = storage.HedgeInterval
	// maxQuickRepeats is how often a write is sent again so soon.
	maxQuickRepeats = 8
	// delegationRetryInterval is the time between two copies otherwise.
	delegationRetryInterval = 2 * time.Second
)

// sentTxns are the transactions of delegations and acknowledgements that were sent a
// short time ago, by the first key that each of them writes.
type sentTxns map[string]*sentTxn

// sentTxn is what is known of the copies of a transaction.
type sentTxn struct {
	preconditions []protocol.Precondition
	lastSentAt    time.Time
	repeats       int    // copies that were sent after the first
	revision      uint64 // at which one was carried out; 0: none is known to be
}

// nextSendTime returns when the transaction may be sent again. hasBudget tells whether there is
// room for it beside other writes.
func (s *sentTxn) nextSendTime(hasBudget bool) time.Time {
	if hasBudget && s.repeats < maxQuickRepeats && s.revision == 0 {
		return s.lastSentAt.Add(delegationRepeatInterval)
	}
	return s.lastSentAt.Add(delegationRetryInterval)
}

// begin records that a transaction is sent now, and returns what is known of its copies.
// It returns nil if the transaction has to wait: a copy was sent a short time ago, or is
// known to be carried out and not shown yet by the copy of the records. budget is how many
// writes there is room for beside others.
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

// evictOld forgets the transactions that have not been sent for a while.
func (s sentTxns) evictOld(now time.Time) {
	maps.DeleteFunc(s, func(_ string, sent *sentTxn) bool {
		return now.Sub(sent.lastSentAt) > 2*delegationRetryInterval
	})
}

// dueDelegationTxn is a transaction that is to be sent, with what is known of its copies.
type dueDelegationTxn struct {
	protocol.Txn
	sent *sentTxn
}

// firstKey returns the first key that a transaction writes.
func firstKey(txn protocol.Txn) string { return txn.Writes[0].Put + txn.Writes[0].Delete }

// delegationLoop writes the delegations of this controller as a proxy and its
// acknowledgements as a holder, all side by side.
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

// dueDelegationTxns returns the transactions of both sides that are to be sent now, and how
// long it had the processor.
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

// sendDelegationTxn sends one copy of a transaction. What fails is sent again as the
// records then show it.
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
