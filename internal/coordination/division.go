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

// loads is what all jobs still ask for.
type loads struct {
	shards   []shardLoad
	machines float64
}

// loads sums what the jobs still ask for. What a team asks for beyond its
// limit does not count in machines: none will run it.
func (n *Node) loads(now time.Time) loads {
	l := loads{shards: make([]shardLoad, n.op.Shards)}
	for i := range l.shards {
		for _, b := range n.grantRecs[i].v.Blocks {
			l.shards[i].have += n.sizes[b.Breed][0]
		}
	}
	for ss := range n.heldElsewhere() {
		l.shards[ss.Index].have += ss.Booting
	}
	for i, s := range n.shards {
		l.shards[i].have += n.booting(s)
	}
	teams := map[string]load{}
	add := func(shard int, x load) {
		if shard < len(l.shards) {
			l.shards[shard].cores += x.cores
		}
		t := teams[x.team]
		t.cores += x.cores
		t.machines += x.machines
		teams[x.team] = t
	}
	for _, jr := range n.jobs {
		if jr.waiting() {
			continue
		}
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
		l.machines += t.machines
	}
	return l
}

// booting sums the processors of the machines on their way to a shard.
func (n *Node) booting(s *shard) float64 {
	cores := 0.0
	for _, w := range s.coming {
		cores += float64(w.Count) * n.sizes[w.Kind.Breed][0]
	}
	return cores
}

// shardFor picks the shard of a new job. As many shards are open as it takes
// for each record to hold its machines and for each holder to have processor
// time to spare: work that one can serve stays together, since machines that
// are split among shards are left partly empty in each. Of the open ones that
// gets the job whose machines lack least, or, when no more are to be had, will
// get round to it first.
func (n *Node) shardFor(j *protocol.Job, now time.Time) int {
	l := n.loads(now)
	mine := n.loadOf(j, j.Tasks)
	need := l.machines + mine.machines
	none := n.exhausted(j)
	if none {
		need = 0
	}
	want := max(1, int(math.Ceil(max(need, float64(len(n.owner)))/float64(min(n.op.Fill, n.capacity())))))
	var open, able []int
	for i := 0; i < n.op.Shards && len(able) < want; i++ {
		open = append(open, i)
		if !n.tooBusyFor(i) {
			able = append(able, i)
		}
	}
	if len(able) > 0 {
		open = able
	}
	// Controllers that know of no difference begin with different shards.
	best := open[n.number%len(open)]
	for k := range open {
		if i := open[(n.number+k)%len(open)]; lessLack(l.shards[i], l.shards[best], mine.cores, none) < 0 {
			best = i
		}
	}
	if len(j.Waits) == 0 {
		n.pending[j.ID] = pending{mine, best, now}
	}
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
