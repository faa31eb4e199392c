package storage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/emulator"
	"reedtrack/internal/protocol"
)

// changingStore serves a store and modifies it once, after the first page of a list.
type changingStore struct {
	store  *emulator.KVStore
	change func()
}

func (s *changingStore) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	code, answer := s.store.Handle(r.Context(), r.Method, r.URL.Path, r.URL.Query(), body)
	if r.URL.Path == "/keys" && s.change != nil {
		s.change()
		s.change = nil
	}
	raw, _ := json.Marshal(answer)
	return response(r, code, raw), nil
}

// refusingStore serves a store, and refuses every other page of a list.
type refusingStore struct {
	changingStore
	requested, served int // pages
}

func (s *refusingStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/keys" {
		if s.requested++; s.requested%2 == 0 {
			return response(r, http.StatusTooManyRequests, nil), nil
		}
		s.served++
	}
	return s.changingStore.RoundTrip(r)
}

func response(r *http.Request, code int, body []byte) *http.Response {
	return &http.Response{StatusCode: code, Body: io.NopCloser(bytes.NewReader(body)), Header: http.Header{}, Request: r}
}

// runUntilSynced runs a replica until its first batch has been applied.
func runUntilSynced(t *testing.T, store http.RoundTripper, apply func([]protocol.Change)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := &Replica{
		Client:       NewClientWithTransport(store, 1000, 1000, 1),
		Apply:        apply,
		Synced:       func(time.Time) { cancel() },
		WatchTimeout: time.Millisecond,
	}
	r.Run(ctx)
}

// recordCopy is a copy of the records built from a replica's changes.
type recordCopy struct {
	records map[string]string
	batches int
}

func (c *recordCopy) apply(t *testing.T, batch []protocol.Change) {
	t.Helper()
	c.batches++
	var revision uint64
	for _, change := range batch {
		if change.Revision < revision {
			t.Error("changes are not in the order of their revisions")
		}
		revision = change.Revision
		if change.Put != "" {
			c.records[change.Put] = string(change.Value)
		} else {
			delete(c.records, change.Delete)
		}
	}
}

// A copy that is read page by page reflects one revision: a transaction on two records
// between the pages is visible in both or in none.
func TestReplicaShowsOneRevision(t *testing.T) {
	store := emulator.NewKVStore()
	const first, last, deleted = "r/a", "r/z", "r/gone"
	commit(t, store, protocol.Write{Put: first, Value: "old"}, protocol.Write{Put: last, Value: "old"}, protocol.Write{Put: deleted, Value: 1})
	for i := range 30 {
		commit(t, store, protocol.Write{Put: fmt.Sprintf("r/m%02d", i), Value: i})
	}
	served := &changingStore{store: store, change: func() {
		commit(t, store, protocol.Write{Put: first, Value: "new"}, protocol.Write{Put: last, Value: "new"}, protocol.Write{Delete: deleted})
	}}
	copied := recordCopy{records: map[string]string{}}
	runUntilSynced(t, served, func(batch []protocol.Change) {
		copied.apply(t, batch)
		if copied.records[first] != copied.records[last] {
			t.Errorf("one batch shows %s and %s of a single transaction", copied.records[first], copied.records[last])
		}
	})
	if copied.batches == 0 || copied.records[first] != `"new"` || copied.records[deleted] != "" || len(copied.records) != 32 {
		t.Errorf("%d batches, %d records, %s", copied.batches, len(copied.records), copied.records[first])
	}
}

// Only the refused page is requested again, not the pages before it. Otherwise controllers
// that start together would prevent each other from ever reading all records.
func TestReplicaRepeatsRefusedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewKVStore()
		for i := range 90 { // five of the emulator's pages
			commit(t, store, protocol.Write{Put: fmt.Sprintf("r/m%02d", i), Value: i})
		}
		served := &refusingStore{changingStore: changingStore{store: store}}
		read := 0
		runUntilSynced(t, served, func(batch []protocol.Change) { read += len(batch) })
		if read != 90 || served.served != 5 {
			t.Errorf("%d records read in %d pages", read, served.served)
		}
	})
}
