package coordination

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// cloudErrors bounds the log in an outage of the cloud.
var cloudErrors = rate.Sometimes{First: 5, Interval: 10 * time.Second}

// leader is what the leading controller knows beyond the records. A new one
// starts empty and rebuilds it from reports, statuses and the cloud's list.
type leader struct {
	stamp   uint64 // of the leader's key; names its rental requests
	since   time.Time
	asks    int
	known   map[string]*rented
	coming  []*expected
	vers    map[int]uint64
	refused map[kind]time.Time
	bad     map[string]bool
	deleted map[string]bool
	listed  time.Time // when the last whole list was asked for
	listing bool
	caught  time.Time // when the catalog was last read
}

// rented is a machine that the cloud or its worker told of.
type rented struct {
	id       string
	kind     kind
	status   string
	asked    time.Time // about when it was rented
	first    time.Time // when a list first showed it
	reported time.Time
	warned   bool
	active   bool // its report lists tasks that have not ended
	freed    time.Time
	granted  bool
	missing  bool
	address  string
}

// expected is a machine on its way to a shard.
type expected struct {
	kind   kind
	shard  int
	id     string // empty until the cloud has answered
	ask    string
	since  time.Time
	batch  int
	inCall bool
}

func newLeader(stamp uint64, now time.Time) *leader {
	return &leader{stamp: stamp, since: now, known: map[string]*rented{}, vers: map[int]uint64{},
		refused: map[kind]time.Time{}, bad: map[string]bool{}, deleted: map[string]bool{}}
}

// rebuilt tells whether a new leader has heard enough to decide.
func (l *leader) rebuilt(now time.Time) bool {
	return now.Sub(l.since) > 3*gossipEvery && l.listed.After(l.since)
}

// reported notes a report of a machine that no shard has.
func (l *leader) reported(r *protocol.Report, now time.Time) {
	if l.deleted[r.Machine] {
		return
	}
	k := l.known[r.Machine]
	if k == nil {
		k = &rented{id: r.Machine, kind: kind{r.Breed, r.Zone, r.Spot}, asked: now}
		l.known[r.Machine] = k
	}
	k.reported, k.warned, k.address = now, r.WarningS != nil, r.Address
	k.active = false
	for _, t := range r.Tasks {
		k.active = k.active || t.Status != protocol.Ended
	}
}

// hear takes a holder's wishes.
func (l *leader) hear(n *Node, st *Status, now time.Time) {
	for _, id := range st.Bad {
		l.bad[id] = true
	}
	if !l.rebuilt(now) {
		return
	}
	for _, ss := range st.Shards {
		rec := n.shardRecs[ss.Index]
		if rec.v.Term != ss.Term || ss.Ver != l.ver(ss.Index) {
			continue // worked out before the last change
		}
		for _, w := range ss.Rent {
			l.order(ss.Index, w, now)
		}
	}
}

// order queues a rental in requests of at most what the cloud takes.
func (l *leader) order(shard int, w rentWant, now time.Time) {
	if w.Count <= 0 || now.Before(l.refused[w.Kind]) {
		return
	}
	slog.Info("renting", "shard", shard, "type", w.Kind.Breed, "zone", w.Kind.Zone, "spot", w.Kind.Spot, "count", w.Count)
	for w.Count > 0 {
		c := min(w.Count, protocol.MaxRental)
		w.Count -= c
		l.asks++
		// The leader's key has a stamp of its own in every reign, so no
		// request name is ever used twice.
		ask := fmt.Sprintf("r-%d-%d", l.stamp, l.asks)
		for range c {
			l.coming = append(l.coming, &expected{kind: w.Kind, shard: shard, ask: ask, since: now, batch: c})
		}
	}
	l.vers[shard]++
}

// ver counts the changes of what is on its way to a shard; it starts from the
// reign, so that versions of two leaders never match.
func (l *leader) ver(shard int) uint64 { return l.stamp<<16 + l.vers[shard] }

// drop removes expected machines.
func (l *leader) drop(which func(e *expected) bool) {
	l.coming = slices.DeleteFunc(l.coming, func(e *expected) bool {
		if which(e) {
			l.vers[e.shard]++
			return true
		}
		return false
	})
}

// answer tells a holder what it needs to know.
func (l *leader) answer(n *Node, st *Status, r *Reply, now time.Time) {
	r.Lead = true
	for _, ss := range st.Shards {
		sr := ShardReply{Index: ss.Index, Ver: l.ver(ss.Index)}
		for _, e := range l.coming {
			if e.shard == ss.Index {
				sr.Coming = append(sr.Coming, e.kind)
			}
		}
		r.Shards = append(r.Shards, sr)
	}
	for k, t := range l.refused {
		if now.Before(t) {
			r.Refused = append(r.Refused, k)
		}
	}
	for id := range l.granted(n) {
		if k := l.known[id]; k != nil && (k.status == "failed" || k.missing) {
			r.Gone = append(r.Gone, id)
		}
	}
}

func (l *leader) granted(n *Node) map[string]int {
	m := map[string]int{}
	for i, g := range n.grantRecs {
		for _, b := range g.v.Blocks {
			m[b.Machine] = i
		}
	}
	return m
}

// leadTick takes part in leadership and, as the leader, grants.
func (n *Node) leadTick(ctx context.Context) {
	n.mu.Lock()
	now := n.now()
	if !n.valid(now) {
		n.mu.Unlock()
		return
	}
	if !n.me(n.leaderRec.v) {
		n.lead = nil
		free := n.leaderRec.stamp == 0 || n.leaderRec.v.Name == n.set.HostName
		when := []protocol.Cond{{Path: storage.LeaderKey, Stamp: n.leaderRec.stamp}}
		me := storage.Node{Name: n.set.HostName, Session: n.session}
		n.mu.Unlock()
		if free {
			_, err := n.state.Multi(ctx, protocol.Txn{When: when,
				Writes: []protocol.Write{{Put: storage.LeaderKey, Data: me, Hold: me.Session}}})
			slog.Debug("standing for leader", "err", err)
		}
		return
	}
	if n.lead == nil || n.lead.stamp != n.leaderRec.stamp {
		n.lead = newLeader(n.leaderRec.stamp, now)
		slog.Info("leading", "stamp", n.lead.stamp)
	}
	// The leader's own shards speak to it like the others'.
	st := n.status()
	n.lead.hear(n, st, now)
	r := Reply{From: n.set.HostName, Valid: true}
	n.lead.answer(n, st, &r, now)
	n.takeReply(&r)
	txn, what := n.grantTxn(now)
	n.mu.Unlock()
	if txn == nil {
		return
	}
	_, err := n.state.Multi(ctx, *txn)
	if err != nil && !errors.Is(err, storage.ErrConflict) {
		slog.Warn("grant not written", "what", what, "err", err)
		return
	}
	slog.Info("granted", "what", what, "err", err)
}

// grantTxn works out the next grant, or nil. Every grant is conditional on
// the leader's key and on the last term, and mints a new one: so grants are
// one after the other, and one that arrives late fails.
func (n *Node) grantTxn(now time.Time) (*protocol.Txn, string) {
	if n.catalog == nil {
		return nil, ""
	}
	next := storage.Term{N: n.term.v.N + 1}
	txn := &protocol.Txn{
		When:   []protocol.Cond{{Path: storage.LeaderKey, Stamp: n.leaderRec.stamp}, {Path: storage.TermKey, Stamp: n.term.stamp}},
		Writes: []protocol.Write{{Put: storage.TermKey, Data: next}},
	}
	for i := range n.op.Shards {
		rec := n.shardRecs[i]
		a, up := n.aliveNodes[rec.v.Holder.Name]
		if rec.stamp != 0 && up && a.v.Session == rec.v.Holder.Session {
			continue
		}
		to, ok := n.pickHolder(rec.v.Holder.Name)
		if !ok {
			return nil, ""
		}
		// That the former holder's key is gone, or names another session,
		// proves that its lease is over.
		when := []protocol.Cond{{Path: storage.ShardKey(i), Stamp: rec.stamp}}
		if rec.stamp != 0 {
			when = append(when, protocol.Cond{Path: storage.AliveKey(rec.v.Holder.Name), Stamp: a.stamp})
		}
		if to.Name != rec.v.Holder.Name {
			when = append(when, protocol.Cond{Path: storage.AliveKey(to.Name), Stamp: n.aliveNodes[to.Name].stamp})
		}
		txn.When = append(txn.When, when...)
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.ShardKey(i), Data: storage.Shard{Holder: to, Term: next.N}})
		if g, ok := n.grantRecs[i]; !ok {
			first := storage.Grant{Shares: map[string]storage.Amount{}}
			// The shard that is filled first starts with all the room.
			for name, t := range n.teams {
				if i == 0 {
					first.Shares[name] = t.limit
				} else {
					first.Shares[name] = storage.Amount{}
				}
			}
			txn.When = append(txn.When, protocol.Cond{Path: storage.GrantKey(i), Stamp: g.stamp})
			txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantKey(i), Data: first})
		}
		return txn, fmt.Sprintf("shard %d to %s, term %d", i, to.Name, next.N)
	}
	if !n.lead.rebuilt(now) {
		return nil, ""
	}
	grants := map[int]storage.Grant{}
	what := n.grantBlocks(grants, next.N, now)
	what += n.grantShares(grants)
	if len(grants) == 0 {
		return nil, ""
	}
	for _, i := range slices.Sorted(maps.Keys(grants)) {
		if len(txn.Writes) == n.set.Deployment.State.TxnOps {
			break
		}
		txn.When = append(txn.When, protocol.Cond{Path: storage.GrantKey(i), Stamp: n.grantRecs[i].stamp},
			protocol.Cond{Path: storage.ShardKey(i), Stamp: n.shardRecs[i].stamp})
		txn.Writes = append(txn.Writes, protocol.Write{Put: storage.GrantKey(i), Data: grants[i]})
	}
	return txn, what
}

// pickHolder chooses who gets a shard: its former holder if that is back,
// otherwise the live controller with the fewest.
func (n *Node) pickHolder(former string) (storage.Node, bool) {
	if a, ok := n.aliveNodes[former]; ok {
		return a.v, true
	}
	held := map[string]int{}
	for _, rec := range n.shardRecs {
		held[rec.v.Holder.Name]++
	}
	names := slices.SortedFunc(maps.Keys(n.aliveNodes), func(a, b string) int {
		return cmp.Or(held[a]-held[b], cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return storage.Node{}, false
	}
	return n.aliveNodes[names[0]].v, true
}

// shardStatus is the freshest word of a shard's holder.
func (n *Node) shardStatus(i int) *ShardStatus {
	term := n.shardRecs[i].v.Term
	if n.shards[i] != nil {
		st := n.status()
		for k := range st.Shards {
			if st.Shards[k].Index == i {
				return &st.Shards[k]
			}
		}
		return nil
	}
	for _, o := range n.others {
		for k := range o.Shards {
			if o.Shards[k].Index == i && o.Shards[k].Term == term {
				return &o.Shards[k]
			}
		}
	}
	return nil
}

func (n *Node) editGrant(grants map[int]storage.Grant, i int) storage.Grant {
	if g, ok := grants[i]; ok {
		return g
	}
	old := n.grantRecs[i].v
	g := storage.Grant{Blocks: slices.Clone(old.Blocks), Shares: maps.Clone(old.Shares)}
	if g.Shares == nil {
		g.Shares = map[string]storage.Amount{}
	}
	return g
}

// grantBlocks gives machines that are up and belong to nobody to the shard
// they were rented for, or to one whose tasks wait for such a machine.
func (n *Node) grantBlocks(grants map[int]storage.Grant, term uint64, now time.Time) string {
	l := n.lead
	granted := l.granted(n)
	what := ""
	stats := map[int]*ShardStatus{}
	given := map[int]int{}
	for i := range n.op.Shards {
		stats[i] = n.shardStatus(i)
	}
	for _, id := range slices.Sorted(maps.Keys(l.known)) {
		k := l.known[id]
		if _, ok := granted[id]; ok {
			k.granted, k.freed = true, time.Time{}
			continue
		}
		if k.reported.IsZero() || now.Sub(k.reported) > n.timing.WorkerGone || k.active || k.warned || l.bad[id] || l.deleted[id] {
			continue
		}
		if k.freed.IsZero() {
			k.freed = now
		}
		to := -1
		for _, e := range l.coming {
			if e.id == id {
				to = e.shard
			}
		}
		if to >= 0 && (stats[to] == nil || !slices.Contains(stats[to].Fits, k.kind) && len(stats[to].Rent) == 0) {
			// Rented for tasks that have found another place since.
			to = -1
		}
		if to < 0 {
			for i := range n.op.Shards {
				if st := stats[i]; st != nil && slices.Contains(st.Fits, k.kind) && (to < 0 || given[i] < given[to]) {
					to = i
				}
			}
		}
		if to < 0 {
			continue
		}
		given[to]++
		g := n.editGrant(grants, to)
		g.Blocks = append(g.Blocks, storage.Block{Machine: id, Breed: k.kind.Breed, Zone: k.kind.Zone, Spot: k.kind.Spot, Term: term, AtMS: now.UnixMilli()})
		grants[to] = g
		l.drop(func(e *expected) bool { return e.id == id })
		what += fmt.Sprintf(" %s->%d", id, to)
	}
	return what
}

// grantShares gives room of the teams' limits that no shard has to those that
// want it.
func (n *Node) grantShares(grants map[int]storage.Grant) string {
	what := ""
	for name, t := range n.teams {
		var sum storage.Amount
		for _, g := range n.grantRecs {
			sum.Cores += g.v.Shares[name].Cores
			sum.Cards += g.v.Shares[name].Cards
		}
		free := storage.Amount{Cores: t.limit.Cores - sum.Cores, Cards: t.limit.Cards - sum.Cards}
		for i := range n.op.Shards {
			st := n.shardStatus(i)
			if st == nil {
				continue
			}
			have, want := n.grantRecs[i].v.Shares[name], st.Wanted[name]
			more := storage.Amount{Cores: max(0, min(free.Cores, want.Cores-have.Cores)),
				Cards: max(0, min(free.Cards, want.Cards-have.Cards))}
			if more.Cores < 1e-6 && more.Cards < 1e-6 {
				continue
			}
			g := n.editGrant(grants, i)
			g.Shares[name] = storage.Amount{Cores: have.Cores + more.Cores, Cards: have.Cards + more.Cards}
			grants[i] = g
			free.Cores -= more.Cores
			free.Cards -= more.Cards
			what += fmt.Sprintf(" %s+%g->%d", name, more.Cores, i)
		}
	}
	return what
}

// cloudLoop makes the leader's calls to the cloud, one after the other.
func (n *Node) cloudLoop(ctx context.Context) {
	rps := n.set.Deployment.Cloud.RPS * 0.9
	budget := rate.NewLimiter(rate.Limit(rps), 1)
	for ctx.Err() == nil {
		n.mu.Lock()
		l := n.lead
		var call func(context.Context)
		if l != nil && n.valid(n.now()) {
			call = n.nextCall(l, n.now())
		}
		n.mu.Unlock()
		if call == nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		if budget.Wait(ctx) == nil {
			call(ctx)
		}
	}
}

// nextCall picks what to ask of the cloud next, rentals first.
func (n *Node) nextCall(l *leader, now time.Time) func(context.Context) {
	lag := config.Seconds(n.set.Deployment.Cloud.ListLagS)
	if n.catalog == nil || now.Sub(l.caught) > time.Minute {
		l.caught = now
		return n.readCatalog
	}
	for _, e := range l.coming {
		if e.id == "" && !e.inCall {
			return n.rentCall(l, e, now)
		}
	}
	if names := n.toRelease(l, now); len(names) > 0 {
		return func(ctx context.Context) {
			err := n.cloud.Release(ctx, names)
			slog.Info("released", "machines", names, "err", err)
			if err != nil {
				sleep(ctx, 500*time.Millisecond)
				return
			}
			n.mu.Lock()
			for _, id := range names {
				l.deleted[id] = true
				delete(l.known, id)
				l.drop(func(e *expected) bool { return e.id == id })
			}
			n.mu.Unlock()
		}
	}
	if now.Sub(l.listed) > max(lag, time.Second) {
		return func(ctx context.Context) { n.listCall(ctx, l, now) }
	}
	return nil
}

func (n *Node) readCatalog(ctx context.Context) {
	c, err := n.cloud.Catalog(ctx)
	if err != nil {
		cloudErrors.Do(func() { slog.Warn("catalog not read", "err", err) })
		n.mu.Lock()
		if n.lead != nil {
			n.lead.caught = n.now().Add(2*time.Second - time.Minute)
		}
		n.mu.Unlock()
		return
	}
	n.mu.Lock()
	n.setCatalog(c.Breeds)
	when := []protocol.Cond{{Path: storage.LeaderKey, Stamp: n.leaderRec.stamp}}
	n.mu.Unlock()
	if _, err := n.state.Multi(ctx, protocol.Txn{When: when, Writes: []protocol.Write{{Put: storage.CatalogKey, Data: c}}}); err != nil {
		slog.Info("catalog not written", "err", err)
	}
	n.wake()
}

func (n *Node) rentCall(l *leader, e *expected, now time.Time) func(context.Context) {
	var batch []*expected
	for _, x := range l.coming {
		if x.ask == e.ask {
			x.inCall = true
			batch = append(batch, x)
		}
	}
	// The same request until there is an answer: a repeated name rents
	// nothing twice. The number is that of the first try.
	r := protocol.Rental{Ask: e.ask, Breed: e.kind.Breed, Zone: e.kind.Zone, Spot: e.kind.Spot, HowMany: e.batch}
	return func(ctx context.Context) {
		names, err := n.cloud.Rent(ctx, r)
		n.mu.Lock()
		defer n.mu.Unlock()
		now := n.now()
		if err != nil && !errors.Is(err, ErrNoCapacity) {
			cloudErrors.Do(func() { slog.Warn("rental not answered", "ask", r.Ask, "err", err) })
			time.AfterFunc(time.Second, func() {
				n.mu.Lock()
				for _, x := range batch {
					x.inCall = false
				}
				n.mu.Unlock()
			})
			return
		}
		if len(names) < len(batch) {
			l.refused[kind{r.Breed, r.Zone, r.Spot}] = now.Add(15 * time.Second)
			slog.Info("cloud has no more", "type", r.Breed, "zone", r.Zone, "spot", r.Spot, "got", len(names), "asked", r.HowMany)
		}
		for i, x := range batch {
			x.inCall = false
			if i < len(names) {
				x.id, x.since = names[i], now
				if l.known[x.id] == nil {
					l.known[x.id] = &rented{id: x.id, kind: x.kind, status: "starting", asked: now}
				}
			}
		}
		l.drop(func(x *expected) bool { return x.ask == r.Ask && x.id == "" })
		n.wake()
	}
}

// toRelease lists machines that nobody needs, and those that failed.
func (n *Node) toRelease(l *leader, now time.Time) []string {
	if !l.rebuilt(now) {
		return nil
	}
	granted := l.granted(n)
	var names []string
	for _, id := range slices.Sorted(maps.Keys(l.known)) {
		k := l.known[id]
		if _, ok := granted[id]; ok || len(names) == protocol.MaxRelease {
			continue
		}
		ready := n.ready(k.kind.Breed)
		wait := n.idle(k.kind)
		if k.granted {
			wait = 4 * gossipEvery // its holder has waited already
		}
		never := k.reported.IsZero() && now.Sub(k.asked) > 4*ready
		silent := !k.reported.IsZero() && now.Sub(k.reported) > n.timing.WorkerGone
		idle := !k.freed.IsZero() && now.Sub(k.freed) > wait
		if k.status == "failed" || never || silent || idle || k.active || l.bad[id] {
			names = append(names, id)
		}
	}
	return names
}

// listCall reads the whole list and compares it with what is known.
func (n *Node) listCall(ctx context.Context, l *leader, sent time.Time) {
	seen := map[string]protocol.ListedMachine{}
	since := ""
	for {
		page, err := n.cloud.List(ctx, since)
		if err != nil {
			cloudErrors.Do(func() { slog.Warn("machine list not read", "err", err) })
			sleep(ctx, time.Second)
			return
		}
		for _, m := range page.Machines {
			seen[m.ID] = m
			since = m.ID
		}
		if !page.HasNext || len(page.Machines) == 0 {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	lag := config.Seconds(n.set.Deployment.Cloud.ListLagS)
	for id, m := range seen {
		if l.deleted[id] {
			continue
		}
		k := l.known[id]
		if k == nil {
			k = &rented{id: id, kind: kind{m.Breed, m.Zone, m.Spot}, asked: sent.Add(-config.Seconds(m.AgeS))}
			l.known[id] = k
			if _, ok := l.granted(n)[id]; !ok && m.Status == "starting" {
				// Rented by an earlier leader, or by a request given up.
				l.coming = append(l.coming, &expected{kind: k.kind, shard: len(l.coming) % n.op.Shards, id: id, ask: "", since: now})
				l.vers[l.coming[len(l.coming)-1].shard]++
			}
		}
		k.status = m.Status
		if k.first.IsZero() {
			k.first = now
		}
	}
	// A block was up when it was granted: a list that describes a later time
	// and lacks it says that it is gone. This spares a new leader, and with it
	// a new holder, the wait for the worker's lease.
	asked := sent.UnixMilli()
	clocks := 2 * int64(n.set.Deployment.ClockErrorMS)
	for _, g := range n.grantRecs {
		for _, b := range g.v.Blocks {
			if _, ok := seen[b.Machine]; ok || b.AtMS == 0 || asked-b.AtMS <= (2*lag+time.Second).Milliseconds()+clocks {
				continue
			}
			if l.known[b.Machine] == nil {
				l.known[b.Machine] = &rented{id: b.Machine, kind: kind{b.Breed, b.Zone, b.Spot}, asked: now, first: now.Add(-time.Hour), granted: true}
			}
		}
	}
	for id, k := range l.known {
		_, ok := seen[id]
		// A list may be up to twice the lag old: one asked for that much
		// after the machine was first shown describes a later time, and
		// lacks it only if it is gone.
		k.missing = !ok && !k.first.IsZero() && sent.Sub(k.first) > 2*lag+time.Second
		if k.missing {
			if _, held := l.granted(n)[id]; !held {
				delete(l.known, id)
				l.deleted[id] = true
				l.drop(func(e *expected) bool { return e.id == id })
			}
		}
	}
	// Machines that are late to boot are not counted on any longer.
	for _, e := range l.coming {
		if k := l.known[e.id]; k != nil && k.status == "failed" {
			l.drop(func(x *expected) bool { return x == e })
			break
		}
	}
	l.drop(func(e *expected) bool {
		return e.id != "" && now.Sub(e.since) > 3*n.ready(e.kind.Breed)
	})
	l.listed = sent
	n.wake()
}

func (n *Node) ready(breed string) time.Duration {
	for _, b := range n.catalog {
		if b.Name == breed {
			return config.Seconds(b.ReadyS)
		}
	}
	return time.Minute
}
