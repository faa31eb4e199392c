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
	// peerIdleTimeout bounds the time that a connection waits for a request and
	// handles it; idle connections are closed after it.
	peerIdleTimeout = time.Minute
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// errBackoff is returned while calls are suspended after a failure.
var errBackoff = errors.New("link is down")

// errBusy is returned if another call on the same link is in progress.
var errBusy = errors.New("link is busy")

// PeerClient calls one other controller. It exchanges CBOR values over two TCP
// connections, with one request at a time on each. It is safe for concurrent use.
type PeerClient struct {
	callLink    peerLink
	tryCallLink peerLink
}

// NewPeerClient returns a client for the controller at addr (host:port). It connects on
// the first call.
func NewPeerClient(addr string) *PeerClient {
	return &PeerClient{callLink: peerLink{addr: addr}, tryCallLink: peerLink{addr: addr}}
}

// Call sends in and decodes the response into out. After a failure, further calls fail
// immediately until timeout has passed.
func (p *PeerClient) Call(timeout time.Duration, in, out any) error {
	p.callLink.mu.Lock()
	defer p.callLink.mu.Unlock()
	return p.callLink.call(timeout, in, out)
}

// TryCall is like Call on a separate connection, so that it never delays or waits for
// Call. It fails immediately while another TryCall is in progress.
func (p *PeerClient) TryCall(timeout time.Duration, in, out any) error {
	if !p.tryCallLink.mu.TryLock() {
		return errBusy
	}
	defer p.tryCallLink.mu.Unlock()
	return p.tryCallLink.call(timeout, in, out)
}

// peerLink is a connection to another controller that is closed on failure and reopened
// by a later call.
type peerLink struct {
	addr string

	mu         sync.Mutex
	conn       net.Conn // nil: not connected
	enc        *cbor.Encoder
	dec        *cbor.Decoder
	lastUsed   time.Time
	retryAfter time.Time // no reconnect before this time
}

// call sends in and decodes the response into out. The caller holds mu.
func (l *peerLink) call(timeout time.Duration, in, out any) error {
	start := time.Now()
	if l.conn != nil && start.Sub(l.lastUsed) > peerIdleTimeout/2 {
		l.close() // the peer has closed the connection or is about to
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

// exchange sends a request and decodes the response. The caller holds mu.
func (l *peerLink) exchange(in, out any) error {
	if err := l.enc.Encode(in); err != nil {
		return err
	}
	return l.dec.Decode(out)
}

// ServePeers serves requests of other controllers until ctx ends, then closes ln and
// returns nil. Each connection is served by its own goroutine; new connections over
// maxConns are closed. Connections that are open when ctx ends are served until they
// fail or become idle.
func ServePeers[In, Out any](ctx context.Context, ln net.Listener, maxConns int, handle func(In) Out) error {
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
			servePeer(conn, handle)
		}()
	}
}

// servePeer serves requests on a connection until it fails, and closes it.
func servePeer[In, Out any](conn net.Conn, handle func(In) Out) {
	defer conn.Close()
	enc, dec := cbor.NewEncoder(conn), cbor.NewDecoder(conn)
	for {
		var in In
		conn.SetDeadline(time.Now().Add(peerIdleTimeout))
		if dec.Decode(&in) != nil || enc.Encode(handle(in)) != nil {
			return
		}
	}
}
