//go:build review

package main

import "time"

// maxWait is the bound of the rule: no job is left waiting for 90 s while a machine that
// fits has room and its team is under its limit.
const maxWait = 90 * time.Second

// playSickMachine: the one machine that fits is sick for a few seconds, in which it fails a
// job's only task. After that it is sound, has room, and runs other jobs.
func playSickMachine(r *caseRun) int {
	long := smallJob("wk-000001", "cutters", "thumbnail", "low", 1, 116)
	victim := smallJob("wk-000002", "proofers", "proofrun", "high", 1, 4)
	after := smallJob("wk-000003", "proofers", "proofrun", "high", 1, 4)
	p, err := startDeployment(r, gopher)
	if err != nil {
		return r.fail("%v", err)
	}
	p.describe(long, victim, after)
	m := p.machine()
	if !p.submit(long, 15*time.Second) || !waitFor(12*time.Second, func() bool { return len(m.startsOf(long.id)) > 0 }) {
		return r.fail("the first job does not run")
	}
	if r.trouble {
		m.set(true, false)
		r.logf("%s is sick: it fails every task that it starts", m.id)
	}
	if !p.submit(victim, 5*time.Second) || !waitFor(8*time.Second, func() bool { return len(m.startsOf(victim.id)) > 0 }) {
		return r.fail("the job is not started")
	}
	time.Sleep(500 * time.Millisecond)
	m.set(false, false)
	r.logf("%s is sound from now on", m.id)
	return r.awaitJob(p, m, victim, after)
}

// playSlowMachine: the one machine that fits runs its tasks at a third of the speed for some
// seconds. After that it is as fast as before and has room.
func playSlowMachine(r *caseRun) int {
	long := smallJob("wk-000001", "cutters", "thumbnail", "low", 1, 125)
	batch := smallJob("wk-000002", "mazers", "piececut", "normal", 5, 4)
	victim := smallJob("wk-000003", "proofers", "proofrun", "high", 1, 4)
	p, err := startDeployment(r, gopher)
	if err != nil {
		return r.fail("%v", err)
	}
	p.describe(long, batch, victim)
	m := p.machine()
	if !p.submit(long, 15*time.Second) || !waitFor(8*time.Second, func() bool { return len(m.startsOf(long.id)) > 0 }) {
		return r.fail("the first job does not run")
	}
	// Three tasks of the batch run at the usual speed beside the long one, then the other two.
	if !p.submit(batch, 5*time.Second) || !waitFor(15*time.Second, func() bool { return len(m.startsOf(batch.id)) == batch.parts }) {
		return r.fail("the batch does not run")
	}
	slowSince := time.Now()
	if r.trouble {
		m.set(false, true)
		r.logf("%s runs its tasks at a third of the speed", m.id)
	}
	if !waitFor(20*time.Second, func() bool { return p.poll(batch.id) == "done" }) {
		return r.fail("the batch does not end")
	}
	m.set(false, false)
	r.logf("%s is as fast as before from now on, after %.1f s", m.id, time.Since(slowSince).Seconds())
	if !p.submit(victim, 5*time.Second) {
		return r.fail("the job is not accepted")
	}
	return r.awaitJob(p, m, victim, jobSpec{})
}

// awaitJob waits until an accepted job is done. It returns ruleBroken if the job is still
// waiting after maxWait, while the machine had room for it all the time.
func (r *caseRun) awaitJob(p *platform, m *worker, victim, after jobSpec) int {
	begun := time.Now()
	before := len(m.startsOf(victim.id))
	if after.id != "" {
		if !p.submit(after, 5*time.Second) || !waitFor(25*time.Second, func() bool { return p.poll(after.id) == "done" }) {
			return r.fail("%s does not run on the sound machine either", after.id)
		}
		r.logf("user: %s is done: the machine is sound, has room and the team is under its limit", after.id)
	}
	lastLogged := time.Time{}
	for time.Since(begun) < maxWait+500*time.Millisecond {
		status := p.poll(victim.id)
		if time.Since(lastLogged) > 10*time.Second {
			lastLogged = time.Now()
			r.logf("user: GET %s: %s; on %s: %s", victim.id, status, m.id, m.states())
		}
		if status == "done" {
			r.logf("user: %s is done after %.1f s", victim.id, time.Since(begun).Seconds())
			return ruleHeld
		}
		if p.machine() != m {
			return r.fail("the machine was released")
		}
		if len(m.startsOf(victim.id)) > before {
			r.logf("%s was started after %.1f s", victim.id, time.Since(begun).Seconds())
			if waitFor(15*time.Second, func() bool { return p.poll(victim.id) == "done" }) {
				return ruleHeld
			}
			return r.fail("the job was started and is not done")
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.logf("%s has waited for %.1f s and was not started, while %s had room for it: %s", victim.id, time.Since(begun).Seconds(), m.id, m.states())
	return ruleBroken
}
