package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

func sortJobs(list []*jobRec) {
	slices.SortFunc(list, func(a, b *jobRec) int {
		return cmp.Or(cmp.Compare(a.rec.AtMS, b.rec.AtMS), cmp.Compare(a.rec.Spec.ID, b.rec.Spec.ID))
	})
}

// giveBack marks blocks that this shard has no more use for: empty, and
// certain to be so. A silent machine is kept for as long again as it took to be
// certain of that: it may only have been cut off, and spares a boot if it
// comes back.
func (s *shard) giveBack(now time.Time, silent time.Duration, idle func(kind) time.Duration) {
	for _, m := range s.machines {
		if m.release || !m.settled || len(m.runs) > 0 || len(m.stray) > 0 || m.odd {
			continue
		}
		if m.gone || m.bad || m.slow || m.vacate || m.expired && now.Sub(m.answered) > 2*silent ||
			!m.expired && now.Sub(m.idle) > idle(m.kind()) {
			m.release = true
		}
	}
}

// writeGrants writes the grants of this controller's shards without the blocks
// and the shares that are given back.
func (n *Node) writeGrants(ctx context.Context) {
	type change struct {
		s   *shard
		txn protocol.Txn
		out []string
	}
	var changes []change
	n.mu.Lock()
	for i, s := range n.shards {
		short := n.shortTeams(i)
		g, ok := n.grantRecs[i]
		if !ok || s.writes {
			continue
		}
		next := storage.Grant{Shares: map[string]storage.Amount{}}
		var out []string
		for _, b := range g.v.Blocks {
			if m := s.machines[b.Machine]; m != nil && m.release {
				out = append(out, b.Machine)
			} else {
				next.Blocks = append(next.Blocks, b)
			}
		}
		lowered := false
		unknown := s.unknown()
		for t, share := range g.v.Shares {
			if short[t] {
				keep := n.keepShare(s, t, share, unknown)
				lowered = lowered || keep != share
				share = keep
			}
			next.Shares[t] = least(share, s.shares[t])
		}
		if len(out) == 0 && !lowered {
			continue
		}
		// Lower at once: what is being given back is not used any more,
		// whether or not the answer arrives. Nor does a later write raise
		// it: the earlier one may still be applied, and the room be granted
		// to another. Only a newer record does.
		s.shares = next.Shares
		s.writes = true
		changes = append(changes, change{s, protocol.Txn{
			When:   []protocol.Cond{{Path: storage.ShardKey(i), Stamp: s.stamp}, {Path: storage.GrantKey(i), Stamp: g.stamp}},
			Writes: []protocol.Write{{Put: storage.GrantKey(i), Data: next}}}, out})
	}
	n.mu.Unlock()
	for _, c := range changes {
		_, err := n.state.Multi(ctx, c.txn)
		n.mu.Lock()
		c.s.writes = false
		n.mu.Unlock()
		slog.Info("gave back", "shard", c.s.index, "blocks", c.out, "err", err)
	}
}

func least(a, b storage.Amount) storage.Amount {
	return storage.Amount{Cores: min(a.Cores, b.Cores), Cards: min(a.Cards, b.Cards)}
}

// keepShare is what a shard keeps of a team's limit while another shard is
// short: what it uses or wants, the latter up to an equal part.
func (n *Node) keepShare(s *shard, team string, share, unknown storage.Amount) storage.Amount {
	limit, used, want := n.teams[team].limit, s.used[team], s.wanted[team]
	keep := func(share, used, unknown, want, limit float64) float64 {
		return min(share, max(used+unknown, min(want, limit/float64(n.op.Shards))))
	}
	return storage.Amount{Cores: keep(share.Cores, used.Cores, unknown.Cores, want.Cores, limit.Cores),
		Cards: keep(share.Cards, used.Cards, unknown.Cards, want.Cards, limit.Cards)}
}

// shortTeams lists the teams of which some shard other than one wants more
// than its share. A shard that counted itself would give room back only to be
// granted it anew, over and over.
func (n *Node) shortTeams(but int) map[string]bool {
	short := map[string]bool{}
	look := func(i int, wanted map[string]storage.Amount) {
		if i == but {
			return
		}
		for t, w := range wanted {
			lim, share := n.teams[t].limit, n.grantRecs[i].v.Shares[t]
			if lim.Cores > 0 && w.Cores > share.Cores+1e-9 || lim.Cards > 0 && w.Cards > share.Cards+1e-9 {
				short[t] = true
			}
		}
	}
	for i, s := range n.shards {
		look(i, s.wanted)
	}
	for _, o := range n.others {
		for _, s := range o.Shards {
			look(s.Index, s.Wanted)
		}
	}
	return short
}

// flush writes ended jobs and, less often, how far jobs have come.
func (n *Node) flush(ctx context.Context) {
	now := n.now()
	type work struct {
		j    *job
		done int
		txn  protocol.Txn
		end  *storage.End
	}
	var all []work
	n.mu.Lock()
	for _, s := range n.shards {
		for _, j := range s.jobs {
			if j.saving || j.saved >= j.done.Len() {
				continue
			}
			jr := n.jobs[j.id]
			if jr == nil {
				continue
			}
			// The shard's stamp keeps a write that arrives after a take-over
			// out; the job's own, one that arrives after a later write.
			when := []protocol.Cond{{Path: storage.ShardKey(s.index), Stamp: s.stamp}, {Path: storage.JobKey(j.id), Stamp: j.stamp}}
			w := work{j: j, done: j.done.Len()}
			if j.complete() && !j.spec.Standing() {
				w.end = &storage.End{Status: protocol.Done, Done: w.done}
				w.txn = protocol.Txn{When: when, Writes: []protocol.Write{{Delete: storage.JobKey(j.id)},
					{Put: storage.EndedKey(j.id), Data: w.end}}}
			} else {
				if now.Sub(j.savedT) < 3*time.Second {
					continue
				}
				rec := jr.rec
				rec.Done = j.done.Fit(int(n.set.Deployment.State.ValueKB*1024) * 3 / 4)
				w.txn = protocol.Txn{When: when, Writes: []protocol.Write{{Put: storage.JobKey(j.id), Data: rec}}}
			}
			j.saving, j.savedT = true, now
			all = append(all, w)
		}
	}
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, w := range all {
		wg.Go(func() {
			_, err := n.state.Multi(ctx, w.txn)
			n.mu.Lock()
			defer n.mu.Unlock()
			w.j.saving = false
			switch {
			case err == nil && w.end != nil:
				n.noteEnd(w.j.id, *w.end)
				slog.Debug("job done", "job", w.j.id)
			case err == nil:
				w.j.saved = w.done
			case !errors.Is(err, storage.ErrConflict):
				slog.Debug("job record not written", "job", w.j.id, "err", err)
			}
		})
	}
	wg.Wait()
}

// noteEnd remembers an end that the state service has confirmed.
func (n *Node) noteEnd(id string, e storage.End) {
	const most = 20000
	if _, ok := n.ended[id]; !ok {
		n.endedQ = append(n.endedQ, id)
	}
	n.ended[id] = e
	if len(n.endedQ) > most {
		delete(n.ended, n.endedQ[0])
		n.endedQ = n.endedQ[1:]
	}
}

// sendHalts sends a shard's halts straight to the workers. It only speeds up
// what their next reports bring anyway.
func (n *Node) sendHalts(i int) {
	type msg struct {
		addr string
		d    protocol.Direct
	}
	var out []msg
	now := n.now()
	n.mu.Lock()
	if s := n.shards[i]; s != nil && n.valid(now) {
		for _, m := range s.machines {
			due := false
			for _, r := range m.runs {
				due = due || r.halt && r.sent && r.haltOut.IsZero()
			}
			if due && m.heard && !m.expired && m.address != "" {
				out = append(out, msg{m.address, protocol.Direct{Baton: s.baton(m), Stint: m.stint, Orders: s.halts(m, now)}})
			}
		}
	}
	n.mu.Unlock()
	for _, o := range out {
		go func() {
			if err := n.direct(context.Background(), o.addr, o.d); err != nil {
				slog.Debug("direct halt failed", "worker", o.addr, "err", err)
			}
		}()
	}
}

// Checkin answers a worker's report. status is 200, 421 or 503.
func (n *Node) Checkin(r *protocol.Report) (status int, orders protocol.Orders, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if !n.valid(now) {
		return 503, orders, ""
	}
	for i, g := range n.grantRecs {
		for _, b := range g.v.Blocks {
			if b.Machine != r.Machine {
				continue
			}
			s := n.shards[i]
			if s == nil {
				return 421, orders, n.redirect(n.shardRecs[i].v.Holder.Name)
			}
			m := s.machines[r.Machine]
			if m == nil || m.release || !s.report(m, r, now) {
				return 503, orders, ""
			}
			if s.freed {
				// Place at once, so that starts travel with this very answer
				// and room that came free does not wait for another report.
				s.placeWaiting(s.sorted(), n.planner(now), now)
			}
			n.wake()
			// The time again: reading the report may have taken a while.
			now = n.now()
			if !now.Before(n.validTil) {
				return 503, orders, ""
			}
			return 200, protocol.Orders{Baton: s.baton(m), Orders: s.orders(m, now)}, ""
		}
	}
	if n.lead != nil {
		n.lead.reported(r, now)
		n.wake()
		return 503, orders, ""
	}
	return 421, orders, n.redirect(n.leaderRec.v.Name)
}

func (n *Node) redirect(name string) string {
	if name == n.set.HostName {
		return ""
	}
	return name
}
