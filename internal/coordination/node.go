// Package coordination is the controller: its lease, leadership, the shards it
// holds and the loops that bring what is to what is wanted.
//
// One mutex guards all state. Loops and requests take it, decide, and let go
// of it before they talk to anyone; what came of it is noted under it again.
package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// Node is one controller.
type Node struct {
	set    *config.Settings
	op     config.Operator
	timing config.Timing
	state  *storage.Client
	cloud  Cloud
	peers  map[string]Peer
	direct Direct
	now    func() time.Time
	// opening is a session being opened; only the lease loop uses it.
	opening struct {
		hold uint64
		sent time.Time
	}

	mu       sync.Mutex
	kick     chan struct{}
	session  uint64
	validTil time.Time // this controller may act until then
	synced   time.Time // everything changed before then is in the copies below
	loaded   bool
	acted    bool // as last logged

	aliveNodes map[string]entry[storage.Node]
	shardRecs  map[int]entry[storage.Shard]
	grantRecs  map[int]entry[storage.Grant]
	jobs       map[string]*jobRec
	unread     map[string]bool // live jobs whose record can't be read
	term       entry[storage.Term]
	leaderRec  entry[storage.Node]
	catalog    []protocol.Breed
	sizes      map[string]placement.Vector
	teams      map[string]team

	shards map[int]*shard // those held by this controller
	others map[string]*Status
	lead   *leader
	ended  map[string]storage.End // ends that are certain
	endedQ []string
	refuse map[kind]time.Time
	gone   map[string]bool
	bad    map[string]bool // machines found faulty, for the leader to replace
}

type entry[T any] struct {
	v     T
	stamp uint64
}

type jobRec struct {
	rec   storage.Job
	stamp uint64
}

// Peer calls another controller.
type Peer interface {
	Call(timeout time.Duration, in, out any) error
}

// Cloud calls the cloud.
type Cloud interface {
	Catalog(ctx context.Context) (protocol.Catalog, error)
	Rent(ctx context.Context, r protocol.Rental) ([]string, error)
	Release(ctx context.Context, names []string) error
	List(ctx context.Context, since string) (protocol.MachineList, error)
}

// Direct sends commands straight to a worker.
type Direct func(ctx context.Context, address string, d protocol.Direct) error

// ErrNoCapacity says that the cloud has none of what was asked.
var ErrNoCapacity = errors.New("cloud: no capacity")

// New returns a controller that has not started.
func New(set *config.Settings, op config.Operator, state *storage.Client, cloud Cloud, peers map[string]Peer, direct Direct) *Node {
	n := &Node{set: set, op: op, timing: set.Timing(op), state: state, cloud: cloud, peers: peers, direct: direct,
		now: time.Now, kick: make(chan struct{}, 1),
		aliveNodes: map[string]entry[storage.Node]{}, shardRecs: map[int]entry[storage.Shard]{},
		grantRecs: map[int]entry[storage.Grant]{}, jobs: map[string]*jobRec{}, unread: map[string]bool{}, sizes: map[string]placement.Vector{},
		teams: map[string]team{}, shards: map[int]*shard{}, others: map[string]*Status{},
		ended: map[string]storage.End{}, refuse: map[kind]time.Time{}, gone: map[string]bool{}, bad: map[string]bool{}}
	for _, t := range set.Deployment.Teams {
		n.teams[t.Name] = team{limit: storage.Amount{Cores: t.CPUsMax, Cards: t.GPUsMax},
			guarantee: storage.Amount{Cores: t.CPUs, Cards: t.GPUs}}
	}
	return n
}

// Run runs the controller's loops until ctx ends.
func (n *Node) Run(ctx context.Context) {
	rep := &storage.Replica{Client: n.state, Apply: n.apply, Synced: n.onSync, Poll: n.op.HolderLease / 4}
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.leaseLoop, rep.Run, n.tickLoop, n.cloudLoop} {
		wg.Go(func() { loop(ctx) })
	}
	for name, p := range n.peers {
		wg.Go(func() { n.gossipLoop(ctx, name, p) })
	}
	wg.Wait()
}

// valid tells whether this controller may act now: its lease at the state
// service holds by its own clock, counted from when the renewal was sent, and
// it knows of every change up to a while ago.
func (n *Node) valid(now time.Time) bool {
	return n.session != 0 && now.Before(n.validTil) && n.loaded && now.Sub(n.synced) < n.timing.Act
}

// leaseLoop keeps the controller's lease.
func (n *Node) leaseLoop(ctx context.Context) {
	every := n.op.HolderLease / 5
	for ctx.Err() == nil {
		n.mu.Lock()
		session := n.session
		n.mu.Unlock()
		var err error
		if session == 0 {
			err = n.openSession(ctx)
		} else {
			sent := n.now()
			err = n.state.Renew(ctx, session)
			n.mu.Lock()
			if err == nil {
				n.validTil = sent.Add(n.timing.Act)
			} else if errors.Is(err, storage.ErrNotFound) {
				slog.Warn("lease has ended, starting a new session", "session", session)
				n.session = 0
				clear(n.shards)
				n.lead = nil
			}
			n.mu.Unlock()
		}
		wait := every
		if err != nil {
			slog.Debug("lease", "err", err)
			wait = 250 * time.Millisecond
		}
		sleep(ctx, wait)
	}
}

// openSession takes a lease and writes this controller's key under it. A write
// without an answer is repeated under the same lease: it may still be applied,
// and with another session's name it would look like the end of the new one.
func (n *Node) openSession(ctx context.Context) error {
	if n.opening.hold == 0 {
		sent := n.now()
		hold, err := n.state.Grant(ctx, n.timing.HolderLease)
		if err != nil {
			return err
		}
		n.opening.hold, n.opening.sent = hold, sent
	}
	o := n.opening
	me := storage.Node{Name: n.set.HostName, Session: o.hold}
	_, err := n.state.Multi(ctx, protocol.Txn{Writes: []protocol.Write{{Put: storage.AliveKey(me.Name), Data: me, Hold: o.hold}}})
	if errors.Is(err, storage.ErrNoLease) {
		n.opening.hold = 0
	}
	if err != nil {
		return err
	}
	n.opening.hold = 0
	n.mu.Lock()
	n.session, n.validTil = o.hold, o.sent.Add(n.timing.Act)
	n.mu.Unlock()
	slog.Info("session opened", "session", o.hold)
	return nil
}

func (n *Node) onSync(sent time.Time) {
	n.mu.Lock()
	n.synced, n.loaded = sent, true
	n.mu.Unlock()
	n.wake()
}

// wake runs the tick loop soon.
func (n *Node) wake() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// apply takes in one change of the state service's live records.
func (n *Node) apply(path string, data []byte, stamp uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var err error
	if name, ok := storage.CutAlive(path); ok {
		err = put(n.aliveNodes, name, data, stamp)
	} else if i, ok := storage.CutShard(path); ok {
		if err = put(n.shardRecs, i, data, stamp); err == nil {
			n.shardChanged(i)
		}
	} else if i, ok := storage.CutGrant(path); ok {
		if err = put(n.grantRecs, i, data, stamp); err == nil {
			n.grantChanged(i)
		}
	} else if id, ok := storage.CutJob(path); ok {
		if err = n.jobChanged(id, data, stamp); err != nil {
			n.unread[id] = true
		}
	} else if path == storage.LeaderKey {
		err = one(&n.leaderRec, data, stamp)
	} else if path == storage.TermKey {
		err = one(&n.term, data, stamp)
	} else if path == storage.CatalogKey && data != nil {
		var c protocol.Catalog
		if err = json.Unmarshal(data, &c); err == nil {
			n.setCatalog(c.Breeds)
		}
	}
	if err != nil {
		// Left alone: what cannot be read is never taken as absent.
		slog.Error("record can't be read", "key", path, "err", err)
	}
}

func put[K comparable, T any](to map[K]entry[T], k K, data []byte, stamp uint64) error {
	if data == nil {
		delete(to, k)
		return nil
	}
	e := entry[T]{stamp: stamp}
	if err := json.Unmarshal(data, &e.v); err != nil {
		return err
	}
	to[k] = e
	return nil
}

func one[T any](to *entry[T], data []byte, stamp uint64) error {
	if data == nil {
		*to = entry[T]{}
		return nil
	}
	e := entry[T]{stamp: stamp}
	if err := json.Unmarshal(data, &e.v); err != nil {
		return err
	}
	*to = e
	return nil
}

func (n *Node) setCatalog(b []protocol.Breed) {
	n.catalog = b
	for _, t := range b {
		n.sizes[t.Name] = sizeOf(t)
	}
}

func (n *Node) size(breed string) (placement.Vector, bool) {
	v, ok := n.sizes[breed]
	return v, ok
}

// me tells whether a record names this very session.
func (n *Node) me(r storage.Node) bool {
	return r.Name == n.set.HostName && r.Session == n.session && n.session != 0
}

// holdShards brings the shards held to what the records say.
func (n *Node) holdShards() {
	for i := range n.shardRecs {
		n.shardChanged(i)
	}
}

// shardChanged takes a shard up or lets go of it.
func (n *Node) shardChanged(i int) {
	rec, ok := n.shardRecs[i]
	held := n.shards[i]
	if !ok || !n.me(rec.v.Holder) {
		if held != nil {
			slog.Info("shard given up", "shard", i, "term", held.term)
			delete(n.shards, i)
		}
		return
	}
	if held != nil && held.stamp == rec.stamp {
		return
	}
	g, ok := n.grantRecs[i]
	if !ok || n.catalog == nil {
		return
	}
	s := newShard(i, rec.v, rec.stamp, n.now())
	s.unread = n.unread
	s.setGrant(g.v, n.size, n.now())
	for _, jr := range n.jobs {
		if jr.rec.Shard == i {
			s.addJob(n.newJob(jr))
		}
	}
	s.settled = false
	s.settle()
	n.shards[i] = s
	slog.Info("shard taken up", "shard", i, "term", s.term, "blocks", len(s.machines), "jobs", len(s.jobs))
}

func (n *Node) grantChanged(i int) {
	if s := n.shards[i]; s != nil {
		if g, ok := n.grantRecs[i]; ok {
			s.setGrant(g.v, n.size, n.now())
		}
	}
}

func (n *Node) jobChanged(id string, data []byte, stamp uint64) error {
	delete(n.unread, id)
	if data == nil {
		if jr := n.jobs[id]; jr != nil {
			if s := n.shards[jr.rec.Shard]; s != nil {
				s.endJob(id)
				go n.sendHalts(jr.rec.Shard)
			}
		}
		delete(n.jobs, id)
		return nil
	}
	jr := &jobRec{stamp: stamp}
	if err := json.Unmarshal(data, &jr.rec); err != nil {
		return err
	}
	if _, err := storage.ParseSet(jr.rec.Done, jr.rec.Spec.Tasks); err != nil {
		return err
	}
	n.jobs[id] = jr
	if s := n.shards[jr.rec.Shard]; s != nil {
		s.addJob(n.newJob(jr))
	}
	return nil
}

func (n *Node) newJob(jr *jobRec) *job {
	sp := jr.rec.Spec
	done, _ := storage.ParseSet(jr.rec.Done, sp.Tasks)
	j := &job{id: sp.ID, spec: sp, stamp: jr.stamp, shard: jr.rec.Shard, atMS: jr.rec.AtMS, done: done, saved: done.Len(),
		need: placement.Vector{sp.Cores, sp.Cards, sp.RAM}}
	// The time of day moves about; waiting is only measured from the record.
	j.at = n.now().Add(min(0, time.Duration(jr.rec.AtMS-n.now().UnixMilli())*time.Millisecond))
	if len(sp.Breeds) > 0 {
		j.breeds = map[string]bool{}
		for _, b := range sp.Breeds {
			j.breeds[b] = true
		}
	}
	return j
}

// tickLoop plans, writes and leads.
func (n *Node) tickLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.kick:
			sleep(ctx, 20*time.Millisecond) // let a burst gather
		case <-time.After(250 * time.Millisecond):
		}
		n.tick(ctx)
	}
}

func (n *Node) tick(ctx context.Context) {
	now := n.now()
	n.mu.Lock()
	acts := n.valid(now)
	if acts != n.acted {
		n.acted = acts
		if acts {
			slog.Info("acting", "shards", len(n.shards))
		} else {
			slog.Warn("not acting: no lease, or no word from the state service", "shards", len(n.shards))
		}
	}
	if !acts {
		n.mu.Unlock()
		return
	}
	n.holdShards()
	n.markWithin()
	p := n.planner(now)
	var halts []int
	for i, s := range n.shards {
		for id := range n.gone {
			if m := s.machines[id]; m != nil && !m.gone {
				slog.Info("machine is gone", "machine", id)
				s.lost(m)
				m.gone = true
			}
		}
		s.silent(now, n.timing.WorkerGone)
		s.slowness(now)
		s.plan(p, now)
		s.giveBack(now, n.timing.WorkerGone, n.idle)
		for _, m := range s.machines {
			if m.bad || m.slow {
				n.bad[m.block.Machine] = true
			}
			for _, r := range m.runs {
				if r.halt && r.sent && r.haltOut.IsZero() {
					halts = append(halts, i)
				}
			}
		}
	}
	clear(n.gone)
	n.mu.Unlock()
	for _, i := range halts[:min(len(halts), 1)] {
		n.sendHalts(i)
	}
	n.flush(ctx)
	n.writeGrants(ctx)
	n.leadTick(ctx)
}

func (n *Node) planner(now time.Time) *planner {
	usage := map[string]storage.Amount{}
	add := func(used map[string]storage.Amount) {
		for t, u := range used {
			x := usage[t]
			x.Cores += u.Cores
			x.Cards += u.Cards
			usage[t] = x
		}
	}
	for _, s := range n.shards {
		add(s.used)
	}
	for _, o := range n.others {
		for _, s := range o.Shards {
			add(s.Used)
		}
	}
	return &planner{params: placement.Params{A: n.op.A, B: n.op.B, C: n.op.C}, breeds: n.catalog, teams: n.teams,
		refused: func(k kind) bool { return now.Before(n.refuse[k]) }, usage: usage, aims: n.set.Deployment.Objectives,
		report: config.Seconds(n.set.Deployment.Workers.ReportS)}
}

// idle is how long an empty machine is kept: for as long as keeping it costs
// no more than booting another like it, at the lower of its two prices.
func (n *Node) idle(k kind) time.Duration {
	for _, b := range n.catalog {
		if b.Name != k.Breed {
			continue
		}
		keep := n.op.Idle * b.ReadyS
		if !k.Spot && b.Rate > 0 && b.LowRate > 0 && b.LowRate < b.Rate {
			keep *= b.LowRate / b.Rate
		}
		return config.Seconds(keep)
	}
	return time.Minute
}

// markWithin notes which jobs fit into their team's guarantee together with
// the team's earlier unfinished jobs, those of other shards included.
func (n *Node) markWithin() {
	byTeam := map[string][]*jobRec{}
	for _, jr := range n.jobs {
		byTeam[jr.rec.Spec.Team] = append(byTeam[jr.rec.Spec.Team], jr)
	}
	for name, list := range byTeam {
		g := n.teams[name].guarantee
		sortJobs(list)
		var sum storage.Amount
		for _, jr := range list {
			sp := &jr.rec.Spec
			sum.Cores += float64(sp.Tasks) * sp.Cores
			sum.Cards += float64(sp.Tasks) * sp.Cards
			within := (g.Cores > 0 || g.Cards > 0) && sum.Cores <= g.Cores+1e-9 && sum.Cards <= g.Cards+1e-9
			if s := n.shards[jr.rec.Shard]; s != nil {
				if j := s.jobs[sp.ID]; j != nil {
					j.within = within
				}
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
