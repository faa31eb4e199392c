package coordination

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"reedtrack/internal/dispatch"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

var benchSizes = []int{500, 1000, 2000, 5000, 10000}

// runAtSizes runs a benchmark at each of benchSizes, with logging disabled.
func runAtSizes(b *testing.B, f func(b *testing.B, n int)) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, n) })
	}
}

// busyShard returns a shard whose machines are all in use, with three pending jobs
// for every ten machines.
func busyShard(machines int, now time.Time) (*shard, *planInput) {
	s := newShard(0, storage.ShardLease{FencingToken: 1}, 1, now)
	s.reconciled = true
	var g storage.Grant
	for i := range machines {
		g.Machines = append(g.Machines, storage.MachineLease{Machine: fmt.Sprintf("host-%06d", i), MachineType: "small", Zone: "a", Spot: true, FencingToken: 2})
	}
	s.setGrant(g, func(string) (placement.Resources, bool) { return placement.Resources{8, 0, 32}, true }, now)
	s.shares = map[string]storage.Resources{"red": {Cores: 1e6}}
	p := &planInput{params: placement.UCfit{A: 2, B: 1, C: 0.2}, machineTypes: simMachineTypes, maxMachines: machines, heartbeatInterval: 5 * time.Second,
		teams: map[string]teamQuota{"red": {limit: storage.Resources{Cores: 1e6}}}, hasNoCapacity: func(machineKind) bool { return true }}
	add := func(id, tasks int, cores float64) *job {
		j := &job{id: fmt.Sprintf("wk-%06d", id), revision: 9, submittedAt: now, taskResources: placement.Resources{cores, 0, 2}}
		j.spec = protocol.Job{ID: j.id, Team: "red", Type: "array", Priority: "normal", Tasks: tasks, Cores: cores, MemoryGB: 2, EstimatedSeconds: 30, Spot: true, Image: "i"}
		s.addJob(j)
		return j
	}
	for _, m := range s.machines {
		s.receiveHeartbeat(m, &protocol.Heartbeat{Machine: m.lease.Machine, Session: 1, Sequence: 1, FencingToken: 2}, now)
	}
	for i := range machines {
		add(i, 8, float64(1+i%2))
	}
	for i := range machines * 3 / 10 {
		add(machines+i, 40, 2)
	}
	return s, p
}

// runningReport returns a heartbeat that reports all tasks of a machine as running.
func runningReport(m *machine, sequence, token uint64) *protocol.Heartbeat {
	r := &protocol.Heartbeat{Machine: m.lease.Machine, Session: 1, Sequence: sequence, FencingToken: token}
	for k, x := range m.attempts {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: protocol.FormatTaskName(k.job, k.task), Attempt: x.number, State: protocol.Running})
	}
	return r
}

// BenchmarkPlan measures a full plan of a shard without free capacity.
func BenchmarkPlan(b *testing.B) {
	runAtSizes(b, func(b *testing.B, n int) {
		now := time.Now()
		s, p := busyShard(n, now)
		s.plan(p, true, now)
		for b.Loop() {
			s.plan(p, true, now)
		}
	})
}

// BenchmarkHeartbeat measures a heartbeat that frees a task's capacity, including the
// placement of the next task and the orders in the answer.
func BenchmarkHeartbeat(b *testing.B) {
	runAtSizes(b, func(b *testing.B, n int) {
		now := time.Now()
		s, p := busyShard(n, now)
		s.plan(p, true, now)
		list := s.sortedMachines()
		sequence := uint64(1)
		for b.Loop() {
			sequence++
			m := list[int(sequence)%len(list)]
			s.buildCommands(m, now)
			r := runningReport(m, sequence, 2)
			if len(r.Tasks) > 0 {
				r.Tasks[0].State, r.Tasks[0].Cause = protocol.Exited, protocol.CauseStopped
			}
			s.receiveHeartbeat(m, r, now)
			s.fillMachine(m, p.teams)
			s.buildCommands(m, now)
		}
	})
}

// BenchmarkHeartbeatWithRetainedAttempts measures a heartbeat of 8 running tasks and of ended
// attempts that the worker is not told to clear, up to the maximum, with its answer.
func BenchmarkHeartbeatWithRetainedAttempts(b *testing.B) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	const token = 2
	for _, retained := range []int{0, 16, maxRetainedAttempts} {
		b.Run(fmt.Sprint(retained), func(b *testing.B) {
			now := time.Now()
			s, p := busyShard(500, now)
			s.plan(p, true, now)
			m := s.sortedMachines()[0]
			s.buildCommands(m, now)
			r := runningReport(m, 1, token)
			message := m.exchange.BeginMessage(token)
			for i := range retained {
				var start dispatch.Start
				message.AddStart(&start)
				key := taskKey{"wk-999999", i}
				m.exchange.RecordEnded(key, 1, &start, token)
				r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: protocol.FormatTaskName(key.job, i), Attempt: 1, State: protocol.Exited, Cause: protocol.CauseDone})
			}
			m.exchange.EndMessage(message, false)
			for b.Loop() {
				r.Sequence++
				s.receiveHeartbeat(m, r, now)
				s.buildCommands(m, now)
			}
		})
	}
}

// BenchmarkFailover measures the failover of a shard: loading its records, each
// machine's first heartbeat to the new holder, with its running tasks, and the first
// plan.
func BenchmarkFailover(b *testing.B) {
	runAtSizes(b, func(b *testing.B, n int) {
		now := time.Now()
		old, p := busyShard(n, now)
		old.plan(p, true, now)
		var g storage.Grant
		var reports []*protocol.Heartbeat
		for _, m := range old.sortedMachines() {
			g.Machines = append(g.Machines, m.lease)
			reports = append(reports, runningReport(m, 2, 9))
		}
		for b.Loop() {
			s := newShard(0, storage.ShardLease{FencingToken: 9}, 20, now)
			s.reconciled = true
			s.setGrant(g, func(string) (placement.Resources, bool) { return placement.Resources{8, 0, 32}, true }, now)
			s.shares = old.shares
			for id, j := range old.jobs {
				s.addJob(&job{id: id, revision: 9, submittedAt: now, taskResources: j.taskResources, spec: j.spec})
			}
			for _, r := range reports {
				m := s.machines[r.Machine]
				s.receiveHeartbeat(m, r, now)
				s.buildCommands(m, now)
			}
			if !s.reconciled {
				b.Fatal("shard is not reconciled")
			}
			s.plan(p, true, now)
		}
	})
}

// BenchmarkDetectFailures measures the failure detection of one plan.
func BenchmarkDetectFailures(b *testing.B) {
	runAtSizes(b, func(b *testing.B, n int) {
		now := time.Now()
		w := newWorld(1, nil)
		node := New(w.settings, w.settings.Defaults(), storage.NewClientWithTransport(nil, 1, 1, 1), simCloud{w}, nil, nil)
		s, p := busyShard(n, now)
		node.shards[0] = s
		for b.Loop() {
			node.detectFailures(p, now)
		}
	})
}
