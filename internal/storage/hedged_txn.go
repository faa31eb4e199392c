package storage

import (
	"context"
	"errors"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// HedgeInterval is how long a hedged transaction may go without an answer before
	// another copy is sent.
	HedgeInterval = 400 * time.Millisecond
	// maxTxnCopies is how many copies are sent at most.
	maxTxnCopies = 5
)

// txnAnswer is what came of one copy of a transaction.
type txnAnswer struct {
	revision uint64
	err      error
}

// HedgedTxn is Txn for a transaction that workers' leases wait for. While it is without an
// answer, copies of it are sent, if the budget has room for them beside other writes; the
// first answer that says what became of the transaction counts. It returns ErrUnknown about
// 2.6 s after the call if none comes.
//
// The transaction must write a key that its preconditions name, so that no more than one
// copy is ever carried out. ErrConflict may then mean that another copy was.
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

// isFinal reports whether the answer holds for all copies of the transaction.
func (a txnAnswer) isFinal() bool {
	return a.err == nil || errors.Is(a.err, ErrConflict) || errors.Is(a.err, ErrLeaseNotFound)
}
