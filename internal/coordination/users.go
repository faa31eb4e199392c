package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// ErrUnsure says that this controller cannot decide now; the user should ask
// again.
var ErrUnsure = errors.New("can't decide now")

// ErrNever says that a job can never run.
type ErrNever struct{ Field, Reason string }

func (e *ErrNever) Error() string { return e.Field + ": " + e.Reason }

// Submit accepts a job. known tells that it had been accepted before.
func (n *Node) Submit(ctx context.Context, j *protocol.Job) (st protocol.JobStatus, known bool, err error) {
	n.mu.Lock()
	now := n.now()
	_, active := n.jobs[j.ID]
	end, over := n.ended[j.ID]
	ok := n.valid(now) && n.catalog != nil
	n.mu.Unlock()
	if over {
		return endStatus(j.ID, end), true, nil
	}
	if !ok {
		return st, false, ErrUnsure
	}
	if active {
		st, found, err := n.Poll(ctx, j.ID)
		if err == nil && !found {
			err = ErrUnsure
		}
		return st, true, err
	}
	n.mu.Lock()
	never := n.canRun(j)
	shard := 0
	if never == nil {
		shard = n.shardFor(j, now)
	}
	n.mu.Unlock()
	if never != nil {
		// A job that was accepted is never refused, even should the catalog
		// have changed since.
		if st, found, err := n.Poll(ctx, j.ID); err != nil || found {
			return st, true, err
		}
		return st, false, never
	}
	rec := storage.Job{Spec: *j, Shard: shard, AtMS: now.UnixMilli()}
	if err := n.fitsRecord(rec); err != nil {
		return st, false, err
	}
	_, err = n.state.MultiSoon(ctx, protocol.Txn{
		When:   []protocol.Cond{{Path: storage.JobKey(j.ID)}, {Path: storage.EndedKey(j.ID)}},
		Writes: []protocol.Write{{Put: storage.JobKey(j.ID), Data: rec}}})
	switch {
	case err == nil:
		slog.Debug("accepted", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "cores", j.Cores, "shard", shard)
		return protocol.JobStatus{ID: j.ID, Status: protocol.Pending}, false, nil
	case errors.Is(err, storage.ErrConflict):
		st, found, err := n.Poll(ctx, j.ID)
		if err == nil && !found {
			err = ErrUnsure
		}
		return st, true, err
	}
	refusals.Do(func() { slog.Info("submission not written", "job", j.ID, "err", err) })
	return st, false, ErrUnsure
}

// fitsRecord refuses a job whose record could not be kept: a write that is over
// the state service's limit would fail however often it is asked for. Most of
// a value is left for what is done.
func (n *Node) fitsRecord(rec storage.Job) error {
	raw, err := json.Marshal(rec)
	if most := int(n.set.Deployment.State.ValueKB * 1024 / 4); err != nil || len(raw) > most {
		return &ErrNever{"body", fmt.Sprintf("%d bytes to keep, at most %d can be", len(raw), most)}
	}
	return nil
}

// canRun tells why a job can never run.
func (n *Node) canRun(j *protocol.Job) error {
	t, ok := n.teams[j.Team]
	if !ok {
		return &ErrNever{"owner", "unknown team " + j.Team}
	}
	k := n.newJob(&jobRec{rec: storage.Job{Spec: *j}})
	p := &planner{breeds: n.catalog}
	kinds := k.kinds(p)
	if len(kinds) == 0 {
		return &ErrNever{"cores", "a task fits no allowed machine type"}
	}
	count := 1.0
	if j.Standing() || j.Group() {
		count = float64(j.Tasks)
	}
	if t.limit.Cores > 0 && count*j.Cores > t.limit.Cores+1e-9 {
		return &ErrNever{"cores", fmt.Sprintf("over the team's limit of %g", t.limit.Cores)}
	}
	if t.limit.Cards > 0 && count*j.Cards > t.limit.Cards+1e-9 {
		return &ErrNever{"cards", fmt.Sprintf("over the team's limit of %g", t.limit.Cards)}
	}
	return nil
}

func endStatus(id string, e storage.End) protocol.JobStatus {
	return protocol.JobStatus{ID: id, Status: e.Status, Done: e.Done}
}

// read looks a job up in the state service: the live record first and then the
// end, in the order in which a job moves, so that neither is missed.
func (n *Node) read(ctx context.Context, id string) (rec *jobRec, end *storage.End, err error) {
	it, err := n.state.Get(ctx, storage.JobKey(id))
	if err == nil {
		rec = &jobRec{stamp: it.Stamp}
		return rec, nil, json.Unmarshal(it.Data, &rec.rec)
	}
	if !errors.Is(err, storage.ErrNotFound) {
		return nil, nil, err
	}
	it, err = n.state.Get(ctx, storage.EndedKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	end = new(storage.End)
	if err := json.Unmarshal(it.Data, end); err != nil {
		return nil, nil, err
	}
	n.mu.Lock()
	n.noteEnd(id, *end)
	n.mu.Unlock()
	return nil, end, nil
}

// Poll tells a job's state. It asks the state service unless the end is known,
// so that no answer is older than one given by another controller.
func (n *Node) Poll(ctx context.Context, id string) (st protocol.JobStatus, found bool, err error) {
	n.mu.Lock()
	end, over := n.ended[id]
	n.mu.Unlock()
	if over {
		return endStatus(id, end), true, nil
	}
	rec, e, err := n.read(ctx, id)
	if err != nil {
		return st, false, ErrUnsure
	}
	if e != nil {
		return endStatus(id, *e), true, nil
	}
	if rec == nil {
		return st, false, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.liveStatus(rec), true, nil
}

// liveStatus counts a job's tasks for display.
func (n *Node) liveStatus(rec *jobRec) protocol.JobStatus {
	id := rec.rec.Spec.ID
	done, _ := storage.ParseSet(rec.rec.Done, rec.rec.Spec.Tasks)
	st := protocol.JobStatus{ID: id, Status: protocol.Pending, Done: done.Len()}
	if s := n.shards[rec.rec.Shard]; s != nil {
		if j := s.jobs[id]; j != nil {
			st.Done, st.Running = j.done.Len(), len(j.runs)
		}
	} else {
		for _, o := range n.others {
			for _, ss := range o.Shards {
				if ss.Index == rec.rec.Shard {
					st.Running = ss.Running[id]
				}
			}
		}
	}
	if st.Running > 0 || st.Done > 0 {
		st.Status = protocol.Running
	}
	return st
}

// Withdraw cancels a job. The answer is given only once the state service has
// the cancellation.
func (n *Node) Withdraw(ctx context.Context, id string) (st protocol.JobStatus, found bool, err error) {
	for range 4 {
		n.mu.Lock()
		end, over := n.ended[id]
		n.mu.Unlock()
		if over {
			return endStatus(id, end), true, nil
		}
		rec, e, err := n.read(ctx, id)
		if err != nil {
			return st, false, ErrUnsure
		}
		if e != nil {
			return endStatus(id, *e), true, nil
		}
		if rec == nil {
			return st, false, nil
		}
		done, _ := storage.ParseSet(rec.rec.Done, rec.rec.Spec.Tasks)
		w := storage.End{Status: protocol.Withdrawn, Done: done.Len()}
		_, err = n.state.MultiSoon(ctx, protocol.Txn{When: []protocol.Cond{{Path: storage.JobKey(id), Stamp: rec.stamp}},
			Writes: []protocol.Write{{Delete: storage.JobKey(id)}, {Put: storage.EndedKey(id), Data: w}}})
		if err == nil {
			n.mu.Lock()
			n.noteEnd(id, w)
			n.mu.Unlock()
			return endStatus(id, w), true, nil
		}
		if !errors.Is(err, storage.ErrConflict) {
			return st, false, ErrUnsure
		}
	}
	return st, false, ErrUnsure
}
