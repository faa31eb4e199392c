package coordination

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/standin"
	"reedtrack/internal/storage"
)

// world is a deployment of stand-ins in simulated time, with a plain model of
// the rules: it keeps every task, machine and answer, and looks at each event
// with the whole picture.
type world struct {
	set   *config.Settings
	store *standin.Store
	rnd   *rand.Rand
	mu    sync.Mutex // guards all below

	nodes   []*simNode
	workers map[string]*worker
	ready   map[string]time.Time // when rented machines come up
	asks    map[string][]string
	next    int
	noCloud bool
	cutZone string // its workers and the controllers outside don't reach each other
	most    int    // machines that the cloud has
	fill    int    // machines a shard
	tasks   int    // of a job, at most
	chained bool   // some jobs wait for others
	upgrade bool   // the controllers begin as the version before
	fell    bool   // the state service's limits have fallen
	waited  int    // jobs that named others
	tweak   func(*Node)
	shape   func(k int, j *protocol.Job, u *user) // changes what a day's users want
	script  []fault                               // what goes wrong; nil: anything, at random
	begun   time.Time                             // when the troubles began
	shards  int                                   // 0: as many as controllers
	trials
	takenOut
	rented func() // called once, between the first rental and its answer, which is lost

	specs    map[string]*protocol.Job
	told     map[string]string // the newest answer that must not be taken back
	accepted map[string]bool
	gone     map[string]time.Time // when a user was told of a cancellation
	cancel   map[string]bool
	first    map[string]time.Time // when a job was accepted
	done     map[string]bool
	on       map[string]*worker // where a started task is
	use      map[string]float64
	starts   int
	directs  int // messages sent straight to workers and carried out
	broken   []string
	hist     *history
	notes    map[string][]time.Time // what happened, to prove that a meeting took place
	worst    time.Duration          // the longest that a task stayed after its job was cancelled
	firstOn  map[string]time.Time   // when a job's first task ran
	firstEnd map[string]time.Time   // and when the first ended
	lateOn   int                    // starts after a confirmed cancellation
	asked    map[string]time.Time   // when a question about a job was last answered
	reign    uint64                 // the leader's, as last seen
	largest  [8]int                 // most machines that each shard has had
	wg       sync.WaitGroup
	ctx      context.Context
}

type simNode struct {
	name string
	node *Node
	wire *wire
	stop context.CancelFunc
	old  bool // plays the version before
	cutW bool // workers do not reach it
	cutP bool // the other controllers and it don't reach each other
	cutU bool // users do not reach it
	in   bool // inside the zone that is cut off
	// still: the process stands still until then: nothing that it made up leaves,
	// and nothing arrives.
	still time.Time
	// starts: being started; of two that find it down one starts it, as two
	// processes of one name never run at once.
	starts bool
}

var simBreeds = []protocol.Breed{
	{Name: "small", Cores: 4, RAM: 16, FetchGB: 1, Rate: 0.3, LowRate: 0.1, ReadyS: 8, Zones: []string{"a", "b"}},
	{Name: "big", Cores: 16, RAM: 32, FetchGB: 1, Rate: 1.2, LowRate: 0.4, ReadyS: 15, Zones: []string{"a"}},
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
	return &world{set: set, store: standin.NewStore(), most: 10, fill: 2, tasks: 9, trials: trials{bad: 0.02}, rnd: rand.New(rand.NewPCG(seed, 1)), tweak: tweak,
		workers: map[string]*worker{}, ready: map[string]time.Time{}, asks: map[string][]string{},
		specs: map[string]*protocol.Job{}, told: map[string]string{}, accepted: map[string]bool{},
		gone: map[string]time.Time{}, first: map[string]time.Time{}, cancel: map[string]bool{}, done: map[string]bool{},
		on: map[string]*worker{}, use: map[string]float64{}, hist: newHistory(), notes: map[string][]time.Time{}, asked: map[string]time.Time{},
		firstOn: map[string]time.Time{}, firstEnd: map[string]time.Time{}}
}

// note remembers that something happened.
func (w *world) note(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noted(what)
}

// noted is note where the world's lock is held.
func (w *world) noted(what string) { w.notes[what] = append(w.notes[what], time.Now()) }

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *world) chance(p float64) bool { return float64(w.intn(1e6)) < p*1e6 }

func (w *world) breakf(format string, a ...any) {
	if len(w.broken) < 10 {
		w.broken = append(w.broken, fmt.Sprintf(format, a...))
	}
}

func (w *world) goes(f func()) {
	w.wg.Add(1)
	go func() { defer w.wg.Done(); f() }()
}

// Controllers.

type simPeer struct {
	w    *world
	to   int
	from string
}

func (p simPeer) Call(timeout time.Duration, in, out any) error {
	time.Sleep(time.Duration(1+p.w.intn(5)) * time.Millisecond)
	p.w.mu.Lock()
	to := p.w.nodes[p.to]
	n, cut := to.node, to.cutP || to.in
	for _, o := range p.w.nodes {
		cut = cut || o.name == p.from && (o.cutP || o.in || time.Now().Before(o.still))
	}
	still := time.Until(to.still)
	p.w.mu.Unlock()
	if still > 0 {
		time.Sleep(min(still, timeout))
		cut = cut || still > timeout
	}
	if n == nil || cut || p.w.chance(0.02) {
		return errors.New("no link")
	}
	*out.(*Reply) = n.Hear(*in.(*Status))
	return nil
}

func (w *world) start(i int) {
	set := *w.set
	set.HostName = w.nodes[i].name
	op := set.Defaults()
	op.Fill = w.fill // so that all shards get jobs
	if w.shards > 0 {
		op.Shards = w.shards
	}
	peers := map[string]Peer{}
	for k, o := range w.nodes {
		if k != i {
			peers[o.name] = simPeer{w, k, set.HostName}
		}
	}
	w.mu.Lock()
	old := w.nodes[i].old
	w.mu.Unlock()
	wr := &wire{s: w.store, rnd: rand.New(rand.NewPCG(uint64(w.intn(1e6)), 7)), bad: w.bad, old: old, note: w.note, slow: w.slowNow, busy: func() time.Duration { return w.holdsUp(i) }}
	wr.late, wr.lost, wr.bare = w.lateWrites, w.lostAnswers, w.takenOut.conditions
	st := storage.NewClientOver(wr, set.Deployment.State.RPS, set.Deployment.State.WriteRPS, 3)
	n := New(&set, op, st, simCloud{w}, peers, w.direct(i))
	n.cpu = func() time.Duration { return 0 }
	if w.tweak != nil {
		w.tweak(n)
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.nodes[i].node, w.nodes[i].wire, w.nodes[i].stop, w.nodes[i].starts = n, wr, stop, false
	w.mu.Unlock()
	w.goes(func() { n.Run(ctx) })
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

// The cloud.

type simCloud struct{ w *world }

func (c simCloud) call() error {
	time.Sleep(time.Duration(20+c.w.intn(80)) * time.Millisecond)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.w.noCloud || c.w.rnd.IntN(50) == 0 {
		return errors.New("trouble")
	}
	return nil
}

func (c simCloud) Catalog(context.Context) (protocol.Catalog, error) {
	return protocol.Catalog{Breeds: simBreeds}, c.call()
}

func (c simCloud) Rent(_ context.Context, r protocol.Rental) ([]string, error) {
	if err := c.call(); err != nil {
		return nil, err
	}
	w := c.w
	w.mu.Lock()
	if got, ok := w.asks[r.Ask]; ok {
		w.mu.Unlock()
		return got, nil
	}
	var names []string
	for range r.HowMany {
		if len(w.workers) >= w.most {
			break
		}
		w.next++
		m := &worker{w: w, id: fmt.Sprintf("host-%06d", w.next), r: r, born: time.Now(), tasks: map[string]*wtask{}}
		for _, b := range simBreeds {
			if b.Name == r.Breed {
				m.breed = b
			}
		}
		w.workers[m.id] = m
		names = append(names, m.id)
		boot := time.Duration(float64(time.Second) * m.breed.ReadyS * (0.6 + w.rnd.Float64()))
		if w.quick {
			boot = time.Duration(w.rnd.IntN(2000)) * time.Millisecond
		}
		if w.rnd.IntN(12) > 0 { // a few never come up
			m.boots = time.Now().Add(boot)
			w.wg.Add(1)
			go func() { defer w.wg.Done(); m.run(boot) }()
		}
	}
	if len(names) == 0 {
		w.mu.Unlock()
		return nil, ErrNoCapacity
	}
	w.asks[r.Ask] = names
	lost := w.rnd.IntN(10) == 0
	f := w.rented
	w.rented = nil
	w.mu.Unlock()
	if f != nil {
		f()
		lost = true
	}
	if lost {
		return nil, errors.New("no answer")
	}
	return names, nil
}

func (c simCloud) Release(_ context.Context, names []string) error {
	if err := c.call(); err != nil {
		return err
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, id := range names {
		if m := c.w.workers[id]; m != nil {
			m.die()
			delete(c.w.workers, id)
		}
	}
	return nil
}

func (c simCloud) List(_ context.Context, since string) (protocol.MachineList, error) {
	if err := c.call(); err != nil {
		return protocol.MachineList{}, err
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	var l protocol.MachineList
	for id, m := range c.w.workers {
		if id <= since || time.Since(m.born) < 2*time.Second {
			continue
		}
		st := "starting"
		if m.dead {
			st = "failed"
		} else if !m.boots.IsZero() && time.Now().After(m.boots) {
			st = "running"
		}
		l.Machines = append(l.Machines, protocol.ListedMachine{ID: id, Breed: m.r.Breed, Zone: m.r.Zone, Spot: m.r.Spot,
			Status: st, AgeS: time.Since(m.born).Seconds()})
	}
	slices.SortFunc(l.Machines, func(a, b protocol.ListedMachine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return l, nil
}

// Workers.

type worker struct {
	w                 *world
	id                string
	r                 protocol.Rental
	breed             protocol.Breed
	born, boots       time.Time
	dead              bool
	session, sequence uint64
	token             uint64
	warn              *float64
	sent              time.Time // when the last answered report was sent
	tasks             map[string]*wtask
	sick              bool
	deaf              bool // answers and direct commands to it are lost
	mute              bool // it reaches no controller
	hung              time.Time
	changed           bool
	node              int
	epoch             uint64 // changes with the session: late answers are dropped
}

type wtask struct {
	name    string
	job     *protocol.Job
	attempt uint64
	status  string
	cause   string
	until   time.Time
	active  bool // counts as on the machine
}

// die ends a worker; the world's lock is held.
func (m *worker) die() {
	m.dead = true
	for _, t := range m.tasks {
		if t.active && (t.job.OneZone || t.job.Yard != "") {
			m.w.noted("a job of one zone loses a machine")
		}
		m.off(t)
	}
	m.tasks = map[string]*wtask{}
}

func (m *worker) off(t *wtask) {
	if t.active {
		t.active = false
		if at, ok := m.w.gone[t.job.ID]; ok {
			m.w.worst = max(m.w.worst, time.Since(at))
			if time.Now().Before(m.hung) {
				m.w.noted("cancelled task ended on a machine that hung")
			}
		}
		delete(m.w.on, t.name)
		m.w.use[t.job.Team] -= t.job.Cores
	}
}

// up starts a task's run, at which the rules are checked.
func (m *worker) up(t *wtask) {
	w, j := m.w, t.job
	w.starts++
	if o := w.on[t.name]; o != nil {
		w.breakf("ran_twice: %s on %s and %s", t.name, o.id, m.id)
	}
	if at, ok := w.gone[j.ID]; ok && time.Since(at).Seconds() > w.set.Deployment.Workers.CancelS {
		w.breakf("ran_cancelled: %s starts", t.name)
	} else if ok {
		w.lateOn++ // its command was under way
	}
	for _, id := range j.Waits {
		if !w.allDone(id) {
			w.breakf("too_early: %s before %s", t.name, id)
		}
	}
	if j.Yard != "" && j.Yard != m.r.Zone || !j.Spot && m.r.Spot || len(j.Breeds) > 0 && !slices.Contains(j.Breeds, m.r.Breed) {
		w.breakf("wrong_place: %s on %s", t.name, m.id)
	}
	same := 1
	for name, o := range w.on {
		if id, _, _ := protocol.SplitTask(name); id != j.ID {
			continue
		}
		if o.r.Zone == m.r.Zone {
			same++
		} else if j.OneZone {
			w.breakf("wrong_place: %s not in one zone", t.name)
		}
	}
	if j.Spread && same > (j.Tasks+1)/2 {
		w.breakf("wrong_place: %s not spread", t.name)
	}
	w.on[t.name] = m
	t.active = true
	w.use[j.Team] += j.Cores
	if w.firstOn[j.ID].IsZero() {
		w.firstOn[j.ID] = time.Now()
	}
	for _, team := range w.set.Deployment.Teams {
		if team.Name == j.Team && w.use[j.Team] > team.CPUsMax+1e-6 {
			w.breakf("quota: %s uses %g of %g", j.Team, w.use[j.Team], team.CPUsMax)
		}
		if team.Name == j.Team && w.use[j.Team]+j.Cores > team.CPUsMax {
			w.noted(j.Team + " is at its limit")
		}
	}
}

func (m *worker) run(boot time.Duration) {
	time.Sleep(boot)
	w := m.w
	w.mu.Lock()
	m.session, m.sent, m.node = 1, time.Now(), w.rnd.IntN(len(w.nodes))
	w.mu.Unlock()
	next := time.Now()
	busy := false
	for w.ctx.Err() == nil {
		w.mu.Lock()
		now := time.Now()
		if m.dead {
			w.mu.Unlock()
			return
		}
		if now.Before(m.hung) {
			m.lease(now) // it may resume only within its lease
			w.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		m.step(now)
		send := !busy && (now.After(next) || m.changed && now.After(next.Add(-2500*time.Millisecond)))
		var rep *protocol.Report
		if send {
			m.changed = false
			next = now.Add(time.Duration(2250+w.rnd.IntN(1500)) * time.Millisecond)
			rep = m.report()
			busy = true
		}
		node, epoch := m.node, m.epoch
		w.mu.Unlock()
		if rep != nil {
			w.goes(func() {
				m.send(rep, node, epoch, now)
				w.mu.Lock()
				busy = false
				w.mu.Unlock()
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// lease ends the session when no report has been answered for too long.
func (m *worker) lease(now time.Time) {
	if now.Sub(m.sent).Seconds() > m.w.set.Deployment.Workers.LeaseS {
		for _, t := range m.tasks {
			m.off(t)
		}
		m.tasks = map[string]*wtask{}
		m.session++
		m.epoch++
		m.sent, m.changed = now, true
	}
}

// step moves tasks on and looks at the lease.
func (m *worker) step(now time.Time) {
	m.lease(now)
	for _, t := range m.tasks {
		if t.status == protocol.Ended || now.Before(t.until) {
			if at, ok := m.w.gone[t.job.ID]; ok && t.active && now.Sub(at).Seconds() > m.w.set.Deployment.Workers.CancelS {
				m.w.breakf("ran_cancelled: %s is on %s", t.name, m.id)
			}
			continue
		}
		m.changed = true
		switch t.status {
		case protocol.Fetching:
			m.up(t)
			t.status = protocol.Running
			t.until = now.Add(config.Seconds(t.job.GuessS * (0.5 + m.w.rnd.Float64())))
			if m.sick {
				t.until = now
			}
			if t.job.Standing() {
				t.until = now.Add(time.Hour)
			}
			if m.w.done[t.name] {
				t.until = now
			}
			if time.Since(m.boots) < 3*time.Second && m.w.quick {
				m.w.noted("work on a machine that has just come up")
			}
		case protocol.Running:
			m.off(t)
			t.status, t.cause = protocol.Ended, protocol.CauseDone
			if m.sick {
				t.cause = protocol.CauseError
			} else {
				m.w.done[t.name] = true
				m.w.taskDone(t.job)
			}
		case protocol.Saving:
			m.off(t)
			t.status, t.cause = protocol.Ended, protocol.CauseHalted
		}
	}
}

func (m *worker) report() *protocol.Report {
	m.sequence++
	r := &protocol.Report{Machine: m.id, Address: m.id, Breed: m.r.Breed, Zone: m.r.Zone, Spot: m.r.Spot,
		Session: m.session, Sequence: m.sequence, Token: m.token, WarningS: m.warn}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t.name, Attempt: t.attempt, Status: t.status, Cause: t.cause})
	}
	return r
}

func (m *worker) send(r *protocol.Report, to int, epoch uint64, sent time.Time) {
	w := m.w
	time.Sleep(time.Duration(1+w.intn(30))*time.Millisecond + w.slowLink())
	w.mu.Lock()
	n, cut, still := w.nodes[to].node, !w.reaches(m.r.Zone, w.nodes[to]) || m.mute, time.Until(w.nodes[to].still)
	held := w.rnd.IntN(60) == 0
	late := time.Duration(4+w.rnd.IntN(40)) * time.Second
	if still > 4*time.Second { // it waits in the socket of a process that stands still
		held, late = true, still
	}
	if !cut {
		w.copied(r, to)
	}
	w.mu.Unlock()
	status, orders, answerTo := 0, protocol.Orders{}, ""
	if held && !cut { // delivered, but so late that nobody waits for the answer
		w.goes(func() {
			time.Sleep(late)
			if n := w.node(to); n != nil && w.ctx.Err() == nil {
				n.Checkin(r)
			}
		})
		time.Sleep(4 * time.Second)
	} else if n != nil && !cut {
		time.Sleep(max(still, 0))
		status, orders, answerTo = n.Checkin(r)
		time.Sleep(time.Duration(1+w.intn(30))*time.Millisecond + w.slowLink())
		if w.chance(0.02) { // the answer is lost
			time.Sleep(4 * time.Second)
			status = 0
		}
	}
	w.mu.Lock()
	if stands := time.Until(w.nodes[to].still); stands > 0 && status != 0 {
		w.mu.Unlock() // the answer was made up and has not left
		time.Sleep(min(stands, 4*time.Second))
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if m.dead {
		return
	}
	if m.deaf && status == 200 {
		w.noted("report answered that a deaf machine sent")
	}
	if m.deaf || time.Since(sent) > 4*time.Second {
		status = 0
	}
	switch {
	case status == 200:
		if m.epoch != epoch || orders.Token < m.token {
			return
		}
		if orders.Token > m.token {
			m.token, m.changed = orders.Token, true
		}
		m.sent = sent
		m.obey(orders.Orders)
	case status == 421 && answerTo != "" && answerTo != w.nodes[to].name:
		for i, o := range w.nodes {
			if o.name == answerTo {
				m.node = i
			}
		}
		m.changed = true
	default:
		m.node = (to + 1) % len(w.nodes)
		m.changed = true
	}
}

// obey carries orders out; the world's lock is held.
func (m *worker) obey(orders []protocol.Order) {
	for _, o := range orders {
		t := m.tasks[o.Task]
		switch o.Verb {
		case protocol.VerbStart:
			m.start(o, t)
		case protocol.VerbHalt:
			if t == nil || t.attempt != o.Attempt || t.status == protocol.Ended {
				continue
			}
			m.changed = true
			mercy := 0.0
			if o.MercyS != nil {
				mercy = *o.MercyS
			}
			if t.status == protocol.Running && t.job.SaveS > 0 && mercy >= t.job.SaveTake {
				t.status, t.until = protocol.Saving, time.Now().Add(config.Seconds(t.job.SaveTake))
			} else if t.status != protocol.Saving || mercy == 0 {
				m.off(t)
				t.status, t.cause = protocol.Ended, protocol.CauseHalted
			}
		case protocol.VerbClear:
			if t != nil && t.attempt == o.Attempt && t.status == protocol.Ended {
				delete(m.tasks, o.Task)
			}
		}
	}
}

func (m *worker) start(o protocol.Order, t *wtask) {
	m.changed = true
	if t != nil && t.attempt == o.Attempt {
		return
	}
	id, _, _ := protocol.SplitTask(o.Task)
	j := m.w.specs[id]
	cause := ""
	free := m.breed.Cores
	for _, x := range m.tasks {
		if x.status != protocol.Ended {
			free -= x.job.Cores
		}
	}
	switch {
	case t != nil && t.status != protocol.Ended:
		return // in use
	case j == nil:
		return
	case free < j.Cores-1e-9:
		cause = "full"
	}
	n := &wtask{name: o.Task, job: j, attempt: o.Attempt, status: protocol.Fetching, until: time.Now().Add(config.Seconds(j.ImageGB))}
	if cause != "" {
		n.status, n.cause = protocol.Ended, cause
	}
	m.tasks[o.Task] = n
}

// direct delivers commands that a controller sends straight to a worker: some
// never leave, some arrive up to a minute late, long after they were given up,
// and some answers are lost.
func (w *world) direct(from int) Direct {
	return func(ctx context.Context, address string, d protocol.Direct) DirectAnswer {
		w.mu.Lock()
		cut, fate := w.workers[address] != nil && !w.reaches(w.workers[address].r.Zone, w.nodes[from]), w.rnd.IntN(100)
		still, slow := time.Until(w.nodes[from].still), time.Duration(0)
		if w.slowDirect > 0 {
			slow = time.Duration(w.rnd.Int64N(int64(w.slowDirect)))
		}
		delay := time.Duration(1+w.rnd.IntN(30)) * time.Millisecond
		late := time.Duration(w.rnd.IntN(60)) * time.Second
		w.mu.Unlock()
		// The process may stand still between its look at the clock and the sending.
		time.Sleep(delay + max(still, 0))
		if fate < 4 {
			return DirectAnswer{Outcome: Unsent}
		}
		answer := make(chan DirectAnswer, 1)
		w.goes(func() {
			time.Sleep(slow)
			if fate < 14 || cut {
				time.Sleep(late)
			}
			w.mu.Lock()
			m := w.workers[address]
			for m != nil && time.Now().Before(m.hung) && w.ctx.Err() == nil {
				// It stays in the socket until the machine goes on.
				w.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				w.mu.Lock()
			}
			defer w.mu.Unlock()
			if m == nil || m.dead || m.session == 0 || m.deaf || w.ctx.Err() != nil {
				return
			}
			m.lease(time.Now())
			a := DirectAnswer{Outcome: Denied}
			if d.Token >= m.token && d.Session == m.session {
				a.Outcome = Done
				m.token = d.Token
				w.directs++
				if m.mute {
					w.noted("direct command to a mute machine")
				}
				if slow > 3*time.Second && len(m.tasks) > 0 {
					w.noted("direct command held for seconds")
				}
				m.obey(d.Orders)
			}
			a.Report = m.report()
			if fate < 96 {
				answer <- a
			}
		})
		select {
		case a := <-answer:
			time.Sleep(delay)
			return a
		case <-time.After(4 * time.Second):
			if w.takenOut.binding {
				return DirectAnswer{Outcome: Unsent}
			}
			return DirectAnswer{}
		}
	}
}

// chain makes a job wait for some that were accepted.
func (w *world) chain(j *protocol.Job) {
	var can []string
	for id := range w.accepted {
		if !w.specs[id].Standing() {
			can = append(can, id)
		}
	}
	slices.Sort(can)
	for range min(len(can), 1+w.rnd.IntN(3)) {
		if id := can[max(0, len(can)-1-w.rnd.IntN(6))]; !slices.Contains(j.Waits, id) {
			j.Waits = append(j.Waits, id)
		}
	}
	w.waited++
}

// allDone tells whether all tasks of a job are done.
func (w *world) allDone(id string) bool {
	for t := range w.specs[id].Tasks {
		if !w.done[protocol.TaskName(id, t)] {
			return false
		}
	}
	return true
}

// cutOff is when a user was first told that a job before this one is
// cancelled, and not before this one was accepted.
func (w *world) cutOff(id string) time.Time {
	var first time.Time
	for _, dep := range w.specs[id].Waits {
		for _, at := range []time.Time{w.gone[dep], w.cutOff(dep)} {
			if !at.IsZero() && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	if at := w.first[id]; !first.IsZero() && first.Before(at) {
		return at
	}
	return first
}

// cancelled tells whether a user has asked to cancel a job or one before it.
func (w *world) cancelled(id string) bool {
	return w.cancel[id] || slices.ContainsFunc(w.specs[id].Waits, w.cancelled)
}

// roll replaces the controllers by the new version, one after the other, and
// then lowers the limits of the state service as soon as records are divided.
func (w *world) roll() {
	for i := range w.nodes {
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		w.nodes[i].old = false
		w.mu.Unlock()
		w.kill(i)
		w.goes(func() { time.Sleep(3 * time.Second); w.startIfDown(i) })
	}
	for w.ctx.Err() == nil {
		for _, k := range w.store.Keys() {
			if _, _, ok := storage.CutPiece(k); ok {
				w.mu.Lock()
				w.fell = true
				w.mu.Unlock()
				n := w.set.Deployment.State.Next
				w.store.Limit(n.ValueBytes(), n.TxnOps, int(n.WriteRPS))
				// What was on its way, and what a controller writes that has
				// not seen the switch yet, may be over the limits: it is refused
				// and does no harm. Later nothing may be.
				time.Sleep(30 * time.Second)
				w.store.Over()
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

// play runs a day of troubles and then a calm, after which every job must be
// over. It is called in a bubble of simulated time.
func (w *world) play(jobs int, rough, calm time.Duration) {
	stop := w.open()
	for i := range 3 {
		w.nodes = append(w.nodes, &simNode{name: fmt.Sprintf("n%d", i)})
	}
	for i := range w.nodes {
		w.nodes[i].old = w.upgrade
		w.start(i)
	}
	if w.upgrade {
		w.goes(w.roll)
	}
	teams, levels := []string{"red", "blue"}, []string{"low", "normal", "high", "prod"}
	for k := range jobs {
		j := &protocol.Job{ID: fmt.Sprintf("wk-%06d", k), Class: "x", Team: teams[w.intn(2)], Shape: "array",
			Urgency: levels[w.intn(4)], Tasks: 1 + w.intn(w.tasks), Cores: float64(1 + w.intn(3)), RAM: 2, Image: fmt.Sprint("i", w.intn(3)),
			ImageGB: float64(w.intn(4)), GuessS: float64(4 + w.intn(25)), Spot: w.intn(4) > 0}
		switch w.intn(6) {
		case 0:
			j.OneZone = true
		case 1:
			j.Spread = true
		case 2:
			j.Breeds = []string{"small"}
		case 3:
			j.Yard = "a"
		}
		if w.intn(3) == 0 {
			j.SaveS, j.SaveTake = 5, 2
		}
		u := &user{w: w, j: j, quit: w.intn(4) == 0}
		if k%8 == 7 {
			j.Shape, j.Tasks, u.quit = "standing", 1+w.intn(3), true
		}
		u.wait = time.Duration(w.intn(int(rough.Seconds()))) * time.Second
		if w.shape != nil {
			w.shape(k, j, u)
		}
		w.goes(u.run)
	}
	w.begun = time.Now()
	w.goes(w.watch)
	end := w.begun.Add(rough)
	if w.script != nil {
		w.perform(w.script)
		time.Sleep(time.Until(end))
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(3+w.intn(12)) * time.Second)
		w.measure()
		w.strike(w.trouble())
	}
	w.recover()
	time.Sleep(calm)
	why := w.whyOpen()
	w.mu.Lock()
	for _, why := range w.store.Over() {
		w.breakf("over a limit of the state service: %s", why)
	}
	for id := range w.accepted {
		if w.told[id] == "" {
			w.breakf("never over: %s: %s", id, why[id])
		}
		if ago := time.Since(w.asked[id]); ago > 75*time.Second {
			w.breakf("forgotten: no answer about %s for %v", id, ago)
		}
	}
	w.mu.Unlock()
	stop()
}

// whyOpen tells, of each job that is not over, how it stands with its holder, and of
// all shards what they have and want of its team's limit.
func (w *world) whyOpen() map[string]string {
	why, shares := map[string]string{}, ""
	for i := range w.nodes {
		n := w.node(i)
		if n == nil {
			continue
		}
		n.mu.Lock()
		shares += fmt.Sprintf(" %s valid %v leads %v:", n.set.HostName, n.valid(n.now()), n.lead != nil)
		for k, s := range n.shards {
			shares += fmt.Sprintf(" shard %d settled %v shares %v record %v uses %v wants %v unknown %v;", k, s.settled, s.shares, n.grantRecs[k].v.Shares, s.used, s.wanted, s.unknown())
			for id, j := range s.jobs {
				text := fmt.Sprintf("shard %d, %s %g cores, %d of %d done, %d waiting, unsure %v held %v leaving %v to %d, errors on %v till %v, %d coming, asks for %v:", k, j.spec.Team, j.spec.Cores,
					j.done.Len(), j.spec.Tasks, j.waiting(), j.unsure, j.held, j.leaving, j.movedTo, j.errOn, j.notTill.Format(time.TimeOnly), s.awaited(), s.rent)
				for t, r := range j.runs {
					text += fmt.Sprintf(" %d on %s %s start %+v halt %v,", t, r.m.block.Machine, r.status, r.start, r.halt)
				}
				for _, m := range s.sorted() {
					text += fmt.Sprintf(" %s %v uses %v settled %v expired %v stray %v odd %v usable %v;", m.block.Machine, m.kind(), m.used, m.settled, m.expired, m.stray, m.odd, m.usable())
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

// measure notes how large the shards are.
func (w *world) measure() {
	if n := w.node(0); n != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		for i, g := range n.grantRecs {
			w.largest[i] = max(w.largest[i], len(g.v.Blocks))
		}
	}
}

func (w *world) startIfDown(i int) {
	w.mu.Lock()
	n := w.nodes[i]
	down := n.node == nil && !n.starts && w.ctx.Err() == nil
	n.starts = n.starts || down
	w.mu.Unlock()
	if down {
		w.start(i)
	}
}

// granted makes a shard's grant known to a controller.
func granted(n *Node, i int, g storage.Grant, stamp uint64) {
	n.heads[i] = entry[storage.Grant]{g, stamp}
	n.grantChanged(i)
}
