package storage

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
)

// scriptedStore answers each request with the next status of its script; 0 is no answer.
type scriptedStore struct {
	mu       sync.Mutex
	statuses []int
	requests int
}

func (s *scriptedStore) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	status := 0
	if s.requests < len(s.statuses) {
		status = s.statuses[s.requests]
	}
	s.requests++
	s.mu.Unlock()
	if status == 0 {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body := io.NopCloser(bytes.NewReader([]byte(`{"ledger":9}`)))
	return &http.Response{StatusCode: status, Body: body, Header: http.Header{}, Request: r}, nil
}

// A hedged transaction is retransmitted while it is unanswered, up to the allowed number of
// copies; the first conclusive answer determines the result.
func TestHedgedTxn(t *testing.T) {
	const (
		ok       = http.StatusOK
		conflict = http.StatusConflict
		refused  = http.StatusServiceUnavailable
		noBudget = 0.01
	)
	for name, c := range map[string]struct {
		statuses []int
		writeRPS float64
		requests int
		took     time.Duration
		err      error
	}{
		"answered at once":           {[]int{ok}, 100, 1, 0, nil},
		"second copy is answered":    {[]int{0, ok}, 100, 2, HedgeInterval, nil},
		"second copy conflicts":      {[]int{0, conflict}, 100, 2, HedgeInterval, ErrConflict},
		"second copy is refused":     {[]int{0, refused, ok}, 100, 3, 2 * HedgeInterval, nil},
		"refused at once":            {[]int{refused, ok}, 100, 1, 0, ErrRefused},
		"no answer at all":           {nil, 100, maxTxnCopies, (maxTxnCopies-1)*HedgeInterval + leaseTimeout, ErrUnknown},
		"no budget for copies":       {[]int{0, ok}, 4, 1, leaseTimeout, ErrUnknown},
		"no budget for the first":    {[]int{ok}, noBudget, 0, 0, ErrBudgetExhausted},
		"the last copy is answered":  {[]int{0, 0, 0, 0, ok}, 100, maxTxnCopies, (maxTxnCopies - 1) * HedgeInterval, nil},
		"late answers are discarded": {[]int{0, 0, ok, conflict}, 100, 3, 2 * HedgeInterval, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &scriptedStore{statuses: c.statuses}
				client := NewClientWithTransport(store, 1000, c.writeRPS, 1)
				time.Sleep(time.Second) // the budget fills up
				if c.writeRPS == noBudget {
					client.budget.reserve(time.Now(), reservation{writes: 1})
				}
				start := time.Now()
				txn := protocol.Txn{Preconditions: []protocol.Precondition{{Key: "k"}}, Writes: []protocol.Write{{Put: "k"}}}
				revision, err := client.HedgedTxn(t.Context(), txn)
				if !errors.Is(err, c.err) || (err == nil) != (revision == 9) {
					t.Errorf("revision %d, error %v", revision, err)
				}
				if took := time.Since(start); took != c.took || store.requests != c.requests {
					t.Errorf("%d requests in %v, want %d in %v", store.requests, took, c.requests, c.took)
				}
				synctest.Wait()
			})
		})
	}
}
