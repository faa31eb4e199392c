package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// grantTxn works out the next grant, or nil. Every grant is conditional on
// the leader's key and on the last term, and mints a new one: so grants are
// one after the other, and one that arrives late fails.
func (n *Node) grantTxn(mine *Status, now time.Time) (*protocol.Txn, string) {
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
	if n.switched() {
		if split, what := n.splitTxn(); split != nil {
			return split, what
		}
	}
	d := newDraft(n)
	stats := n.shardStats(mine)
	what := n.grantBlocks(d, stats, next.N, now)
	what += n.grantShares(d, stats)
	if d.changed() == 0 {
		return nil, ""
	}
	d.into(txn)
	return txn, what
}

// pickHolder chooses who gets a shard: its former holder if that is back,
// otherwise the live controller that has the fewest machines and shards.
func (n *Node) pickHolder(former string) (storage.Node, bool) {
	if a, ok := n.aliveNodes[former]; ok {
		return a.v, true
	}
	held := map[string]int{}
	for i, rec := range n.shardRecs {
		held[rec.v.Holder.Name] += 1 + len(n.grantRecs[i].v.Blocks)
	}
	names := slices.SortedFunc(maps.Keys(n.aliveNodes), func(a, b string) int {
		return cmp.Or(held[a]-held[b], cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return storage.Node{}, false
	}
	return n.aliveNodes[names[0]].v, true
}

// shardStats are the freshest words of the shards' holders; nil for a shard
// whose holder has not been heard.
func (n *Node) shardStats(mine *Status) []*ShardStatus {
	stats := make([]*ShardStatus, n.op.Shards)
	look := func(st *Status) {
		for k := range st.Shards {
			ss := &st.Shards[k]
			if ss.Index < len(stats) && n.shardRecs[ss.Index].v.Term == ss.Term {
				stats[ss.Index] = ss
			}
		}
	}
	for _, o := range n.others {
		look(o)
	}
	look(mine)
	return stats
}

// grantBlocks gives machines that are up and belong to nobody to the shard
// they were rented for, or to one whose tasks wait for such a machine.
func (n *Node) grantBlocks(d *draft, stats []*ShardStatus, term uint64, now time.Time) string {
	l := n.lead
	rentedFor := map[string]int{}
	for _, e := range l.coming {
		if e.id != "" {
			rentedFor[e.id] = e.shard
		}
	}
	var free []*rented
	for id, k := range l.known {
		if _, ok := n.owner[id]; ok {
			k.granted, k.freed = true, time.Time{}
			continue
		}
		if k.reported.IsZero() || now.Sub(k.reported) > n.timing.WorkerGone || k.active || k.warned || l.bad[id] || l.deleted[id] {
			continue
		}
		if k.freed.IsZero() {
			k.freed = now
		}
		free = append(free, k)
	}
	slices.SortFunc(free, func(a, b *rented) int { return cmp.Compare(a.id, b.id) })
	what := ""
	given := map[int]int{}
	done := map[string]bool{}
	for _, k := range free {
		fits := func(i int) bool {
			return stats[i] != nil && slices.Contains(stats[i].Fits, k.kind) && d.takes(i, k)
		}
		to := -1
		// One rented for tasks that have found another place since may serve
		// others.
		if i, ok := rentedFor[k.id]; ok && (fits(i) || stats[i] != nil && len(stats[i].Rent) > 0 && d.takes(i, k)) {
			to = i
		}
		if to < 0 {
			for i := range stats {
				if fits(i) && (to < 0 || given[i] < given[to]) {
					to = i
				}
			}
		}
		if to < 0 {
			continue
		}
		given[to]++
		done[k.id] = true
		d.add(to, storage.Block{Machine: k.id, Breed: k.kind.Breed, Zone: k.kind.Zone, Spot: k.kind.Spot, Term: term, At: now.Add(time.Second - 1).Unix()})
		what += fmt.Sprintf(" %s->%d", k.id, to)
	}
	l.drop(func(e *expected) bool { return done[e.id] })
	return what
}

// grantShares gives room of the teams' limits that no shard has to those that
// want it, by what they want. If there is enough for all, a little more than is
// wanted spares the next grant.
func (n *Node) grantShares(d *draft, stats []*ShardStatus) string {
	what := ""
	for _, name := range slices.Sorted(maps.Keys(n.teams)) {
		t := n.teams[name]
		free := t.limit
		for _, g := range n.grantRecs {
			free.Cores -= g.v.Shares[name].Cores
			free.Cards -= g.v.Shares[name].Cards
		}
		var all storage.Amount
		for _, st := range stats {
			if st != nil {
				all.Cores += st.Wanted[name].Cores
				all.Cards += st.Wanted[name].Cards
			}
		}
		parts := n.divideLimit(name)
		for i, st := range stats {
			if st == nil {
				continue
			}
			have, part := n.grantRecs[i].v.Shares[name], parts[i]
			more := storage.Amount{Cores: n.moreShare(free.Cores, part.Cores-have.Cores, all.Cores, t.limit.Cores),
				Cards: n.moreShare(free.Cards, part.Cards-have.Cards, all.Cards, t.limit.Cards)}
			if more.Cores < 1e-6 && more.Cards < 1e-6 || !d.share(i, name, storage.Amount{Cores: have.Cores + more.Cores, Cards: have.Cards + more.Cards}) {
				continue
			}
			free.Cores -= more.Cores
			free.Cards -= more.Cards
			what += fmt.Sprintf(" %s+%g->%d", name, more.Cores, i)
		}
	}
	return what
}

// moreShare is how much of what is free a shard gets that is short.
func (n *Node) moreShare(free, short, all, limit float64) float64 {
	if short <= 0 {
		return 0
	}
	if all < limit {
		short = max(short, limit/float64(4*n.op.Shards))
	}
	return max(0, min(free, short))
}
