package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"reedtrack/internal/stages"
)

// What the record of stages is told; with none (s.stages is nil) it is nothing
// but a look at a pointer.

func (s *shard) notePlaced(r *run) {
	if s.stages == nil {
		return
	}
	now, j := time.Now(), r.job
	r.placed = now
	if r.key.task != j.next-1 {
		return // not its first try
	}
	could := j.came
	if j.sure.After(could) {
		could = j.sure
	}
	s.stages.Note(j.spec.Class, stages.Known, j.came.Sub(j.at))
	s.stages.Note(j.spec.Class, stages.Gate, could.Sub(j.came))
	wait := stages.Room
	if r.m.granted.After(could) {
		wait = stages.Boot
	}
	s.stages.Note(j.spec.Class, wait, now.Sub(could))
}

func (s *shard) noteBegan(r *run) {
	if s.stages == nil || r.placed.IsZero() || r.out.IsZero() {
		return
	}
	s.stages.Note(r.job.spec.Class, stages.Carry, r.out.Sub(r.placed))
	s.stages.Note(r.job.spec.Class, stages.Fetch, r.began.Sub(r.out))
}

func (s *shard) noteRan(r *run, now time.Time) {
	if s.stages == nil {
		return
	}
	s.stages.Note(r.job.spec.Class, stages.Run, now.Sub(r.began))
	if r.job.complete() {
		r.job.over = now
	}
}

func (s *shard) noteLost(r *run) {
	if s.stages != nil && !r.placed.IsZero() && !r.job.done.Has(r.key.task) {
		s.stages.Note(r.job.spec.Class, stages.Lost, time.Since(r.placed))
	}
}

func (s *shard) noteSure(j *job) {
	if s.stages != nil && j.unsure {
		j.sure = time.Now()
	}
}

// tellStages logs where the time went since the start, and more often what the
// shards have, use and lack.
func (n *Node) tellStages(ctx context.Context) {
	const pictures = 5
	for i := 1; ctx.Err() == nil; i++ {
		sleep(ctx, n.op.Stages/pictures)
		n.mu.Lock()
		for _, k := range n.shardNumbers() {
			slog.Info("picture", "shard", k, "of", n.shards[k].picture())
		}
		n.mu.Unlock()
		if i%pictures == 0 {
			for _, l := range n.stages.Lines() {
				slog.Info("stages", "of", l.String())
			}
		}
	}
}

// picture is what a shard has, uses and lacks, in processors, and for each
// class how many tasks run and wait, those within a guarantee apart.
func (s *shard) picture() string {
	var have, used, wide, unready, silent, booting float64
	for _, m := range s.machines {
		switch {
		case m.usable():
			have += m.size[0]
			used += m.used[0]
			if free := m.size[0] - m.used[0]; free >= 4 {
				wide += free
			}
		case m.expired:
			silent += m.size[0]
		default:
			unready += m.size[0]
		}
	}
	for _, w := range s.coming {
		booting += float64(w.Count)
	}
	type count struct{ runs, waits, within, unsure int }
	by := map[string]*count{}
	for _, j := range s.jobs {
		c := by[j.spec.Class]
		if c == nil {
			c = &count{}
			by[j.spec.Class] = c
		}
		c.runs += len(j.runs)
		w := j.waiting()
		c.waits += w
		if j.within {
			c.within += w
		}
		if j.unsure {
			c.unsure += w
		}
	}
	out := fmt.Sprintf("machines=%d cores=%.0f used=%.0f wide=%.0f unready=%.0f silent=%.0f coming=%.0f settled=%v", len(s.machines), have, used, wide, unready, silent, booting, s.settled)
	for _, name := range slices.Sorted(maps.Keys(s.shares)) {
		out += fmt.Sprintf(" %s=%.0f/%.0f", name, s.used[name].Cores, s.shares[name].Cores)
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		c := by[name]
		out += fmt.Sprintf(" %s:runs=%d,waits=%d,within=%d,unsure=%d", name, c.runs, c.waits, c.within, c.unsure)
	}
	return out
}
