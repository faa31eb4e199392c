package transport

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A listener at its limit closes new connections, and accepts them again once another is closed.
func TestLimitListener(t *testing.T) {
	ln := listenLocal(t)
	limited := LimitListener(ln, 1)
	t.Cleanup(func() { limited.Close() })
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	addr := ln.Addr().String()
	dialLocal(t, addr)
	conn := <-accepted
	if _, err := dialLocal(t, addr).Read(make([]byte, 1)); err == nil {
		t.Error("a connection over the limit was kept open")
	}
	conn.Close()
	conn.Close()
	dialLocal(t, addr)
	<-accepted
}

// Guards against slow clients that exhaust the connection limit: clients that start a
// request and never finish it used to hold all sockets until their read timeouts expired.
// Heartbeats and health checks must succeed, and workers' connections must not be evicted.
func TestConnLimiterSlowClients(t *testing.T) {
	const maxConns = 8
	ln := listenLocal(t)
	srv := NewServer(&fakeService{status: 200, ready: true}, 2)
	limiter := NewConnLimiter(ln, maxConns, 50*time.Millisecond)
	limiter.Track(srv)
	go srv.Serve(limiter)
	t.Cleanup(func() { srv.Close() })
	addr := ln.Addr().String()
	worker := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 2 * time.Second}
	sendHeartbeat := func() error {
		resp, err := worker.Post("http://"+addr+"/checkin", "application/json", strings.NewReader("{}"))
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return err
	}
	if err := sendHeartbeat(); err != nil {
		t.Fatal(err)
	}
	for range 5 * maxConns {
		if _, err := io.WriteString(dialLocal(t, addr), "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	checker := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for range 20 {
		resp, err := checker.Get("http://" + addr + "/up")
		if err != nil {
			t.Fatalf("/up is not answered: %v", err)
		}
		resp.Body.Close()
	}
	if err := sendHeartbeat(); err != nil {
		t.Errorf("a worker's connection was evicted: %v", err)
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.evicted == 0 || len(limiter.conns) > maxConns {
		t.Errorf("%d evicted, %d open", limiter.evicted, len(limiter.conns))
	}
}

// At the limit, the connection that has been waiting longest for a request is evicted,
// but none that is being served, is idle, or is within its grace period.
func TestConnLimiterEvictsSlowest(t *testing.T) {
	now := time.Unix(1e9, 0)
	limiter := NewConnLimiter(nil, 3, time.Second)
	limiter.now = func() time.Time { return now }
	admit := func() *limitedConn {
		server, client := net.Pipe()
		t.Cleanup(func() {
			server.Close()
			client.Close()
		})
		return limiter.admit(server)
	}
	idle, slow, slower := admit(), admit(), admit()
	idle.setWaitingSince(time.Time{})
	slow.setWaitingSince(now.Add(-2 * time.Second))
	slower.setWaitingSince(now.Add(-3 * time.Second))
	if admit() == nil || limiter.conns[slower] || !limiter.conns[slow] {
		t.Error("the slowest connection was not evicted")
	}
	if admit() == nil || limiter.conns[slow] || !limiter.conns[idle] {
		t.Error("the next slowest connection was not evicted")
	}
	if admit() != nil || len(limiter.conns) != 3 {
		t.Error("a new or idle connection was evicted")
	}
	if slower.Close(); len(limiter.conns) != 3 {
		t.Error("closing an evicted connection changed the connection count")
	}
}
