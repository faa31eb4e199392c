package coordination

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// applyLiveJob adds a live job's record to a controller's copy of the records.
func applyLiveJob(n *Node, revision uint64, j protocol.Job) {
	j.Team, j.Type = "red", "array"
	if j.Tasks == 0 {
		j.Tasks = 1
	}
	raw, _ := json.Marshal(storage.Job{Spec: j, AcceptedAtMS: n.now().UnixMilli()})
	n.applyChange(storage.JobKey(j.ID), raw, revision)
}

// A job stays blocked until every dependency has a stored end record with
// the status done. A missing record is not enough, since the job may have been
// cancelled, and neither is a heartbeat.
func TestBlockedUntilStoredEnds(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	s.reconciled = true
	n.shards[0] = s
	applyLiveJob(n, 5, protocol.Job{ID: "wk-1"})
	applyLiveJob(n, 6, protocol.Job{ID: "wk-2"})
	applyLiveJob(n, 7, protocol.Job{ID: "wk-3", DependsOn: []string{"wk-1", "wk-2"}})
	j := s.jobs["wk-3"]
	queued := func() bool {
		return slices.Contains(s.orderQueue(n.newPlanInput(time.Now()), time.Now()), j)
	}
	s.jobs["wk-1"].markDone(0) // as a heartbeat reports it
	n.resolveDependencies()
	if !j.blocked || queued() || !n.records.Jobs["wk-3"].IsBlocked() {
		t.Fatal("unblocked by a completion that only a heartbeat reported")
	}
	n.applyChange(storage.JobKey("wk-1"), nil, 8)
	n.applyChange(storage.JobKey("wk-2"), nil, 9)
	if !j.blocked || !n.endedJobs.unknown["wk-1"] || !n.endedJobs.unknown["wk-2"] {
		t.Fatal("unblocked by missing records")
	}
	endedMS := time.Now().Add(-time.Minute).UnixMilli()
	n.endedJobs.add("wk-1", storage.EndedJob{Status: protocol.Done, EndedAtMS: endedMS})
	n.resolveDependencies()
	if !j.blocked {
		t.Fatal("unblocked though only one of two dependencies has ended")
	}
	n.endedJobs.add("wk-2", storage.EndedJob{Status: protocol.Done}) // as the previous version writes it
	n.resolveDependencies()
	if j.blocked || !queued() || j.submittedMS != n.records.Jobs["wk-3"].Record.AcceptedAtMS {
		t.Errorf("blocked %v, submission time %d", j.blocked, j.submittedMS)
	}
}

// A job inherits urgency and deadline from its dependents. Both are derived
// again when a dependent is added, and when one is cancelled.
func TestUrgencyAndDeadlineAreInherited(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	applyLiveJob(n, 5, protocol.Job{ID: "wk-1", Priority: "low", EstimatedSeconds: 10})
	if state := n.records.Jobs["wk-1"].Dependencies; state.Urgency != protocol.PriorityLow || !math.IsInf(state.DeadlineMS, 1) {
		t.Fatalf("without dependents: %+v", state)
	}
	deadlineSeconds := 100.0
	applyLiveJob(n, 6, protocol.Job{ID: "wk-2", Priority: "normal", EstimatedSeconds: 20, DependsOn: []string{"wk-1"}})
	applyLiveJob(n, 7, protocol.Job{ID: "wk-3", Priority: "high", EstimatedSeconds: 5, DeadlineSeconds: &deadlineSeconds, DependsOn: []string{"wk-2"}})
	acceptedMS := float64(n.records.Jobs["wk-3"].Record.AcceptedAtMS)
	if state := n.records.Jobs["wk-1"].Dependencies; state.Urgency != protocol.PriorityHigh || state.DeadlineMS != acceptedMS+100e3-5e3-20e3 {
		t.Errorf("%+v, due 75 s from %f", state, acceptedMS)
	}
	n.applyChange(storage.JobKey("wk-3"), nil, 8)
	if state := n.records.Jobs["wk-1"].Dependencies; state.Urgency != protocol.PriorityNormal || !math.IsInf(state.DeadlineMS, 1) {
		t.Errorf("after the last dependent was cancelled: %+v", state)
	}
}

// Cancelling a job cancels its direct and transitive dependents: chains, fans
// and diamonds, including jobs submitted at the same time or later. A status
// request never shows otherwise. Dependents of another job continue.
func TestDependentsAreCancelledToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, nil)
		w.settings.Deployment.Count = 1
		ctx, stop := context.WithCancel(context.Background())
		w.ctx = ctx
		w.nodes = []*simNode{{name: "n0"}}
		n := w.newNode(0, w.settings, w.settings.Defaults(), storage.NewClientWithTransport(&simStoreLink{store: w.store, random: rand.New(rand.NewPCG(1, 1))}, 300, 200, 1), nil)
		s := Service{n}
		submit := func(id, dependsOn string) int {
			body := strings.Replace(submission, "wk-000001", id, 1)
			code, _ := s.Submit(ctx, []byte(strings.Replace(body, `"parts"`, `"waits_on":`+dependsOn+`,"parts"`, 1)))
			return code
		}
		status := func(id string) string {
			_, answer := s.JobStatus(ctx, id)
			status, _ := answer.(protocol.JobStatus)
			return status.Status
		}
		w.spawn(func() { n.Run(ctx) })
		time.Sleep(3 * time.Second)
		for _, c := range []struct {
			id, dependsOn string
			want          int
		}{
			{"wk-1", "null", http.StatusCreated},
			{"wk-2", `["wk-1"]`, http.StatusCreated},
			{"wk-2", `["wk-1"]`, http.StatusOK},
			{"wk-9", `["wk-404"]`, http.StatusUnprocessableEntity},
			{"wk-9", `["wk-9"]`, http.StatusUnprocessableEntity},
			{"wk-9", `"wk-1"`, http.StatusBadRequest},
			{"wk-9", `["wk1"]`, http.StatusBadRequest},
			{"wk-3", `["wk-1"]`, http.StatusCreated},
			{"wk-4", `["wk-2","wk-3","wk-2"]`, http.StatusCreated},
			{"wk-5", "[]", http.StatusCreated},
			{"wk-6", `["wk-5"]`, http.StatusCreated},
		} {
			if code := submit(c.id, c.dependsOn); code != c.want {
				t.Errorf("%s after %s: %d, want %d", c.id, c.dependsOn, code, c.want)
			}
		}
		var fan []string
		for i := range 12 { // more than one transaction holds
			fan = append(fan, fmt.Sprintf("wk-10%d", i))
			submit(fan[i], `["wk-4"]`)
		}
		w.spawn(func() { s.Cancel(ctx, "wk-1") })
		w.spawn(func() { submit("wk-7", `["wk-1"]`) })
		time.Sleep(20 * time.Second)
		if code := submit("wk-8", `["wk-1"]`); code != http.StatusCreated {
			t.Errorf("submission with a cancelled dependency: %d", code)
		}
		if got := status("wk-8"); got != protocol.Cancelled {
			t.Errorf("status request: %s", got)
		}
		for _, id := range append(fan, "wk-1", "wk-2", "wk-3", "wk-4", "wk-7") {
			if got := status(id); got != protocol.Cancelled {
				t.Errorf("%s is %s", id, got)
			}
		}
		if status("wk-6") == protocol.Cancelled {
			t.Error("a dependent of another job was cancelled")
		}
		stop()
		w.wg.Wait()
	})
}

// Of 100,000 tasks, those completed in any order fit into completion chunks of
// small values, and decode to the same set. The job's own record stays
// unchanged.
func TestCompletionChunksKeepAll(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	n.applyChange(storage.SchemaVersionKey, []byte(`{"form":2}`), 1)
	w.settings.Deployment.State.ValueKB = 2
	const tasks = 100000
	applyLiveJob(n, 5, protocol.Job{ID: "wk-1", Tasks: tasks})
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	n.shards[0] = s
	s.addJob(n.newJob(n.records.Jobs["wk-1"]))
	j, rnd := s.jobs["wk-1"], rand.New(rand.NewPCG(1, 2))
	for range 60000 {
		j.done.Add(rnd.IntN(tasks))
	}
	revision := uint64(6)
	for len(n.unsavedChunks(j)) > 0 {
		chunk := n.unsavedChunks(j)[0]
		raw, _ := json.Marshal(chunk)
		if len(raw) > 2<<10 {
			t.Fatalf("%d bytes in a chunk", len(raw))
		}
		n.applyChange(storage.CompletionChunkKey("wk-1", chunk.FirstIndex), raw, revision)
		revision++
	}
	got, err := n.records.DoneTasks(n.records.Jobs["wk-1"])
	if err != nil || got.String() != j.done.String() || n.records.Jobs["wk-1"].Revision != 5 {
		t.Errorf("decoded %d of %d tasks, %v", got.Len(), j.done.Len(), err)
	}
}
