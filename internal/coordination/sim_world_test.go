package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/emulator"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// world is a simulated deployment with a model of the invariants: it tracks every task,
// machine and answer, and checks each event against the complete state.
type world struct {
	settings *config.Settings
	store    *emulator.KVStore
	random   *rand.Rand
	mu       sync.Mutex // guards all below

	nodes                []*simNode
	workers              map[string]*simWorker
	machinesByRequest    map[string][]string
	lastMachineNumber    int
	cloudUnavailable     bool
	zonesSeparated       bool   // workers and controllers of one zone can't reach those of another
	isolatedZone         string // its workers and the controllers outside can't reach each other
	maxMachines          int    // capacity of the cloud
	fillMachines         int    // per shard
	maxTasks             int    // maximum per job
	withDependencies     bool   // some jobs have dependencies
	withoutFences        bool   // no controller writes a shard's fence, as before all support them
	upgrade              bool   // the controllers start as the previous version
	limitsLowered        bool   // the store's limits have been lowered
	jobsWithDependencies int    // number of jobs with dependencies
	tweak                func(*Node)
	adjustJob            func(k int, j *protocol.Job, u *user) // modifies jobs and their users
	script               []fault                               // faults to inject; nil: random faults
	startedAt            time.Time                             // start of the fault period
	shards               int                                   // 0: as many as controllers
	faultSettings
	linkLoss
	disabledGuards
	onStart           func() // called once, after the controllers have been started; may be nil
	afterFirstRequest func() // called once, between the first machine request and its answer, which is lost

	specs              map[string]*protocol.Job
	finalStatus        map[string]string // the last answered status that is final
	accepted           map[string]bool
	cancelConfirmedAt  map[string]time.Time // when a cancellation was first confirmed to a user
	cancelRequested    map[string]bool
	acceptedAt         map[string]time.Time // when a job was accepted
	done               map[string]bool
	taskWorker         map[string]*simWorker // by task: the worker that runs it
	teamCores          map[string]float64
	startCount         int
	violations         []string
	history            *history
	events             map[string][]time.Time    // times of events, to prove that a scenario took place
	longestAfterCancel time.Duration             // the longest time that a task stayed after its job was cancelled
	firstStartedAt     map[string]time.Time      // when a job's first task started
	firstEndedAt       map[string]time.Time      // and when the first ended
	lastAnsweredAt     map[string]time.Time      // when a query about a job was last answered
	leaderRevision     uint64                    // of the last observed leader
	largestShards      [8]int                    // peak number of machines per shard
	tokenOwners        map[machineTokenKey]*Node // the process that commanded a machine with a token
	releasePending     map[string]bool           // machines whose release is in flight, by a late call
	recoveredAt        time.Time                 // end of all faults; zero: not yet
	waiting            waitingCheck
	leaseEnds          []string // diagnostics of leases that expired with a task on the worker
	wg                 sync.WaitGroup
	ctx                context.Context
}

// linkLoss is the baseline loss of the simulated network without an injected fault.
type linkLoss struct {
	heldHeartbeats   int            // one in this many is delivered after its worker timed out; 0: none
	heartbeatAnswers float64        // share that is lost
	peerCalls        float64        // share that is lost
	answersToLose    map[string]int // by machine: how many of its next lease renewals are lost
}

// defaultLinkLoss is the baseline loss of worlds that don't override it.
var defaultLinkLoss = linkLoss{heldHeartbeats: 60, heartbeatAnswers: 0.02, peerCalls: 0.02}

type simNode struct {
	name            string
	node            *Node
	storeLink       *simStoreLink
	stop            context.CancelFunc
	previousVersion bool // simulates the previous version
	cutFromWorkers  bool // workers can't reach it
	cutFromPeers    bool // it and the other controllers can't reach each other
	cutFromUsers    bool // users can't reach it
	inIsolatedZone  bool // inside the isolated zone
	zone            string
	// The process is paused until then and neither sends nor receives.
	pausedUntil time.Time
	// A start is in progress. It prevents concurrent starts, as two processes of one name
	// never run at once.
	starting bool
}

var simMachineTypes = []protocol.MachineType{
	{Name: "small", Cores: 4, MemoryGB: 16, FetchGBPerSecond: 1, HourlyRate: 0.3, SpotHourlyRate: 0.1, BootSeconds: 8, Zones: []string{"a", "b"}},
	{Name: "big", Cores: 16, MemoryGB: 32, FetchGBPerSecond: 1, HourlyRate: 1.2, SpotHourlyRate: 0.4, BootSeconds: 15, Zones: []string{"a"}},
}

func newWorld(seed uint64, tweak func(*Node)) *world {
	set := &config.Settings{HostName: "n0", Listen: "127.0.0.1:1", PeerBind: "127.0.0.1:2"}
	set.Services.Cloud, set.Services.State = "127.0.0.1:3", "127.0.0.1:4"
	d := &set.Deployment
	d.Count = 3
	d.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 14}, {Name: "blue", CPUs: 8, CPUsMax: 24}}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 3, 20, 45
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 300, 200, 16, 12
	d.Cloud.RPS, d.Cloud.ListLagS = 10, 2
	d.Limits.CPUShare = 0.1
	return &world{settings: set, store: emulator.NewKVStore(), maxMachines: 10, fillMachines: 2, maxTasks: 9, faultSettings: faultSettings{txnFailureRate: 0.02}, linkLoss: defaultLinkLoss, random: rand.New(rand.NewPCG(seed, 1)), tweak: tweak,
		workers: map[string]*simWorker{}, machinesByRequest: map[string][]string{},
		specs: map[string]*protocol.Job{}, finalStatus: map[string]string{}, accepted: map[string]bool{},
		cancelConfirmedAt: map[string]time.Time{}, acceptedAt: map[string]time.Time{}, cancelRequested: map[string]bool{}, done: map[string]bool{},
		taskWorker: map[string]*simWorker{}, teamCores: map[string]float64{}, history: newHistory(), events: map[string][]time.Time{}, lastAnsweredAt: map[string]time.Time{},
		firstStartedAt: map[string]time.Time{}, firstEndedAt: map[string]time.Time{},
		tokenOwners: map[machineTokenKey]*Node{}, releasePending: map[string]bool{}, waiting: waitingCheck{since: map[string]time.Time{}}}
}

// recordEvent records the time of an event.
func (w *world) recordEvent(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEventLocked(what)
}

// recordEventLocked is recordEvent for callers that hold the world's lock.
func (w *world) recordEventLocked(what string) { w.events[what] = append(w.events[what], time.Now()) }

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) chance(p float64) bool { return float64(w.intn(1e6)) < p*1e6 }

func (w *world) violationf(format string, a ...any) {
	if len(w.violations) < 10 {
		w.violations = append(w.violations, fmt.Sprintf(format, a...))
	}
}

func (w *world) spawn(f func()) {
	w.wg.Add(1)
	go func() { defer w.wg.Done(); f() }()
}

type simPeer struct {
	w        *world
	to       int
	from     string
	tryMutex *sync.Mutex // locked during a TryCall
}

// TryCall fails while another TryCall is in progress, and otherwise is like Call.
func (p simPeer) TryCall(timeout time.Duration, in, out any) error {
	if !p.tryMutex.TryLock() {
		return errors.New("busy")
	}
	defer p.tryMutex.Unlock()
	return p.Call(timeout, in, out)
}

func (p simPeer) Call(timeout time.Duration, in, out any) error {
	time.Sleep(time.Duration(1+p.w.intn(5)) * time.Millisecond)
	p.w.mu.Lock()
	to := p.w.nodes[p.to]
	n, cut := to.node, to.cutFromPeers || to.inIsolatedZone
	for _, o := range p.w.nodes {
		if o.name == p.from {
			cut = cut || o.cutFromPeers || o.inIsolatedZone || time.Now().Before(o.pausedUntil) || p.w.zonesSeparated && o.zone != to.zone
		}
	}
	pause := time.Until(to.pausedUntil)
	p.w.mu.Unlock()
	if pause > 0 {
		time.Sleep(min(pause, timeout))
		cut = cut || pause > timeout
	}
	if n == nil || cut || p.w.chance(p.w.peerCalls) {
		return errors.New("peer unreachable")
	}
	p.deliver(n, in, out)
	return nil
}

// deliver passes a message to a controller and stores its answer in out.
func (p simPeer) deliver(n *Node, in, out any) {
	message, ok := in.(*PeerMessage)
	if !ok {
		*out.(*StatusReply) = n.ReceiveStatus(*in.(*Status))
		return
	}
	reply := n.ReceiveMessage(*message)
	if answer := reply.Heartbeat; answer != nil && answer.Status == http.StatusOK {
		p.w.mu.Lock()
		p.w.checkTokenOwner(message.Heartbeat.Report.Machine, answer.Response.FencingToken, n)
		p.w.mu.Unlock()
	}
	*out.(*PeerReply) = reply
}

// newNode creates a controller process that uses the world's cloud and workers.
func (w *world) newNode(i int, set *config.Settings, op config.Operator, st *storage.Client, peers map[string]Peer) *Node {
	var n *Node
	n = New(set, op, st, simCloud{w}, peers, func(_ context.Context, address string, d protocol.DirectCommands) DirectAnswer {
		return w.direct(i, n, address, d)
	})
	return n
}

func (w *world) start(i int) {
	set := *w.settings
	set.HostName, set.Location = w.nodes[i].name, w.nodes[i].zone
	op := set.Defaults()
	op.FillMachines = w.fillMachines // so that all shards get jobs
	if w.shards > 0 {
		op.Shards = w.shards
	}
	peers := map[string]Peer{}
	for k, o := range w.nodes {
		if k != i {
			peers[o.name] = simPeer{w, k, set.HostName, new(sync.Mutex)}
		}
	}
	w.mu.Lock()
	old := w.nodes[i].previousVersion
	w.mu.Unlock()
	wr := &simStoreLink{store: w.store, random: rand.New(rand.NewPCG(uint64(w.intn(1e6)), 7)), failureRate: w.txnFailureRate, previousVersion: old, recordOutcome: w.recordEvent, latency: w.storeLatency, pauseLeft: func() time.Duration { return w.pauseLeft(i) }}
	wr.lateRate, wr.lostRate, wr.dropPreconditions, wr.staleReads = w.lateTxnRate, w.lostAnswerRate, w.disabledGuards.conditions, w.disabledGuards.reads
	st := storage.NewClientWithTransport(wr, set.Deployment.State.RPS, set.Deployment.State.WriteRPS, 3)
	n := w.newNode(i, &set, op, st, peers)
	n.cpuTime = func() time.Duration { return 0 }
	n.withoutFence = w.withoutFences
	if w.tweak != nil {
		w.tweak(n)
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.nodes[i].node, w.nodes[i].storeLink, w.nodes[i].stop, w.nodes[i].starting = n, wr, stop, false
	w.mu.Unlock()
	w.spawn(func() { n.Run(ctx) })
}

// addNodes adds controllers, alternating between the zones.
func (w *world) addNodes(count int) {
	for i := range count {
		w.nodes = append(w.nodes, &simNode{name: fmt.Sprintf("n%d", i), zone: []string{"a", "b"}[i%2]})
	}
}

func (w *world) kill(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nodes[i].node != nil {
		w.nodes[i].stop()
		w.nodes[i].node = nil
	}
}

func (w *world) node(i int) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i].node
}

// addDependencies makes a job depend on some accepted jobs.
func (w *world) addDependencies(j *protocol.Job) {
	var candidates []string
	for id := range w.accepted {
		if !w.specs[id].IsService() {
			candidates = append(candidates, id)
		}
	}
	slices.Sort(candidates)
	for range min(len(candidates), 1+w.random.IntN(3)) {
		if id := candidates[max(0, len(candidates)-1-w.random.IntN(6))]; !slices.Contains(j.DependsOn, id) {
			j.DependsOn = append(j.DependsOn, id)
		}
	}
	w.jobsWithDependencies++
}

// allDone reports whether all tasks of a job are done.
func (w *world) allDone(id string) bool {
	for t := range w.specs[id].Tasks {
		if !w.done[protocol.FormatTaskName(id, t)] {
			return false
		}
	}
	return true
}

// cancelledBefore returns when the cancellation of a dependency of a job was first
// confirmed, but no time before the job was accepted. It is zero if there is none.
func (w *world) cancelledBefore(id string) time.Time {
	var first time.Time
	for _, dep := range w.specs[id].DependsOn {
		for _, at := range []time.Time{w.cancelConfirmedAt[dep], w.cancelledBefore(dep)} {
			if !at.IsZero() && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	if at := w.acceptedAt[id]; !first.IsZero() && first.Before(at) {
		return at
	}
	return first
}

// cancelled reports whether a user has requested the cancellation of a job or of one of
// its dependencies.
func (w *world) cancelled(id string) bool {
	return w.cancelRequested[id] || slices.ContainsFunc(w.specs[id].DependsOn, w.cancelled)
}

// rollUpgrade replaces the controllers by the new version, one after the other, and lowers
// the limits of the store as soon as records are split.
func (w *world) rollUpgrade() {
	for i := range w.nodes {
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		w.nodes[i].previousVersion = false
		w.mu.Unlock()
		w.kill(i)
		w.spawn(func() { time.Sleep(3 * time.Second); w.startIfDown(i) })
	}
	for w.ctx.Err() == nil {
		for _, k := range w.store.Keys() {
			if _, _, ok := storage.ParseGrantChunkKey(k); ok {
				w.mu.Lock()
				w.limitsLowered = true
				w.mu.Unlock()
				n := w.settings.Deployment.State.Next
				w.store.SetLimits(n.MaxValueBytes(), n.TxnOps, int(n.WriteRPS))
				// Writes in flight, and writes of a controller that has not yet seen the
				// upgrade, may exceed the limits: they are refused, which is harmless. No
				// later write may.
				time.Sleep(30 * time.Second)
				w.store.TakeOversized()
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// open starts a world; stop ends all goroutines in it.
func (w *world) open() (stop func()) {
	ctx, end := context.WithCancel(context.Background())
	w.ctx = ctx
	return func() {
		end()
		w.wg.Wait()
		synctest.Wait()
	}
}

// play runs a period of faults and then a period without, after which every job must have
// ended. It must be called in a synctest bubble.
func (w *world) play(jobs int, faultPeriod, recoveryPeriod time.Duration) {
	stop := w.open()
	w.addNodes(3)
	for i := range w.nodes {
		w.nodes[i].previousVersion = w.upgrade
		w.start(i)
	}
	if w.upgrade {
		w.spawn(w.rollUpgrade)
	}
	teams, levels := []string{"red", "blue"}, []string{"low", "normal", "high", "prod"}
	for k := range jobs {
		j := &protocol.Job{ID: fmt.Sprintf("wk-%06d", k), Class: "x", Team: teams[w.intn(2)], Type: "array",
			Priority: levels[w.intn(4)], Tasks: 1 + w.intn(w.maxTasks), Cores: float64(1 + w.intn(3)), MemoryGB: 2, Image: fmt.Sprint("i", w.intn(3)),
			ImageGB: float64(w.intn(4)), EstimatedSeconds: float64(4 + w.intn(25)), Spot: w.intn(4) > 0}
		switch w.intn(6) {
		case 0:
			j.OneZone = true
		case 1:
			j.Spread = true
		case 2:
			j.MachineTypes = []string{"small"}
		case 3:
			j.Zone = "a"
		}
		if w.intn(3) == 0 {
			j.CheckpointIntervalSeconds, j.CheckpointSeconds = 5, 2
		}
		u := &user{w: w, job: j, cancels: w.intn(4) == 0}
		if k%8 == 7 {
			j.Type, j.Tasks, u.cancels = "standing", 1+w.intn(3), true
		}
		u.submitAfter = time.Duration(w.intn(int(faultPeriod.Seconds()))) * time.Second
		if w.adjustJob != nil {
			w.adjustJob(k, j, u)
		}
		w.spawn(u.run)
	}
	w.startedAt = time.Now()
	if w.onStart != nil {
		w.onStart()
	}
	w.spawn(w.watch)
	end := w.startedAt.Add(faultPeriod)
	if w.script != nil {
		w.runScript(w.script)
		time.Sleep(time.Until(end))
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(3+w.intn(12)) * time.Second)
		w.recordShardSizes()
		w.injectFault(w.randomFault())
	}
	w.recover()
	time.Sleep(recoveryPeriod)
	why := w.explainUnfinished()
	w.mu.Lock()
	for _, why := range w.store.TakeOversized() {
		w.violationf("over a limit of the state service: %s", why)
	}
	for id := range w.accepted {
		if w.finalStatus[id] == "" {
			w.violationf("never over: %s: %s", id, why[id])
		}
		if ago := time.Since(w.lastAnsweredAt[id]); ago > 75*time.Second {
			w.violationf("forgotten: no answer about %s for %v", id, ago)
		}
	}
	w.mu.Unlock()
	stop()
}

// explainUnfinished describes, for each job that has not ended, its state at its holder
// and the quota shares that all shards have and need.
func (w *world) explainUnfinished() map[string]string {
	why, shares := map[string]string{}, ""
	for i := range w.nodes {
		n := w.node(i)
		if n == nil {
			continue
		}
		n.mu.Lock()
		shares += fmt.Sprintf(" %s holds lease %v leads %v:", n.settings.HostName, n.holdsLease(n.now()), n.leadership != nil)
		for k, s := range n.shards {
			shares += fmt.Sprintf(" shard %d reconciled %v shares %v record %v uses %v desired %v unreported %v smallest task %v startable %v;", k, s.reconciled, s.shares, n.records.Grants[k].Value.Quotas, s.used, s.desired, s.unreportedCapacity(), s.smallestTask, s.startable)
			for id, j := range s.jobs {
				if j.pendingTasks() > 0 {
					shares += fmt.Sprintf(" %s of %s waits with %d tasks of %g cores for %q since %s;", id, j.spec.Team, j.pendingTasks(), j.spec.Cores, j.waitReason, j.unplacedSince.Format(time.TimeOnly))
				}
				text := fmt.Sprintf("shard %d, %s %g cores, %d of %d done, %d waiting, unconfirmed %v blocked %v migrating %v to %d, failed on %v retry after %v, %d booting, requests %v:", k, j.spec.Team, j.spec.Cores,
					j.done.Len(), j.spec.Tasks, j.pendingTasks(), j.unconfirmed, j.blocked, j.migrating, j.migrationTarget, j.failedMachines, j.retryAfter.Format(time.TimeOnly), s.bootingCount(), s.scaleOut)
				for t, r := range j.attempts {
					text += fmt.Sprintf(" %d on %s %s start %+v stopping %v,", t, r.machine.lease.Machine, r.status, r.start, r.stopRequested)
				}
				for _, m := range s.sortedMachines() {
					text += fmt.Sprintf(" %s %v uses %v reconciled %v expired %v orphans %v runs unreadable job %v schedulable %v starts that may arrive %v;", m.lease.Machine, m.kind(), m.used, m.isReconciled(), m.isExpired(), m.orphans, m.runsUnreadableJob, m.isSchedulable(), slices.Collect(m.exchange.RetainedTasks()))
				}
				why[id] = text
			}
		}
		n.mu.Unlock()
	}
	for id := range why {
		why[id] += shares
	}
	return why
}

// recordShardSizes records the peak number of machines of each shard.
func (w *world) recordShardSizes() {
	if n := w.node(0); n != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		for i, g := range n.records.Grants {
			w.largestShards[i] = max(w.largestShards[i], len(g.Value.Machines))
		}
	}
}

func (w *world) startIfDown(i int) {
	w.mu.Lock()
	n := w.nodes[i]
	down := n.node == nil && !n.starting && w.ctx.Err() == nil
	n.starting = n.starting || down
	w.mu.Unlock()
	if down {
		w.start(i)
	}
}

// applyGrant applies a change of a shard's grant to a controller.
func applyGrant(n *Node, i int, g storage.Grant, stamp uint64) {
	raw, _ := json.Marshal(g)
	for _, change := range n.records.Apply([]protocol.Change{{Put: storage.GrantKey(i), Value: raw, Revision: stamp}}) {
		n.handleChange(change)
	}
}
