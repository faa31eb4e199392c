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

// retryInterval is how soon a request is sent again that exceeded the store's rate.
const retryInterval = 50 * time.Millisecond

// Txn carries out a transaction within the budget and returns its revision. It does
// not wait for budget: ErrBudgetExhausted is returned at once.
func (c *Client) Txn(ctx context.Context, txn protocol.Txn) (uint64, error) {
	return c.sendTxn(ctx, c.httpClient, txn, reservation{})
}

// TxnByDeadline is Txn for a user who waits for the answer: by a deadline a second from
// now it waits for budget, also ahead of time, and sends again what the store refuses
// for its rate. Such a refusal comes from a burst of several controllers, and the
// transaction was not executed.
func (c *Client) TxnByDeadline(ctx context.Context, txn protocol.Txn) (uint64, error) {
	return c.sendTxnByDeadline(ctx, c.httpClient, txn)
}

// TxnForWorkerLease is TxnByDeadline for a transaction that workers' leases wait for. It
// is given up as early as the renewal of a lease. After ErrUnknown it may be sent again at
// once if its preconditions let it be carried out no more than once.
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

// sendTxn takes the transaction's writes from the budget and sends it through a client.
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

// recordRefusal counts what the store did not accept, and logs what it will not accept
// however often it is sent: such a transaction is a fault of this program.
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
