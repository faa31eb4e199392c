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

// waitingNode is a controller whose only shard has no machines and a job that has waited
// for a minute, and the status of another controller, which holds shard 1.
type waitingNode struct {
	*Node
	shard  *shard
	job    *job
	status *Status
	now    time.Time
}

// newWaitingNode returns a waitingNode whose other shard has spare capacity on one
// machine.
func newWaitingNode(spare spareCapacity) *waitingNode {
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
	j := &job{id: "wk-1", revision: 9, submittedAt: now, receivedAt: now.Add(-time.Minute), taskResources: placement.Resources{3, 0, 2}, unplacedSince: now.Add(-time.Minute)}
	j.spec = protocol.Job{ID: j.id, Team: "red", Type: "array", Tasks: 2, Cores: 3, MemoryGB: 2, EstimatedSeconds: 9, Spot: true}
	s.jobs, s.queue = map[string]*job{}, []*job{j}
	s.addJob(j)
	status := &Status{From: "n1", receivedAt: now, Shards: []ShardStatus{{Index: 1, FencingToken: n.records.Shards[1].Value.FencingToken, SpareCapacity: []spareCapacity{spare}}}}
	n.peerStatus["n1"] = status
	return &waitingNode{n, s, j, status, now}
}

// spotCapacity is spare capacity for four tasks of three cores on a spot machine.
func spotCapacity() spareCapacity {
	return spareCapacity{Kind: machineKind{"big", "a", true}, Free: placement.Resources{12, 0, 24}}
}

// A job that has waited in a shard without capacity migrates to a shard with a machine
// that it may use, and to no other. Guards against a job that waits in a shard without
// machines while another shard has 13 of 16 cores free: jobs migrated only while the cloud
// had no capacity for any kind of machine, and each kind was requested again every 15 s.
func TestJobMigratesToSpareCapacity(t *testing.T) {
	cases := []struct {
		name     string
		adjust   func(w *waitingNode)
		migrates bool
	}{
		{"capacity", func(*waitingNode) {}, true},
		{"capacity in the zone that it requires", func(w *waitingNode) { w.job.spec.Zone = "a" }, true},
		{"capacity in another zone", func(w *waitingNode) { w.job.spec.Zone = "b" }, false},
		{"capacity on a machine type that it may use", func(w *waitingNode) { w.job.machineTypes = map[string]bool{"big": true} }, true},
		{"capacity on another machine type", func(w *waitingNode) { w.job.machineTypes = map[string]bool{"small": true} }, false},
		{"it may not use spot machines", func(w *waitingNode) { w.job.spec.Spot = false }, false},
		{"all tasks in one zone", func(w *waitingNode) { w.job.spec.OneZone = true }, true},
		{"tasks spread over zones", func(w *waitingNode) { w.job.spec.Spread = true }, true},
		{"a service", func(w *waitingNode) { w.job.spec.Type = protocol.JobTypeService }, true},
		{"the machine lacks memory", func(w *waitingNode) { w.job.taskResources[placement.Memory] = 25 }, false},
		{"the machine lacks cores", func(w *waitingNode) { w.job.taskResources[placement.Cores] = 13 }, false},
		{"the machine has no card", func(w *waitingNode) { w.job.taskResources[placement.GPUs] = 1 }, false},
		{"the machine has a card", func(w *waitingNode) {
			w.job.taskResources[placement.GPUs] = 1
			w.status.Shards[0].SpareCapacity[0].Free[placement.GPUs] = 2
		}, true},
		{"its shard has capacity and lacks a share", func(w *waitingNode) { w.shard.spareCapacity = []spareCapacity{spotCapacity()} }, false},
		{"its team is at its limit", func(w *waitingNode) { w.shard.used["red"] = storage.Resources{Cores: 12} }, false},
		{"one of its tasks runs", func(w *waitingNode) { w.job.attempts[0] = &taskAttempt{job: w.job, startedAt: w.now} }, false},
		{"it is unconfirmed", func(w *waitingNode) { w.job.unconfirmed = true }, false},
		{"it has just begun to wait", func(w *waitingNode) { w.job.unplacedSince = w.now.Add(-time.Second) }, false},
		{"another job has just migrated", func(w *waitingNode) { w.shard.migrationCheckedAt = w.now.Add(-time.Second) }, false},
		{"an earlier version reports no spare capacity", func(w *waitingNode) { w.status.Shards[0].SpareCapacity = nil }, false},
		{"the status is old", func(w *waitingNode) { w.status.receivedAt = w.now.Add(-statusValidity) }, false},
		{"the status is a former holder's", func(w *waitingNode) { w.status.Shards[0].FencingToken-- }, false},
		{"the other holder is overloaded", func(w *waitingNode) { w.status.Utilization = 1 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWaitingNode(spotCapacity())
			c.adjust(w)
			j, target := w.selectMigrationToSpareCapacity(w.shard, w.now)
			if migrates := j == w.job && target == 1; migrates != c.migrates {
				t.Errorf("migrates %v (to shard %d)", migrates, target)
			}
		})
	}
}

// A gang is not migrated: whether all its tasks fit elsewhere is not known.
func TestGangIsNotMigrated(t *testing.T) {
	w := newWaitingNode(spotCapacity())
	w.job.spec.Type = protocol.JobTypeGang
	if j, _ := w.selectMigrationToSpareCapacity(w.shard, w.now); j != nil {
		t.Error("a gang migrates")
	}
}

// A job with running tasks is drained, and migrates once they have ended. Guards against a
// job that never migrates because some of its tasks always run: two tasks of seven ran on
// small machines and the others waited for over 60 s, while a machine of another shard had
// 12 of 16 cores free.
func TestJobWithRunningTasksDrainsThenMigrates(t *testing.T) {
	w := newWaitingNode(spotCapacity())
	attempt := &taskAttempt{job: w.job, startedAt: w.now}
	w.job.attempts[0], w.job.unfinishedAttempts = attempt, 1
	w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
	if !w.job.isDraining() || w.job.isStartable() {
		t.Fatal("job is not draining, or more of its tasks may be placed here")
	}
	if j, _ := w.selectMigrationToSpareCapacity(w.shard, w.now); j != nil {
		t.Fatal("migrates while a task runs")
	}
	w.shard.migrationCheckedAt = time.Time{}
	delete(w.job.attempts, 0)
	w.job.unfinishedAttempts = 0
	w.shard.queue = nil // no task of a draining job is placed, so it is not in the queue
	if j, target := w.selectMigrationToSpareCapacity(w.shard, w.now); j != w.job || target != 1 {
		t.Error("does not migrate though its last task has ended")
	}
}

// A job is drained only while there is a reason, and for at most maxDrainHeartbeats.
func TestDrainingIsBounded(t *testing.T) {
	hold := 18 * 3 * time.Second // maxDrainHeartbeats heartbeat intervals of the simulated workers
	cases := []struct {
		name   string
		adjust func(w *waitingNode)
		drains bool
	}{
		{"its tasks are expected to end soon", func(*waitingNode) {}, true},
		{"its tasks run for longer", func(w *waitingNode) { w.job.spec.EstimatedSeconds = hold.Seconds() + 1 }, false},
		{"a service's tasks don't end", func(w *waitingNode) { w.job.spec.Type = protocol.JobTypeService }, false},
		{"it has not waited long enough", func(w *waitingNode) { w.job.unplacedSince = w.now.Add(-9 * time.Second) }, false},
		{"it has no pending tasks", func(w *waitingNode) { w.job.unfinishedAttempts = 2 }, false},
		{"no shard has spare capacity", func(w *waitingNode) { w.status.Shards[0].SpareCapacity = nil }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWaitingNode(spotCapacity())
			w.job.attempts[0], w.job.unfinishedAttempts = &taskAttempt{job: w.job, startedAt: w.now}, 1
			c.adjust(w)
			w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
			if w.job.isDraining() != c.drains {
				t.Fatalf("draining %v", w.job.isDraining())
			}
			if !c.drains {
				return
			}
			w.status.receivedAt = w.now.Add(hold + time.Second)
			w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now.Add(hold+time.Second)), w.now.Add(hold+time.Second))
			if w.job.isDraining() {
				t.Error("drained for longer than maxDrainHeartbeats")
			}
			if w.job.canStartDraining(config.Seconds(12), hold, w.now.Add(hold+2*time.Second)) {
				t.Error("draining restarted at once")
			}
		})
	}
	t.Run("the spare capacity is gone", func(t *testing.T) {
		w := newWaitingNode(spotCapacity())
		w.job.attempts[0], w.job.unfinishedAttempts = &taskAttempt{job: w.job, startedAt: w.now}, 1
		w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
		w.status.Shards[0].SpareCapacity = nil
		w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
		if w.job.isDraining() || !w.job.isStartable() {
			t.Error("job is still draining without a target")
		}
	})
}

// A job doesn't move back and forth between two shards of constant demand: it migrates at
// most once per minimum waiting time.
func TestMigrationRateIsBounded(t *testing.T) {
	w := newWaitingNode(spotCapacity())
	w.job.unplacedSince = w.now // it has just arrived
	migrations := 0
	const rounds = 600 // of a tenth of a second
	for round := range rounds {
		now := w.now.Add(time.Duration(round) * time.Second / 10)
		w.status.receivedAt = now
		if j, _ := w.selectMigrationToSpareCapacity(w.shard, now); j != nil {
			migrations++
			w.job.unplacedSince, w.job.receivedAt = now, now // and back again
		}
	}
	if maxMigrations := 60 / 6; migrations > maxMigrations {
		t.Errorf("%d migrations in a minute, want at most %d", migrations, maxMigrations)
	}
}

// Guards against a draining job that cancels the request for a machine made on its behalf:
// it waited for over 90 s, alternating between draining and waiting, since its tasks ran
// for longer than estimated.
func TestDrainingJobKeepsRequestedMachine(t *testing.T) {
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
	j.drainUntil = now.Add(time.Minute)
	check("draining")
	j.migrating = true
	if s.plan(input, true, now); len(s.scaleOut) != 0 {
		t.Errorf("machines requested for a migrating job: %v", s.scaleOut)
	}
}
