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

// wake runs the loops soon that plan, write and lead.
func (n *Node) wake() {
	for _, kick := range []chan struct{}{n.kick, n.kickWrite, n.kickLead} {
		nudge(kick)
	}
}

// nudge wakes the loop that waits for a kick, unless one waits for it already.
func nudge(kick chan struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}

// every runs f when woken, and four times a second. A burst of wakes is
// gathered, and f gets at most a tenth of the time that its turns take: on a
// share of a processor it would otherwise crowd out the answers to workers.
func every(ctx context.Context, kick <-chan struct{}, f func(context.Context) time.Duration) {
	const gather, period = 20 * time.Millisecond, 250 * time.Millisecond
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-kick:
			sleep(ctx, gather)
		case <-time.After(period):
		}
		sleep(ctx, min(9*f(ctx), 2*period))
	}
}

// tick plans; it returns how long that took.
func (n *Node) tick(ctx context.Context) time.Duration {
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
		n.hearing.pause()
		n.mu.Unlock()
		return 0
	}
	if n.stepsBack(now) {
		n.mu.Unlock()
		return 0
	}
	start := time.Now()
	share := n.set.Deployment.Limits.CPUShare
	if share <= 0 {
		share = 1
	}
	n.meter.read(now, n.cpu(), share)
	n.holdShards()
	n.resolve()
	n.markWithin()
	p := n.planner(now)
	n.listen(p, now)
	n.deputize(now)
	// What weighs everything against everything takes effect with the
	// workers' reports: a few times in each of their rounds is enough.
	thorough := now.Sub(n.weighed) >= p.report/4
	if thorough {
		n.weighed = now
	}
	for _, s := range n.shards {
		s.news = false
		for id := range n.gone {
			if m := s.machines[id]; m != nil && !m.gone {
				slog.Info("machine is gone", "machine", id)
				s.lost(m)
				m.gone = true
			}
		}
		n.coverNamed(s, now)
		s.silent(now, n.timing.WorkerGone)
		if thorough {
			s.slowness(now)
		}
		n.capShares(s)
		s.plan(p, thorough, now)
		s.giveBack(p, now, n.timing.WorkerGone, n.idle)
		for _, m := range s.machines {
			if m.bad || m.slow {
				n.bad[m.block.Machine] = true
			}
		}
	}
	clear(n.gone)
	took := time.Since(start)
	n.mu.Unlock()
	n.dispatch()
	return took
}

// write brings the records of this controller's shards up to date.
func (n *Node) write(ctx context.Context) time.Duration {
	n.mu.Lock()
	acts := n.valid(n.now())
	n.mu.Unlock()
	if acts {
		n.leaveMark(ctx)
		n.writeDeputies(ctx)
		n.flush(ctx)
		n.writeGrants(ctx)
		n.moveJobs(ctx)
		n.sweepParts(ctx)
	}
	return 0
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
		refused: func(k kind) bool { return now.Before(n.refuse[k]) }, usage: usage, served: n.service(now), most: n.capacity(), aims: n.set.Deployment.Objectives,
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
		if jr.waiting() {
			continue
		}
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
		return cmp.Or(cmp.Compare(a.fromMS(), b.fromMS()), cmp.Compare(a.rec.Spec.ID, b.rec.Spec.ID))
	})
}
