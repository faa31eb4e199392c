package coordination

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// The explorer is a bounded model checker. It plays every order of events between
// holders, which are the real code, and simple models of two workers and of a network
// that loses and delays messages. The one task of one core fits on either worker.
//
// In every state it determines which attempts run or could still be started by a message
// in flight. The holder that may place the task must track all of them; then no task runs
// twice, beyond a quota, or after a confirmed cancellation.

const modelWorkerCount = 2

type modelWorker struct {
	token               uint64
	session             uint64
	sequence            uint64
	tasks               map[string]modelTask        // by task name
	report              *protocol.Heartbeat         // sent, and not yet received by the holder
	awaitsAnswer        bool                        // of a heartbeat
	answer              *protocol.HeartbeatResponse // in flight
	answeredAfterCancel bool                        // the answer was made after the cancellation
	renewed             bool                        // has received an answer in its current session
	renewedAfterCancel  bool                        // has received an answer that was made after the cancellation
}

type modelTask struct {
	attempt uint64
	active  bool
	cause   string
}

// modelMessage is a direct message to a worker.
type modelMessage struct {
	to       int
	message  directMessage
	payload  protocol.DirectCommands
	timedOut bool          // its sender no longer waits
	copied   bool          // a copy of it was delivered before
	reply    *DirectAnswer // the answer in flight, once the message was executed
	holder   *shard
}

// modelCopy is a copy of a direct message that was carried out, and may be again.
type modelCopy struct {
	to      int
	payload protocol.DirectCommands
}

// searchBounds limits how often the rarer events happen, so that the search reaches
// greater depths.
type searchBounds struct {
	sent          int
	emptyMessages int
	attempts      int
	ends          int
	expires       int
	late          int
	cancel        int
	failovers     int
	releases      int
	stop          int
	proxyAnswers  int
	fences        int
	copies        int // copies of messages that were carried out
	earlyCopies   int // copies that arrive before the message itself
	shardFences   int
}

// holderFault is a deliberate fault of a holder.
type holderFault string

const (
	faultNone                holderFault = ""
	faultSkipsReconciliation holderFault = "reconciliation skipped"     // counts machines as reconciled right after a failover
	faultReleasesNonEmpty    holderFault = "non-empty machine released" // releases a machine that is not empty
	faultProxyDuringStart    holderFault = "proxy during start"         // lets a proxy answer while a start is in flight
	faultEarlyExpiry         holderFault = "early expiry"               // considers tasks lost before the worker's lease has expired
)

// explorer is one state of holders, workers and network.
type explorer struct {
	guards    dispatch.DisabledGuards
	bounds    searchBounds
	fault     holderFault
	holder    *shard // of the job and, unless released, of both machines
	other     *shard // of a machine that was released
	job       *job
	workers   [modelWorkerCount]*modelWorker
	direct    []*modelMessage
	copies    []*modelCopy          // copies of direct messages that were carried out
	late      []*protocol.Heartbeat // heartbeats that timed out at their workers
	cancelled bool                  // the job was cancelled
	taskDone  bool
	sent      int // direct messages so far
	ends      int
	expires   int
	lastToken uint64
	now       time.Time
}

// newExplorer returns a state with both machines reconciled and nothing placed.
func newExplorer(g dispatch.DisabledGuards, b searchBounds, fault holderFault) *explorer {
	x := &explorer{guards: g, bounds: b, fault: fault, now: time.Unix(1e9, 0), lastToken: 10}
	for i := range x.workers {
		x.workers[i] = &modelWorker{session: 1, tasks: map[string]modelTask{}}
	}
	x.holder = x.newHolder(0, 1)
	x.addJob(9)
	for range 2 {
		for i := range x.workers {
			for _, e := range []string{"report ", "hears ", "answer "} {
				x.nextEvents()[e+modelWorkerName(i)]()
			}
		}
	}
	return x
}

// modelWorkerName returns the name of a worker and its machine.
func modelWorkerName(i int) string { return string(rune('a' + i)) }

// modelMachineSize is the size of every machine: capacity for the one task.
func modelMachineSize(string) (placement.Resources, bool) { return placement.Resources{1, 0, 4}, true }

// newHolder returns a holder of some machines under a new fencing token.
func (x *explorer) newHolder(machines ...int) *shard {
	x.lastToken++
	s := newShard(0, storage.ShardLease{FencingToken: x.lastToken}, 5, x.now)
	s.guards = x.guards
	var g storage.Grant
	for _, i := range machines {
		// Granted under an earlier lease, so that the machines have to report first.
		g.Machines = append(g.Machines, storage.MachineLease{Machine: modelWorkerName(i), MachineType: "small", Zone: "a", FencingToken: 1})
	}
	s.setGrant(g, modelMachineSize, x.now)
	s.reconciled = false
	s.updateReconciled()
	s.shares = map[string]storage.Resources{"red": {Cores: 1}}
	return s
}

func (x *explorer) addJob(stamp uint64) {
	x.job = &job{id: "wk-1", revision: stamp, taskResources: placement.Resources{1, 0, 1},
		spec: protocol.Job{ID: "wk-1", Team: "red", Type: "array", Tasks: 1, Cores: 1}}
	if x.taskDone {
		x.job.done.Add(0)
	}
	x.holder.addJob(x.job)
}

// machineOf returns a worker's machine and the shard that it is granted to.
func (x *explorer) machineOf(i int) (*shard, *machine) {
	for _, s := range []*shard{x.holder, x.other} {
		if s != nil && s.machines[modelWorkerName(i)] != nil {
			return s, s.machines[modelWorkerName(i)]
		}
	}
	return nil, nil
}

// explore searches all orders of events breadth first until maxStates states are known,
// or all. Each state is reached by replaying its events from the start, as the state of
// the real code can't be copied.
func explore(g dispatch.DisabledGuards, b searchBounds, fault holderFault, maxStates int) (states int, trace []string, violation string) {
	seen := map[string]bool{}
	play := func(events []string) *explorer {
		x := newExplorer(g, b, fault)
		for _, e := range events {
			x.nextEvents()[e]()
		}
		return x
	}
	queue := [][]string{nil}
	seen[play(nil).stateKey()] = true
	for len(queue) > 0 && len(seen) < maxStates {
		at := queue[0]
		queue = queue[1:]
		for _, e := range slices.Sorted(maps.Keys(play(at).nextEvents())) {
			next := append(slices.Clip(at), e)
			x := play(next)
			if k := x.stateKey(); !seen[k] {
				seen[k] = true
				if why := x.violation(); why != "" {
					return len(seen), next, why
				}
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil, ""
}

// In any order of messages a task can start only where its holder expects it. With a
// guard disabled, or with a deliberately faulty holder, the same search finds a
// violation. REEDTRACK_EXPLORE sets the number of states explored per case.
func TestStartsModelChecked(t *testing.T) {
	maxStates := 4000
	fmt.Sscan(os.Getenv("REEDTRACK_EXPLORE"), &maxStates)
	for name, c := range map[string]struct {
		bounds searchBounds
		guards dispatch.DisabledGuards // disabled to verify that the search finds a violation
		fault  holderFault             // injected for the same purpose
		factor int                     // how many times more states the fault needs; 0: once
	}{
		"messages lost and late": {searchBounds{sent: 2, attempts: 2, ends: 1, late: 1}, dispatch.WithoutBinding, faultNone, 0},
		"answer lost":            {searchBounds{sent: 1, emptyMessages: 1, attempts: 2}, dispatch.WithoutResponseOrder, faultNone, 0},
		"ended early":            {searchBounds{sent: 1, attempts: 2, ends: 1}, dispatch.WithoutDeferredClear, faultNone, 0},
		"cancelled":              {searchBounds{sent: 1, attempts: 1, cancel: 1, ends: 1}, dispatch.WithoutStartBeforeStop, faultNone, 0},
		"stopped":                {searchBounds{sent: 2, attempts: 2, stop: 1}, dispatch.WithoutDeferredClear, faultNone, 0},
		"failover":               {searchBounds{sent: 2, attempts: 2, failovers: 1, ends: 1}, 0, faultSkipsReconciliation, 0},
		"machine released":       {searchBounds{sent: 1, attempts: 2, releases: 1, ends: 1}, 0, faultReleasesNonEmpty, 0},
		"proxy answers":          {searchBounds{sent: 1, attempts: 2, cancel: 1, proxyAnswers: 2}, 0, faultProxyDuringStart, 0},
		"fenced":                 {searchBounds{sent: 1, attempts: 2, cancel: 1, proxyAnswers: 2, fences: 1}, 0, faultProxyDuringStart, 0},
		"repeated":               {searchBounds{sent: 2, attempts: 2, ends: 1, copies: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"repeated, cancelled":    {searchBounds{sent: 1, attempts: 1, ends: 1, cancel: 1, copies: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"repeated, fenced":       {searchBounds{sent: 1, attempts: 1, ends: 1, copies: 1, shardFences: 1}, dispatch.WithoutFence, faultNone, 3},
		"repeated, failover":     {searchBounds{sent: 1, attempts: 2, ends: 1, copies: 1, failovers: 1}, 0, faultSkipsReconciliation, 0},
		"repeated, released":     {searchBounds{sent: 1, attempts: 2, ends: 1, copies: 1, releases: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"repeated before":        {searchBounds{sent: 1, attempts: 2, ends: 1, earlyCopies: 1}, dispatch.WithoutBinding, faultNone, 0},
		"repeated, proxy":        {searchBounds{sent: 1, attempts: 2, ends: 1, copies: 1, proxyAnswers: 1, shardFences: 1}, dispatch.WithoutRepeats, faultNone, 0},
		"lease expired":          {searchBounds{sent: 1, attempts: 2, expires: 1, ends: 1}, 0, faultEarlyExpiry, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			maxStates := maxStates * max(1, c.factor)
			states, trace, why := explore(0, c.bounds, faultNone, maxStates)
			if why != "" {
				t.Errorf("%s\n%s", why, strings.Join(trace, "\n"))
			}
			t.Logf("%d states", states)
			if states, trace, why = explore(c.guards, c.bounds, c.fault, maxStates); why == "" {
				t.Errorf("injected fault not detected in %d states", states)
			}
			t.Logf("with the fault: %s after %d events, %d states: %s", why, len(trace), states, strings.Join(trace, ", "))
		})
	}
}
