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

// world is a deployment of emulators in simulated time, with a plain model of
// the rules: it keeps every task, machine and answer, and checks each event
// against the complete state.
type world struct {
	settings *config.Settings
	store    *emulator.KVStore
	random   *rand.Rand
	mu       sync.Mutex // guards all below

	nodes                []*simNode
	workers              map[string]*simWorker
	ready                map[string]time.Time // when rented machines come up
	rentals              map[string][]string
	next                 int
	noCloud              bool
	zonesSeparated       bool   // workers and controllers of one zone don't reach those of another
	isolatedZone         string // its workers and the controllers outside don't reach each other
	maxMachines          int    // that the cloud has
	fillMachines         int    // machines a shard
	maxTasks             int    // of a job, at most
	withDependencies     bool   // some jobs have dependencies
	upgrade              bool   // the controllers begin as the previous version
	limitsLowered        bool   // the store's limits have been lowered
	jobsWithDependencies int    // jobs that named others
	tweak                func(*Node)
	adjustJob            func(k int, j *protocol.Job, u *user) // changes what users want
	script               []fault                               // what goes wrong; nil: anything, at random
	startedAt            time.Time                             // when the faults began
	shards               int                                   // 0: as many as controllers
	faultSettings
	linkLoss
	disabledGuards
	onStart     func() // called once, when the controllers have been started; nil: nothing is
	afterRental func() // called once, between the first rental and its answer, which is lost

	specs              map[string]*protocol.Job
	finalStatus        map[string]string // the newest answer that must not be taken back
	accepted           map[string]bool
	cancelConfirmedAt  map[string]time.Time // when a user was told of a cancellation
	cancelRequested    map[string]bool
	acceptedAt         map[string]time.Time // when a job was accepted
	done               map[string]bool
	taskWorker         map[string]*simWorker // where a started task is
	teamCores          map[string]float64
	startCount         int
	violations         []string
	history            *history
	events             map[string][]time.Time    // what happened, to prove that a scenario took place
	longestAfterCancel time.Duration             // the longest that a task stayed after its job was cancelled
	firstStartedAt     map[string]time.Time      // when a job's first task ran
	firstEndedAt       map[string]time.Time      // and when the first ended
	lastAnsweredAt     map[string]time.Time      // when a question about a job was last answered
	leaderRevision     uint64                    // the leader's, as last seen
	largestShards      [8]int                    // most machines that each shard has had
	tokenOwners        map[machineTokenKey]*Node // who commanded each machine with which token
	releasePending     map[string]bool           // machines whose release is in flight, by a late call
	recoveredAt        time.Time                 // when all faults were over; zero: they are not
	waiting            waitingCheck
	leaseEnds          []string // how leases came to end with a task on the worker
	wg                 sync.WaitGroup
	ctx                context.Context
}

// linkLoss is what the simulated network loses with no fault injected.
type linkLoss struct {
	heldHeartbeats   int            // one in so many is held up, and nobody waits for its answer; 0: none
	heartbeatAnswers float64        // share of them
	peerCalls        float64        // share of them
	answersToLose    map[string]int // by machine: how many of the next renewals of its lease are lost
}

// defaultLinkLoss is the loss in all worlds that don't say otherwise.
var defaultLinkLoss = linkLoss{heldHeartbeats: 60, heartbeatAnswers: 0.02, peerCalls: 0.02}

type simNode struct {
	name            string
	node            *Node
	wire            *simStoreLink
	stop            context.CancelFunc
	previousVersion bool // plays the previous version
	cutFromWorkers  bool // workers do not reach it
	cutFromPeers    bool // the other controllers and it don't reach each other
	cutFromUsers    bool // users do not reach it
	inIsolatedZone  bool // inside the zone that is cut off
	zone            string
	// The process is paused until then: nothing that it made leaves, and
	// nothing arrives.
	pausedUntil time.Time
	// It is being started; of two that find it down one starts it, as two
	// processes of one name never run at once.
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
		workers: map[string]*simWorker{}, ready: map[string]time.Time{}, rentals: map[string][]string{},
		specs: map[string]*protocol.Job{}, finalStatus: map[string]string{}, accepted: map[string]bool{},
		cancelConfirmedAt: map[string]time.Time{}, acceptedAt: map[string]time.Time{}, cancelRequested: map[string]bool{}, done: map[string]bool{},
		taskWorker: map[string]*simWorker{}, teamCores: map[string]float64{}, history: newHistory(), events: map[string][]time.Time{}, lastAnsweredAt: map[string]time.Time{},
		firstStartedAt: map[string]time.Time{}, firstEndedAt: map[string]time.Time{},
		tokenOwners: map[machineTokenKey]*Node{}, releasePending: map[string]bool{}, waiting: waitingCheck{since: map[string]time.Time{}}}
}

// recordEvent records that something happened.
func (w *world) recordEvent(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEventLocked(what)
}

// recordEventLocked is recordEvent where the world's lock is held.
func (w *world) recordEventLocked(what string) { w.events[what] = append(w.events[what], time.Now()) }

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) chance(p float64) bool { return float64(w.intn(1e6)) < p*1e6 }

func (w *world) breakf(format string, a ...any) {
	if len(w.violations) < 10 {
		w.violations = append(w.violations, fmt.Sprintf(format, a...))
	}
}

func (w *world) spawn(f func()) {
	w.wg.Add(1)
	go func() { defer w.wg.Done(); f() }()
}

// Controllers.

type simPeer struct {
	w      *world
	to     int
	from   string
	trying *sync.Mutex // held during a TryCall
}

// TryCall fails while another is under way, and is like Call otherwise.
func (p simPeer) TryCall(timeout time.Duration, in, out any) error {
	if !p.trying.TryLock() {
		return errors.New("busy")
	}
	defer p.trying.Unlock()
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
	still := time.Until(to.pausedUntil)
	p.w.mu.Unlock()
	if still > 0 {
		time.Sleep(min(still, timeout))
		cut = cut || still > timeout
	}
	if n == nil || cut || p.w.chance(p.w.peerCalls) {
		return errors.New("no link")
	}
	p.deliver(n, in, out)
	return nil
}

// deliver has a controller answer a message.
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

// newNode makes a process of a controller that uses the world's cloud and workers.
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
	wr := &simStoreLink{s: w.store, rnd: rand.New(rand.NewPCG(uint64(w.intn(1e6)), 7)), failureRate: w.txnFailureRate, previousVersion: old, note: w.recordEvent, latency: w.storeLatency, pauseLeft: func() time.Duration { return w.pauseLeft(i) }}
	wr.lateRate, wr.lostRate, wr.dropPreconditions, wr.staleReads = w.lateTxnRate, w.lostAnswerRate, w.disabledGuards.conditions, w.disabledGuards.reads
	st := storage.NewClientWithTransport(wr, set.Deployment.State.RPS, set.Deployment.State.WriteRPS, 3)
	n := w.newNode(i, &set, op, st, peers)
	n.cpuTime = func() time.Duration { return 0 }
	if w.tweak != nil {
		w.tweak(n)
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.nodes[i].node, w.nodes[i].wire, w.nodes[i].stop, w.nodes[i].starting = n, wr, stop, false
	w.mu.Unlock()
	w.spawn(func() { n.Run(ctx) })
}

// addNodes adds controllers, in the zones in turn.
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

// addDependencies makes a job depend on some that were accepted.
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

// allDone tells whether all tasks of a job are done.
func (w *world) allDone(id string) bool {
	for t := range w.specs[id].Tasks {
		if !w.done[protocol.FormatTaskName(id, t)] {
			return false
		}
	}
	return true
}

// cancelledBefore is when a user was first told that a dependency of a job is
// cancelled, and not before the job was accepted.
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

// cancelled tells whether a user has asked to cancel a job or a dependency of
// it.
func (w *world) cancelled(id string) bool {
	return w.cancelRequested[id] || slices.ContainsFunc(w.specs[id].DependsOn, w.cancelled)
}

// rollUpgrade replaces the controllers by the new version, one after the other,
// and then lowers the limits of the store as soon as records are split.
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
				// What was in flight, and what a controller writes that has not
				// seen the upgrade yet, may exceed the limits: it is refused
				// and does no harm. Later nothing may.
				time.Sleep(30 * time.Second)
				w.store.TakeOversized()
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// open begins a world; stop ends all that runs in it.
func (w *world) open() (stop func()) {
	ctx, end := context.WithCancel(context.Background())
	w.ctx = ctx
	return func() {
		end()
		w.wg.Wait()
		synctest.Wait()
	}
}

// play runs a time of faults and then a calm, after which every job must have
// ended. It is called in a bubble of simulated time.
func (w *world) play(jobs int, rough, calm time.Duration) {
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
		u.submitAfter = time.Duration(w.intn(int(rough.Seconds()))) * time.Second
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
	end := w.startedAt.Add(rough)
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
	time.Sleep(calm)
	why := w.explainUnfinished()
	w.mu.Lock()
	for _, why := range w.store.TakeOversized() {
		w.breakf("over a limit of the state service: %s", why)
	}
	for id := range w.accepted {
		if w.finalStatus[id] == "" {
			w.breakf("never over: %s: %s", id, why[id])
		}
		if ago := time.Since(w.lastAnsweredAt[id]); ago > 75*time.Second {
			w.breakf("forgotten: no answer about %s for %v", id, ago)
		}
	}
	w.mu.Unlock()
	stop()
}

// explainUnfinished tells, of each job that has not ended, how it stands with
// its holder, and of all shards what they have and want of its team's quota.
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
			shares += fmt.Sprintf(" shard %d reconciled %v shares %v record %v uses %v wants %v unreported %v smallest task %v startable %v;", k, s.reconciled, s.shares, n.records.Grants[k].Value.Quotas, s.used, s.desired, s.unreportedCapacity(), s.smallestTask, s.startable)
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
					text += fmt.Sprintf(" %s %v uses %v reconciled %v expired %v orphans %v runs unreadable job %v schedulable %v starts that may arrive %v;", m.lease.Machine, m.kind(), m.used, m.isReconciled(), m.isExpired(), m.orphans, m.runsUnreadableJob, m.isSchedulable(), slices.Collect(m.exchange.UnansweredTasks()))
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

// recordShardSizes records how large the shards are.
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

// applyGrant makes a shard's grant known to a controller.
func applyGrant(n *Node, i int, g storage.Grant, stamp uint64) {
	raw, _ := json.Marshal(g)
	for _, change := range n.records.Apply([]protocol.Change{{Put: storage.GrantKey(i), Value: raw, Revision: stamp}}) {
		n.handleChange(change)
	}
}
