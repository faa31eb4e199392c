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
