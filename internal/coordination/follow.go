package coordination

import (
	"encoding/json"
	"log/slog"
	"time"

	"reedtrack/internal/placement"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

func (n *Node) onSync(sent time.Time) {
	n.mu.Lock()
	n.synced, n.loaded = sent, true
	n.mu.Unlock()
	n.wake()
}

// apply takes in one change of the state service's live records.
func (n *Node) apply(path string, data []byte, stamp uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var err error
	if name, ok := storage.CutAlive(path); ok {
		err = put(n.aliveNodes, name, data, stamp)
	} else if i, ok := storage.CutShard(path); ok {
		if err = put(n.shardRecs, i, data, stamp); err == nil {
			n.shardChanged(i)
		}
	} else if i, ok := storage.CutGrant(path); ok {
		was := n.grantRecs[i].v.Blocks
		if err = put(n.grantRecs, i, data, stamp); err == nil {
			n.grantChanged(i, was)
		}
	} else if id, ok := storage.CutJob(path); ok {
		if err = n.jobChanged(id, data, stamp); err != nil {
			n.unread[id] = true
		}
	} else if path == storage.LeaderKey {
		err = one(&n.leaderRec, data, stamp)
	} else if path == storage.TermKey {
		err = one(&n.term, data, stamp)
	} else if path == storage.CatalogKey && data != nil {
		var c protocol.Catalog
		if err = json.Unmarshal(data, &c); err == nil {
			n.setCatalog(c.Breeds)
		}
	}
	if err != nil {
		// Left alone: what cannot be read is never taken as absent.
		slog.Error("record can't be read", "key", path, "err", err)
	}
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
	s.unread = n.unread
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

// grantChanged follows a grant that held other blocks before.
func (n *Node) grantChanged(i int, was []storage.Block) {
	for _, b := range was {
		if n.owner[b.Machine] == i {
			delete(n.owner, b.Machine)
		}
	}
	g, ok := n.grantRecs[i]
	for _, b := range g.v.Blocks {
		n.owner[b.Machine] = i
	}
	if s := n.shards[i]; s != nil && ok {
		s.setGrant(g.v, n.size, n.now())
	}
}

func (n *Node) jobChanged(id string, data []byte, stamp uint64) error {
	delete(n.unread, id)
	if data == nil {
		if jr := n.jobs[id]; jr != nil {
			if s := n.shards[jr.rec.Shard]; s != nil {
				s.endJob(id)
				go n.sendHalts(jr.rec.Shard)
			}
		}
		delete(n.jobs, id)
		return nil
	}
	jr := &jobRec{stamp: stamp}
	if err := json.Unmarshal(data, &jr.rec); err != nil {
		return err
	}
	done, err := storage.ParseSet(jr.rec.Done, jr.rec.Spec.Tasks)
	if err != nil {
		return err
	}
	jr.done = done.Len()
	if was := n.jobs[id]; was != nil && was.rec.Shard != jr.rec.Shard {
		if s := n.shards[was.rec.Shard]; s != nil {
			s.endJob(id) // moved: nothing of it is placed
		}
	}
	n.jobs[id] = jr
	if s := n.shards[jr.rec.Shard]; s != nil {
		s.addJob(n.newJob(jr))
	}
	return nil
}

func (n *Node) newJob(jr *jobRec) *job {
	sp := jr.rec.Spec
	done, _ := storage.ParseSet(jr.rec.Done, sp.Tasks)
	j := &job{id: sp.ID, spec: sp, stamp: jr.stamp, shard: jr.rec.Shard, atMS: jr.rec.AtMS, done: done, saved: done.Len(),
		need: placement.Vector{sp.Cores, sp.Cards, sp.RAM}, came: n.now()}
	// The time of day moves about; waiting is only measured from the record.
	j.at = n.now().Add(min(0, time.Duration(jr.rec.AtMS-n.now().UnixMilli())*time.Millisecond))
	if len(sp.Breeds) > 0 {
		j.breeds = map[string]bool{}
		for _, b := range sp.Breeds {
			j.breeds[b] = true
		}
	}
	return j
}
