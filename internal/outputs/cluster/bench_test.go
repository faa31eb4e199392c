package cluster

import (
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"reedtrack/internal/emulator"
	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
	"reedtrack/internal/storage"
)

// BenchmarkMembership measures the requests per second that an idle member sends to
// the key-value store, with the default lease duration and a key-value store limited
// to 250 requests per second.
func BenchmarkMembership(b *testing.B) {
	requests := new(atomic.Int64)
	srv := httptest.NewServer(requestCounter{emulator.NewKVStore(), requests})
	b.Cleanup(srv.Close)
	const n, seconds = 4, 30
	for b.Loop() {
		for i := range n {
			m := &Membership{
				Self:          Member{Name: fmt.Sprint("s", i), Zone: "a", Address: "http://x", ID: fmt.Sprint(i)},
				LeaseDuration: 10 * time.Second,
				KeyValueStore: storage.NewClient(srv.Listener.Addr().String(), 5, 1.2, 1),
				WatchPause:    func(members int) time.Duration { return max(time.Second, storage.WatchPause(5, members)) },
			}
			m.LoadCache()
			go m.Run(b.Context())
		}
		time.Sleep(5 * time.Second)
		requests.Store(0)
		time.Sleep(seconds * time.Second)
		b.ReportMetric(float64(requests.Load())/seconds/n, "requests/s/store")
	}
}

// BenchmarkDigests measures the cost of computing a member's digests of 100,000
// attempts for all other members.
func BenchmarkDigests(b *testing.B) {
	store, err := disk.Open(disk.Options{Dir: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { store.Close() })
	var batch []*pb.Entry
	for i := range uint32(100000) {
		key := outputs.Key(&pb.Attempt{Job: "wk-1", Task: i, Try: 1, Team: "red", Machine: "host-000017", Stint: 1, Run: outputs.RunFromSecret([]byte("0123456789abcdef"))})
		batch = append(batch, &pb.Entry{Key: key, What: &pb.Entry_Seal{Seal: &pb.Seal{Cause: "exit", Digest: make([]byte, 32)}}})
		if len(batch) == 1000 {
			if err := store.Put(b.Context(), batch...); err != nil {
				b.Fatal(err)
			}
			batch = nil
		}
	}
	store.Checkpoint()
	for _, n := range []int{2, 5, 20} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newView(n, 2)
			m := &Membership{Self: v.Members[0]}
			m.LoadCache()
			node := New(store, m, Options{ReplicationFactor: 2, RepairBytesPerSecond: 1})
			for b.Loop() {
				clear(node.digestCache)
				node.digestsFor(v, 2)
			}
		})
	}
}
