package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

const testTimeout = 2 * time.Second

// servePeers starts a server that runs until the test ends, and returns its address.
func servePeers(t *testing.T, handle func(int) int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	const maxConns = 4
	go ServePeers(ctx, listener, maxConns, handle)
	return listener.Addr().String()
}

// Guards against a heartbeat relay that waits for another one or delays a status message.
func TestTryCallDoesNotBlock(t *testing.T) {
	arrived, release := make(chan bool), make(chan bool)
	const slow = 1
	peer := NewPeerClient(servePeers(t, func(in int) int {
		if in == slow {
			arrived <- true
			<-release
		}
		return in
	}))
	done := make(chan error)
	go func() {
		var out int
		done <- peer.TryCall(testTimeout, slow, &out)
	}()
	<-arrived
	var out int
	if err := peer.TryCall(testTimeout, slow+1, &out); !errors.Is(err, errBusy) {
		t.Errorf("during another TryCall: %v", err)
	}
	if err := peer.Call(testTimeout, slow+1, &out); err != nil || out != slow+1 {
		t.Errorf("Call during a TryCall: %d, %v", out, err)
	}
	release <- true
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := peer.TryCall(testTimeout, slow+1, &out); err != nil || out != slow+1 {
		t.Errorf("after the other TryCall: %d, %v", out, err)
	}
}

// Guards against the first call after a pause failing because the peer has closed the
// idle connection.
func TestIdleConnectionIsReopened(t *testing.T) {
	peer := NewPeerClient(servePeers(t, func(in int) int { return in }))
	var out int
	if err := peer.TryCall(testTimeout, 1, &out); err != nil {
		t.Fatal(err)
	}
	peer.tryCallLink.conn.Close()
	peer.tryCallLink.lastUsed = time.Now().Add(-peerIdleTimeout)
	if err := peer.TryCall(testTimeout, 2, &out); err != nil || out != 2 {
		t.Errorf("%d, %v", out, err)
	}
}
