package cluster

import (
	"sync"
	"time"

	"connectrpc.com/connect"
)

// health tells which peers are worth asking. A peer that did not answer is passed
// over for a time that grows with each failure; what it would have got goes to the
// next member.
type health struct {
	mu   sync.Mutex
	away map[string]*absence
}

type absence struct {
	wait  time.Duration
	until time.Time
}

const (
	leastAway = 500 * time.Millisecond
	mostAway  = 10 * time.Second
)

// silent tells whether an error says that the peer did not answer, rather than
// that it refused.
func silent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeCanceled, connect.CodeInternal:
		return err != nil
	}
	return false
}

func (h *health) note(name string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !silent(err) {
		delete(h.away, name)
		return
	}
	a := h.away[name]
	if a == nil {
		a = new(absence)
		h.away[name] = a
	}
	now := time.Now()
	if now.Before(a.until) {
		return // several requests failed together
	}
	a.wait = backoff(a.wait, leastAway, mostAway)
	a.until = now.Add(a.wait)
}

// well tells whether a peer is worth asking now.
func (h *health) well(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.away[name]
	return a == nil || time.Now().After(a.until)
}
