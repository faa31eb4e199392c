package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// fourCores is the size of every machine in these tests.
func fourCores(string) (placement.Resources, bool) { return placement.Resources{4, 0, 16}, true }

// shardWithUnusedShare returns a controller whose shard holds all of a team's
// quota and uses none of it while another shard needs some, and whose writes are
// lost.
func shardWithUnusedShare() (n *Node, s *shard, rec *storage.Grant, sent *int) {
	w := newWorld(1, nil)
	sent = new(int)
	st := storage.NewClientWithTransport(roundTripFunc(func(*http.Request) (*http.Response, error) { *sent++; return nil, errors.New("lost") }), 1000, 1000, 1)
	n = New(w.settings, w.settings.Defaults(), st, nil, nil, nil)
	rec = &storage.Grant{Quotas: map[string]storage.Resources{"red": {Cores: 14}}}
	applyGrant(n, 0, *rec, 5)
	s = newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	s.setGrant(*rec, fourCores, time.Now())
	n.shards[0] = s
	n.peerStatus["n1"] = &Status{Shards: []ShardStatus{{Index: 1, Desired: map[string]storage.Resources{"red": {Cores: 5}}}}}
	return n, s, rec, sent
}

// A lowered share is not raised until a newer record raises it: the write that lowers
// it may be committed long after its sender timed out.
func TestLoweredShareStays(t *testing.T) {
	n, s, rec, _ := shardWithUnusedShare()
	n.writeGrants(context.Background())
	if s.shares["red"].Cores != 0 {
		t.Fatalf("kept %v, nothing is desired", s.shares["red"])
	}
	s.desired["red"] = storage.Resources{Cores: 4}
	n.writeGrants(context.Background())
	if s.shares["red"].Cores != 0 {
		t.Errorf("share rose to %v without a newer record", s.shares["red"])
	}
	rec.Quotas = map[string]storage.Resources{"red": {Cores: 4}}
	s.setGrant(*rec, fourCores, time.Now())
	if s.shares["red"].Cores != 4 {
		t.Errorf("newer record not applied: %v", s.shares["red"])
	}
}

// A write that lowered a share and was lost is repeated, also when no shard needs the
// quota any longer: the share is not used until the write is committed.
func TestLostLoweringIsRepeated(t *testing.T) {
	n, s, _, sent := shardWithUnusedShare()
	time.Sleep(700 * time.Millisecond) // a process begins with a small write budget
	n.writeGrants(context.Background())
	delete(n.peerStatus, "n1")
	s.desired["red"] = storage.Resources{Cores: 14}
	time.Sleep(grantWriteInterval)
	n.writeGrants(context.Background())
	if *sent != 2 || s.shares["red"].Cores != 0 {
		t.Errorf("sent %d times, uses up to %v", *sent, s.shares["red"])
	}
}

// After a failover an unreported task counts as not running only once every inherited
// machine has reported with the new token or has been silent for longer than its
// worker's lease.
func TestUnconfirmedUntilReconciled(t *testing.T) {
	now := time.Now()
	s := newShard(0, storage.ShardLease{FencingToken: 7}, 50, now)
	s.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "a", FencingToken: 3}, {Machine: "b", FencingToken: 5}}}, fourCores, now)
	j := &job{id: "wk-1", spec: protocol.Job{ID: "wk-1", Team: "red", Type: "array", Tasks: 2}, revision: 40, taskResources: placement.Resources{1, 0, 1}}
	s.addJob(j)
	fresh := &job{id: "wk-2", spec: protocol.Job{ID: "wk-2", Team: "red", Type: "array", Tasks: 1}, revision: 60, taskResources: placement.Resources{1, 0, 1}}
	s.addJob(fresh)
	if !j.unconfirmed || fresh.unconfirmed {
		t.Fatal("only jobs older than the lease are unconfirmed")
	}
	if u := s.unreportedCapacity(); u.Cores != 8 {
		t.Errorf("capacity counted for unreported machines: %v", u)
	}
	a, b := s.machines["a"], s.machines["b"]
	s.receiveHeartbeat(a, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 1, FencingToken: 3}, now)
	if a.isReconciled() || len(s.buildCommands(a, now)) > 0 {
		t.Error("reconciled by a heartbeat with the old token")
	}
	s.receiveHeartbeat(a, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 7, Tasks: []protocol.TaskStatus{{Task: "wk-1/1", Attempt: 9, State: protocol.Running}}}, now)
	if !a.isReconciled() || !j.unconfirmed || j.attempts[1] == nil {
		t.Error("want one of two machines reconciled, and its task known")
	}
	s.expireSilentMachines(now.Add(9*time.Second), 10*time.Second)
	if b.isReconciled() || !j.unconfirmed {
		t.Error("reconciled before the worker's lease expired")
	}
	a.lastAnswered = now.Add(5 * time.Second)
	s.expireSilentMachines(now.Add(11*time.Second), 10*time.Second)
	if !b.isReconciled() || j.unconfirmed || j.pendingTasks() != 1 {
		t.Error("not reconciled after the worker's lease expired")
	}
}

// The tasks of a job whose record can't be decoded are neither stopped nor assumed
// absent: their machine counts as fully used and gets no new tasks.
func TestUnreadableJobIsLeftAlone(t *testing.T) {
	now := time.Now()
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, now)
	s.unreadable = map[string]bool{"wk-1": true}
	s.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "a", FencingToken: 2}}}, fourCores, now)
	m := s.machines["a"]
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 1, FencingToken: 2, Tasks: []protocol.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: protocol.Running}}}, now)
	if o := s.buildCommands(m, now); len(o) != 0 || m.isSchedulable() || s.unreportedCapacity().Cores != 4 {
		t.Errorf("orders %v, schedulable %v, counted %v", o, m.isSchedulable(), s.unreportedCapacity())
	}
	s.scaleIn(&planInput{}, now.Add(time.Hour), 0, func(machineKind) time.Duration { return 0 })
	if m.releasing {
		t.Error("released")
	}
}

// oneTask returns a shard with one machine, granted under the shard's lease, and a job
// of one task.
func oneTask(now time.Time) (*shard, *machine, *job) {
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, now)
	s.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "a", FencingToken: 2}}}, fourCores, now)
	j := &job{id: "wk-1", spec: protocol.Job{ID: "wk-1", Team: "red", Type: "array", Tasks: 1}, revision: 9, taskResources: placement.Resources{1, 0, 1}}
	s.addJob(j)
	return s, s.machines["a"], j
}

// A start whose answer was lost is dropped once a later heartbeat lacks the task, and
// is sent again with a higher attempt number.
func TestLostStartIsSentAgain(t *testing.T) {
	now := time.Now()
	s, m, j := oneTask(now)
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 1, FencingToken: 2}, now)
	s.place(j, j.takePendingTask(), m)
	first := s.buildCommands(m, now)
	if len(first) != 1 || first[0].Verb != protocol.VerbStart || len(s.buildCommands(m, now)) != 0 {
		t.Fatalf("orders %v", first)
	}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2}, now)
	if len(j.attempts) != 0 || s.used["red"].Cores != 0 {
		t.Fatal("the attempt of the lost start was not dropped")
	}
	s.place(j, j.takePendingTask(), m)
	if second := s.buildCommands(m, now); len(second) != 1 || second[0].Attempt <= first[0].Attempt {
		t.Errorf("attempt numbers do not increase: %v then %v", first, second)
	}
}

// A new leader considers a granted machine removed once a machine list that must be
// newer than the grant lacks it, and not before.
func TestNewLeaderFindsRemovedMachines(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, listingCloud{}, nil, nil)
	sent := time.Now()
	lag := time.Duration(2 * w.settings.Deployment.Cloud.ListLagS * float64(time.Second))
	applyGrant(n, 0, storage.Grant{Machines: []storage.MachineLease{
		{Machine: "old", GrantedAt: sent.Add(-lag - 3*time.Second).Unix()},
		{Machine: "new", GrantedAt: sent.Add(-lag).Unix()},
		{Machine: "listed", GrantedAt: sent.Add(-time.Hour).Unix()}}}, 1)
	l := newLeadership(1, sent)
	n.listMachines(context.Background(), l, sent)
	var r StatusReply
	l.answerStatus(n, &Status{Shards: []ShardStatus{{Index: 0}}}, &r, sent)
	if len(r.Removed) != 1 || r.Removed[0] != "old" {
		t.Errorf("removed: %v", r.Removed)
	}
}

type listingCloud struct{ Cloud }

func (listingCloud) List(context.Context, string) (protocol.MachineList, error) {
	return protocol.MachineList{Machines: []protocol.ListedMachine{{ID: "listed", Status: "running"}}}, nil
}

// A machine on which tasks run more than twice as long as others of their job gets no
// more tasks; a single slow task is not enough.
func TestSlowMachineGetsNoTasks(t *testing.T) {
	now := time.Now()
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, now)
	s.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "a", FencingToken: 2}, {Machine: "b", FencingToken: 2}}}, fourCores, now)
	j := &job{id: "wk-1", spec: protocol.Job{ID: "wk-1", Team: "red", Type: "array", Tasks: 9}, revision: 9,
		taskResources: placement.Resources{1, 0, 1}, measuredTasks: 3, measuredSeconds: 30}
	s.addJob(j)
	for i, task := range []struct {
		machine string
		ran     time.Duration
	}{
		{"a", 25 * time.Second},
		{"a", 23 * time.Second},
		{"b", 25 * time.Second},
		{"b", 9 * time.Second},
		{"b", 9 * time.Second},
	} {
		attempt := s.place(j, i, s.machines[task.machine])
		attempt.start.MarkReported()
		attempt.status, attempt.startedAt = protocol.Running, now.Add(-task.ran)
	}
	s.detectSlowMachines(now)
	if !s.machines["a"].slow || s.machines["b"].slow {
		t.Errorf("a slow %v, b slow %v", s.machines["a"].slow, s.machines["b"].slow)
	}
}

// A machine whose lease expired is used again when it returns empty in a new session;
// one that stays silent is released.
func TestSilentMachineMayReturn(t *testing.T) {
	now := time.Now()
	never := func(machineKind) time.Duration { return time.Hour }
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, now)
	s.setGrant(storage.Grant{Machines: []storage.MachineLease{{Machine: "a", FencingToken: 2}, {Machine: "b", FencingToken: 2}}}, fourCores, now)
	a, b := s.machines["a"], s.machines["b"]
	for _, m := range []*machine{a, b} {
		s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: m.lease.Machine, Session: 1, Sequence: 1, FencingToken: 2}, now)
	}
	now = now.Add(11 * time.Second)
	s.expireSilentMachines(now, 10*time.Second)
	s.scaleIn(&planInput{}, now, 10*time.Second, never)
	if !a.isExpired() || a.releasing || a.isSchedulable() {
		t.Fatalf("expired %v, releasing %v, schedulable %v", a.isExpired(), a.releasing, a.isSchedulable())
	}
	s.receiveHeartbeat(a, &protocol.Heartbeat{Machine: "a", Session: 2, Sequence: 9, FencingToken: 2}, now)
	a.lastAnswered = now
	now = now.Add(10 * time.Second)
	s.scaleIn(&planInput{}, now, 10*time.Second, never)
	if a.releasing || !a.isSchedulable() || !b.releasing {
		t.Errorf("a releasing %v, schedulable %v; b releasing %v", a.releasing, a.isSchedulable(), b.releasing)
	}
}

// A migrating job is not placed until its record has changed: an unanswered write may
// be committed later, and both shards would then start its tasks.
func TestMigratingJobNotPlacedUntilConfirmed(t *testing.T) {
	w := newWorld(1, nil)
	answers := []error{errors.New("lost"), errors.New("lost")}
	st := storage.NewClientWithTransport(roundTripFunc(func(*http.Request) (*http.Response, error) {
		err := answers[0]
		answers = answers[1:]
		return nil, err
	}), 1000, 1000, 1)
	n := New(w.settings, w.settings.Defaults(), st, nil, nil, nil)
	n.records.SetMachineTypes(simMachineTypes)
	for i, at := range []int{1, 4} { // machines of the two shards
		g := storage.Grant{}
		for k := range at {
			g.Machines = append(g.Machines, storage.MachineLease{Machine: string(rune('a'+k)) + string(rune('0'+i)), MachineType: "small", Zone: "a", FencingToken: 2})
		}
		applyGrant(n, i, g, 5)
	}
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	s.reconciled = true
	s.setGrant(n.records.Grants[0].Value, n.records.MachineSize, time.Now())
	n.shards[0] = s
	job := func(shard int, stamp uint64) {
		raw, _ := json.Marshal(storage.Job{Shard: shard, Spec: protocol.Job{ID: "wk-1", Team: "red", Type: "array", Tasks: 12, Cores: 1, EstimatedSeconds: 9}})
		n.applyChange(storage.JobKey("wk-1"), raw, stamp)
	}
	job(0, 9)
	s.jobs["wk-1"].receivedAt = time.Now().Add(-time.Minute)
	for _, k := range s.jobs["wk-1"].suitableKinds(&planInput{machineTypes: simMachineTypes}) {
		n.noCapacityUntil[k] = time.Now().Add(time.Hour) // no capacity in the cloud
	}
	p := n.newPlanInput(time.Now())
	s.queue = s.orderQueue(p, time.Now())
	time.Sleep(700 * time.Millisecond) // a process begins with a small write budget
	for range 2 {
		n.migrateJobs(context.Background())
		if j := s.jobs["wk-1"]; !j.migrating || len(s.orderQueue(p, time.Now())) != 0 {
			t.Fatal("placed while its migration may still be committed")
		}
	}
	if len(answers) != 0 {
		t.Fatal("the migration was not repeated")
	}
	job(0, 12) // another write was committed first: the migration can no longer be committed
	if len(s.orderQueue(p, time.Now())) != 1 {
		t.Error("not placed though its migration can no longer be committed")
	}
	job(1, 14)
	if s.jobs["wk-1"] != nil {
		t.Error("still in the shard that it has left")
	}
}

// Queued requests for a machine type without capacity are dropped, but a request that
// may have been executed is repeated.
func TestNoCapacityDropsQueuedRequests(t *testing.T) {
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, noCapacityCloud{}, nil, nil)
	now := time.Now()
	l := newLeadership(1, now)
	l.acquiredAt, l.listedAt = now.Add(-time.Minute), now
	small, big := machineKind{"small", "a", true}, machineKind{"big", "a", true}
	l.requestMachines(0, machineRequest{small, 3*protocol.MaxMachinesPerRequest - 1}, now)
	l.requestMachines(0, machineRequest{big, 1}, now)
	last := l.booting[len(l.booting)-2] // of the third request for small ones
	for _, e := range l.booting {
		e.requested = e.requestID == last.requestID
	}
	n.scaleOutCall(l, l.booting[0], now)(context.Background())
	left := map[string]int{}
	for _, e := range l.booting {
		left[e.kind.MachineType]++
	}
	if left["small"] != protocol.MaxMachinesPerRequest-1 || left["big"] != 1 {
		t.Errorf("still requested: %v", left)
	}
}

type noCapacityCloud struct{ Cloud }

func (noCapacityCloud) RequestMachines(context.Context, protocol.MachineRequest) ([]string, error) {
	return nil, ErrNoCapacity
}

// With grants in chunks, a change of machine leases alone does not raise a share that
// is being lowered: the write that lowers it may still be committed.
func TestLoweredShareStaysWithGrantChunks(t *testing.T) {
	w := newWorld(1, nil)
	st := storage.NewClientWithTransport(roundTripFunc(func(*http.Request) (*http.Response, error) { return nil, errors.New("lost") }), 1000, 1000, 1)
	n := New(w.settings, w.settings.Defaults(), st, nil, nil, nil)
	n.applyChange(storage.SchemaVersionKey, []byte(`{"form":2}`), 1)
	n.applyChange(storage.GrantKey(0), []byte(`{"blocks":"in pieces","of":9,"shares":{"red":{"c":14}}}`), 2)
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, time.Now())
	s.setGrant(n.records.Grants[0].Value, fourCores, time.Now())
	n.shards[0] = s
	n.peerStatus["n1"] = &Status{Shards: []ShardStatus{{Index: 1, Desired: map[string]storage.Resources{"red": {Cores: 5}}}}}
	n.writeGrants(context.Background())
	raw, _ := json.Marshal(storage.GrantChunk{Generation: 9, Machines: []storage.MachineLease{{Machine: "a", MachineType: "small", Zone: "a", FencingToken: 2}}})
	n.applyChange(storage.GrantChunkKey(0, 0), raw, 3)
	if s.shares["red"].Cores != 0 || s.machines["a"] == nil {
		t.Fatalf("share %v, machines %v", s.shares["red"], s.machines)
	}
	n.applyChange(storage.GrantKey(0), []byte(`{"blocks":"in pieces","of":9,"shares":{"red":{"c":4}}}`), 4)
	if s.shares["red"].Cores != 4 {
		t.Errorf("newer record not applied: %v", s.shares["red"])
	}
}

// A direct start without an answer binds its attempt to the worker. The next heartbeat
// response repeats the same attempt. After the attempt has ended, the worker is not
// instructed to clear it while the message may still arrive, nor is the task started there
// again. A new session lifts both restrictions.
func TestUnansweredDirectStartStaysBound(t *testing.T) {
	now := time.Now()
	s, m, j := oneTask(now)
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
	s.buildCommands(m, now)
	r := s.place(j, j.takePendingTask(), m)
	e, hasMessage := m.directTarget(now)
	if !hasMessage || e.Commands != 1 {
		t.Fatalf("nothing to send: %+v", e)
	}
	f := directTarget{s, m}.buildMessage(now)
	if _, again := m.directTarget(now); again || len(f.payload.Commands) != 1 {
		t.Fatalf("sends %v, want one command; another message could be sent: %v", f.payload.Commands, again)
	}
	s.finishDirect(&f, DirectAnswer{}, now)
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2}, now)
	if j.attempts[0] != r {
		t.Fatal("dropped as absent although the message may still arrive")
	}
	if o := s.buildCommands(m, now); len(o) != 1 || o[0].Attempt != r.number || o[0].Verb != protocol.VerbStart {
		t.Fatalf("orders %v", o)
	}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 3, FencingToken: 2}, now)
	if o := s.buildCommands(m, now); j.attempts[0] != r || len(o) != 1 {
		t.Fatalf("the answer was lost: orders %v", o)
	}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 4, FencingToken: 2, Tasks: []protocol.TaskStatus{
		{Task: "wk-1/0", Attempt: r.number, State: protocol.Exited, Cause: protocol.CauseStopped}}}, now)
	if o := s.buildCommands(m, now); len(o) != 0 || len(j.attempts) != 0 || j.canPlaceOn(m) {
		t.Fatalf("orders %v, attempts %v, can be placed %v", o, j.attempts, j.canPlaceOn(m))
	}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 2, Sequence: 5, FencingToken: 2}, now)
	if !j.canPlaceOn(m) {
		t.Error("not placeable although the new session rejects the delayed message")
	}
}

// A heartbeat that is overtaken by a newer answer to a direct message is answered, as
// its worker waits, but changes no state.
func TestHeartbeatOvertakenByDirectAnswer(t *testing.T) {
	now := time.Now()
	s, m, j := oneTask(now)
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
	r := s.place(j, j.takePendingTask(), m)
	f := directTarget{s, m}.buildMessage(now)
	s.finishDirect(&f, DirectAnswer{DirectDone, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 3, FencingToken: 2,
		Tasks: []protocol.TaskStatus{{Task: "wk-1/0", Attempt: r.number, State: protocol.Running}}}}, now)
	if r.status != protocol.Running || m.exchange.InFlight() {
		t.Fatalf("status %q, in flight %v", r.status, m.exchange.InFlight())
	}
	if !s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2}, now) || j.attempts[0] != r {
		t.Error("heartbeat not answered, or its task dropped as absent")
	}
	if s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2}, now) {
		t.Error("answered twice")
	}
}
