package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/storage"
)

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

// takes tells whether a machine may get one more task of a job, room apart.
func (j *job) takes(m *machine) bool {
	return m.usable() && !m.vacate && j.suits(m) && (m.exchange.CountUnanswered() == 0 || !m.mayArrive(j.id))
}

// suits tells whether one more task of a job may run on a machine beside its
// others, whatever else is there.
func (j *job) suits(m *machine) bool {
	return j.allows(m.block.Breed, m.block.Zone, m.block.Spot) && !j.errOn[m.block.Machine] && j.zoneOK(m.block.Zone)
}

// lateOf tells whether a copy of a start of one of a job's tasks may still come
// to a machine. Another attempt there would take the place of the one that
// makes the copy harmless.
func (m *machine) mayArrive(id string) bool {
	for k := range m.exchange.Unanswered() {
		if k.job == id {
			return true
		}
	}
	return false
}

// room tells how many more tasks of a job its team's share allows.
func (s *shard) room(j *job, teams map[string]team, unknown storage.Amount) int {
	t, used, share := teams[j.spec.Team], s.used[j.spec.Team], s.shares[j.spec.Team]
	if c, ok := s.caps[j.spec.Team]; ok {
		share = least(share, c)
	}
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

// placeWaiting places what fits, and returns what does not though its team's
// share would allow it. It leaves the jobs with tasks to start in s.queue.
func (s *shard) placeWaiting(machines []*machine, p *planner) []unfit {
	unknown := s.unknown()
	clear(s.wanted)
	for name, u := range s.used {
		s.wanted[name] = u
	}
	least := leastNeed(s.queue)
	var open []*machine
	for _, m := range machines {
		if m.usable() && !m.vacate && m.free().Fits(least) {
			open = append(open, m)
		}
	}
	var left []unfit
	claimed := map[string]storage.Amount{} // by what is left, per team
	for _, j := range s.queue {
		waiting := j.waiting()
		w := s.wanted[j.spec.Team]
		w.Cores += float64(waiting) * j.need[0]
		w.Cards += float64(waiting) * j.need[1]
		s.wanted[j.spec.Team] = w
		n := min(waiting, s.room(j, p.teams, unknown))
		if j.spec.Group() && (n < waiting || len(j.runs) > 0) {
			continue // a gang starts whole, and when its last try is over
		}
		placed := s.spread(j, n, open, p)
		if j.spec.Group() {
			s.join(placed, n)
			if len(placed) < n {
				placed = nil
			}
		}
		c := claimed[j.spec.Team]
		if n = min(n-len(placed), s.room(j, p.teams, storage.Amount{Cores: unknown.Cores + c.Cores, Cards: unknown.Cards + c.Cards})); n > 0 {
			left = append(left, unfit{j, n})
			c.Cores += float64(n) * j.need[0]
			c.Cards += float64(n) * j.need[1]
			claimed[j.spec.Team] = c
		}
	}
	s.freed = false
	s.measureUnits()
	return left
}

// measureUnits notes the least that one of a team's waiting tasks takes.
func (s *shard) measureUnits() {
	clear(s.units)
	smaller := func(a, b float64) float64 { // 0: none yet
		if a == 0 || b > 0 && b < a {
			return b
		}
		return a
	}
	for _, j := range s.queue {
		if j.waiting() > 0 {
			u := s.units[j.spec.Team]
			s.units[j.spec.Team] = storage.Amount{Cores: smaller(u.Cores, j.need[0]), Cards: smaller(u.Cards, j.need[1])}
		}
	}
}

// fill places waiting tasks on a machine on which room has come free, in the
// order of the last plan. That plan left no task that fits on another machine,
// so the lowest score is to be had here; gangs wait for the next plan.
func (s *shard) fill(m *machine, teams map[string]team) {
	s.freed = false
	if !m.usable() || m.vacate {
		return
	}
	free := m.free()
	var unknown storage.Amount
	known := false
	for _, j := range s.queue {
		if !free.Fits(j.need) {
			continue
		}
		if s.jobs[j.id] != j || j.unsure || j.held || j.leaving || j.spec.Group() || j.waiting() == 0 || !j.takes(m) {
			continue
		}
		if !known { // it looks at every machine, and most reports leave no room for anything
			unknown, known = s.unknown(), true
		}
		for n := s.room(j, teams, unknown); n > 0 && free.Fits(j.need) && j.zoneOK(m.block.Zone); n-- {
			t := j.take()
			if t < 0 {
				break
			}
			s.place(j, t, m)
			free = m.free()
		}
	}
}

// join makes one try of a gang's runs, or takes them back if some found no
// place.
func (s *shard) join(placed []*run, n int) {
	for _, r := range placed {
		if len(placed) < n {
			s.drop(r)
		} else {
			r.attempt = placed[0].attempt
		}
	}
}

// spread places up to n tasks of a job, each on the machine with the lowest
// score after it.
func (s *shard) spread(j *job, n int, open []*machine, p *planner) []*run {
	if n == 0 {
		return nil
	}
	pick := p.params.Picker(j.need)
	for i, m := range open {
		if m.free().Fits(j.need) && j.takes(m) {
			pick.Offer(i, m.free(), m.size, preference(j, m, s.since))
		}
	}
	var placed []*run
	for len(placed) < n {
		i := pick.Best()
		if i < 0 {
			break
		}
		if !j.zoneOK(open[i].block.Zone) {
			pick.Drop()
			continue
		}
		t := j.take()
		if t < 0 {
			break
		}
		pick.Take()
		placed = append(placed, s.place(j, t, open[i]))
		slog.Debug("placed", "job", j.id, "task", t, "machine", open[i].block.Machine)
	}
	return placed
}

// preference decides equal scores: machines that have had the job's image
// first, then spot before ordinary ones, then those that will report, and so
// get their orders, soonest.
func preference(j *job, m *machine, since time.Time) int {
	r := 0
	if !m.images[j.spec.Image] {
		r = 2
	}
	if !m.block.Spot {
		r++
	}
	const soonest = 1 << 32
	return r*soonest + int(m.answered.Sub(since)/(100*time.Millisecond))
}

// leastNeed is what every one of the jobs' tasks needs at least.
func leastNeed(jobs []*job) placement.Vector {
	if len(jobs) == 0 {
		return placement.Vector{}
	}
	least := jobs[0].need
	for _, j := range jobs[1:] {
		for d := range least {
			least[d] = min(least[d], j.need[d])
		}
	}
	return least
}
