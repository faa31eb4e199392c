package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// peerIdleTimeout is how long a peer's connection may take for a request and
	// its response.
	peerIdleTimeout = time.Minute
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// errBackoff says that a peer is not called so soon after a failure.
var errBackoff = errors.New("link is down")

// errBusy says that another call of the same link is under way.
var errBusy = errors.New("link is busy")

// PeerClient calls one other controller: CBOR values over two TCP connections, one
// request at a time on each. It is safe for concurrent use.
type PeerClient struct {
	calls peerLink
	tries peerLink
}

// NewPeerClient returns a client of the controller that listens at addr
// (host:port). It does not connect yet.
func NewPeerClient(addr string) *PeerClient {
	return &PeerClient{calls: peerLink{addr: addr}, tries: peerLink{addr: addr}}
}

// Call sends in and decodes the response into out. After a failure calls fail at
// once for as long as timeout.
func (p *PeerClient) Call(timeout time.Duration, in, out any) error {
	p.calls.mu.Lock()
	defer p.calls.mu.Unlock()
	return p.calls.call(timeout, in, out)
}

// TryCall is like Call over a connection of its own, which it neither takes from
// calls nor waits for: it fails at once while another TryCall is under way.
func (p *PeerClient) TryCall(timeout time.Duration, in, out any) error {
	if !p.tries.mu.TryLock() {
		return errBusy
	}
	defer p.tries.mu.Unlock()
	return p.tries.call(timeout, in, out)
}

// peerLink is one connection to another controller. A failure closes it; a later
// call opens a new one.
type peerLink struct {
	addr string

	mu         sync.Mutex
	conn       net.Conn // nil: none is open
	enc        *cbor.Encoder
	dec        *cbor.Decoder
	lastUsed   time.Time
	retryAfter time.Time // no new connection before this
}

// call sends in and decodes the response into out. The caller holds mu.
func (l *peerLink) call(timeout time.Duration, in, out any) error {
	start := time.Now()
	if l.conn != nil && start.Sub(l.lastUsed) > peerIdleTimeout/2 {
		l.close() // the other side is about to, or has
	}
	if l.conn == nil {
		if start.Before(l.retryAfter) {
			return errBackoff
		}
		if err := l.connect(timeout); err != nil {
			l.retryAfter = time.Now().Add(timeout)
			return err
		}
	}
	l.lastUsed = start
	l.conn.SetDeadline(start.Add(timeout))
	err := l.exchange(in, out)
	if err != nil {
		l.close()
		l.retryAfter = time.Now().Add(timeout)
	}
	return err
}

// connect opens the connection. The caller holds mu.
func (l *peerLink) connect(timeout time.Duration) error {
	conn, err := net.DialTimeout("tcp", l.addr, timeout)
	if err != nil {
		return err
	}
	l.conn, l.enc, l.dec = conn, cbor.NewEncoder(conn), cbor.NewDecoder(conn)
	return nil
}

// close closes the connection. The caller holds mu.
func (l *peerLink) close() {
	l.conn.Close()
	l.conn = nil
}

// exchange sends a request and reads the response. The caller holds mu.
func (l *peerLink) exchange(in, out any) error {
	if err := l.enc.Encode(in); err != nil {
		return err
	}
	return l.dec.Decode(out)
}

// ServePeers answers other controllers until ctx ends, and then returns nil. Each
// connection is served by one goroutine; beyond maxConns new ones are closed. It
// closes ln. Connections that are open when ctx ends are served until they fail
// or fall idle.
func ServePeers[In, Out any](ctx context.Context, ln net.Listener, maxConns int, answer func(In) Out) error {
	slots := make(chan struct{}, maxConns)
	context.AfterFunc(ctx, func() { ln.Close() })
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		go func() {
			defer func() { <-slots }()
			servePeer(conn, answer)
		}()
	}
}

// servePeer answers one connection until it fails, and closes it.
func servePeer[In, Out any](conn net.Conn, answer func(In) Out) {
	defer conn.Close()
	enc, dec := cbor.NewEncoder(conn), cbor.NewDecoder(conn)
	for {
		var in In
		conn.SetDeadline(time.Now().Add(peerIdleTimeout))
		if dec.Decode(&in) != nil || enc.Encode(answer(in)) != nil {
			return
		}
	}
}
