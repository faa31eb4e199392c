package storage

import (
	"context"
	"errors"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// HedgeInterval is how long a hedged transaction may be unanswered before another
	// copy is sent.
	HedgeInterval = 400 * time.Millisecond
	// maxTxnCopies is the maximum number of copies sent.
	maxTxnCopies = 5
)

// txnAnswer is the result of one copy of a transaction.
type txnAnswer struct {
	revision uint64
	err      error
}

// HedgedTxn is Txn for a transaction on which workers' leases depend. While the transaction
// is unanswered, it sends further copies if the budget allows deferrable writes. The first
// conclusive answer determines the result. Without any answer it returns ErrUnknown about
// 2.6 s after the call.
//
// The transaction must write a key that is named by its preconditions, so that at most one
// copy is executed. ErrConflict may mean that another copy was executed.
func (c *Client) HedgedTxn(ctx context.Context, txn protocol.Txn) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan txnAnswer, maxTxnCopies)
	sent, pending := 0, 0
	send := func() {
		sent++
		pending++
		go func() {
			revision, err := c.sendTxn(ctx, c.workerLeaseClient, txn, reservation{})
			answers <- txnAnswer{revision, err}
		}()
	}
	send()
	hedge := time.NewTicker(HedgeInterval)
	defer hedge.Stop()
	for {
		select {
		case answer := <-answers:
			pending--
			if pending == 0 || answer.isFinal() {
				return answer.revision, answer.err
			}
		case <-hedge.C:
			if sent < maxTxnCopies && c.DeferrableWrites() >= len(txn.Writes) {
				send()
			}
		}
	}
}

// isFinal reports whether the answer is conclusive for all copies of the transaction.
func (a txnAnswer) isFinal() bool {
	return a.err == nil || errors.Is(a.err, ErrConflict) || errors.Is(a.err, ErrLeaseNotFound)
}
