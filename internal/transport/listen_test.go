package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// A port in use is retried until it is free or the context ends; an address that does
// not belong to this machine fails immediately.
func TestListen(t *testing.T) {
	inUse := listenLocal(t)
	addr := inUse.Addr().String()
	time.AfterFunc(80*time.Millisecond, func() { inUse.Close() })
	ln, err := Listen(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if _, err := Listen(t.Context(), "192.0.2.1:1"); err == nil {
		t.Error("listening on another machine's address succeeded")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := Listen(ctx, addr); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a port that stays in use: %v", err)
	}
}

// listenLocal listens on a free port of the loopback interface.
func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// dialLocal connects to an address and closes the connection at the end of the test.
func dialLocal(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
