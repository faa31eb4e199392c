package coordination

import (
	"log/slog"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
)

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
