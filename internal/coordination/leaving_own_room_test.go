package coordination

import (
	"testing"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// newDrainingJob returns a controller with a job of five tasks that is held back to leave for
// room for four of them, while two run on a machine of its own shard, which is full.
func newDrainingJob() (*waitingNode, *machine) {
	w := newWaitingNode(spotCapacity())
	w.shard.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "m1", MachineType: "small", Zone: "a", FencingToken: 2}}},
		func(string) (placement.Resources, bool) { return placement.Resources{6, 0, 16}, true }, w.now)
	m := w.shard.machines["m1"]
	w.shard.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "m1", Session: 1, Sequence: 1, FencingToken: 2}, w.now)
	w.job.spec.Tasks = 5
	for range 2 {
		w.shard.place(w.job, w.job.takePendingTask(), m).startedAt = w.now
	}
	w.job.waitReason = waitsForMachine
	w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
	return w, m
}

// endTask ends a task, which leaves room that the next plan finds.
func (w *waitingNode) endTask(attempt *taskAttempt) {
	w.shard.completeTask(w.job, attempt.key.task)
	w.shard.dropAttempt(attempt)
	w.shard.spareCapacity = []spareCapacity{{Kind: attempt.machine.kind(), Free: attempt.machine.freeCapacity()}}
}

// A job that is held back stayed as soon as one of its own tasks ended, since that left
// room in its shard: another task took its place, and the job waited anew, again and
// again, beside room for all of it (issue 46: wk-000021 in a trial, "job leaving" and "job
// stays" four times in 90 s, room for four tasks in another shard all the while).
func TestEndedTasksDoNotCancelDraining(t *testing.T) {
	w, m := newDrainingJob()
	if !w.job.isDraining() {
		t.Fatal("not held back")
	}
	for _, running := range []int{1, 0} {
		for _, attempt := range m.attempts {
			w.endTask(attempt)
			break
		}
		w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
		if !w.job.isDraining() {
			t.Fatalf("stays with %d running", running)
		}
	}
	if target, reason := w.findMigrationTargets(w.shard, w.now).selectTarget(w.job); reason != noStayReason || target != 1 {
		t.Errorf("stays: %s", reason)
	}
}

// It stays once its own shard takes as many of its waiting tasks as the room elsewhere.
func TestEqualCapacityInOwnShardCancelsDraining(t *testing.T) {
	for name, adjust := range map[string]func(w *waitingNode){
		"room for one elsewhere": func(w *waitingNode) { w.status.Shards[0].Room[0].Free = placement.Resources{3, 0, 2} },
		"one task waits":         func(w *waitingNode) { w.job.markDone(2); w.job.markDone(3) },
	} {
		w, m := newDrainingJob()
		adjust(w)
		attempt := m.attempts[taskKey{"wk-1", 0}]
		w.endTask(attempt)
		w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
		if w.job.isDraining() {
			t.Errorf("%s: held back", name)
		}
	}
}

// Room on a machine of its own shard kept a job there that may not use it (issue 46:
// wk-000045 in a trial, its last task waited beside 2 free cores where a copy of its own
// start may arrive, and one in another shard).
func TestUnusableCapacityDoesNotCancelDraining(t *testing.T) {
	w, m := newDrainingJob()
	w.job.leavingUntil = w.now.Add(-w.heartbeatIntervals(1))
	w.job.cancelDraining(stayDrainTimeout, w.now.Add(-w.heartbeatIntervals(drainWaitHeartbeats)))
	w.shard.spareCapacity = []spareCapacity{{Kind: m.kind(), Free: placement.Resources{3, 0, 8}}}
	w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
	if !w.job.isDraining() {
		t.Error("stays beside room that the last plan could not use")
	}
	w.job.cancelDraining(stayDrainTimeout, w.now.Add(-w.heartbeatIntervals(drainWaitHeartbeats)))
	w.job.waitReason = waitsForShare
	w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
	if w.job.isDraining() {
		t.Error("leaves though it only lacks a share")
	}
}
