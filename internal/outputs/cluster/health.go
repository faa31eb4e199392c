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
	away map[string]*absence // by address: who comes back at another is not held to the past
}

type absence struct {
	wait  time.Duration
	until time.Time
}

const (
	leastAway = 500 * time.Millisecond
	mostAway  = 5 * time.Second
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

func (h *health) note(m Member, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !silent(err) {
		delete(h.away, m.Address)
		return
	}
	a := h.away[m.Address]
	if a == nil {
		a = new(absence)
		h.away[m.Address] = a
	}
	now := time.Now()
	if now.Before(a.until) {
		return // several requests failed together
	}
	a.wait = backoff(a.wait, leastAway, mostAway)
	a.until = now.Add(a.wait)
}

// well tells whether a peer is worth asking now.
func (h *health) well(m Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.away[m.Address]
	return a == nil || time.Now().After(a.until)
}
