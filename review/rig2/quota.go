//go:build review

package main

import "time"

// maxWait is the bound of the rule: no job is left waiting for 90 s while a machine that
// fits has room and its team is under its limit.
const maxWait = 90 * time.Second

// teamLimit is the limit of mazers, in cores.
const teamLimit = 112.0

// playFreeQuota: a team has a job of long tasks and a job of 100,000 tasks of four cores that
// waits for its limit, in two shards. A third job of tasks of one core comes, while fewer than
// four cores of the limit are free.
func playFreeQuota(r *caseRun) int {
	long := jobSpec{"wk-000001", "mazers", "piececut", "normal", 45, 100, 1, 1.6, badger.name, true}
	other := jobSpec{"wk-000002", "cutters", "thumbnail", "low", 20, 50, 1, 1.6, gopher.name, false}
	large := jobSpec{"wk-000003", "mazers", "piececut", "normal", 100000, 25, 4, 2.7, bison.name, true}
	victim := jobSpec{"wk-000004", "mazers", "solvecheck", "normal", 3, 4, 1, 1.6, badger.name, true}
	p, err := startDeployment(r, map[offer]int{
		{badger.name, "saskatoon", true}: 3, {badger.name, "saskatoon", false}: 2,
		{badger.name, "regina", true}: 3, {badger.name, "regina", false}: 2,
		{bison.name, "saskatoon", true}: 3, {bison.name, "saskatoon", false}: 1,
		{gopher.name, "saskatoon", false}: 1,
	})
	if err != nil {
		return r.fail("%v", err)
	}
	p.describe(long, other, large, victim)
	if !p.submit(other, 0, 10*time.Second) || !p.submit(long, 0, 5*time.Second) ||
		!waitFor(20*time.Second, func() bool { return p.running(long.id) == long.parts }) {
		return r.fail("%d of %d tasks of the first job run", p.running(long.id), long.parts)
	}
	r.logf("all tasks of %s run", long.id)
	if r.trouble {
		if !p.submit(large, 1, 5*time.Second) || !waitFor(15*time.Second, func() bool { return p.running(large.id) >= 16 }) {
			return r.fail("%d tasks of the large job run", p.running(large.id))
		}
	}
	if !p.submit(victim, 0, 5*time.Second) {
		return r.fail("the job is not accepted")
	}
	begun, lastLogged := time.Now(), time.Time{}
	for time.Since(begun) < maxWait+500*time.Millisecond {
		if n := p.running(victim.id); n > 0 || p.poll(victim.id) == "done" {
			r.logf("user: %s runs after %.1f s", victim.id, time.Since(begun).Seconds())
			return ruleHeld
		}
		used, room := p.usage("mazers"), p.room(badger.name)
		if time.Since(lastLogged) > 10*time.Second {
			lastLogged = time.Now()
			r.logf("user: GET %s: %s; mazers use %.0f of %.0f cores; a badger has %.0f free", victim.id, p.poll(victim.id), used, teamLimit, room)
		}
		if used+victim.cores > teamLimit || room < victim.cores {
			begun = time.Now() // only an unbroken wait beside room counts
		}
		if time.Since(r.begun) > runLimit-2*time.Second {
			return r.fail("no unbroken wait of 90 s beside room")
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.logf("%s has waited for %.1f s, beside room and under its team's limit all the time", victim.id, time.Since(begun).Seconds())
	return ruleBroken
}

// running returns how many tasks of a job are on machines.
func (p *platform) running(job string) int {
	count := 0
	for _, m := range p.machines() {
		count += m.countOf(job)
	}
	return count
}

// usage returns the cores that a team's tasks take.
func (p *platform) usage(team string) float64 {
	used := 0.0
	for _, j := range p.jobs {
		if j.team == team {
			used += float64(p.running(j.id)) * j.cores
		}
	}
	return used
}

// room returns the most cores that are free on a machine of a type.
func (p *platform) room(breed string) float64 {
	most := 0.0
	for _, m := range p.machines() {
		if m.offer.breed == breed && m.address() != "" {
			most = max(most, m.freeCores())
		}
	}
	return most
}
