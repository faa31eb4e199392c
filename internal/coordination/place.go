package coordination

import (
	"log/slog"
	"slices"
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
