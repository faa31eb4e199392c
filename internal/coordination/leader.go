package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

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
	lost    map[string]bool // granted machines that the last list shows as failed, or lacks
	wrote   uint64          // revision of the last grant that was written
	wroteAt time.Time
	listed  time.Time // when the last whole list was asked for
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
	sent   bool // asked for once at least: it may have been carried out
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
		count := map[kind]int{}
		for _, e := range l.coming {
			if e.shard == ss.Index {
				count[e.kind]++
			}
		}
		for k, c := range count {
			sr.Booting = append(sr.Booting, rentWant{k, c})
		}
		sortWants(sr.Booting)
		r.Shards = append(r.Shards, sr)
	}
	for k, t := range l.refused {
		if now.Before(t) {
			r.Refused = append(r.Refused, k)
		}
	}
	for id := range l.lost {
		if i, ok := n.owner[id]; ok && slices.ContainsFunc(st.Shards, func(ss ShardStatus) bool { return ss.Index == i }) {
			r.Gone = append(r.Gone, id)
		}
	}
}

// leadTick takes part in leadership and, as the leader, grants.
func (n *Node) leadTick(ctx context.Context) time.Duration {
	n.mu.Lock()
	now := n.now()
	if !n.valid(now) {
		n.mu.Unlock()
		return 0
	}
	n.state.Lead(n.me(n.leaderRec.v), n.limits().WriteRPS, n.set.Deployment.Count)
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
		return 0
	}
	if n.lead == nil || n.lead.stamp != n.leaderRec.stamp {
		n.lead = newLeader(n.leaderRec.stamp, now)
		slog.Info("leading", "stamp", n.lead.stamp)
	}
	start := time.Now()
	// The leader's own shards speak to it like the others'.
	st := n.status()
	n.lead.hear(n, st, now)
	r := Reply{From: n.set.HostName, Valid: true}
	n.lead.answer(n, st, &r, now)
	n.takeReply(&r)
	var txn *protocol.Txn
	var what string
	// The next grant names the term of the last one: it waits for that to
	// show in the copy here.
	if n.seen >= n.lead.wrote || now.Sub(n.lead.wroteAt) > unseen {
		txn, what = n.grantTxn(st, now)
	}
	l := n.lead
	took := time.Since(start)
	n.mu.Unlock()
	if txn == nil {
		return took
	}
	rev, err := n.state.Multi(ctx, *txn)
	switch {
	case err == nil:
		n.mu.Lock()
		l.wrote, l.wroteAt = rev, n.now()
		n.mu.Unlock()
		slog.Info("granted", "what", what)
	case errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrBudget):
		slog.Debug("grant not written", "what", what, "err", err)
	default:
		slog.Warn("grant not written", "what", what, "err", err)
	}
	return took
}
