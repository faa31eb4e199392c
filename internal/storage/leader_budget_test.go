package storage

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// leaderStoreRPS is the store's limit of writes per second. The share of a leader among
	// three controllers is 108.
	leaderStoreRPS = 200
	// userPause is the pause between two writes of users, whose rate exceeds that share by
	// a tenth.
	userPause = time.Second / 120
	// workerLease is how long workers without a holder keep their tasks.
	workerLease = 20 * time.Second
	// leaderTickPause is how long a leader waits between two attempts.
	leaderTickPause = 250 * time.Millisecond
)

// Guards against a leader that can't write shard leases while the workers of a terminated
// holder wait, because users' requests have reserved the write budget in advance.
func TestLeaderWritesBesideUsers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClientWithTransport(emptyObjectTransport{}, 1000, leaderStoreRPS, 3)
		client.SetLeading(true, leaderStoreRPS, 3)
		txn := protocol.Txn{Writes: []protocol.Write{{Put: "k"}}}
		ctx, stop := context.WithCancel(t.Context())
		var users sync.WaitGroup
		defer users.Wait()
		defer stop()
		users.Go(func() {
			for ctx.Err() == nil {
				users.Go(func() { _, _ = client.TxnByDeadline(ctx, txn) })
				time.Sleep(userPause)
			}
		})
		time.Sleep(workerLease)
		written := 0
		for range int(workerLease / leaderTickPause) {
			if _, err := client.Txn(ctx, txn); err == nil {
				written++
			}
			time.Sleep(leaderTickPause)
		}
		if written == 0 {
			t.Errorf("no write in %v", workerLease)
		}
	})
}
