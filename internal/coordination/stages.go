package coordination

import (
	"context"
	"log/slog"
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

// tellStages logs where the time went since the start.
func (n *Node) tellStages(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, n.op.Stages)
		for _, l := range n.stages.Lines() {
			slog.Info("stages", "of", l.String())
		}
	}
}
