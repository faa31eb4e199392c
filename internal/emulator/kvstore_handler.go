package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// pageSize is the number of keys per page; it is small so that clients exercise paging.
	pageSize = 20
	// outagePoll is how often a watch checks whether an outage is over.
	outagePoll = 100 * time.Millisecond

	// Limits of the protocol.
	minLease    = 100 * time.Millisecond
	maxLease    = 10 * time.Minute
	maxWait     = time.Minute // of a watch
	maxKeyBytes = 200
)

// isValidKey reports whether the store accepts a key.
func isValidKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && !strings.Contains(key, " ")
}

// Handle handles a request without HTTP and returns the status and the value to send as
// JSON. Status 0 means that ctx ended first.
func (s *KVStore) Handle(ctx context.Context, method, path string, query map[string][]string, body []byte) (int, any) {
	q := url.Values(query)
	if path == "/follow" {
		var since, waitMS uint64
		fmt.Sscan(q.Get("since"), &since)
		fmt.Sscan(q.Get("wait_ms"), &waitMS)
		wait := time.Duration(waitMS) * time.Millisecond
		if wait > maxWait {
			return http.StatusBadRequest, protocol.ErrorResponse{Error: "wait_ms"}
		}
		return s.watch(ctx, q.Get("under"), since, wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return http.StatusServiceUnavailable, protocol.ErrorResponse{Error: "trouble"}
	}
	switch {
	case path == "/multi":
		return s.transact(body)
	case path == "/grants":
		var g protocol.LeaseGrant
		json.Unmarshal(body, &g)
		duration := time.Duration(g.TTLMilliseconds) * time.Millisecond
		if duration < minLease || duration > maxLease {
			return http.StatusBadRequest, protocol.ErrorResponse{Error: "life_ms"}
		}
		return http.StatusOK, protocol.LeaseGrant{LeaseID: s.grant(duration)}
	case strings.HasPrefix(path, "/grants/"):
		return s.handleLease(method, path)
	case path == "/keys":
		return http.StatusOK, s.page(q.Get("under"), q.Get("since"))
	}
	item, ok := s.items[strings.TrimPrefix(path, "/keys/")]
	if !ok {
		return http.StatusNotFound, protocol.TxnResponse{Revision: s.revision}
	}
	return http.StatusOK, item
}

// handleLease renews the lease that path names, or revokes it if method is DELETE. The
// caller holds s.mu.
func (s *KVStore) handleLease(method, path string) (int, any) {
	var id uint64
	fmt.Sscanf(path, "/grants/%d", &id)
	lease := s.leases[id]
	if lease == nil {
		return http.StatusNotFound, nil
	}
	if method == http.MethodDelete {
		s.revoke(id)
		return http.StatusOK, nil
	}
	lease.timer.Reset(lease.duration)
	return http.StatusOK, protocol.LeaseGrant{LeaseID: id}
}

// page returns the keys with a prefix that sort after another key. The caller holds s.mu.
func (s *KVStore) page(prefix, after string) protocol.RangeResponse {
	page := protocol.RangeResponse{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b protocol.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageSize {
		page.Items, page.HasNext = page.Items[:pageSize], true
	}
	return page
}

// watch waits for changes, after a revision, to keys with a prefix. It returns no changes
// after a timeout, but an outage delays its return until the outage is over.
func (s *KVStore) watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (int, any) {
	timeout := time.After(max(wait, time.Millisecond))
	for {
		s.mu.Lock()
		found := s.changesSince(prefix, since)
		changed, down := s.changed, s.outage
		s.mu.Unlock()
		if down {
			select {
			case <-time.After(outagePoll):
				continue
			case <-ctx.Done():
				return 0, nil
			}
		}
		if len(found.Changes) > 0 || wait == 0 {
			return http.StatusOK, found
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, found
		case <-ctx.Done():
			return 0, nil
		}
	}
}

// changesSince returns the changes after a revision to keys with a prefix. The caller
// holds s.mu.
func (s *KVStore) changesSince(prefix string, since uint64) protocol.WatchResponse {
	found := protocol.WatchResponse{Revision: s.revision}
	first, _ := slices.BinarySearchFunc(s.changes, since+1, func(c protocol.Change, revision uint64) int {
		return cmp.Compare(c.Revision, revision)
	})
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.Put+c.Delete, prefix) {
			found.Changes = append(found.Changes, c)
		}
	}
	return found
}

// ServeHTTP serves the store over HTTP. A POST of value_kb, txn_ops and write_rps to
// /limits sets the limits.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(r)
	if !ok {
		s.rejectBody(w, r.URL.Path)
		return
	}
	if r.URL.Path == "/limits" {
		s.serveLimits(w, body)
		return
	}
	status, response := s.Handle(r.Context(), r.Method, r.URL.Path, r.URL.Query(), body)
	writeJSON(w, status, response)
}

// rejectBody rejects a request whose body is too large.
func (s *KVStore) rejectBody(w http.ResponseWriter, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oversized = append(s.oversized, "body of "+path)
	writeError(w, http.StatusBadRequest, "body over 64 KiB")
}

func (s *KVStore) serveLimits(w http.ResponseWriter, body []byte) {
	var limits struct {
		ValueKB  int `json:"value_kb"`
		TxnOps   int `json:"txn_ops"`
		WriteRPS int `json:"write_rps"`
	}
	if err := json.Unmarshal(body, &limits); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetLimits(limits.ValueKB<<10, limits.TxnOps, limits.WriteRPS)
	writeJSON(w, http.StatusOK, limits)
}
