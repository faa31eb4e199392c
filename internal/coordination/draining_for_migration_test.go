package coordination

import (
	"testing"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// newDrainingJob returns a controller with a draining job of five tasks: two run on a
// machine of its own shard, which is full, and another shard has capacity for four.
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

// endTask completes a task, whose capacity becomes the shard's spare capacity.
func (w *waitingNode) endTask(attempt *taskAttempt) {
	w.shard.completeTask(w.job, attempt.key.task)
	w.shard.dropAttempt(attempt, dropExited)
	w.shard.spareCapacity = []spareCapacity{{Kind: attempt.machine.kind(), Free: attempt.machine.freeCapacity()}}
}

// Guards against a job that stops draining whenever one of its own tasks ends: the freed
// capacity counted as capacity for the job, another of its tasks took it, and the job had
// to wait again though another shard had capacity for four tasks throughout (issue 46,
// seen four times in 90 s for one job).
func TestEndedTasksDoNotCancelDraining(t *testing.T) {
	w, m := newDrainingJob()
	if !w.job.isDraining() {
		t.Fatal("job is not draining")
	}
	for _, running := range []int{1, 0} {
		for _, attempt := range m.attempts {
			w.endTask(attempt)
			break
		}
		w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
		if !w.job.isDraining() {
			t.Fatalf("draining cancelled with %d tasks running", running)
		}
	}
	if target, reason := w.findMigrationTargets(w.shard, w.now).selectTarget(w.job); reason != noStayReason || target != 1 {
		t.Errorf("job does not migrate: target %d, reason %q", target, reason)
	}
}

// A job stops draining once its own shard has capacity for as many of its pending tasks as
// the other shard.
func TestEqualCapacityInOwnShardCancelsDraining(t *testing.T) {
	for name, adjust := range map[string]func(w *waitingNode){
		"capacity for one task elsewhere": func(w *waitingNode) { w.status.Shards[0].SpareCapacity[0].Free = placement.Resources{3, 0, 2} },
		"one task pending":                func(w *waitingNode) { w.job.markDone(2); w.job.markDone(3) },
	} {
		w, m := newDrainingJob()
		adjust(w)
		attempt := m.attempts[taskKey{"wk-1", 0}]
		w.endTask(attempt)
		w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
		if w.job.isDraining() {
			t.Errorf("%s: job is still draining", name)
		}
	}
}

// Guards against a job that stays for free capacity in its own shard that it may not use
// (issue 46): its last task waited despite 2 free cores on a machine where a copy of the
// task's own start order might still arrive, while another shard had spare capacity.
func TestUnusableCapacityDoesNotCancelDraining(t *testing.T) {
	w, m := newDrainingJob()
	w.job.drainUntil = w.now.Add(-w.heartbeatIntervals(1))
	w.job.cancelDraining(stayDrainTimeout, w.now.Add(-w.heartbeatIntervals(drainWaitHeartbeats)))
	w.shard.spareCapacity = []spareCapacity{{Kind: m.kind(), Free: placement.Resources{3, 0, 8}}}
	w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
	if !w.job.isDraining() {
		t.Error("job stays for capacity that the last plan could not use")
	}
	w.job.cancelDraining(stayDrainTimeout, w.now.Add(-w.heartbeatIntervals(drainWaitHeartbeats)))
	w.job.waitReason = waitsForShare
	w.updateDrainingJobs(w.shard, w.findMigrationTargets(w.shard, w.now), w.now)
	if w.job.isDraining() {
		t.Error("job drains though it only lacks a share of the quota")
	}
}
