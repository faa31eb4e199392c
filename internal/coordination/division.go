package coordination

import (
	"math"
	"slices"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// pending is a job that this controller gave a shard, until its record shows.
type pending struct {
	load  load
	shard int
	at    time.Time
}

// load is what a job asks for.
type load struct {
	team     string
	cores    float64
	machines float64 // of the type that suits it best
}

// loadOf weighs tasks of a job.
func (n *Node) loadOf(sp *protocol.Job, tasks int) load {
	l := load{team: sp.Team, cores: float64(tasks) * sp.Cores}
	need := placement.Vector{sp.Cores, sp.Cards, sp.RAM}
	params := placement.Params{A: n.op.A, B: n.op.B, C: n.op.C}
	i := params.Best(len(n.catalog), func(i int) (placement.Vector, placement.Vector, bool) {
		size := sizeOf(n.catalog[i])
		return size.Sub(need), size, size.Fits(need) && (len(sp.Breeds) == 0 || slices.Contains(sp.Breeds, n.catalog[i].Name))
	})
	if i < 0 {
		return l
	}
	part := 0.0
	for d, size := range sizeOf(n.catalog[i]) {
		if size > 0 {
			part = max(part, need[d]/size)
		}
	}
	l.machines = float64(tasks) * part
	return l
}

// loads sums what the jobs still ask for: in all, in machines, and of every
// shard, in processors that its machines lack (below 0: that they have to
// spare). What a team asks for beyond its limit does not count in all: no
// machine will run it.
func (n *Node) loads(now time.Time) (lack []float64, total float64) {
	lack = make([]float64, n.op.Shards)
	for i := range lack {
		for _, b := range n.grantRecs[i].v.Blocks {
			lack[i] -= n.sizes[b.Breed][0]
		}
	}
	teams := map[string]load{}
	add := func(shard int, l load) {
		if shard < len(lack) {
			lack[shard] += l.cores
		}
		t := teams[l.team]
		t.cores += l.cores
		t.machines += l.machines
		teams[l.team] = t
	}
	for _, jr := range n.jobs {
		add(jr.rec.Shard, n.loadOf(&jr.rec.Spec, jr.rec.Spec.Tasks-jr.done))
	}
	for id, p := range n.pending {
		if n.jobs[id] != nil || now.Sub(p.at) > 2*unseen {
			delete(n.pending, id)
			continue
		}
		add(p.shard, p.load)
	}
	for name, t := range teams {
		if limit := n.teams[name].limit.Cores; limit > 0 && t.cores > limit {
			t.machines *= limit / t.cores
		}
		total += t.machines
	}
	return lack, total
}

// shardFor picks the shard of a new job. As many shards are open as it takes
// for each to have no more machines than one controller can serve; work that
// one can serve stays together, since machines that are split among shards are
// left partly empty in each. Of the open ones that gets the job whose machines
// lack least, or have most to spare.
func (n *Node) shardFor(j *protocol.Job, now time.Time) int {
	lack, need := n.loads(now)
	mine := n.loadOf(j, j.Tasks)
	need += mine.machines
	blocks := float64(len(n.owner))
	if n.exhausted(j) {
		// No more machines are to be had, whatever is asked for.
		need = 0
	}
	open := int(math.Ceil(max(need, blocks) / float64(n.op.Fill)))
	open = min(max(open, 1), n.op.Shards)
	// Controllers that know of no difference begin with different shards.
	best := n.number % open
	for k := range open {
		if i := (n.number + k) % open; lack[i] < lack[best] {
			best = i
		}
	}
	n.pending[j.ID] = pending{mine, best, now}
	return best
}

// exhausted tells whether the cloud has none of the machines that a job would
// have rented.
func (n *Node) exhausted(j *protocol.Job) bool {
	k := n.newJob(&jobRec{rec: storage.Job{Spec: *j}})
	some := false
	for _, k := range k.kinds(&planner{breeds: n.catalog}) {
		if k.Spot != j.Spot {
			continue
		}
		if !n.now().Before(n.refuse[k]) {
			return false
		}
		some = true
	}
	return some
}
