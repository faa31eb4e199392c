package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"reedtrack/internal/protocol"
)

// store stands in for the state service, written from the protocol: versions,
// conditions, leases that an outage gives their full time again, watches.
type store struct {
	mu      sync.Mutex
	ledger  uint64
	keys    map[string]protocol.Item
	holds   map[string]uint64
	leases  map[uint64]*storeLease
	log     []protocol.Change
	changed chan struct{}
	nextID  uint64
	down    bool
}

type storeLease struct {
	life  time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{keys: map[string]protocol.Item{}, holds: map[string]uint64{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

func (s *store) outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.timer.Stop()
		if !down {
			l.timer.Reset(l.life)
		}
	}
}

func (s *store) commit(writes []protocol.Write) {
	s.ledger++
	for _, w := range writes {
		if w.Delete != "" {
			delete(s.keys, w.Delete)
			delete(s.holds, w.Delete)
			s.log = append(s.log, protocol.Change{Delete: w.Delete, Stamp: s.ledger})
			continue
		}
		raw, _ := json.Marshal(w.Data)
		s.keys[w.Put] = protocol.Item{Path: w.Put, Data: raw, Stamp: s.ledger}
		s.holds[w.Put] = w.Hold
		s.log = append(s.log, protocol.Change{Put: w.Put, Data: raw, Stamp: s.ledger})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil || s.down {
		return
	}
	delete(s.leases, id)
	var gone []protocol.Write
	for k, h := range s.holds {
		if h == id {
			gone = append(gone, protocol.Write{Delete: k})
		}
	}
	if len(gone) > 0 {
		s.commit(gone)
	}
}

// serve answers one request.
func (s *store) serve(ctx context.Context, method, path string, query map[string][]string, body []byte) (int, any) {
	get := func(k string) string {
		if v := query[k]; len(v) > 0 {
			return v[0]
		}
		return ""
	}
	if path == "/follow" {
		var since, wait uint64
		fmt.Sscan(get("since"), &since)
		fmt.Sscan(get("wait_ms"), &wait)
		return s.follow(ctx, get("under"), since, time.Duration(wait)*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 503, protocol.Failure{Error: "trouble"}
	}
	switch {
	case path == "/multi":
		var t protocol.Txn
		if json.Unmarshal(body, &t) != nil {
			return 400, nil
		}
		for _, w := range t.Writes {
			if w.Hold != 0 && s.leases[w.Hold] == nil {
				return 400, protocol.Failure{Error: "no such lease"}
			}
		}
		for _, c := range t.When {
			if s.keys[c.Path].Stamp != c.Stamp {
				return 409, protocol.TxnResult{Failed: []string{c.Path}, Ledger: s.ledger}
			}
		}
		s.commit(t.Writes)
		return 200, protocol.TxnResult{Ledger: s.ledger}
	case path == "/grants":
		var g protocol.Grant
		json.Unmarshal(body, &g)
		s.nextID++
		id := s.nextID
		life := time.Duration(g.LifeMS) * time.Millisecond
		s.leases[id] = &storeLease{life, time.AfterFunc(life, func() { s.expire(id) })}
		return 200, protocol.Grant{Hold: id}
	case strings.HasPrefix(path, "/grants/"):
		var id uint64
		fmt.Sscanf(path, "/grants/%d/renew", &id)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		l.timer.Reset(l.life)
		return 200, protocol.Grant{Hold: id}
	case path == "/keys":
		var page protocol.Items
		page.Ledger = s.ledger
		for k, it := range s.keys {
			if strings.HasPrefix(k, get("under")) && k > get("since") {
				page.Items = append(page.Items, it)
			}
		}
		slices.SortFunc(page.Items, func(a, b protocol.Item) int { return strings.Compare(a.Path, b.Path) })
		if len(page.Items) > 20 { // small pages, so that more than one is read
			page.Items, page.HasNext = page.Items[:20], true
		}
		return 200, page
	}
	it, ok := s.keys[strings.TrimPrefix(path, "/keys/")]
	if !ok {
		return 404, protocol.TxnResult{Ledger: s.ledger}
	}
	return 200, it
}

func (s *store) follow(ctx context.Context, under string, since uint64, wait time.Duration) (int, any) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		var out protocol.Changes
		out.Ledger = s.ledger
		for _, c := range s.log {
			if c.Stamp > since && strings.HasPrefix(c.Put+c.Delete, under) {
				out.Log = append(out.Log, c)
			}
		}
		changed, down := s.changed, s.down
		s.mu.Unlock()
		if len(out.Log) > 0 && !down {
			return 200, out
		}
		if down {
			changed = nil
			select {
			case <-time.After(100 * time.Millisecond): // waits through an outage
				continue
			case <-ctx.Done():
				return 0, nil
			}
		}
		select {
		case <-changed:
		case <-end:
			return 200, out
		case <-ctx.Done():
			return 0, nil
		}
	}
}

// wire is one controller's way to the store: it delays, loses and holds back.
type wire struct {
	s   *store
	mu  sync.Mutex
	rnd *rand.Rand
	cut bool // the store refuses this controller alone
	bad float64
}

func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
		r.Body.Close()
	}
	w.mu.Lock()
	delay := time.Duration(1+w.rnd.IntN(20)) * time.Millisecond
	cut, fate, late := w.cut, w.rnd.Float64(), time.Duration(w.rnd.IntN(20000))*time.Millisecond
	bad := w.bad
	w.mu.Unlock()
	time.Sleep(delay)
	ctx := r.Context()
	status, answer := 503, any(protocol.Failure{Error: "trouble"})
	switch {
	case cut && r.URL.Path == "/follow":
		<-ctx.Done()
		return nil, ctx.Err()
	case cut:
	case r.URL.Path == "/multi" && fate < bad:
		// No answer; carried out now, later or never.
		if fate < bad*2/3 {
			if fate < bad/3 {
				late = 0
			}
			time.AfterFunc(late, func() { w.s.serve(context.Background(), r.Method, r.URL.Path, r.URL.Query(), body) })
		}
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		status, answer = w.s.serve(ctx, r.Method, r.URL.Path, r.URL.Query(), body)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	raw, _ := json.Marshal(answer)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(raw)), Header: http.Header{}, Request: r}, nil
}
