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

// rateLimitedTransport is a link to the store that refuses requests above its
// rate, which all controllers share.
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

// queryCounts counts the questions of users by how they were answered.
type queryCounts struct {
	answered atomic.Int64 // as expected: the job is pending
	refused  atomic.Int64
	late     atomic.Int64 // answered or refused when the user no longer waits
}

// query asks a controller for the status of a pending job.
func (c *queryCounts) query(ctx context.Context, n *Node, id string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	askedAt := time.Now()
	status, err := n.JobStatus(ctx, id)
	switch {
	case errors.Is(err, ErrJobNotFound): // neither answered nor refused, so the sums don't match
	case err != nil:
		c.refused.Add(1)
	case status.Status == protocol.Pending:
		c.answered.Add(1)
	}
	if time.Since(askedAt) >= timeout {
		c.late.Add(1)
	}
}

// A deployment of some 4,000 machines has more live jobs whose users ask every few
// seconds than the store takes requests. Every question is answered all the
// same, and a burst of them at one controller is answered or refused in time.
func TestQuestionsOfManyUsers(t *testing.T) {
	const (
		requestsPerSecond = 250
		liveJobs          = 2500
		rounds            = 3
		interval          = 5 * time.Second // between two questions of a user
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
		for chunk := range slices.Chunk(records, 100) { // within the bytes of a transaction
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
			t.Errorf("%d of %d questions answered, %d refused, %d late", regular.answered.Load(), rounds*liveJobs, regular.refused.Load(), regular.late.Load())
		}
		if used := sent.Load() - sentBefore; used > int64((rounds+1)*interval.Seconds()*requestsPerSecond) {
			t.Errorf("%d requests for %d questions", used, rounds*liveJobs)
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
