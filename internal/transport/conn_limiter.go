package transport

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnLimiter is a listener that limits the number of open connections, so that the
// process never runs out of sockets. At the limit, it accepts a new connection by
// evicting the one that has been waiting longest for the rest of a request. Otherwise a
// few hundred clients that each start a request and never finish it would lock out
// workers' heartbeats and health checks until their read timeouts expire. If no
// connection can be evicted, the new one is closed immediately.
type ConnLimiter struct {
	net.Listener
	maxConns    int
	gracePeriod time.Duration // time that a request may take to arrive before its connection can be evicted
	now         func() time.Time

	mu      sync.Mutex
	conns   map[*limitedConn]bool
	evicted int // number of evictions so far
}

// NewConnLimiter wraps a listener in a limiter. A connection can be evicted only after
// it has been waiting for a request for gracePeriod.
func NewConnLimiter(ln net.Listener, maxConns int, gracePeriod time.Duration) *ConnLimiter {
	return &ConnLimiter{
		Listener:    ln,
		maxConns:    maxConns,
		gracePeriod: gracePeriod,
		now:         time.Now,
		conns:       map[*limitedConn]bool{},
	}
}

// LimitListener returns a listener that limits the number of open connections without
// evicting any: new connections over the limit are closed immediately.
func LimitListener(ln net.Listener, maxConns int) net.Listener {
	return NewConnLimiter(ln, maxConns, math.MaxInt64)
}

// limitedConn is a connection that counts towards the limit of its limiter.
type limitedConn struct {
	net.Conn
	limiter *ConnLimiter
	// waitingSince is when the server started to wait for the rest of a request: for
	// the first one when the connection was accepted, for later ones when their first
	// byte arrived. Zero: no request is in transit.
	waitingSince time.Time
}

// Accept waits for a connection and admits it within the limit.
func (l *ConnLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(conn); admitted != nil {
			return admitted, nil
		}
		conn.Close()
	}
}

// admit registers a new connection, evicting another one if necessary. It returns nil
// if the limit is reached and no connection can be evicted.
func (l *ConnLimiter) admit(conn net.Conn) *limitedConn {
	l.mu.Lock()
	var victim *limitedConn
	if len(l.conns) >= l.maxConns {
		if victim = l.slowestConn(); victim == nil {
			l.mu.Unlock()
			return nil
		}
		delete(l.conns, victim)
		l.evicted++
	}
	admitted := &limitedConn{Conn: conn, limiter: l, waitingSince: l.now()}
	l.conns[admitted] = true
	l.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
	}
	return admitted
}

// slowestConn returns the connection that has been waiting longest for a request, or
// nil if none has been waiting for more than the grace period. The caller holds mu.
func (l *ConnLimiter) slowestConn() *limitedConn {
	var slowest *limitedConn
	latest := l.now().Add(-l.gracePeriod)
	for conn := range l.conns {
		if conn.waitingSince.IsZero() || !conn.waitingSince.Before(latest) {
			continue
		}
		if slowest == nil || conn.waitingSince.Before(slowest.waitingSince) {
			slowest = conn
		}
	}
	return slowest
}

// Close closes the connection and removes it from its limiter.
func (c *limitedConn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

func (c *limitedConn) setWaitingSince(since time.Time) {
	c.limiter.mu.Lock()
	c.waitingSince = since
	c.limiter.mu.Unlock()
}

// limitedConnKey is the context key of a request's connection.
type limitedConnKey struct{}

// Track installs hooks in srv that track which connections are waiting for a request.
// It must be called before the server is started.
func (l *ConnLimiter) Track(srv *http.Server) {
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		limited, ok := conn.(*limitedConn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			limited.setWaitingSince(l.now())
		case http.StateIdle:
			limited.setWaitingSince(time.Time{})
		}
	}
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, limitedConnKey{}, conn)
	}
}

// markRequestReceived records that the request of ctx has been received completely, so
// its connection is no longer subject to eviction.
func markRequestReceived(ctx context.Context) {
	if conn, ok := ctx.Value(limitedConnKey{}).(*limitedConn); ok {
		conn.setWaitingSince(time.Time{})
	}
}
