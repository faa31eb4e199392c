//go:build review

package main

import "time"

// playManyTasks: a job of many small tasks, which all fit on one machine.
func playManyTasks(r *caseRun) int {
	job := jobSpec{"wk-000001", "mazers", "solvecheck", "normal", 1600, 5, 0.02, 0.1, bison.name, false}
	if !r.trouble {
		job.parts, job.cores, job.ram = 160, 0.2, 1
	}
	machine := offer{bison.name, "saskatoon", false}
	p, err := startDeployment(r, map[offer]int{machine: 1}, machine)
	if err != nil {
		return r.fail("%v", err)
	}
	p.describe(job)
	m := p.machines()[0]
	if !p.submit(job, 0, 15*time.Second) {
		return r.fail("the job is not accepted")
	}
	done := waitFor(45*time.Second, func() bool {
		time.Sleep(time.Second)
		return p.poll(job.id) == "done"
	})
	m.mu.Lock()
	longest, started, refused := m.longest, len(m.starts), m.refused
	m.mu.Unlock()
	r.logf("direct commands over 64 KiB: %d", refused)
	r.logf("user: GET %s: %s; %d of %d tasks were started", job.id, p.poll(job.id), started, job.parts)
	if longest > maxBytes {
		r.logf("responses to the worker had lines of up to %d bytes", longest)
		return ruleBroken
	}
	if !done {
		return r.fail("the job is not done")
	}
	return ruleHeld
}
