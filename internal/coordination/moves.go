package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"time"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// move is the transfer of a job to another shard, one write of its record.
type move struct {
	s   *shard
	j   *job
	to  int
	txn protocol.Txn
}

// moveJobs gives jobs of which nothing is placed to shards that will come to
// them sooner. A job that leaves is not placed until the record shows where it
// is: a write that was not answered may still be applied, and is repeated
// until it is known to have been, or to have failed for good.
func (n *Node) moveJobs(ctx context.Context) {
	n.mu.Lock()
	now := n.now()
	var moves []move
	for i, s := range n.shards {
		for _, j := range s.jobs {
			if j.leaving && !j.saving && j.movedTo >= 0 {
				moves = append(moves, n.moveOf(s, j, j.movedTo))
			}
		}
		if len(moves) == 0 && n.state.Spare() > 0 {
			if j, to := n.pickMove(s, now); j != nil {
				slog.Info("moving a job", "job", j.id, "from", i, "to", to)
				moves = append(moves, n.moveOf(s, j, to))
			}
		}
	}
	for _, m := range moves {
		m.j.leaving, m.j.saving, m.j.movedTo = true, true, m.to
	}
	n.mu.Unlock()
	for _, m := range moves {
		_, err := n.state.Multi(ctx, m.txn)
		n.mu.Lock()
		m.j.saving = false
		switch {
		case errors.Is(err, storage.ErrRefused):
			// Not executed, unless an earlier try was.
			if !m.j.unsureMove {
				m.j.leaving = false
			}
		case err == nil || errors.Is(err, storage.ErrConflict):
			m.j.movedTo = -1 // the record has changed, and will tell
		default:
			m.j.unsureMove = true
		}
		n.mu.Unlock()
	}
}

func (n *Node) moveOf(s *shard, j *job, to int) move {
	rec := n.jobs[j.id].rec
	rec.Shard = to
	if n.switched() {
		rec.Done = "" // kept in parts
	} else {
		rec.Done = j.done.Fit(int(n.set.Deployment.State.ValueKB*1024) * 3 / 4)
	}
	return move{s, j, to, protocol.Txn{
		When:   []protocol.Cond{{Path: storage.ShardKey(s.index), Stamp: s.stamp}, {Path: storage.JobKey(j.id), Stamp: j.stamp}},
		Writes: []protocol.Write{{Put: storage.JobKey(j.id), Data: rec}}}}
}

// moveGain is how much sooner a job's turn has to come for a move.
const moveGain = 1.2

// pickMove finds a job to move from a shard that lacks machines, the one that
// would be placed last first, and the shard that will get round to it sooner.
func (n *Node) pickMove(s *shard, now time.Time) (*job, int) {
	loads := n.loads(now)
	settle := 2 * config.Seconds(n.set.Deployment.Workers.ReportS)
	for _, j := range slices.Backward(s.queue) {
		if s.jobs[j.id] != j || len(j.runs) > 0 || j.unsure || j.ended || j.saving || j.leaving || j.waiting() == 0 || n.jobs[j.id] == nil {
			continue
		}
		if n.switched() && len(n.unsavedParts(j)) > 0 {
			continue // the move would lose what only the old record tells
		}
		// What the shards have and wait for is known from records and words of
		// a while ago: a job that has just come is not sent on.
		if now.Sub(j.came) < settle {
			continue
		}
		c := float64(j.waiting()) * j.need[0]
		from := loads.shards[s.index]
		if from.turn(0) <= 1 {
			return nil, 0
		}
		if !n.exhausted(&j.spec) {
			// Machines can be had, here or where records have room for them.
			if to := n.openShard(loads); to >= 0 && to != s.index && n.fullShard(s.index, s.awaited()) {
				return j, to
			}
			continue
		}
		best, low := -1, math.Inf(1)
		for i, to := range loads.shards {
			if turn := to.turn(c); i != s.index && to.have > 0 && turn < low {
				best, low = i, turn
			}
		}
		if best >= 0 && low*moveGain < from.turn(0) {
			return j, best
		}
	}
	return nil, 0
}

// fullShard tells whether a shard's record has no room for more machines than
// it has and those on their way.
func (n *Node) fullShard(i, coming int) bool {
	return len(n.grantRecs[i].v.Blocks)+coming >= n.capacity()
}

// openShard picks the shard that lacks least among those with room in their
// records, or -1.
func (n *Node) openShard(l loads) int {
	best := -1
	for i := range l.shards {
		if !n.fullShard(i, 0) && (best < 0 || lessLack(l.shards[i], l.shards[best], 0, false) < 0) {
			best = i
		}
	}
	return best
}

// shardLoad is what a shard's jobs ask for, and what its machines have, in
// processors.
type shardLoad struct{ cores, have float64 }

// turn is how many times over a shard's machines would be filled, with so much
// more to do.
func (l shardLoad) turn(more float64) float64 {
	if l.have <= 0 {
		return math.Inf(1)
	}
	return (l.cores + more) / l.have
}

// lessLack orders shards by what they lack, or by their turn.
func lessLack(a, b shardLoad, more float64, byTurn bool) int {
	if byTurn {
		return cmp.Compare(a.turn(more), b.turn(more))
	}
	return cmp.Compare(a.cores-a.have, b.cores-b.have)
}
