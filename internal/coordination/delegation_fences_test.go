package coordination

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"reedtrack/internal/heartbeatproxy"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// testDelegation is a delegation of the only machine of oneTask.
var testDelegation = storage.DelegationID{Shard: 0, Controller: "n1"}

// newFencedHolder returns a holder that has sent a direct start to a machine and got no
// answer, with that machine's delegation and a schema version in its records.
func newFencedHolder(t *testing.T, schema int) (*Node, *shard, *machine) {
	t.Helper()
	now := time.Now()
	w := newWorld(1, nil)
	n := New(w.settings, w.settings.Defaults(), nil, nil, nil, nil)
	n.session.id = 4
	s, m, j := oneTask(now)
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Address: "a:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
	s.place(j, j.takePendingTask(), m)
	message := directTarget{s, m}.buildMessage(now)
	s.finishDirect(&message, DirectAnswer{}, now)
	applyRecord(t, n, storage.SchemaVersionKey, storage.SchemaVersion{Version: schema}, 10)
	applyRecord(t, n, storage.FencingTokenKey, storage.FencingTokenCounter{Last: 6}, 11)
	applyRecord(t, n, storage.DelegationKey(testDelegation), storage.Delegation{Session: 5, FencingToken: 1, Machines: []string{"a"}}, 12)
	n.shards[0] = s
	return n, s, m
}

// applyRecord applies a record to a controller's replicated records.
func applyRecord(t testing.TB, n *Node, key string, value any, revision uint64) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range n.records.Apply([]protocol.Change{{Put: key, Value: raw, Revision: revision}}) {
		n.handleChange(change)
	}
}

// acknowledgementOf returns the acknowledgement that the transactions write.
func acknowledgementOf(txns []protocol.Txn) storage.DelegationAck {
	for _, txn := range txns {
		for _, write := range txn.Writes {
			if ack, ok := write.Value.(storage.DelegationAck); ok {
				return ack
			}
		}
	}
	return storage.DelegationAck{}
}

// Guards against a machine with an unanswered start that is left to its unreachable holder
// (issue 46). The machine is acknowledged with a newer token, which the holder uses once
// its records contain it. A heartbeat with that token that does not list the attempt
// proves that the start was not executed.
func TestUnansweredStartIsFenced(t *testing.T) {
	n, s, m := newFencedHolder(t, storage.SchemaMachineFences)
	txns := n.acknowledgementTxns()
	ack := acknowledgementOf(txns)
	if !slices.Equal(ack.Machines, []string{"a"}) || len(ack.Fences) != 1 || ack.Fences[0].FencingToken != 7 || len(ack.Fences[0].Starts) != 1 {
		t.Fatalf("unexpected acknowledgement %+v", ack)
	}
	needsToken := protocol.Precondition{Key: storage.FencingTokenKey, Revision: 11}
	if len(txns) != 1 || !slices.Contains(txns[0].Preconditions, needsToken) || len(txns[0].Writes) != 2 {
		t.Fatalf("the token is not minted with the acknowledgement: %+v", txns)
	}
	if s.machineToken(m) != 2 {
		t.Error("the token is used before the records confirm that it was minted")
	}
	applyRecord(t, n, storage.FencingTokenKey, storage.FencingTokenCounter{Last: 7}, 13)
	applyRecord(t, n, storage.DelegationAckKey(testDelegation), ack, 13)
	if s.machineToken(m) != 7 || m.hasStartInFlight() || len(n.acknowledgementTxns()) != 0 {
		t.Errorf("token %d, start in flight %v", s.machineToken(m), m.hasStartInFlight())
	}
	now := time.Now()
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 2, FencingToken: 2}, now)
	if len(m.attempts) != 1 {
		t.Error("the attempt is dropped though its start may still arrive")
	}
	s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: "a", Session: 1, Sequence: 3, FencingToken: 7}, now)
	if len(m.attempts) != 0 || len(s.buildCommands(m, now)) != 0 {
		t.Error("the attempt is not dropped though the worker refuses its start")
	}
}

// A second proxy's delegation of the same machine is acknowledged with the same fence.
func TestFenceIsSharedByProxies(t *testing.T) {
	n, _, m := newFencedHolder(t, storage.SchemaMachineFences)
	m.fenceToken = 7
	txns := n.acknowledgementTxns()
	if ack := acknowledgementOf(txns); len(ack.Fences) != 1 || ack.Fences[0].FencingToken != 7 || len(ack.Fences[0].Starts) != 1 || len(txns[0].Writes) != 1 {
		t.Errorf("%+v", txns)
	}
}

// No fence is written before the schema version allows it: the machine is not
// acknowledged.
func TestNoFenceBeforeSchemaVersion(t *testing.T) {
	n, _, _ := newFencedHolder(t, storage.SchemaMachineFences-1)
	txns := n.acknowledgementTxns()
	if ack := acknowledgementOf(txns); len(txns) != 1 || len(txns[0].Writes) != 1 || len(ack.Machines) != 0 || len(ack.Fences) != 0 {
		t.Errorf("%+v", txns)
	}
}

// A machine whose fence does not fit into the record is not acknowledged.
func TestTooLargeFenceIsLeftOut(t *testing.T) {
	n, s, m := newFencedHolder(t, storage.SchemaMachineFences)
	ack := storage.DelegationAck{}
	if newFenceBuilder(s, &ack, delegationOverhead+fenceOverhead).addNew([]string{m.lease.Machine}, 7) || len(ack.Machines) != 0 {
		t.Errorf("%+v", ack)
	}
	n.heartbeatProxy.acknowledgeAlways = true
	if ack := acknowledgementOf(n.acknowledgementTxns()); len(ack.Machines) != 1 || len(ack.Fences) != 0 {
		t.Errorf("%+v", ack)
	}
}

// A proxy reads a fence's token and starts from the acknowledgement. A fence whose token
// can't have been minted for it leaves the machine unacknowledged, and is logged once.
func TestInvalidFenceIsNotAcknowledged(t *testing.T) {
	for token, valid := range map[uint64]bool{1: false, 2: true, 6: true, 7: false} {
		n, _, _ := newFencedHolder(t, storage.SchemaMachineFences)
		delegated := map[string]heartbeatproxy.Record{"a": {Revision: 12}}
		ack := storage.DelegationAck{FencingToken: 1, Machines: []string{"a", "unknown"},
			Fences: []storage.MachineFence{{Machine: "a", FencingToken: token, Starts: []storage.FencedStart{{Task: "wk-1/0", Attempt: 3}}}, {Machine: "unknown", FencingToken: 6}}}
		for range 2 {
			n.addAcknowledged(delegated, ack)
		}
		if got := delegated["a"]; got.Acknowledged != valid || (got.Fence.Token == token) != valid || len(delegated) != 1 {
			t.Errorf("token %d: %+v", token, delegated)
		}
		if logged := len(n.heartbeatProxy.loggedFenceErrors); (logged == 0) != valid || logged > 1 {
			t.Errorf("token %d: %d errors logged", token, logged)
		}
	}
}

// A start may reach the worker after the heartbeat that a proxy answers. The answer stops
// it if its job has ended, but not if the job is live or its record unreadable.
func TestProxyStopsFencedStartsOfEndedJobs(t *testing.T) {
	n, _, _ := newFencedHolder(t, storage.SchemaMachineFences)
	n.records.UnreadableJobs["wk-3"] = true
	report := &protocol.Heartbeat{Machine: "a", Tasks: []protocol.TaskStatus{{Task: "wk-1/0", Attempt: 2, State: protocol.Exited}, {Task: "wk-2/0", Attempt: 4, State: protocol.Running}}}
	starts := []heartbeatproxy.Attempt{{Task: "wk-1/0", Number: 3}, {Task: "wk-2/0", Number: 4}, {Task: "wk-3/0", Number: 5}}
	var stopped []string
	for _, o := range n.stopCommandsForEndedJobs(report, starts) {
		if o.Verb == protocol.VerbStop && *o.GracePeriodSeconds == 0 {
			stopped = append(stopped, o.Task)
		}
	}
	if !slices.Equal(stopped, []string{"wk-2/0", "wk-1/0"}) {
		t.Errorf("stops %v", stopped)
	}
}

// After a partition in which 100 of 1000 machines have an unanswered start, all machines
// are acknowledged within as many iterations of the writing loop as there are records, and
// each write is within the store's limits.
func TestManyMachinesAreFencedAtOnce(t *testing.T) {
	const machines, unanswered = 1000, 100
	n, s, _ := newFencedHolder(t, storage.SchemaMachineFences)
	now := time.Now()
	delete(n.records.Delegations, testDelegation)
	var names []string
	var leases []storage.MachineLease
	for i := range machines {
		name := fmt.Sprintf("host-%06d", i)
		names, leases = append(names, name), append(leases, storage.MachineLease{Machine: name, MachineType: "small", Zone: "b", FencingToken: 2})
	}
	s.setGrant(storage.Grant{Machines: leases}, fourCores, now)
	for i := range unanswered {
		m := s.machines[names[i*machines/unanswered]]
		s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: m.lease.Machine, Address: "x:1", Session: 1, Sequence: 1, FencingToken: 2}, now)
		j := &job{id: fmt.Sprintf("wk-%06d", i), spec: protocol.Job{Team: "red", Type: "array", Tasks: 1}, revision: 9, taskResources: placement.Resources{1, 0, 1}}
		s.addJob(j)
		s.place(j, j.takePendingTask(), m)
		message := directTarget{s, m}.buildMessage(now)
		s.finishDirect(&message, DirectAnswer{}, now)
	}
	revision, records := uint64(20), 0
	for rest := names; len(rest) > 0; records++ {
		count := countFitting(rest, n.storeLimits().MaxValueBytes()/delegationSizeDivisor)
		id := storage.DelegationID{Shard: 0, Controller: "n1", Record: records}
		applyRecord(t, n, storage.DelegationKey(id), storage.Delegation{Session: 5, FencingToken: 1, Machines: rest[:count]}, revision)
		rest, revision = rest[count:], revision+1
	}
	iterations := 0
	for acknowledged := 0; acknowledged < machines; iterations++ {
		txns := n.acknowledgementTxns()
		if len(txns) == 0 || iterations > records {
			t.Fatalf("%d of %d machines acknowledged after %d iterations", acknowledged, machines, iterations)
		}
		for _, txn := range txns {
			for _, write := range txn.Writes {
				raw, _ := json.Marshal(write.Value)
				if len(raw) > n.storeLimits().MaxValueBytes() {
					t.Fatalf("a value of %d bytes", len(raw))
				}
				applyRecord(t, n, write.Put, write.Value, revision)
			}
			revision++
		}
		acknowledged = 0
		for _, ack := range n.records.DelegationAcks {
			acknowledged += len(ack.Value.Machines)
		}
	}
	t.Logf("%d records, %d iterations", records, iterations)
}
