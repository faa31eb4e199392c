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
				w.end = &storage.End{Status: protocol.Done, Done: w.done}
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
		rec := n.jobs[w.j.id].rec
		rec.Done = w.j.done.Fit(int(n.set.Deployment.State.ValueKB*1024) * 3 / 4)
		w.txn.Writes = []protocol.Write{{Put: storage.JobKey(w.j.id), Data: rec}}
	}
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
		n.noteEnd(w.j.id, *w.end)
		slog.Debug("job done", "job", w.j.id)
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
