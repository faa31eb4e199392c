package coordination

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/policy"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// serviceLevelNode returns a controller with one shard and completion objectives for two
// classes, and a function that adds a job record.
func serviceLevelNode() (n *Node, s *shard, addJob func(id, class string, age time.Duration)) {
	w := newWorld(1, nil)
	w.settings.Deployment.Objectives = []config.Objective{{Kind: "finished", Class: "slow", WithinS: 100}, {Kind: "finished", Class: "quick", WithinS: 10}}
	n = New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	n.records.SetMachineTypes(simMachineTypes)
	applyGrant(n, 0, storage.Grant{Quotas: map[string]storage.Resources{"red": {Cores: 14}, "blue": {Cores: 24}}}, 5)
	s = newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	s.reconciled = true
	n.shards[0] = s
	revision := uint64(10)
	return n, s, func(id, class string, age time.Duration) {
		revision++
		raw, _ := json.Marshal(storage.Job{AcceptedAtMS: time.Now().Add(-age).UnixMilli(),
			Spec: protocol.Job{ID: id, Class: class, Team: "red", Type: "array", Priority: "low", Tasks: 1, Cores: 1, EstimatedSeconds: 5}})
		n.applyChange(storage.JobKey(id), raw, revision)
	}
}

// Completed jobs count as met or missed for their class, and unfinished jobs past their
// deadline as missed; cancelled jobs don't count.
func TestServiceLevelsAreCounted(t *testing.T) {
	n, s, addJob := serviceLevelNode()
	addJob("wk-1", "slow", 50*time.Second)  // completes in time
	addJob("wk-2", "slow", 150*time.Second) // completes too late
	addJob("wk-3", "slow", 150*time.Second) // cancelled
	addJob("wk-4", "slow", 150*time.Second) // not completed
	addJob("wk-5", "slow", 50*time.Second)  // deadline not reached
	addJob("wk-6", "quick", 50*time.Second) // not completed
	for _, id := range []string{"wk-1", "wk-2"} {
		s.jobs[id].markDone(0)
	}
	for i, id := range []string{"wk-1", "wk-2", "wk-3"} {
		n.applyChange(storage.JobKey(id), nil, uint64(100+i))
	}
	got := n.currentServiceLevels(time.Now())
	for class, want := range map[string]struct{ met, missed int }{"slow": {1, 2}, "quick": {0, 1}} {
		level := got.byClass[class]
		if int(level.Met+0.5) != want.met || int(level.Missed+0.5) != want.missed {
			t.Errorf("%s: %+v, want %+v", class, level, want)
		}
	}
	if !got.byClass["slow"].IsBelowMinimum() || got.byClass["none"].IsBelowMinimum() {
		t.Error("a class with one job of three in time is below its minimum, and one without jobs is not")
	}
}

// Tasks of a class below its minimum service level are preempted only for jobs within a
// guarantee, not for merely urgent ones; and no task is preempted more than
// policy.MaxPreemptions times, so that it eventually completes.
func TestPreemptionVictims(t *testing.T) {
	for _, c := range []struct {
		name            string
		lateJobs        int
		preemptions     int  // of the task so far
		withinGuarantee bool // of the preemptor
		want            bool // preempted
	}{
		{"above the minimum", 0, 0, false, true},
		{"below the minimum", 5, 0, false, false},
		{"below the minimum, for a guarantee", 5, 0, true, true},
		{"preempted before", 0, policy.MaxPreemptions - 1, false, true},
		{"preempted too often", 0, policy.MaxPreemptions, false, false},
		{"preempted too often, for a guarantee", 0, policy.MaxPreemptions, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, s, addJob := serviceLevelNode()
			now := time.Now()
			s.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "a", MachineType: "small", Zone: "a", FencingToken: 2}}, Quotas: s.shares},
				func(string) (placement.Resources, bool) { return placement.Resources{1, 0, 16}, true }, now)
			m := s.machines["a"]
			s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 1, FencingToken: 2}, now)
			addJob("wk-1", "slow", time.Second)
			low := s.jobs["wk-1"]
			s.place(low, low.takePendingTask(), m).start.MarkReported()
			low.preemptions = map[int]int{0: c.preemptions}
			for i := range c.lateJobs {
				addJob(fmt.Sprintf("wk-9%d", i), "slow", 150*time.Second)
			}
			addJob("wk-2", "quick", time.Second)
			high := s.jobs["wk-2"]
			high.urgency, high.withinGuarantee = protocol.PriorityProd, c.withinGuarantee
			input := n.newPlanInput(now)
			if runs, _ := s.victims(high, input.preemptor(high, now), m, input, now); (len(runs) > 0) != c.want {
				t.Errorf("%d tasks may be preempted", len(runs))
			}
		})
	}
}

// Booting machines are known only by count: the remaining boot time is computed from the
// times at which the count grew, and the oldest machines are assumed to finish first.
func TestRemainingBootSeconds(t *testing.T) {
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Time{})
	const bootSeconds = 20
	kind, now := machineKind{"small", "a", true}, time.Now()
	for _, c := range []struct { // applied in sequence
		after time.Duration
		count int // of booting machines
		want  float64
	}{
		{0, 10, 20},
		{5 * time.Second, 10, 15},
		{0, 20, 17.5},
		{5 * time.Second, 15, (5*10 + 10*15) / 15.0},
		{0, 10, 15},
		{20 * time.Second, 10, 0},
		{0, 0, 10},
		{0, 3, 20},
	} {
		now = now.Add(c.after)
		var booting []machineRequest
		if c.count > 0 {
			booting = []machineRequest{{kind, c.count}}
		}
		s.setBooting(booting, now)
		if got := s.remainingBootSeconds(machineRequest{kind, c.count}, bootSeconds, now); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%d machines booting: %v s left, want %v", c.count, got, c.want)
		}
	}
}
