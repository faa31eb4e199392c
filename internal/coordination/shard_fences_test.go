package coordination

import (
	"fmt"
	"testing"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// newRetainingHolder returns a holder whose machine retains an attempt that has ended with a
// cause after a direct start, under token 2, and the shard's records with a schema version.
func newRetainingHolder(t *testing.T, schema int, cause string) (*Node, *shard, *machine) {
	t.Helper()
	now := time.Now()
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	n.session.id = 4
	s, m, j := oneTask(now)
	startAnswered(s, m, j, cause, now)
	n.shards[0] = s
	lease := storage.ShardLease{Holder: storage.Controller{Name: "n0", Session: 4}, FencingToken: 1}
	applyRecord(t, n, storage.SchemaVersionKey, storage.SchemaVersion{Version: schema}, 10)
	applyRecord(t, n, storage.FencingTokenKey, storage.FencingTokenCounter{Last: 6}, 11)
	applyRecord(t, n, storage.ShardKey(0), lease, s.revision)
	return n, s, m
}

// applyFenceRecords applies what a transaction for a fence with a token writes.
func applyFenceRecords(t *testing.T, n *Node, token uint64) {
	t.Helper()
	applyRecord(t, n, storage.FencingTokenKey, storage.FencingTokenCounter{Last: token}, 20)
	applyRecord(t, n, storage.ShardFenceKey(0), storage.ShardFence{Session: 4, ShardToken: 1, FencingToken: token}, 20)
}

// commandsWithVerb counts the commands with a verb.
func commandsWithVerb(commands []protocol.Command, verb string) int {
	count := 0
	for _, command := range commands {
		if command.Verb == verb {
			count++
		}
	}
	return count
}

// Guards against attempts that are retained for ever: once the shard has a newer token, the
// worker is told to clear them, and a stopped task may return to its machine.
func TestFenceReleasesRetainedAttempts(t *testing.T) {
	n, s, m := newRetainingHolder(t, storage.SchemaShardFences, protocol.CauseStopped)
	j := s.jobs["wk-1"]
	if j.canPlaceOn(m) || commandsWithVerb(s.buildCommands(m, n.now()), protocol.VerbClear) != 0 {
		t.Fatal("the attempt is not retained")
	}
	if !s.needsFence() || s.machineToken(m) != 2 {
		t.Fatalf("needs a fence %v, token %d", s.needsFence(), s.machineToken(m))
	}
	applyFenceRecords(t, n, 7)
	if s.machineToken(m) != 7 || s.needsFence() {
		t.Errorf("token %d, needs a fence %v", s.machineToken(m), s.needsFence())
	}
	if commandsWithVerb(s.buildCommands(m, n.now()), protocol.VerbClear) != 1 || !j.canPlaceOn(m) {
		t.Error("the attempt is still retained under the newer token")
	}
	s.place(j, j.takeTaskFor(m), m)
	if message := (directTarget{s, m}).buildMessage(n.now()); len(message.starts) != 1 || message.payload.FencingToken != 7 {
		t.Errorf("the task is started again with %+v", message.payload)
	}
}

// A fence is written on the preconditions of a grant: the last token and the shard's lease. It
// is neither written nor needed without a retained attempt, before every controller supports
// it, or soon after the last one.
func TestFenceIsWrittenWhenNeeded(t *testing.T) {
	n, s, m := newRetainingHolder(t, storage.SchemaShardFences, protocol.CauseFailed)
	holdLease(n)
	txn, due := n.shardFenceTxn()
	want := []protocol.Precondition{{Key: storage.FencingTokenKey, Revision: 11}, {Key: storage.ShardKey(0), Revision: 1}}
	if !due || fmt.Sprint(txn.Preconditions) != fmt.Sprint(want) || len(txn.Writes) != 2 || txn.Writes[1].LeaseID != 4 {
		t.Fatalf("due %v: %+v", due, txn)
	}
	if s.machineToken(m) != 2 {
		t.Error("the token is used before the records show it")
	}
	applyFenceRecords(t, n, 7)
	if _, due := n.shardFenceTxn(); due {
		t.Error("a second fence without a retained attempt")
	}
	m.exchange.ReleaseAll()
	attempt := s.place(s.jobs["wk-1"], 0, m)
	(directTarget{s, m}).buildMessage(n.now())
	m.exchange.RecordEnded(attempt.key, attempt.number, &attempt.start, s.machineToken(m))
	if _, due := n.shardFenceTxn(); due {
		t.Error("a second fence right after the first")
	}
	s.fencedAt = s.fencedAt.Add(-n.fenceInterval())
	if _, due := n.shardFenceTxn(); !due {
		t.Error("no second fence after the interval")
	}
	n, _, _ = newRetainingHolder(t, storage.SchemaShardFences-1, protocol.CauseFailed)
	holdLease(n)
	if _, due := n.shardFenceTxn(); due {
		t.Error("a fence that a controller does not support")
	}
}

// holdLease makes a controller hold its lease and have recent records.
func holdLease(n *Node) {
	n.records.MarkSynced(n.now())
	n.session.leaseValidUntil = n.now().Add(time.Minute)
}

// Fences of a former holder, and fences with a token that was not minted, have no effect.
func TestInvalidShardFenceIsIgnored(t *testing.T) {
	for name, fence := range map[string]storage.ShardFence{
		"other session":     {Session: 3, ShardToken: 1, FencingToken: 6},
		"other shard lease": {Session: 4, ShardToken: 0, FencingToken: 6},
		"token not minted":  {Session: 4, ShardToken: 1, FencingToken: 9},
	} {
		n, s, m := newRetainingHolder(t, storage.SchemaShardFences, protocol.CauseFailed)
		applyRecord(t, n, storage.ShardFenceKey(0), fence, 20)
		if s.machineToken(m) != 2 || !s.needsFence() {
			t.Errorf("%s: token %d", name, s.machineToken(m))
		}
	}
}

// A proxy answers with the shard's fence, and the holder follows a worker that has received it
// there: both would otherwise answer with a token that the worker drops.
func TestFenceIsSharedWithProxies(t *testing.T) {
	n, s, m := newRetainingHolder(t, storage.SchemaShardFences, protocol.CauseFailed)
	m.exchange.ReleaseAll()
	applyFenceRecords(t, n, 7)
	if s.machineToken(m) != 2 {
		t.Errorf("token %d of a machine that retains nothing", s.machineToken(m))
	}
	if token := n.machineToken(0, "a"); token != 7 {
		t.Errorf("a proxy answers with token %d", token)
	}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 9, FencingToken: 7}, n.now())
	if s.machineToken(m) != 7 {
		t.Errorf("the holder answers with token %d", s.machineToken(m))
	}
}

// Reports stay bounded while no fence can be written: a machine that retains many attempts gets
// its starts in answers alone.
func TestRetainedAttemptsAreBounded(t *testing.T) {
	now := time.Now()
	s, m, j := oneTask(now)
	j.spec.Tasks = 2 * maxRetainedAttempts
	m.capacity[0], m.capacity[2] = 8, 1e6
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
	direct, sequence := 0, uint64(1)
	for range j.spec.Tasks {
		attempt := s.place(j, j.takePendingTask(), m)
		if _, ok := m.directTarget(now); ok {
			direct++
			message := directTarget{s, m}.buildMessage(now)
			s.finishDirect(&message, DirectAnswer{}, now)
		} else if commandsWithVerb(s.buildCommands(m, now), protocol.VerbStart) != 1 {
			t.Fatal("a start is sent neither directly nor in an answer")
		}
		sequence++
		exited := protocol.TaskStatus{Task: protocol.FormatTaskName("wk-1", attempt.key.task), Attempt: attempt.number, State: protocol.Exited, Cause: protocol.CauseDone}
		s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: sequence, FencingToken: 2, Tasks: []protocol.TaskStatus{exited}}, now)
	}
	if direct != maxRetainedAttempts || m.exchange.CountRetained() != maxRetainedAttempts {
		t.Errorf("%d direct starts, %d attempts retained", direct, m.exchange.CountRetained())
	}
}
