package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/stages"
	"reedtrack/internal/storage"
)

// progressEvery is how often the record of one job is brought up to date.
const progressEvery = 3 * time.Second

// saving is one write of a job's record.
type saving struct {
	j    *job
	done int
	txn  protocol.Txn
	end  *storage.End
	// parts are what is written of what is done; all other parts stand.
	parts []storage.Part
}

// unsavedParts are the parts of what is done of a job that its records don't
// tell of. The job's own record, which says what the job is, stays as it was:
// a former version's late write of it loses nothing.
func (n *Node) unsavedParts(j *job) []storage.Part {
	var out []storage.Part
	width := storage.PartWidth(n.limits().ValueBytes())
	for from := 0; from < j.spec.Tasks; from += width {
		to := min(from+width, j.spec.Tasks)
		var was storage.Set
		if p, ok := n.parts[j.id][from]; ok {
			was.AddPart(p.v.Done, from, j.spec.Tasks)
		}
		if j.done.Count(from, to) > was.Count(from, to) {
			out = append(out, storage.Part{From: from, Done: j.done.Part(from, to)})
		}
	}
	return out
}

// flush writes ended jobs and, as far as the budget allows it, how far jobs
// have come, those with most to tell first. What is not written costs, should
// this controller fail, the fetch of an image for each task: results are kept.
func (n *Node) flush(ctx context.Context) {
	now := n.now()
	var ends, progress []saving
	n.mu.Lock()
	for _, s := range n.shards {
		for _, j := range s.jobs {
			jr := n.jobs[j.id]
			if j.saving || j.saved >= j.done.Len() || jr == nil {
				continue
			}
			// The shard's stamp keeps a write that arrives after a take-over
			// out; the job's own, one that arrives after a later write.
			when := []protocol.Cond{{Path: storage.ShardKey(s.index), Stamp: s.stamp}, {Path: storage.JobKey(j.id), Stamp: j.stamp}}
			w := saving{j: j, done: j.done.Len()}
			if j.complete() && !j.spec.Standing() {
				w.end = n.newEnd(protocol.Done, w.done, &j.spec)
				w.txn = protocol.Txn{When: when, Writes: []protocol.Write{{Delete: storage.JobKey(j.id)},
					{Put: storage.EndedKey(j.id), Data: w.end}}}
				ends = append(ends, w)
			} else if now.Sub(j.savedT) >= progressEvery {
				w.txn = protocol.Txn{When: when}
				progress = append(progress, w)
			}
		}
	}
	slices.SortFunc(progress, func(a, b saving) int {
		return cmp.Or(cmp.Compare(b.done-b.j.saved, a.done-a.j.saved), cmp.Compare(a.j.id, b.j.id))
	})
	progress = progress[:min(len(progress), max(0, n.state.Spare()-2*len(ends)))]
	for i := range progress {
		w := &progress[i]
		if n.switched() {
			w.parts = n.unsavedParts(w.j)
			w.parts = w.parts[:min(len(w.parts), n.limits().TxnOps, max(1, n.state.Spare()), max(1, (protocol.MaxBody-around)/n.limits().ValueBytes()))]
			for _, p := range w.parts {
				w.txn.When = append(w.txn.When, protocol.Cond{Path: storage.PartKey(w.j.id, p.From), Stamp: n.parts[w.j.id][p.From].stamp})
				w.txn.Writes = append(w.txn.Writes, protocol.Write{Put: storage.PartKey(w.j.id, p.From), Data: p})
			}
			continue
		}
		rec := n.jobs[w.j.id].rec
		rec.Done = w.j.done.Fit(int(n.set.Deployment.State.ValueKB*1024) * 3 / 4)
		w.txn.Writes = []protocol.Write{{Put: storage.JobKey(w.j.id), Data: rec}}
	}
	progress = slices.DeleteFunc(progress, func(w saving) bool { return len(w.txn.Writes) == 0 })
	all := append(ends, progress...)
	for _, w := range all {
		w.j.saving, w.j.savedT = true, now
	}
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, w := range all {
		wg.Go(func() { n.save(ctx, w) })
	}
	wg.Wait()
}

func (n *Node) save(ctx context.Context, w saving) {
	write := n.state.Multi
	if w.end != nil {
		write = n.state.MultiSoon // its user waits for it
	}
	rev, err := write(ctx, w.txn)
	n.mu.Lock()
	defer n.mu.Unlock()
	w.j.saving = false
	switch {
	case err == nil && w.end != nil:
		n.stages.Since(w.j.spec.Class, stages.Tell, w.j.over)
		n.noteEnd(w.j.id, *w.end)
		n.resolve() // what waited for it is free at once
		n.wake()
		slog.Debug("job done", "job", w.j.id)
	case err == nil && w.parts != nil:
		if n.parts[w.j.id] == nil {
			n.parts[w.j.id] = map[int]entry[storage.Part]{}
		}
		for _, p := range w.parts {
			if n.parts[w.j.id][p.From].stamp < rev {
				n.parts[w.j.id][p.From] = entry[storage.Part]{p, rev}
			}
		}
		if n.savedAll(w.j, w.done) {
			w.j.saved = w.done
		}
	case err == nil:
		w.j.saved, w.j.stamp = w.done, max(w.j.stamp, rev)
	case !errors.Is(err, storage.ErrConflict):
		slog.Debug("job record not written", "job", w.j.id, "err", err)
	}
}

// noteEnd remembers an end that the state service has confirmed.
func (n *Node) noteEnd(id string, e storage.End) {
	const most = 20000
	if _, ok := n.ended[id]; !ok {
		n.endedQ = append(n.endedQ, id)
	}
	n.ended[id] = e
	if len(n.endedQ) > most {
		delete(n.ended, n.endedQ[0])
		n.endedQ = n.endedQ[1:]
	}
}

// newEnd is the end of a job as it is written. Former versions write less of
// it, and read no more.
func (n *Node) newEnd(status string, done int, sp *protocol.Job) *storage.End {
	e := &storage.End{Status: status, Done: done}
	if n.switched() {
		e.AtMS, e.Standing = n.now().UnixMilli(), sp.Standing()
	}
	return e
}

// savedAll tells whether the parts tell of as many tasks as were done when they
// were worked out; more may have been done since.
func (n *Node) savedAll(j *job, done int) bool {
	var all storage.Set
	for from, p := range n.parts[j.id] {
		all.AddPart(p.v.Done, from, j.spec.Tasks)
	}
	return all.Len() >= done
}
