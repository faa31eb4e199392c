package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/emulator"
	"reedtrack/internal/protocol"
)

// delayingTransport serves a store with random delays of requests and answers. Some delays
// are long, so that answers arrive out of order.
type delayingTransport struct {
	store *emulator.KVStore
	mu    sync.Mutex
	rnd   *rand.Rand
	polls atomic.Int64 // requests that did not wait for a change
}

func (p *delayingTransport) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rnd.IntN(20) == 0 {
		return time.Duration(p.rnd.IntN(600)) * time.Millisecond
	}
	return time.Duration(p.rnd.IntN(30)) * time.Millisecond
}

func (p *delayingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Query().Get("wait_ms") == "0" {
		p.polls.Add(1)
	}
	time.Sleep(p.delay())
	code, answer := p.store.Handle(r.Context(), r.Method, r.URL.Path, r.URL.Query(), nil)
	time.Sleep(p.delay())
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	raw, _ := json.Marshal(answer)
	return response(r, code, raw), nil
}

// counterReplica is a replica of a store that contains one increasing number.
type counterReplica struct {
	transport *delayingTransport
	index     *ReadIndex
	value     atomic.Int64
}

func newCounterReplica(store *emulator.KVStore, seed uint64) *counterReplica {
	c := &counterReplica{transport: &delayingTransport{store: store, rnd: rand.New(rand.NewPCG(seed, 1))}}
	replica := &Replica{Client: NewClientWithTransport(c.transport, 300, 100, 1), WatchTimeout: time.Second, WatchPause: 50 * time.Millisecond, Synced: func(time.Time) {},
		Apply: func(batch []protocol.Change) {
			for _, change := range batch {
				var value int64
				json.Unmarshal(change.Value, &value)
				c.value.Store(value)
			}
		}}
	c.index = NewReadIndex(replica, 300, 1)
	return c
}

func commit(t *testing.T, store *emulator.KVStore, writes ...protocol.Write) {
	t.Helper()
	raw, _ := json.Marshal(protocol.Txn{Writes: writes})
	if code, _ := store.Handle(t.Context(), http.MethodPost, "/multi", nil, raw); code != http.StatusOK {
		t.Fatalf("transaction: status %d", code)
	}
}

// simulateReads runs readers of two replicas while the store changes and has an outage. It
// counts the answers, and those older than an answer returned before the read began.
func simulateReads(t *testing.T, seed uint64, joinStale bool) (answers, older int) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewKVStore()
		ctx, stop := context.WithCancel(t.Context())
		var goroutines sync.WaitGroup
		replicas := []*counterReplica{newCounterReplica(store, seed), newCounterReplica(store, seed+1)}
		commit(t, store, protocol.Write{Put: "r/counter", Value: 0})
		for _, c := range replicas {
			c.index.joinStale = joinStale
			goroutines.Go(func() { c.index.replica.Run(ctx) })
			goroutines.Go(func() { c.index.Run(ctx) })
		}
		var mu sync.Mutex
		highest := int64(0) // highest value written or returned so far
		recordValue := func(value int64) {
			mu.Lock()
			defer mu.Unlock()
			highest = max(highest, value)
		}
		currentHighest := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			return highest
		}
		for reader := range 20 {
			goroutines.Go(func() {
				rnd := rand.New(rand.NewPCG(seed, uint64(reader)))
				for ctx.Err() == nil {
					time.Sleep(time.Duration(1+rnd.IntN(20)) * time.Millisecond)
					c, minimum := replicas[rnd.IntN(2)], currentHighest()
					if c.index.Confirm(ctx) != nil {
						continue
					}
					value := c.value.Load()
					mu.Lock()
					if answers++; value < minimum {
						older++
					}
					mu.Unlock()
					recordValue(value)
				}
			})
		}
		for i := range int64(400) {
			time.Sleep(10 * time.Millisecond)
			commit(t, store, protocol.Write{Put: "r/counter", Value: i + 1})
			recordValue(i + 1)
			switch i {
			case 200:
				store.SetOutage(true)
				time.Sleep(3 * time.Second)
				store.SetOutage(false)
			}
		}
		stop()
		goroutines.Wait()
	})
	return answers, older
}

// No answer is older than one given before the read began, regardless of the replica. Joining
// a request that was in progress when the read began violates this.
func TestReadIndexIsNeverOlder(t *testing.T) {
	for seed := range uint64(10) {
		answers, older := simulateReads(t, 2*seed, false)
		if answers < 300 || older > 0 {
			t.Errorf("seed %d: %d answers, %d older than one before", seed, answers, older)
		}
	}
	found := 0
	for seed := range uint64(5) {
		_, older := simulateReads(t, 2*seed, true)
		found += older
	}
	if found == 0 {
		t.Error("callers join the request in progress, and no answer is older")
	}
}

// The number of requests is one per interval, regardless of the number of callers.
func TestReadIndexRequestsAreBounded(t *testing.T) {
	for _, callers := range []int{10, 1000, 10000} {
		t.Run(fmt.Sprint(callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.NewKVStore()
				commit(t, store, protocol.Write{Put: "r/counter", Value: 1})
				c := newCounterReplica(store, 1)
				ctx, stop := context.WithCancel(t.Context())
				var goroutines sync.WaitGroup
				goroutines.Go(func() { c.index.replica.Run(ctx) })
				goroutines.Go(func() { c.index.Run(ctx) })
				time.Sleep(2 * time.Second)
				before := c.transport.polls.Load()
				var failed atomic.Int64
				var users sync.WaitGroup
				for i := range callers {
					users.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(callers))
						if c.index.Confirm(ctx) != nil {
							failed.Add(1)
						}
					})
				}
				users.Wait()
				limit := int64(2*time.Second/c.index.interval) + 1
				if used := c.transport.polls.Load() - before; used > limit || failed.Load() > 0 {
					t.Errorf("%d requests, want at most %d; %d callers refused", used, limit, failed.Load())
				}
				stop()
				goroutines.Wait()
			})
		})
	}
}

// cannedChanges answers each request with the next of its prepared responses.
type cannedChanges struct{ changes []protocol.WatchResponse }

func (c *cannedChanges) RoundTrip(r *http.Request) (*http.Response, error) {
	raw, _ := json.Marshal(c.changes[0])
	c.changes = c.changes[1:]
	return response(r, http.StatusOK, raw), nil
}

func TestCatchUp(t *testing.T) {
	put := func(key string, revision uint64) protocol.Change {
		return protocol.Change{Put: key, Value: json.RawMessage(`1`), Revision: revision}
	}
	copied := map[string]bool{}
	apply := func(batch []protocol.Change) {
		for _, c := range batch {
			if c.Put != "" {
				copied[c.Put] = true
			} else {
				delete(copied, c.Delete)
			}
		}
	}
	canned := &cannedChanges{}
	r := &Replica{Client: NewClientWithTransport(canned, 1000, 1000, 1), Apply: apply, revisions: map[string]uint64{}}
	if err := r.CatchUp(t.Context()); !errors.Is(err, ErrNotLoaded) {
		t.Errorf("catch-up before the first read: %v", err)
	}
	r.loaded = true
	canned.changes = []protocol.WatchResponse{{Revision: 7, Changes: []protocol.Change{put("r/a", 5), put("r/b", 6), {Delete: "r/a", Revision: 7}}}}
	if err := r.CatchUp(t.Context()); err != nil || copied["r/a"] || !copied["r/b"] || r.applied != 7 {
		t.Errorf("caught up: %v, %v at %d", err, copied, r.applied)
	}
	// The watch delivers the same changes later, up to the one before the deletion.
	r.Apply(r.take(protocol.WatchResponse{Revision: 6, Changes: []protocol.Change{put("r/a", 5), put("r/b", 6)}}))
	if copied["r/a"] || r.applied != 7 {
		t.Errorf("a late answer restored a deleted record: %v at %d", copied, r.applied)
	}
	// A lower revision, as after a restore from a backup, is rejected.
	canned.changes = []protocol.WatchResponse{{Revision: 3}}
	if err := r.CatchUp(t.Context()); !errors.Is(err, ErrRevisionWentBack) {
		t.Errorf("the revision went back: %v", err)
	}
}
