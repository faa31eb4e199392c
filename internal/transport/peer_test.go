package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

const testTimeout = 2 * time.Second

// servePeers answers numbers until the test ends, and returns the address.
func servePeers(t *testing.T, answer func(int) int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	const maxConns = 4
	go ServePeers(ctx, listener, maxConns, answer)
	return listener.Addr().String()
}

// Guards against a relay that waits for another one, or keeps a status from being sent.
func TestTryCallWaitsForNobody(t *testing.T) {
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
		t.Errorf("while another is under way: %v", err)
	}
	if err := peer.Call(testTimeout, slow+1, &out); err != nil || out != slow+1 {
		t.Errorf("a call beside it: %d, %v", out, err)
	}
	release <- true
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := peer.TryCall(testTimeout, slow+1, &out); err != nil || out != slow+1 {
		t.Errorf("after it: %d, %v", out, err)
	}
}

// Guards against the first call after a pause failing on a connection that the other
// side has closed for being idle.
func TestIdleConnectionIsOpenedAnew(t *testing.T) {
	peer := NewPeerClient(servePeers(t, func(in int) int { return in }))
	var out int
	if err := peer.TryCall(testTimeout, 1, &out); err != nil {
		t.Fatal(err)
	}
	peer.tries.conn.Close()
	peer.tries.lastUsed = time.Now().Add(-peerIdleTimeout)
	if err := peer.TryCall(testTimeout, 2, &out); err != nil || out != 2 {
		t.Errorf("%d, %v", out, err)
	}
}
