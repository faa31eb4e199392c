package cluster

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"reedtrack/internal/emulator"
	"reedtrack/internal/storage"
)

// requestCounter counts the requests to a handler.
type requestCounter struct {
	next http.Handler
	n    *atomic.Int64
}

func (c requestCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.n.Add(1)
	c.next.ServeHTTP(w, r)
}

// Members discover each other, idle members stay within their share of the key-value
// store's request rate, and during an outage the last view stays in use but is no
// longer current.
func TestMembershipStaysWithinRequestBudget(t *testing.T) {
	state := emulator.NewKVStore()
	requests := new(atomic.Int64)
	srv := httptest.NewServer(requestCounter{state, requests})
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	const n = 5
	var list []*Membership
	for i := range n {
		m := &Membership{
			Self:          Member{Name: fmt.Sprint("s", i), Zone: "a", Address: "http://x", ID: fmt.Sprint(i)},
			LeaseDuration: 2 * time.Second,
			KeyValueStore: storage.NewClient(srv.Listener.Addr().String(), 50, 50, 1),
			WatchPause:    func(int) time.Duration { return 200 * time.Millisecond },
		}
		m.LoadCache()
		go m.Run(ctx)
		list = append(list, m)
	}
	allSee := func(count int) bool {
		return !slices.ContainsFunc(list, func(m *Membership) bool { return len(m.View().Members) != count || !m.IsCurrent() })
	}
	for deadline := time.Now().Add(10 * time.Second); !allSee(n); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not all members have a current view of all members")
		}
	}
	requests.Store(0)
	time.Sleep(2 * time.Second)
	// Each member renews 1.5 times and watches at most once per second.
	if got := requests.Load(); got > 2*n*4 {
		t.Errorf("%d requests in 2 s from %d idle members", got, n)
	}
	if !list[0].IsCurrent() {
		t.Error("not current while the key-value store answers")
	}
	state.SetOutage(true)
	time.Sleep(2600 * time.Millisecond)
	if list[0].IsCurrent() || len(list[0].View().Members) != n {
		t.Errorf("during an outage: current %v, %d members", list[0].IsCurrent(), len(list[0].View().Members))
	}
}
