package coordination

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// flush writes ended jobs and, less often, how far jobs have come.
func (n *Node) flush(ctx context.Context) {
	now := n.now()
	type work struct {
		j    *job
		done int
		txn  protocol.Txn
		end  *storage.End
	}
	var all []work
	n.mu.Lock()
	for _, s := range n.shards {
		for _, j := range s.jobs {
			if j.saving || j.saved >= j.done.Len() {
				continue
			}
			jr := n.jobs[j.id]
			if jr == nil {
				continue
			}
			// The shard's stamp keeps a write that arrives after a take-over
			// out; the job's own, one that arrives after a later write.
			when := []protocol.Cond{{Path: storage.ShardKey(s.index), Stamp: s.stamp}, {Path: storage.JobKey(j.id), Stamp: j.stamp}}
			w := work{j: j, done: j.done.Len()}
			if j.complete() && !j.spec.Standing() {
				w.end = &storage.End{Status: protocol.Done, Done: w.done}
				w.txn = protocol.Txn{When: when, Writes: []protocol.Write{{Delete: storage.JobKey(j.id)},
					{Put: storage.EndedKey(j.id), Data: w.end}}}
			} else {
				if now.Sub(j.savedT) < 3*time.Second {
					continue
				}
				rec := jr.rec
				rec.Done = j.done.Fit(int(n.set.Deployment.State.ValueKB*1024) * 3 / 4)
				w.txn = protocol.Txn{When: when, Writes: []protocol.Write{{Put: storage.JobKey(j.id), Data: rec}}}
			}
			j.saving, j.savedT = true, now
			all = append(all, w)
		}
	}
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, w := range all {
		wg.Go(func() {
			_, err := n.state.Multi(ctx, w.txn)
			n.mu.Lock()
			defer n.mu.Unlock()
			w.j.saving = false
			switch {
			case err == nil && w.end != nil:
				n.noteEnd(w.j.id, *w.end)
				slog.Debug("job done", "job", w.j.id)
			case err == nil:
				w.j.saved = w.done
			case !errors.Is(err, storage.ErrConflict):
				slog.Debug("job record not written", "job", w.j.id, "err", err)
			}
		})
	}
	wg.Wait()
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
