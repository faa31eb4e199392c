package coordination

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// planner is what a shard needs to know of the deployment to plan.
type planner struct {
	params  placement.Params
	breeds  []protocol.Breed
	teams   map[string]team
	refused func(k kind) bool
	report  time.Duration
	aims    []config.Objective
	usage   map[string]storage.Amount // of all shards
}

type team struct {
	limit     storage.Amount // zero: no limit
	guarantee storage.Amount
}

func (j *job) allows(breed, zone string, spot bool) bool {
	return (j.breeds == nil || j.breeds[breed]) && (j.spec.Yard == "" || j.spec.Yard == zone) && (j.spec.Spot || !spot)
}

// zoneOK tells whether one more task may run in a zone beside the job's others.
func (j *job) zoneOK(zone string) bool {
	if !j.spec.OneZone && !j.spec.Spread {
		return true
	}
	here := 0
	for _, r := range j.runs {
		if r.m.block.Zone == zone {
			here++
		} else if j.spec.OneZone {
			return false
		}
	}
	return !j.spec.Spread || here < (j.spec.Tasks+1)/2
}

// room tells how many more tasks of a job its team's share allows.
func (s *shard) room(j *job, teams map[string]team, unknown storage.Amount) int {
	t, used, share := teams[j.spec.Team], s.used[j.spec.Team], s.shares[j.spec.Team]
	n := j.spec.Tasks
	limit := func(max, have, spent, need float64) {
		if max > 0 && need > 0 {
			n = min(n, int((have-spent)/need+1e-9))
		}
	}
	limit(t.limit.Cores, share.Cores, used.Cores+unknown.Cores, j.need[0])
	limit(t.limit.Cards, share.Cards, used.Cards+unknown.Cards, j.need[1])
	return max(n, 0)
}

// order sorts the jobs with startable tasks: those within a guarantee first,
// then by urgency, and among equals so that as many as can be are in time.
func (s *shard) order(p *planner, now time.Time) []*job {
	var jobs []*job
	for _, j := range s.jobs {
		if !j.ended && !j.unsure && !now.Before(j.notTill) && j.waiting() > 0 {
			jobs = append(jobs, j)
		}
	}
	rank := func(a, b *job) int {
		if a.within != b.within {
			if a.within {
				return -1
			}
			return 1
		}
		return -cmp.Compare(a.spec.Level(), b.spec.Level())
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(rank(a, b), cmp.Compare(a.atMS, b.atMS), cmp.Compare(a.id, b.id))
	})
	cores := 0.0
	for _, m := range s.machines {
		if m.usable() {
			cores += m.size[0]
		}
	}
	for _, k := range s.coming {
		cores += p.size(k.Breed)[0]
	}
	var out []*job
	for from := 0; from < len(jobs); {
		to := from
		for to < len(jobs) && rank(jobs[from], jobs[to]) == 0 {
			to++
		}
		out = append(out, p.inTurn(jobs[from:to], cores, now)...)
		from = to
	}
	return out
}

// inTurn orders jobs of one rank.
func (p *planner) inTurn(jobs []*job, cores float64, now time.Time) []*job {
	teams := map[string]int{}
	var limits []float64
	dues := make([]placement.Due, len(jobs))
	for i, j := range jobs {
		t, ok := teams[j.spec.Team]
		if !ok {
			t = len(limits)
			teams[j.spec.Team] = t
			limits = append(limits, p.teams[j.spec.Team].limit.Cores)
		}
		dues[i] = placement.Due{Team: t, Work: j.left(now), Last: j.spec.GuessS, Due: p.due(j, now)}
	}
	var out []*job
	for _, i := range placement.Sequence(dues, cores, func(t int) float64 { return limits[t] }) {
		out = append(out, jobs[i])
	}
	return out
}

// due is the seconds left until a job should be done: its deadline, or the
// next time by which its class is expected to be. A job past them all has
// nothing to hurry for.
func (p *planner) due(j *job, now time.Time) float64 {
	waited := now.Sub(j.at).Seconds()
	best := math.Inf(1)
	past := false
	take := func(by float64) {
		if by >= waited+j.spec.GuessS {
			best = min(best, by-waited)
		} else {
			past = true
		}
	}
	if d := j.spec.DueS; d != nil {
		take(*d)
	}
	for _, o := range p.aims {
		if o.Class == j.spec.Class && o.Kind == "finished" {
			take(o.WithinS)
		} else if o.Class == j.spec.Class && o.Kind == "wait" {
			take(o.WithinS + j.spec.GuessS)
		}
	}
	if math.IsInf(best, 1) && past {
		return -1 // late already: steps back
	}
	return best
}

// left is the work that a job still needs, by its owner's guess.
func (j *job) left(now time.Time) float64 {
	work := float64(j.waiting()) * j.spec.GuessS
	for _, r := range j.runs {
		work += j.spec.GuessS
		if !r.began.IsZero() {
			work -= min(j.spec.GuessS, now.Sub(r.began).Seconds())
		}
	}
	return work * j.need[0]
}

type unfit struct {
	job   *job
	count int
}

// plan places waiting tasks, picks victims and works out what to rent.
func (s *shard) plan(p *planner, now time.Time) {
	machines := s.sorted()
	left := s.placeWaiting(machines, p, now)
	s.drain(machines, p, now)
	left = s.preempt(left, machines, p, now)
	s.wantMachines(left, p)
	s.consolidate(left, machines, p, now)
	for _, m := range machines {
		if len(m.runs) > 0 {
			m.idle = now
		}
	}
}

// sorted lists the shard's machines by name, so that a plan does not depend on
// the order of a map.
func (s *shard) sorted() []*machine {
	return slices.SortedFunc(maps.Values(s.machines), func(a, b *machine) int {
		return cmp.Compare(a.block.Machine, b.block.Machine)
	})
}

// placeWaiting places what fits, and returns what does not though its team's
// share would allow it.
func (s *shard) placeWaiting(machines []*machine, p *planner, now time.Time) []unfit {
	unknown := s.unknown()
	clear(s.wanted)
	for name, u := range s.used {
		s.wanted[name] = u
	}
	var left []unfit
	for _, j := range s.order(p, now) {
		waiting := j.waiting()
		w := s.wanted[j.spec.Team]
		w.Cores += float64(waiting) * j.need[0]
		w.Cards += float64(waiting) * j.need[1]
		s.wanted[j.spec.Team] = w
		n := min(waiting, s.room(j, p.teams, unknown))
		if j.spec.Group() && (n < waiting || len(j.runs) > 0) {
			continue // a gang starts whole, and when its last try is over
		}
		placed := s.spread(j, n, machines, p)
		if j.spec.Group() {
			s.join(placed, n)
			if len(placed) < n {
				placed = nil
			}
		}
		if n -= len(placed); n > 0 {
			left = append(left, unfit{j, n})
		}
	}
	s.freed = false
	return left
}

// join makes one try of a gang's runs, or takes them back if some found no
// place.
func (s *shard) join(placed []*run, n int) {
	for _, r := range placed {
		if len(placed) < n {
			s.drop(r)
		} else {
			r.try = placed[0].try
		}
	}
}

// spread places up to n tasks of a job, each on the machine with the lowest
// score after it.
func (s *shard) spread(j *job, n int, machines []*machine, p *planner) []*run {
	var placed []*run
	machines = preferred(j, machines)
	for len(placed) < n {
		i := p.params.Best(len(machines), func(i int) (placement.Vector, placement.Vector, bool) {
			m := machines[i]
			free := m.free()
			if !m.usable() || m.vacate || !free.Fits(j.need) || !j.allows(m.block.Breed, m.block.Zone, m.block.Spot) ||
				!j.zoneOK(m.block.Zone) || j.errOn[m.block.Machine] {
				return placement.Vector{}, placement.Vector{}, false
			}
			return free.Sub(j.need), m.size, true
		})
		if i < 0 {
			break
		}
		t := j.take()
		if t < 0 {
			break
		}
		placed = append(placed, s.place(j, t, machines[i]))
		slog.Debug("placed", "job", j.id, "task", t, "machine", machines[i].block.Machine)
	}
	return placed
}

// preferred puts the machines in the order in which equal scores are decided:
// those that have had the job's image first, and spot before ordinary ones.
func preferred(j *job, machines []*machine) []*machine {
	out := slices.Clone(machines)
	rank := func(m *machine) int {
		r := 0
		if !m.images[j.spec.Image] {
			r = 2
		}
		if !m.block.Spot {
			r++
		}
		return r
	}
	slices.SortStableFunc(out, func(a, b *machine) int { return rank(a) - rank(b) })
	return out
}

// drain stops what can save itself on machines that will be taken.
func (s *shard) drain(machines []*machine, p *planner, now time.Time) {
	for _, m := range machines {
		if m.takenAt.IsZero() && !m.bad {
			continue
		}
		for _, r := range m.runs {
			if !r.sent {
				s.drop(r)
				continue
			}
			save := r.job.spec.SaveTake
			if m.bad {
				r.halt, r.mercy = true, save
			} else if r.job.spec.SaveS > 0 && m.takenAt.Sub(now) < time.Duration((save+1)*float64(time.Second))+p.report*3/2 {
				r.halt, r.mercy = true, save
			}
		}
	}
}

// consolidate empties a machine, the dearest first, when nothing waits and all
// that it runs can save itself and fits on others: as work runs out, machines
// would otherwise be kept for one long task each.
func (s *shard) consolidate(left []unfit, machines []*machine, p *planner, now time.Time) {
	if len(left) > 0 {
		for _, m := range machines {
			m.vacate = false
		}
		return
	}
	for _, m := range machines {
		if m.vacate && len(m.runs) > 0 {
			return // one at a time
		}
	}
	var best *machine
	for _, m := range machines {
		if !m.usable() || m.vacate || len(m.runs) == 0 || !s.movable(m, machines, p, now) {
			continue
		}
		if best == nil || p.price(m.kind()) > p.price(best.kind()) {
			best = m
		}
	}
	if best == nil {
		return
	}
	slog.Info("emptying a machine", "machine", best.block.Machine, "tasks", len(best.runs))
	best.vacate = true
	for _, r := range best.runs {
		r.halt, r.mercy = true, r.job.spec.SaveTake
	}
}

// movable tells whether all that a machine runs may go on elsewhere, on
// machines that are no dearer and are in use anyway, and gains by it.
func (s *shard) movable(m *machine, machines []*machine, p *planner, now time.Time) bool {
	room := map[*machine]placement.Vector{}
	for _, r := range m.runs {
		j := r.job
		ran := now.Sub(r.began)
		// A task stopped within half a minute of its start does not count as
		// started; one about to end is not worth the move.
		if j.spec.SaveS <= 0 || j.spec.Shape != "array" || r.halt || r.status != protocol.Running || ran < 30*time.Second {
			return false
		}
		cost := j.spec.SaveTake + p.report.Seconds() + p.fetch(m.block.Breed, j.spec.ImageGB)
		if j.spec.GuessS-ran.Seconds() < 2*cost {
			return false
		}
		i := p.params.Best(len(machines), func(i int) (placement.Vector, placement.Vector, bool) {
			o := machines[i]
			free := o.free().Sub(room[o])
			ok := o != m && o.usable() && !o.vacate && len(o.runs) > 0 && p.price(o.kind()) <= p.price(m.kind()) &&
				free.Fits(j.need) && j.allows(o.block.Breed, o.block.Zone, o.block.Spot) && j.zoneOK(o.block.Zone)
			return free.Sub(j.need), o.size, ok
		})
		if i < 0 {
			return false
		}
		room[machines[i]] = room[machines[i]].Add(j.need)
	}
	return true
}

func (p *planner) size(breed string) placement.Vector {
	for _, b := range p.breeds {
		if b.Name == breed {
			return sizeOf(b)
		}
	}
	return placement.Vector{}
}

// price is what a machine costs per hour, fetch how long its image takes.
func (p *planner) price(k kind) float64 {
	for _, b := range p.breeds {
		if b.Name == k.Breed && k.Spot {
			return b.LowRate
		} else if b.Name == k.Breed {
			return b.Rate
		}
	}
	return 0
}

func (p *planner) fetch(breed string, gb float64) float64 {
	for _, b := range p.breeds {
		if b.Name == breed && b.FetchGB > 0 {
			return gb / b.FetchGB
		}
	}
	return 0
}

// preempt stops work of lower priority, or beyond a guarantee, for jobs that
// nothing else will serve soon. It returns what remains unserved.
func (s *shard) preempt(left []unfit, machines []*machine, p *planner, now time.Time) []unfit {
	freed := make([]placement.Vector, len(machines))
	for i, m := range machines {
		freed[i] = m.free()
		for _, r := range m.runs {
			if r.halt {
				freed[i] = freed[i].Add(r.job.need)
			}
		}
	}
	var rest []unfit
	for _, u := range left {
		j := u.job
		n := u.count
		eager := p.eager(j, now)
		for n > 0 {
			best, low := -1, 0.0
			var pick []*run
			for i, m := range machines {
				if !m.usable() || !j.allows(m.block.Breed, m.block.Zone, m.block.Spot) || !j.zoneOK(m.block.Zone) || j.errOn[m.block.Machine] {
					continue
				}
				if freed[i].Fits(j.need) {
					best, pick = i, nil
					break
				}
				if !eager {
					continue
				}
				runs, victims := s.victims(j, m, p, now)
				idx, loss := placement.Preempt(freed[i], j.need, victims)
				// Stopping work that costs more than the task itself gains
				// nobody anything.
				if len(idx) > 0 && loss <= j.need[0]*max(j.spec.GuessS, 1) && (best < 0 || loss < low) {
					best, low, pick = i, loss, nil
					for _, k := range idx {
						pick = append(pick, runs[k])
					}
				}
			}
			if best < 0 {
				break
			}
			for _, r := range pick {
				slog.Info("preempting", "job", r.key.job, "task", r.key.task, "for", j.id, "machine", r.m.block.Machine)
				freed[best] = freed[best].Add(r.job.need)
				if !r.sent {
					s.drop(r)
					continue
				}
				r.halt, r.mercy = true, r.job.spec.SaveTake
			}
			freed[best] = freed[best].Sub(j.need)
			n--
		}
		if n > 0 {
			rest = append(rest, unfit{j, n})
		}
	}
	return rest
}

// eager tells whether a job is to be served at others' cost: one within its
// team's guarantee after a while, and an urgent one when it would otherwise
// miss its deadline, but still can keep it. An urgent job that merely waits is
// served as tasks end; were it to stop others, those would stop others in turn.
func (p *planner) eager(j *job, now time.Time) bool {
	waited := now.Sub(j.at)
	if j.within {
		return waited > 2*p.report
	}
	if j.spec.Level() < protocol.High {
		return false
	}
	if j.spec.DueS == nil {
		return j.spec.Level() == protocol.Prod || waited > 4*p.report
	}
	slack := *j.spec.DueS - waited.Seconds() - j.spec.GuessS
	return slack > 0 && slack < 4*p.report.Seconds()
}

// victims lists what may be stopped on a machine in favour of a job.
func (s *shard) victims(j *job, m *machine, p *planner, now time.Time) ([]*run, []placement.Victim) {
	var runs []*run
	var victims []placement.Victim
	for _, r := range m.runs {
		v := r.job
		if r.halt || v.ended {
			continue
		}
		lower := v.spec.Level() < j.spec.Level() && (j.within || !v.within)
		g := p.teams[v.spec.Team].guarantee
		beyond := j.within && !v.within && v.spec.Team != j.spec.Team &&
			p.usage[v.spec.Team].Cores-v.need[0] >= g.Cores && p.usage[v.spec.Team].Cards-v.need[1] >= g.Cards
		if !lower && !beyond {
			continue
		}
		lost := 0.0
		if !r.began.IsZero() {
			lost = now.Sub(r.began).Seconds()
			if v.spec.SaveS > 0 {
				lost = min(lost, v.spec.SaveTake)
			}
		}
		runs = append(runs, r)
		victims = append(victims, placement.Victim{Need: v.need, Loss: (lost + 1) * max(v.need[0], 0.1)})
	}
	return runs, victims
}

// wantMachines works out which machines to rent for tasks that fit nowhere:
// first those already on their way are filled, then the best-scoring type is
// added for each task that is left.
func (s *shard) wantMachines(left []unfit, p *planner) {
	type bin struct {
		k          kind
		free, size placement.Vector
		fresh      bool
	}
	size := map[string]placement.Vector{}
	for _, b := range p.breeds {
		size[b.Name] = sizeOf(b)
	}
	var bins []*bin
	for _, k := range s.coming {
		bins = append(bins, &bin{k, size[k.Breed], size[k.Breed], false})
	}
	s.fits = s.fits[:0]
	for _, u := range left {
		j := u.job
		kinds := j.kinds(p)
		for _, k := range kinds {
			if !slices.Contains(s.fits, k) {
				s.fits = append(s.fits, k)
			}
		}
		for range u.count {
			i := p.params.Best(len(bins), func(i int) (placement.Vector, placement.Vector, bool) {
				b := bins[i]
				ok := b.free.Fits(j.need) && j.allows(b.k.Breed, b.k.Zone, b.k.Spot)
				return b.free.Sub(j.need), b.size, ok
			})
			if i < 0 {
				k, ok := s.bestKind(j, kinds, p, size)
				if !ok {
					break
				}
				bins = append(bins, &bin{k, size[k.Breed], size[k.Breed], true})
				i = len(bins) - 1
			}
			bins[i].free = bins[i].free.Sub(j.need)
		}
	}
	count := map[kind]int{}
	for _, b := range bins {
		if b.fresh {
			count[b.k]++
		}
	}
	s.rent = s.rent[:0]
	for k, n := range count {
		s.rent = append(s.rent, rentWant{k, n})
	}
	slices.SortFunc(s.rent, func(a, b rentWant) int {
		return cmp.Or(cmp.Compare(a.Kind.Breed, b.Kind.Breed), cmp.Compare(a.Kind.Zone, b.Kind.Zone))
	})
}

// kinds lists the machines on which a job's tasks may run, in catalog order.
func (j *job) kinds(p *planner) []kind {
	var out []kind
	for _, b := range p.breeds {
		if !sizeOf(b).Fits(j.need) {
			continue
		}
		for _, z := range b.Zones {
			for _, spot := range []bool{true, false} {
				if j.allows(b.Name, z, spot) {
					out = append(out, kind{b.Name, z, spot})
				}
			}
		}
	}
	return out
}

// hosts tells whether a job's tasks fit on some machine of the shard once it is
// free, or on one that is on its way: then they can wait for it.
func (s *shard) hosts(j *job) bool {
	for _, m := range s.machines {
		if m.usable() && m.size.Fits(j.need) && j.allows(m.block.Breed, m.block.Zone, m.block.Spot) {
			return true
		}
	}
	return len(s.coming) > 0
}

// bestKind picks what to rent: spot machines where any can be had, and among
// those the best-scoring type, in the zone with the fewest of ours.
func (s *shard) bestKind(j *job, kinds []kind, p *planner, size map[string]placement.Vector) (kind, bool) {
	var can []kind
	for _, spot := range []bool{true, false} {
		for _, k := range kinds {
			if k.Spot == spot && !p.refused(k) && j.zoneOK(k.Zone) {
				can = append(can, k)
			}
		}
		if len(can) > 0 || spot && j.spec.Spot && !j.within && j.spec.Level() < protocol.High && s.hosts(j) {
			break
		}
	}
	if len(can) == 0 {
		return kind{}, false
	}
	inZone := map[string]int{}
	for _, m := range s.machines {
		inZone[m.block.Zone]++
	}
	for _, k := range s.coming {
		inZone[k.Zone]++
	}
	slices.SortStableFunc(can, func(a, b kind) int { return inZone[a.Zone] - inZone[b.Zone] })
	i := p.params.Best(len(can), func(i int) (placement.Vector, placement.Vector, bool) {
		v := size[can[i].Breed]
		return v.Sub(j.need), v, true
	})
	return can[i], true
}

func sizeOf(b protocol.Breed) placement.Vector {
	return placement.Vector{b.Cores, b.Cards, b.RAM}
}
