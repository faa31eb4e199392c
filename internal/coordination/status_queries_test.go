package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// rateLimitedTransport is a link to the store that rejects requests above a rate limit
// shared by all controllers.
type rateLimitedTransport struct {
	http.RoundTripper
	limit *rate.Limiter
	sent  *atomic.Int64
}

func (l rateLimitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	l.sent.Add(1)
	if !l.limit.Allow() {
		return &http.Response{StatusCode: http.StatusTooManyRequests, Body: io.NopCloser(bytes.NewReader(nil)), Header: http.Header{}, Request: r}, nil
	}
	return l.RoundTripper.RoundTrip(r)
}

// queryCounts counts the status queries of users by outcome.
type queryCounts struct {
	answered atomic.Int64 // as expected: the job is pending
	refused  atomic.Int64
	late     atomic.Int64 // answered or refused after the user's timeout
}

// query queries a controller for the status of a pending job.
func (c *queryCounts) query(ctx context.Context, n *Node, id string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	askedAt := time.Now()
	status, err := n.JobStatus(ctx, id)
	switch {
	case errors.Is(err, ErrJobNotFound): // not counted, so that the sums below don't match
	case err != nil:
		c.refused.Add(1)
	case status.Status == protocol.Pending:
		c.answered.Add(1)
	}
	if time.Since(askedAt) >= timeout {
		c.late.Add(1)
	}
}

// In a deployment of some 4,000 machines, users poll more live jobs every few seconds than
// the store accepts requests. Every query is answered nevertheless, and a burst of queries
// at one controller is answered or refused in time.
func TestQuestionsOfManyUsers(t *testing.T) {
	const (
		requestsPerSecond = 250
		liveJobs          = 2500
		rounds            = 3
		interval          = 5 * time.Second // between two queries of a user
		burst             = 5000
		userTimeout       = 2 * time.Second
	)
	jobID := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, nil)
		stop := w.open()
		w.settings.Deployment.State.RPS, w.settings.Deployment.State.WriteRPS = requestsPerSecond, 100
		var records []protocol.Write
		for i := range liveJobs {
			records = append(records, protocol.Write{Put: storage.JobKey(jobID(i)), Value: storage.Job{Spec: protocol.Job{ID: jobID(i), Team: "red", Tasks: 1, Cores: 1}}})
		}
		for chunk := range slices.Chunk(records, 100) { // to stay within a transaction's size limit
			storeWrite(t, w, chunk)
		}
		var sent atomic.Int64
		limit := rate.NewLimiter(requestsPerSecond, requestsPerSecond)
		w.addNodes(3)
		var nodes []*Node
		for i := range w.nodes {
			settings := *w.settings
			settings.HostName = w.nodes[i].name
			link := rateLimitedTransport{&simStoreLink{store: w.store, random: rand.New(rand.NewPCG(1, uint64(i)))}, limit, &sent}
			n := w.newNode(i, &settings, settings.Defaults(), storage.NewClientWithTransport(link, requestsPerSecond, 100, 3), nil)
			nodes = append(nodes, n)
			w.spawn(func() { n.Run(w.ctx) })
		}
		time.Sleep(10 * time.Second)

		var regular queryCounts
		sentBefore := sent.Load()
		var users sync.WaitGroup
		for i := range liveJobs {
			users.Go(func() {
				time.Sleep(time.Duration(i) * interval / liveJobs)
				for k := range rounds {
					regular.query(w.ctx, nodes[(i+k)%3], jobID(i), userTimeout)
					time.Sleep(interval)
				}
			})
		}
		users.Wait()
		if regular.answered.Load() != rounds*liveJobs || regular.late.Load() > 0 {
			t.Errorf("%d of %d queries answered, %d refused, %d late", regular.answered.Load(), rounds*liveJobs, regular.refused.Load(), regular.late.Load())
		}
		if used := sent.Load() - sentBefore; used > int64((rounds+1)*interval.Seconds()*requestsPerSecond) {
			t.Errorf("%d store requests for %d queries", used, rounds*liveJobs)
		}

		var atOnce queryCounts
		for i := range burst {
			users.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / burst)
				atOnce.query(w.ctx, nodes[0], jobID(i%liveJobs), userTimeout)
			})
		}
		users.Wait()
		if atOnce.answered.Load()+atOnce.refused.Load() != burst || atOnce.late.Load() > 0 {
			t.Errorf("burst: %d answered, %d refused of %d, %d late", atOnce.answered.Load(), atOnce.refused.Load(), burst, atOnce.late.Load())
		}
		stop()
	})
}

// storeWrite commits writes at the store, and fails the test if it can't.
func storeWrite(t *testing.T, w *world, writes []protocol.Write) {
	t.Helper()
	raw, err := json.Marshal(protocol.Txn{Writes: writes})
	if err != nil {
		t.Fatal(err)
	}
	if status, answer := w.store.Handle(t.Context(), http.MethodPost, "/multi", nil, raw); status != http.StatusOK {
		t.Fatalf("transaction: status %d, %v", status, answer)
	}
}
