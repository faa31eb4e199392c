package storage

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// Metrics of the transactions that the store did not accept.
var (
	rateRefusals = prometheus.NewCounter(prometheus.CounterOpts{Name: "reedtrack_state_rate_refused_total",
		Help: "Transactions refused by the state service for its rate."})
	rejections = prometheus.NewCounter(prometheus.CounterOpts{Name: "reedtrack_state_size_refused_total",
		Help: "Transactions refused by the state service for good, as for their size."})
)

func init() { prometheus.MustRegister(rateRefusals, rejections) }

// retryInterval is the delay before a request that exceeded the store's rate is retried.
const retryInterval = 50 * time.Millisecond

// Txn executes a transaction within the budget and returns its revision. It does not wait
// for budget, but returns ErrBudgetExhausted immediately.
func (c *Client) Txn(ctx context.Context, txn protocol.Txn) (uint64, error) {
	return c.sendTxn(ctx, c.httpClient, txn, reservation{})
}

// TxnByDeadline is Txn for interactive requests. Until a deadline of one second it waits for
// budget, which it may use in advance, and retries transactions that the store refuses
// because of its rate limit. Such a refusal is caused by a burst of several controllers, and
// the transaction was not executed.
func (c *Client) TxnByDeadline(ctx context.Context, txn protocol.Txn) (uint64, error) {
	return c.sendTxnByDeadline(ctx, c.httpClient, txn)
}

// TxnForWorkerLease is TxnByDeadline for a transaction on which workers' leases depend. It
// has the request timeout of a lease renewal. After ErrUnknown it may be retried immediately
// if its preconditions ensure that it is executed at most once.
func (c *Client) TxnForWorkerLease(ctx context.Context, txn protocol.Txn) (uint64, error) {
	return c.sendTxnByDeadline(ctx, c.workerLeaseClient, txn)
}

// sendTxnByDeadline sends a transaction through a client, see TxnByDeadline.
func (c *Client) sendTxnByDeadline(ctx context.Context, client *transport.Client, txn protocol.Txn) (uint64, error) {
	deadline := time.Now().Add(interactiveTimeout)
	for {
		remaining := time.Until(deadline)
		revision, err := c.sendTxn(ctx, client, txn, reservation{maxWait: remaining, overdraft: true})
		if !errors.Is(err, ErrRateLimited) || remaining < retryInterval || ctx.Err() != nil {
			return revision, err
		}
		_ = sleep(ctx, retryInterval) // if ctx ends, so does the next attempt
	}
}

// sendTxn reserves budget for the transaction's writes and sends it through a client.
func (c *Client) sendTxn(ctx context.Context, client *transport.Client, txn protocol.Txn, r reservation) (uint64, error) {
	if txn.Preconditions == nil {
		txn.Preconditions = []protocol.Precondition{}
	}
	r.writes = max(1, len(txn.Writes))
	if err := c.budget.await(ctx, r); err != nil {
		return 0, err
	}
	revision, err := c.postTxn(ctx, client, txn)
	if err != nil {
		c.recordRefusal(txn, err)
	}
	return revision, err
}

func (c *Client) postTxn(ctx context.Context, client *transport.Client, txn protocol.Txn) (uint64, error) {
	var result protocol.TxnResponse
	if err := client.Do(ctx, http.MethodPost, c.baseURL+"/multi", txn, &result); err != nil {
		return 0, classify(err)
	}
	return result.Revision, nil
}

// recordRefusal counts and logs transactions that the store refused because of its rate
// limit or rejected permanently. The latter are faults of this program.
func (c *Client) recordRefusal(txn protocol.Txn, err error) {
	var status *transport.StatusError
	switch {
	case errors.Is(err, ErrRateLimited):
		rateRefusals.Inc()
		c.rateLog.Do(func() { slog.Warn("state service rate limit exceeded", "keys", writtenKeys(txn)) })
	case errors.As(err, &status) && status.StatusCode == http.StatusBadRequest:
		rejections.Inc()
		c.rejectLog.Do(func() { slog.Error("transaction rejected by state service", "keys", writtenKeys(txn), "err", err) })
	}
}

func writtenKeys(txn protocol.Txn) []string {
	var keys []string
	for _, write := range txn.Writes {
		keys = append(keys, write.Put+write.Delete)
	}
	return keys
}
