package coordination

import (
	"encoding/json"
	"log/slog"
	"math"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/session"
	"reedtrack/internal/storage"
)

func (n *Node) onSync(sent time.Time) {
	n.mu.Lock()
	n.synced, n.loaded = sent, true
	n.mu.Unlock()
	n.wake()
}

// applyAll takes in changes of the state service's live records, under one
// lock: a transaction of several records shows whole or not at all.
func (n *Node) applyAll(batch []protocol.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	grants, jobs := map[int]bool{}, map[string]bool{}
	for _, c := range batch {
		n.seen = max(n.seen, c.Stamp)
		path, data := c.Put, []byte(c.Data)
		if path == "" {
			path, data = c.Delete, nil
		}
		if err := n.applyOne(path, data, c.Stamp, grants, jobs); err != nil {
			// Left alone: what cannot be read is never taken as absent.
			slog.Error("record can't be read", "key", path, "err", err)
		}
	}
	for i := range grants {
		n.grantChanged(i)
	}
	for id := range jobs {
		n.partsChanged(id)
	}
	n.ownKeyChanged()
	n.holdShards()
	n.resolve()
}

// apply takes in one change.
func (n *Node) apply(path string, data []byte, stamp uint64) {
	c := protocol.Change{Put: path, Data: data, Stamp: stamp}
	if data == nil {
		c = protocol.Change{Delete: path, Stamp: stamp}
	}
	n.applyAll([]protocol.Change{c})
}

func (n *Node) applyOne(path string, data []byte, stamp uint64, grants map[int]bool, jobs map[string]bool) error {
	if name, ok := storage.CutAlive(path); ok {
		err := put(n.aliveNodes, name, data, stamp)
		if n.past[name] == nil {
			n.past[name] = &session.Past{}
		}
		n.past[name].Names(n.aliveNodes[name].v.Session)
		return err
	}
	if i, ok := storage.CutShard(path); ok {
		return put(n.shardRecs, i, data, stamp)
	}
	if i, ok := storage.CutGrant(path); ok {
		grants[i] = true
		return put(n.heads, i, data, stamp)
	}
	if i, k, ok := storage.CutPiece(path); ok {
		grants[i] = true
		return n.applyPiece(i, k, data, stamp)
	}
	if id, ok := storage.CutJob(path); ok {
		err := n.jobChanged(id, data, stamp)
		if err != nil {
			n.unread[id] = true
		}
		return err
	}
	if id, from, ok := storage.CutPart(path); ok {
		jobs[id] = true
		if n.parts[id] == nil {
			n.parts[id] = map[int]entry[storage.Part]{}
		}
		err := put(n.parts[id], from, data, stamp)
		if len(n.parts[id]) == 0 {
			delete(n.parts, id)
		}
		return err
	}
	if id, ok := storage.CutDeputy(path); ok {
		return n.applyDeputy(id, data, stamp)
	}
	if id, ok := storage.CutConfirm(path); ok {
		return n.applyConfirmation(id, data, stamp)
	}
	if mine, err := n.applyForm(path, data, stamp); mine {
		return err
	}
	if k, ok := storage.CutCatalogPart(path); ok {
		return n.applyCatalogPart(k, data, stamp)
	}
	switch {
	case path == storage.LeaderKey:
		return one(&n.leaderRec, data, stamp)
	case path == storage.TermKey:
		return one(&n.term, data, stamp)
	case path == storage.CatalogKey && data != nil:
		var c protocol.Catalog
		err := json.Unmarshal(data, &c)
		if err == nil {
			n.setCatalog(c.Breeds)
		}
		return err
	}
	return nil
}

func put[K comparable, T any](to map[K]entry[T], k K, data []byte, stamp uint64) error {
	if data == nil {
		delete(to, k)
		return nil
	}
	e := entry[T]{stamp: stamp}
	if err := json.Unmarshal(data, &e.v); err != nil {
		return err
	}
	to[k] = e
	return nil
}

func one[T any](to *entry[T], data []byte, stamp uint64) error {
	if data == nil {
		*to = entry[T]{}
		return nil
	}
	e := entry[T]{stamp: stamp}
	if err := json.Unmarshal(data, &e.v); err != nil {
		return err
	}
	*to = e
	return nil
}

func (n *Node) setCatalog(b []protocol.Breed) {
	n.catalog = b
	for _, t := range b {
		n.sizes[t.Name] = sizeOf(t)
	}
}

func (n *Node) size(breed string) (placement.Vector, bool) {
	v, ok := n.sizes[breed]
	return v, ok
}

// me tells whether a record names this very session.
func (n *Node) me(r storage.Node) bool {
	return r.Name == n.set.HostName && r.Session == n.session && n.session != 0
}

// holdShards brings the shards held to what the records say.
func (n *Node) holdShards() {
	for i := range n.shardRecs {
		n.shardChanged(i)
	}
}

// shardChanged takes a shard up or lets go of it.
func (n *Node) shardChanged(i int) {
	rec, ok := n.shardRecs[i]
	held := n.shards[i]
	if !ok || !n.me(rec.v.Holder) {
		if held != nil {
			slog.Info("shard given up", "shard", i, "term", held.term)
			delete(n.shards, i)
		}
		return
	}
	if held != nil && held.stamp == rec.stamp {
		return
	}
	g, ok := n.grantRecs[i]
	if !ok || n.catalog == nil {
		return
	}
	s := newShard(i, rec.v, rec.stamp, n.now())
	s.guards = n.guards
	s.unread, s.stages = n.unread, n.stages
	s.setGrant(g.v, n.size, n.now())
	for _, jr := range n.jobs {
		if jr.rec.Shard == i {
			s.addJob(n.newJob(jr))
		}
	}
	s.settled = false
	s.settle()
	n.shards[i] = s
	slog.Info("shard taken up", "shard", i, "term", s.term, "blocks", len(s.machines), "jobs", len(s.jobs))
}

// grantChanged follows a grant, whichever of its records has changed.
func (n *Node) grantChanged(i int) {
	was := n.grantRecs[i]
	head, ok := n.heads[i]
	g, readable := n.compose(i)
	if !readable {
		return
	}
	for _, b := range was.v.Blocks {
		if n.owner[b.Machine] == i {
			delete(n.owner, b.Machine)
		}
	}
	if !ok {
		delete(n.grantRecs, i)
		return
	}
	n.grantRecs[i] = entry[storage.Grant]{g, head.stamp}
	for _, b := range g.Blocks {
		n.owner[b.Machine] = i
	}
	if s := n.shards[i]; s != nil {
		kept := s.shares
		s.setGrant(g, n.size, n.now())
		if head.stamp == was.stamp {
			// Only the blocks have changed. A write that lowers the shares
			// may still be under way: they rise with a newer record alone.
			s.shares = kept
		}
	}
}

func (n *Node) jobChanged(id string, data []byte, stamp uint64) error {
	delete(n.unread, id)
	if data == nil {
		if jr := n.jobs[id]; jr != nil {
			n.noteService(jr)
			if s := n.shards[jr.rec.Shard]; s != nil {
				s.endJob(id)
				s.news = true
			}
		}
		delete(n.jobs, id)
		return nil
	}
	jr := &jobRec{stamp: stamp}
	if err := json.Unmarshal(data, &jr.rec); err != nil {
		return err
	}
	done, err := n.doneOf(jr)
	if err != nil {
		return err
	}
	jr.done = done.Len()
	jr.by = wantedBy(&jr.rec, n.set.Deployment.Objectives)
	if was := n.jobs[id]; was != nil {
		jr.wait = was.wait
		if was.rec.Shard != jr.rec.Shard {
			if s := n.shards[was.rec.Shard]; s != nil {
				s.endJob(id) // moved: nothing of it is placed
			}
		}
	}
	n.jobs[id] = jr
	if s := n.shards[jr.rec.Shard]; s != nil {
		s.addJob(n.newJob(jr))
	}
	return nil
}

// doneOf is what the records show as done of a job: its own, and its parts.
func (n *Node) doneOf(jr *jobRec) (storage.Set, error) {
	most := jr.rec.Spec.Tasks
	done, err := storage.ParseSet(jr.rec.Done, most)
	for from, p := range n.parts[jr.rec.Spec.ID] {
		if err == nil && p.v.From == from {
			err = done.AddPart(p.v.Done, from, most)
		}
	}
	return done, err
}

// partsChanged follows the parts of a job.
func (n *Node) partsChanged(id string) {
	jr := n.jobs[id]
	if jr == nil {
		return
	}
	done, err := n.doneOf(jr)
	if err != nil {
		slog.Error("record can't be read", "key", storage.PartKey(id, 0), "err", err)
		return
	}
	jr.done = done.Len()
}

func (n *Node) newJob(jr *jobRec) *job {
	sp := jr.rec.Spec
	done, _ := n.doneOf(jr)
	j := &job{id: sp.ID, spec: sp, stamp: jr.stamp, shard: jr.rec.Shard, atMS: jr.rec.AtMS, done: done, saved: done.Len(),
		need: placement.Vector{sp.Cores, sp.Cards, sp.RAM}, came: n.now()}
	j.at = n.since(jr.rec.AtMS)
	j.level, j.by = sp.Level(), math.Inf(1)
	if sp.DueS != nil {
		j.by = float64(jr.rec.AtMS) + 1000**sp.DueS
	}
	j.held = len(sp.Waits) > 0 // until the ends of those are known
	if len(sp.Breeds) > 0 {
		j.breeds = map[string]bool{}
		for _, b := range sp.Breeds {
			j.breeds[b] = true
		}
	}
	return j
}

// since turns a time of day into one of the steady clock. The time of day moves
// about; waiting is only measured from the record.
func (n *Node) since(ms int64) time.Time {
	now := n.now()
	return now.Add(min(0, time.Duration(ms-now.UnixMilli())*time.Millisecond))
}
