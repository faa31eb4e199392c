package coordination

import (
	"encoding/json"
	"testing"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// waitingNode is a controller with one shard that has no machines, a job that has waited
// there for a minute, and the status of another controller, which holds shard 1.
type waitingNode struct {
	*Node
	shard  *shard
	job    *job
	status *Status
	now    time.Time
}

// newWaitingNode returns one whose other shard has room on one machine.
func newWaitingNode(room machineRoom) *waitingNode {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	n.records.SetMachineTypes(simMachineTypes)
	now := time.Now()
	n.now = func() time.Time { return now }
	lease, _ := json.Marshal(storage.ShardLease{Holder: storage.Controller{Name: "n1", Session: 1}, FencingToken: 5})
	n.applyChange(storage.ShardKey(1), lease, 4)
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, now)
	s.reconciled = true
	n.shards[0] = s
	record, _ := json.Marshal(storage.Job{Spec: protocol.Job{ID: "wk-1"}})
	n.applyChange(storage.JobKey("wk-1"), record, 9)
	j := &job{id: "wk-1", revision: 9, submittedAt: now, receivedAt: now.Add(-time.Minute), need: placement.Resources{3, 0, 2}, unplacedSince: now.Add(-time.Minute)}
	j.spec = protocol.Job{ID: j.id, Team: "red", Type: "array", Tasks: 2, Cores: 3, MemoryGB: 2, EstimatedSeconds: 9, Spot: true}
	s.jobs, s.queue = map[string]*job{}, []*job{j}
	s.addJob(j)
	status := &Status{From: "n1", receivedAt: now, Shards: []ShardStatus{{Index: 1, FencingToken: n.records.Shards[1].Value.FencingToken, Room: []machineRoom{room}}}}
	n.peerStatus["n1"] = status
	return &waitingNode{n, s, j, status, now}
}

// spotRoom is room for four tasks of three cores on a spot machine.
func spotRoom() machineRoom {
	return machineRoom{Kind: machineKind{"big", "a", true}, Free: placement.Resources{12, 0, 24}}
}

// A job that has waited in a shard without room goes where a machine has room that it
// may use, and nowhere else. What happened: wk-000049 of red waited in a shard without
// machines while another had 13 of 16 cores free on a machine that red's tasks might use
// (`shard 2 ... uses 0 wants 6, no machine; shard 1 host-000013 big used 3/16`): jobs
// moved only when the cloud had refused every kind of machine at that moment, and it was
// asked again every 15 s.
func TestJobGoesWhereRoomIs(t *testing.T) {
	cases := []struct {
		name   string
		adjust func(w *waitingNode)
		goes   bool
	}{
		{"room", func(*waitingNode) {}, true},
		{"room in the zone that it is bound to", func(w *waitingNode) { w.job.spec.Zone = "a" }, true},
		{"room in another zone", func(w *waitingNode) { w.job.spec.Zone = "b" }, false},
		{"room on a type that it may use", func(w *waitingNode) { w.job.machineTypes = map[string]bool{"big": true} }, true},
		{"room on another type", func(w *waitingNode) { w.job.machineTypes = map[string]bool{"small": true} }, false},
		{"it may not use spot machines", func(w *waitingNode) { w.job.spec.Spot = false }, false},
		{"all tasks in one zone", func(w *waitingNode) { w.job.spec.OneZone = true }, true},
		{"tasks spread over zones", func(w *waitingNode) { w.job.spec.Spread = true }, true},
		{"a service", func(w *waitingNode) { w.job.spec.Type = protocol.JobTypeService }, true},
		{"the machine lacks memory", func(w *waitingNode) { w.job.need[placement.Memory] = 25 }, false},
		{"the machine lacks cores", func(w *waitingNode) { w.job.need[placement.Cores] = 13 }, false},
		{"the machine has no card", func(w *waitingNode) { w.job.need[placement.Cards] = 1 }, false},
		{"the machine has a card", func(w *waitingNode) {
			w.job.need[placement.Cards] = 1
			w.status.Shards[0].Room[0].Free[placement.Cards] = 2
		}, true},
		{"its shard has room, and lacks a share", func(w *waitingNode) { w.shard.room = []machineRoom{spotRoom()} }, false},
		{"its team is at its limit", func(w *waitingNode) { w.shard.used["red"] = storage.Resources{Cores: 12} }, false},
		{"a task of it runs", func(w *waitingNode) { w.job.attempts[0] = &taskAttempt{job: w.job, startedAt: w.now} }, false},
		{"it is unconfirmed", func(w *waitingNode) { w.job.unconfirmed = true }, false},
		{"it has just begun to wait", func(w *waitingNode) { w.job.unplacedSince = w.now.Add(-time.Second) }, false},
		{"another has just gone", func(w *waitingNode) { w.shard.roomCheckedAt = w.now.Add(-time.Second) }, false},
		{"a former version tells no room", func(w *waitingNode) { w.status.Shards[0].Room = nil }, false},
		{"the status is old", func(w *waitingNode) { w.status.receivedAt = w.now.Add(-statusValidity) }, false},
		{"the status is a former holder's", func(w *waitingNode) { w.status.Shards[0].FencingToken-- }, false},
		{"the other holder is overloaded", func(w *waitingNode) { w.status.Utilization = 1 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWaitingNode(spotRoom())
			c.adjust(w)
			j, target := w.selectMigrationToRoom(w.shard, w.now)
			if goes := j == w.job && target == 1; goes != c.goes {
				t.Errorf("goes %v (to shard %d)", goes, target)
			}
		})
	}
}

// A gang stays: whether all its tasks find room elsewhere is not known.
func TestGangStaysWhereItIs(t *testing.T) {
	w := newWaitingNode(spotRoom())
	w.job.spec.Type = protocol.JobTypeGang
	if j, _ := w.selectMigrationToRoom(w.shard, w.now); j != nil {
		t.Error("goes")
	}
}

// A job with tasks that run is held back, and goes once they have ended. What happened:
// wk-000035, seven tasks, had two of them on small machines and waited for over 60 s with
// the others, while a machine of another shard had 12 of 16 cores free: a job with tasks
// that run did not move at all, and its shard never ran out of them.
func TestJobWithRunningTasksLeaves(t *testing.T) {
	w := newWaitingNode(spotRoom())
	attempt := &taskAttempt{job: w.job, startedAt: w.now}
	w.job.attempts[0], w.job.unfinishedAttempts = attempt, 1
	w.updateLeaving(w.shard, w.roomElsewhere(w.shard, w.now), w.now)
	if !w.job.isLeaving() || w.job.isStartable() {
		t.Fatal("more of its tasks are placed here")
	}
	if j, _ := w.selectMigrationToRoom(w.shard, w.now); j != nil {
		t.Fatal("goes while a task runs")
	}
	w.shard.roomCheckedAt = time.Time{}
	delete(w.job.attempts, 0)
	w.job.unfinishedAttempts = 0
	w.shard.queue = nil // nothing of it is placed, so it is not in the queue
	if j, target := w.selectMigrationToRoom(w.shard, w.now); j != w.job || target != 1 {
		t.Error("stays though its last task has ended")
	}
}

// A job is held back only for a reason that lasts, and only for a while.
func TestLeavingJobMayStay(t *testing.T) {
	hold := 18 * 3 * time.Second // maxLeavingHeartbeats heartbeats of the simulated workers
	cases := []struct {
		name   string
		adjust func(w *waitingNode)
		leaves bool
	}{
		{"its tasks end soon", func(*waitingNode) {}, true},
		{"its tasks run for longer", func(w *waitingNode) { w.job.spec.EstimatedSeconds = hold.Seconds() + 1 }, false},
		{"a service's tasks don't end", func(w *waitingNode) { w.job.spec.Type = protocol.JobTypeService }, false},
		{"it has not waited for long", func(w *waitingNode) { w.job.unplacedSince = w.now.Add(-9 * time.Second) }, false},
		{"nothing of it waits", func(w *waitingNode) { w.job.unfinishedAttempts = 2 }, false},
		{"there is no room elsewhere", func(w *waitingNode) { w.status.Shards[0].Room = nil }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWaitingNode(spotRoom())
			w.job.attempts[0], w.job.unfinishedAttempts = &taskAttempt{job: w.job, startedAt: w.now}, 1
			c.adjust(w)
			w.updateLeaving(w.shard, w.roomElsewhere(w.shard, w.now), w.now)
			if w.job.isLeaving() != c.leaves {
				t.Fatalf("leaves %v", w.job.isLeaving())
			}
			if !c.leaves {
				return
			}
			w.status.receivedAt = w.now.Add(hold + time.Second)
			w.updateLeaving(w.shard, w.roomElsewhere(w.shard, w.now.Add(hold+time.Second)), w.now.Add(hold+time.Second))
			if w.job.isLeaving() {
				t.Error("held back for longer than its tasks were to run")
			}
			if w.job.mayLeave(config.Seconds(12), hold, w.now.Add(hold+2*time.Second)) {
				t.Error("held back again at once")
			}
		})
	}
	t.Run("the room is gone", func(t *testing.T) {
		w := newWaitingNode(spotRoom())
		w.job.attempts[0], w.job.unfinishedAttempts = &taskAttempt{job: w.job, startedAt: w.now}, 1
		w.updateLeaving(w.shard, w.roomElsewhere(w.shard, w.now), w.now)
		w.status.Shards[0].Room = nil
		w.updateLeaving(w.shard, w.roomElsewhere(w.shard, w.now), w.now)
		if w.job.isLeaving() || !w.job.isStartable() {
			t.Error("held back for nothing")
		}
	})
}

// Two shards whose demand stays as it is don't send a job back and forth: it goes at most
// once in the time for which it has to have waited.
func TestMovesOfAJobAreBounded(t *testing.T) {
	w := newWaitingNode(spotRoom())
	w.job.unplacedSince = w.now // it has just arrived
	moves := 0
	const rounds = 600 // of a tenth of a second
	for round := range rounds {
		now := w.now.Add(time.Duration(round) * time.Second / 10)
		w.status.receivedAt = now
		if j, _ := w.selectMigrationToRoom(w.shard, now); j != nil {
			moves++
			w.job.unplacedSince, w.job.receivedAt = now, now // and back again
		}
	}
	if most := 60 / 6; moves > most {
		t.Errorf("%d moves in a minute, at most %d", moves, most)
	}
}

// Guards against a job that is held back to leave and turns away the machine which was
// requested for it: it waited for over 90 s, held back, waiting and held back again, since
// its tasks ran for longer than they were to.
func TestLeavingJobKeepsRequestedMachine(t *testing.T) {
	n, s, input, report := newDetectionShard(1)
	now := time.Now()
	report(now, "m0", "m1")
	n.detectFailures(input, now)
	j := addPendingJob(s, "wk-000001", 3)
	s.shares["red"] = storage.Resources{Cores: 12}
	input.teams["red"] = teamQuota{limit: storage.Resources{Cores: 12}}
	check := func(when string) {
		t.Helper()
		s.plan(input, true, now)
		requested := s.requestedByZone()
		if requested["a"]+requested["b"] != 1 || s.desired["red"].Cores != 12 || s.smallestTask["red"].Cores != 4 {
			t.Errorf("%s: requested %v, desired %v, smallest task %v", when, requested, s.desired, s.smallestTask)
		}
	}
	check("waiting")
	if len(j.attempts) != 2 {
		t.Fatalf("%d tasks placed", len(j.attempts))
	}
	j.leavingUntil = now.Add(time.Minute)
	check("held back")
	j.migrating = true
	if s.plan(input, true, now); len(s.scaleOut) != 0 {
		t.Errorf("requested for a job that goes: %v", s.scaleOut)
	}
}
