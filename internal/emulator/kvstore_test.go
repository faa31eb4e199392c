package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
)

// transact sends a transaction and returns the response status.
func transact(t *testing.T, s *KVStore, txn protocol.Txn) int {
	t.Helper()
	raw, err := json.Marshal(txn)
	if err != nil {
		t.Fatal(err)
	}
	status, _ := s.Handle(t.Context(), http.MethodPost, "/multi", nil, raw)
	return status
}

func TestTransactionPreconditions(t *testing.T) {
	s := NewKVStore()
	create := protocol.Txn{Preconditions: []protocol.Precondition{{Key: "a"}}, Writes: []protocol.Write{{Put: "a", Value: 1}}}
	if status := transact(t, s, create); status != http.StatusOK {
		t.Fatalf("status %d for the first write", status)
	}
	if status := transact(t, s, create); status != http.StatusConflict {
		t.Errorf("status %d for a precondition that fails", status)
	}
	update := protocol.Txn{Preconditions: []protocol.Precondition{{Key: "a", Revision: 1}}, Writes: []protocol.Write{{Delete: "a"}}}
	if status := transact(t, s, update); status != http.StatusOK || len(s.Keys()) != 0 {
		t.Errorf("status %d with remaining keys %v", status, s.Keys())
	}
}

// Transactions over a size limit are permanently rejected and recorded; those over the
// rate limit can be retried.
func TestTransactionLimits(t *testing.T) {
	s := NewKVStore()
	s.SetLimits(10, 1, 1)
	small := protocol.Write{Put: "a", Value: "b"}
	for _, c := range []struct {
		name          string
		writes        []protocol.Write
		want          int
		wantOversized int
	}{
		{"value too large", []protocol.Write{{Put: "a", Value: "0123456789"}}, http.StatusBadRequest, 1},
		{"too many writes", []protocol.Write{small, {Put: "c", Value: "d"}}, http.StatusBadRequest, 1},
		{"within the limits", []protocol.Write{small}, http.StatusOK, 0},
		{"too soon", []protocol.Write{small}, http.StatusTooManyRequests, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if status := transact(t, s, protocol.Txn{Writes: c.writes}); status != c.want {
				t.Errorf("status %d, want %d", status, c.want)
			}
			if oversized := s.TakeOversized(); len(oversized) != c.wantOversized {
				t.Errorf("recorded as oversized: %v, want %d", oversized, c.wantOversized)
			}
		})
	}
}

// A lease does not expire during an outage, has its full duration again after it, and then
// expires together with the keys bound to it.
func TestLeaseAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewKVStore()
		_, response := s.Handle(t.Context(), http.MethodPost, "/grants", nil, []byte(`{"life_ms":5000}`))
		lease := response.(protocol.LeaseGrant).LeaseID
		bound := protocol.Txn{Writes: []protocol.Write{{Put: "bound", Value: 1, LeaseID: lease}, {Put: "free", Value: 1}}}
		if status := transact(t, s, bound); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		s.SetOutage(true)
		time.Sleep(time.Minute)
		if status := transact(t, s, bound); status != http.StatusServiceUnavailable {
			t.Errorf("status %d in an outage", status)
		}
		s.SetOutage(false)
		time.Sleep(4 * time.Second)
		if keys := s.Keys(); !slices.Equal(keys, []string{"bound", "free"}) {
			t.Errorf("keys %v before the lease expired", keys)
		}
		time.Sleep(2 * time.Second)
		if keys := s.Keys(); !slices.Equal(keys, []string{"free"}) {
			t.Errorf("keys %v after the lease expired", keys)
		}
	})
}

// A watch returns changes to its keys as they are committed, and none when it times out.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewKVStore()
		watch := func(ctx context.Context) (int, protocol.WatchResponse) {
			query := map[string][]string{"under": {"a/"}, "since": {"0"}, "wait_ms": {"3000"}}
			status, response := s.Handle(ctx, http.MethodGet, "/follow", query, nil)
			changes, _ := response.(protocol.WatchResponse)
			return status, changes
		}
		begin := time.Now()
		if status, changes := watch(t.Context()); status != http.StatusOK || len(changes.Changes) != 0 || time.Since(begin) != 3*time.Second {
			t.Errorf("status %d with %+v after %v", status, changes, time.Since(begin))
		}
		time.AfterFunc(time.Second, func() {
			transact(t, s, protocol.Txn{Writes: []protocol.Write{{Put: "a/1", Value: 1}, {Put: "b/1", Value: 1}}})
		})
		begin = time.Now()
		status, changes := watch(t.Context())
		if status != http.StatusOK || len(changes.Changes) != 1 || changes.Changes[0].Put != "a/1" || time.Since(begin) != time.Second {
			t.Errorf("status %d with %+v after %v", status, changes, time.Since(begin))
		}
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		s.SetOutage(true)
		if status, _ := watch(cancelled); status != 0 {
			t.Errorf("status %d for a cancelled watch", status)
		}
	})
}
