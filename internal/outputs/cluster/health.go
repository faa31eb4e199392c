package cluster

import (
	"sync"
	"time"

	"connectrpc.com/connect"
)

// Requests to a peer that does not answer are suspended for a time that doubles with
// each failure between these bounds. The lower bound outlasts a short pause of the
// peer; the upper bound limits how late its recovery is detected.
const (
	minPeerBackoff = 500 * time.Millisecond
	maxPeerBackoff = 5 * time.Second
)

// peerHealth tracks which peers recently failed to answer. While a peer is in backoff,
// writes go to the next member of the preference list.
type peerHealth struct {
	mu       sync.Mutex
	backoffs map[string]*peerBackoff // by address: a peer that returns at a new address has no backoff
}

type peerBackoff struct {
	wait  time.Duration
	until time.Time
}

// isUnreachable reports whether an error means that the peer did not answer, as
// opposed to having refused the request.
func isUnreachable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeCanceled, connect.CodeInternal:
		return err != nil
	}
	return false
}

// record updates a peer's backoff with the outcome of a request.
func (h *peerHealth) record(m Member, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !isUnreachable(err) {
		delete(h.backoffs, m.Address)
		return
	}
	b := h.backoffs[m.Address]
	if b == nil {
		b = new(peerBackoff)
		h.backoffs[m.Address] = b
	}
	now := time.Now()
	if now.Before(b.until) {
		return // concurrent requests that fail together count as one failure
	}
	b.wait = nextBackoff(b.wait, minPeerBackoff, maxPeerBackoff)
	b.until = now.Add(b.wait)
}

// isAvailable reports whether a peer is not in backoff.
func (h *peerHealth) isAvailable(m Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.backoffs[m.Address]
	return b == nil || time.Now().After(b.until)
}
