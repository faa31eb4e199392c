package coordination

import (
	"errors"
	"math"
	"testing"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// stalledShard returns a shard with a share of red's quota, a pending job and no machine,
// and the input of its plans, by which the cloud has no capacity.
func stalledShard(now time.Time) (*shard, *planInput) {
	s, input := busyShard(0, now)
	j := &job{id: "wk-1", revision: 9, submittedAt: now, taskResources: placement.Resources{2, 0, 2}}
	j.spec = protocol.Job{ID: j.id, Team: "red", Type: "array", Tasks: 40, Cores: 2, MemoryGB: 2, EstimatedSeconds: 30, Spot: true}
	s.addJob(j)
	input.teams = map[string]teamQuota{"red": {limit: storage.Resources{Cores: 80}}}
	s.shares = map[string]storage.Resources{"red": {Cores: 40}}
	return s, input
}

// A share without machines counts as zero after two heartbeat intervals, so that a shard
// with machines gets it, and in full again after twelve more. Guards against a quota that
// is divided by demand alone: shard 0 kept 3 cores without a machine for as long as it
// waited for the cloud, while shard 2 had used up its 3 and had 13 of 16 cores free.
func TestStalledShareIsNotStartable(t *testing.T) {
	now := time.Now()
	s, input := stalledShard(now)
	startable := func(after time.Duration) (float64, bool) {
		s.plan(input, true, now.Add(after))
		amount, stalled := s.startable["red"]
		return amount.Cores, stalled
	}
	const heartbeat = 5 * time.Second // of busyShard's input
	for _, c := range []struct {
		after   time.Duration
		stalled bool
	}{
		{0, false}, {heartbeat, false}, {2 * heartbeat, true}, {10 * heartbeat, true},
		{14 * heartbeat, false}, {15 * heartbeat, false}, {16 * heartbeat, true},
	} {
		if amount, stalled := startable(c.after); stalled != c.stalled || amount != 0 {
			t.Errorf("after %v: stalled %v, %g cores", c.after, stalled, amount)
		}
	}
	if s.desired["red"].Cores != 80 {
		t.Errorf("desired %v, want 80 cores: a stall must not change the demand", s.desired["red"])
	}
}

// A share whose tasks wait for booting machines is not stalled.
func TestShareWithMachinesIsNotStalled(t *testing.T) {
	now := time.Now()
	s, input := stalledShard(now)
	s.shares["red"] = storage.Resources{Cores: 4}
	s.setBooting([]machineRequest{{machineKind{"big", "a", true}, 1}}, now)
	for heartbeat := range 5 {
		s.plan(input, true, now.Add(time.Duration(heartbeat)*input.heartbeatInterval))
		if len(s.startable) > 0 || len(s.stalls) > 0 {
			t.Fatalf("stalled after %d heartbeats though a machine is booting", heartbeat)
		}
	}
}

// The holder of a shard returns a stalled share, which goes to a shard that can use it.
func TestStalledShareIsReturned(t *testing.T) {
	now := time.Now()
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	s, input := stalledShard(now)
	n.teams = input.teams
	n.shards[0] = s
	n.peerStatus["n1"] = &Status{Shards: []ShardStatus{{Index: 1, Used: map[string]storage.Resources{"red": {Cores: 40}},
		Desired: map[string]storage.Resources{"red": {Cores: 80}}, SmallestTask: map[string]storage.Resources{"red": {Cores: 2}}}}}
	s.plan(input, true, now)
	if next, _ := n.lowerShares(s, s.shares, now); next["red"].Cores != 40 {
		t.Fatalf("share is %v before it is stalled", next["red"])
	}
	later := now.Add(2 * input.heartbeatInterval)
	s.plan(input, true, later)
	if next, lowered := n.lowerShares(s, s.shares, later); !lowered || next["red"].Cores != 0 {
		t.Errorf("share is %v, lowered %v", next["red"], lowered)
	}
	if shares := n.divideQuota("red"); shares[1].Cores != 80 {
		t.Errorf("shares %v, want all for the shard with machines", shares)
	}
}

// Values in a status that are impossible, or that name something unknown to this controller,
// are ignored; the rest is used.
func TestInvalidStatusValuesAreLeftOut(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	n.records.SetMachineTypes(simMachineTypes)
	amounts := map[string]storage.Resources{"red": {Cores: 3}, "unknown": {Cores: 1}}
	kind := machineKind{"big", "a", true}
	status := Status{From: "n1", Shards: []ShardStatus{{Index: 1, Startable: amounts, SpareCapacity: []spareCapacity{
		{kind, placement.Resources{16, 0, 32}},
		{machineKind{"huge", "a", true}, placement.Resources{1, 0, 1}},
		{kind, placement.Resources{-1, 0, 1}},
		{kind, placement.Resources{math.NaN(), 0, 1}},
		{kind, placement.Resources{17, 0, 1}},
		{kind, placement.Resources{1, 1, 1}},
	}}}}
	n.ReceiveStatus(status)
	kept := n.peerStatus["n1"].Shards[0]
	if len(kept.SpareCapacity) != 1 || len(kept.Startable) != 1 || kept.Startable["red"].Cores != 3 {
		t.Errorf("kept %v and %v", kept.SpareCapacity, kept.Startable)
	}
	if len(amounts) != 2 {
		t.Error("the sender's status was modified")
	}
	if logged := len(n.loggedStatusErrors); logged != 3 {
		t.Errorf("%d errors logged, want 3, one for each name and reason: %v", logged, n.loggedStatusErrors)
	}
	for _, cores := range []float64{-1, math.NaN(), 15, math.Inf(1)} {
		err := error(n.checkStartable("n1", 1, "red", storage.Resources{Cores: cores}))
		if value := new(statusValueError); !errors.As(err, &value) || value.reason != reasonOutOfRange {
			t.Errorf("%g of at most 14 cores: %v", cores, err)
		}
	}
}

// The reason why a job waits is updated by each plan; the waiting time starts with the
// first unplaced task.
func TestWaitReason(t *testing.T) {
	now := time.Now()
	s, input := stalledShard(now)
	j := s.jobs["wk-1"]
	for _, c := range []struct {
		share  float64
		reason waitReason
	}{{40, waitsForMachine}, {0, waitsForShare}, {1, waitsForShare}, {2, waitsForMachine}} {
		s.shares["red"] = storage.Resources{Cores: c.share}
		s.plan(input, true, now)
		if j.waitReason != c.reason || !j.unplacedSince.Equal(now) {
			t.Errorf("share %g: reason %q since %v, want %q", c.share, j.waitReason, j.unplacedSince, c.reason)
		}
	}
}
