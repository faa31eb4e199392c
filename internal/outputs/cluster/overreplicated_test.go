package cluster

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	"reedtrack/internal/outputs"
	"reedtrack/internal/outputs/disk"
	pb "reedtrack/internal/outputs/outputsv1"
)

// newHeld returns the description of a replica with spans, given as pairs of bounds.
func newHeld(sealed, complete bool, bounds ...uint64) *pb.Held {
	var spans outputs.Spans
	for i := 0; i+1 < len(bounds); i += 2 {
		spans = spans.Add(bounds[i], bounds[i+1])
	}
	return &pb.Held{Complete: complete, Summary: &pb.Summary{Sealed: sealed}, Spans: spans}
}

// A replica is confirmed to another member only if it has all the data of the other's
// replica.
func TestCoversRequiresAllRemoteData(t *testing.T) {
	for _, c := range []struct {
		name          string
		local, remote *pb.Held
		want          bool
	}{
		{"nothing held", nil, newHeld(false, false, 0, 1), false},
		{"both complete", newHeld(true, true, 0, 9), newHeld(true, true, 0, 9), true},
		{"complete against a part", newHeld(true, true, 0, 9), newHeld(false, false, 3, 5), true},
		{"chunks missing", newHeld(true, false, 0, 9), newHeld(true, true, 0, 9), false},
		{"seal missing", newHeld(false, false, 0, 9), newHeld(true, false, 0, 5), false},
		{"open with all spans", newHeld(false, false, 0, 9), newHeld(false, false, 0, 5, 7, 9), true},
		{"open with a gap", newHeld(false, false, 0, 4, 6, 9), newHeld(false, false, 0, 5), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := covers(c.local, c.remote); got != c.want {
				t.Errorf("covers = %v, want %v", got, c.want)
			}
		})
	}
}

// confirmingPeer is a peer that confirms every replica.
type confirmingPeer struct{ Peer }

func (confirmingPeer) Confirm(_ context.Context, r *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	resp := &pb.ConfirmResponse{Held: make([]bool, len(r.Msg.Held))}
	for i := range resp.Held {
		resp.Held[i] = true
	}
	return connect.NewResponse(resp), nil
}

// keyPlacedOn returns the key of an attempt whose only replica is placed on a member.
func keyPlacedOn(v *View, member int) []byte {
	run := outputs.RunFromSecret([]byte("0123456789abcdef"))
	for task := uint32(0); ; task++ {
		key := outputs.Key(&pb.Attempt{Job: "wk-1", Task: task, Try: 1, Team: "red", Machine: "m", Stint: 1, Run: run})
		if v.Replicas(outputs.Route(key), 1)[0] == member {
			return key
		}
	}
}

// Two members with different views must not both drop their replicas because of each
// other's confirmation. A member that has confirmed a replica keeps it for PinDuration,
// even if another member confirms its own in the meantime.
func TestConfirmedReplicaIsPinned(t *testing.T) {
	store, err := disk.Open(disk.Options{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	one, two := Member{Name: "one", Zone: "a"}, Member{Name: "two", Zone: "b"}
	m := &Membership{Self: one}
	m.LoadCache()
	n := New(store, m, Options{
		ReplicationFactor:    1,
		PinDuration:          400 * time.Millisecond,
		CallTimeout:          time.Second,
		RepairBytesPerSecond: 1 << 20,
		Dial:                 func(Member) Peer { return confirmingPeer{} },
	})
	n.started = time.Now().Add(-time.Hour)
	both := &View{Members: []Member{one, two}, Confirmed: true}
	key := keyPlacedOn(both, 1)
	if err := store.Put(t.Context(), &pb.Entry{Key: key, What: &pb.Entry_Seal{Seal: &pb.Seal{Cause: "exit", Digest: make([]byte, 32)}}}); err != nil {
		t.Fatal(err)
	}
	request := &pb.ConfirmRequest{Held: []*pb.Held{{Key: key, Summary: &pb.Summary{}}}}
	if resp := n.Confirm(request); !resp.Held[0] {
		t.Fatal("a complete replica was not confirmed")
	}
	m.mu.Lock()
	m.view = both // now the replica belongs on the other member
	m.mu.Unlock()
	if n.dropOverReplicated(t.Context()); store.Held(key) == nil {
		t.Fatal("dropped a replica that was just confirmed to another member")
	}
	if resp := n.Confirm(request); resp.Held[0] {
		t.Error("confirmed a replica that belongs elsewhere")
	}
	time.Sleep(500 * time.Millisecond)
	if n.dropOverReplicated(t.Context()); store.Held(key) != nil {
		t.Error("not dropped after the pin has expired")
	}
}
