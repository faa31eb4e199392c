package coordination

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

// wake runs the tick loop soon.
func (n *Node) wake() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
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

func sortJobs(list []*jobRec) {
	slices.SortFunc(list, func(a, b *jobRec) int {
		return cmp.Or(cmp.Compare(a.rec.AtMS, b.rec.AtMS), cmp.Compare(a.rec.Spec.ID, b.rec.Spec.ID))
	})
}
