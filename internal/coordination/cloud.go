package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/config"
	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// cloudErrors bounds the log in an outage of the cloud.
var cloudErrors = rate.Sometimes{First: 5, Interval: 10 * time.Second}

// cloudLoop makes the leader's calls to the cloud, one after the other.
func (n *Node) cloudLoop(ctx context.Context) {
	rps := n.set.Deployment.Cloud.RPS * 0.9
	budget := rate.NewLimiter(rate.Limit(rps), 1)
	for ctx.Err() == nil {
		n.mu.Lock()
		l := n.lead
		var call func(context.Context)
		if l != nil && n.valid(n.now()) {
			call = n.nextCall(l, n.now())
		}
		n.mu.Unlock()
		if call == nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		if budget.Wait(ctx) == nil {
			call(ctx)
		}
	}
}

// nextCall picks what to ask of the cloud next, rentals first.
func (n *Node) nextCall(l *leader, now time.Time) func(context.Context) {
	lag := config.Seconds(n.set.Deployment.Cloud.ListLagS)
	if n.catalog == nil || now.Sub(l.caught) > time.Minute {
		l.caught = now
		return n.readCatalog
	}
	for _, e := range l.coming {
		if e.id == "" && !e.inCall {
			return n.rentCall(l, e, now)
		}
	}
	if names := n.toRelease(l, now); len(names) > 0 {
		return func(ctx context.Context) {
			err := n.cloud.Release(ctx, names)
			slog.Info("released", "machines", names, "err", err)
			if err != nil {
				sleep(ctx, 500*time.Millisecond)
				return
			}
			n.mu.Lock()
			for _, id := range names {
				l.deleted[id] = true
				delete(l.known, id)
				l.drop(func(e *expected) bool { return e.id == id })
			}
			n.mu.Unlock()
		}
	}
	if now.Sub(l.listed) > max(lag, time.Second) {
		return func(ctx context.Context) { n.listCall(ctx, l, now) }
	}
	return nil
}

func (n *Node) readCatalog(ctx context.Context) {
	c, err := n.cloud.Catalog(ctx)
	if err != nil {
		cloudErrors.Do(func() { slog.Warn("catalog not read", "err", err) })
		n.mu.Lock()
		if n.lead != nil {
			n.lead.caught = n.now().Add(2*time.Second - time.Minute)
		}
		n.mu.Unlock()
		return
	}
	n.mu.Lock()
	n.setCatalog(c.Breeds)
	when := []protocol.Cond{{Path: storage.LeaderKey, Stamp: n.leaderRec.stamp}}
	writes := catalogWrites(c, n.limits())
	n.mu.Unlock()
	if _, err := n.state.Multi(ctx, protocol.Txn{When: when, Writes: writes}); err != nil {
		slog.Info("catalog not written", "err", err)
	}
	n.wake()
}

// catalogWrites writes a catalog in one value, or in parts if that is too small.
func catalogWrites(c protocol.Catalog, lim config.Limits) []protocol.Write {
	if raw, err := json.Marshal(c); err == nil && len(raw) <= lim.ValueBytes() {
		return []protocol.Write{{Put: storage.CatalogKey, Data: c}}
	}
	var parts []storage.CatalogPart
	for _, b := range c.Breeds {
		if k := len(parts) - 1; k >= 0 {
			more := storage.CatalogPart{Of: protocol.MaxBody, Breeds: append(slices.Clone(parts[k].Breeds), b)}
			if raw, err := json.Marshal(more); err == nil && len(raw) <= lim.ValueBytes() {
				parts[k] = more
				continue
			}
		}
		parts = append(parts, storage.CatalogPart{Breeds: []protocol.Breed{b}})
	}
	var writes []protocol.Write
	for k := range parts {
		parts[k].Of = len(parts)
		writes = append(writes, protocol.Write{Put: storage.CatalogPartKey(k), Data: parts[k]})
	}
	return writes
}

// applyCatalogPart takes a catalog over once all its parts are there.
func (n *Node) applyCatalogPart(k int, data []byte, stamp uint64) error {
	if err := put(n.catalogParts, k, data, stamp); err != nil {
		return err
	}
	var all []protocol.Breed
	for i := range n.catalogParts[k].v.Of {
		p := n.catalogParts[i]
		if p.stamp != stamp {
			return nil
		}
		all = append(all, p.v.Breeds...)
	}
	if len(all) > 0 {
		n.setCatalog(all)
	}
	return nil
}

func (n *Node) rentCall(l *leader, e *expected, now time.Time) func(context.Context) {
	var batch []*expected
	for _, x := range l.coming {
		if x.ask == e.ask {
			x.inCall, x.sent = true, true
			batch = append(batch, x)
		}
	}
	// The same request until there is an answer: a repeated name rents
	// nothing twice. The number is that of the first try.
	r := protocol.Rental{Ask: e.ask, Breed: e.kind.Breed, Zone: e.kind.Zone, Spot: e.kind.Spot, HowMany: e.batch}
	return func(ctx context.Context) {
		names, err := n.cloud.Rent(ctx, r)
		n.mu.Lock()
		defer n.mu.Unlock()
		now := n.now()
		if err != nil && !errors.Is(err, ErrNoCapacity) {
			cloudErrors.Do(func() { slog.Warn("rental not answered", "ask", r.Ask, "err", err) })
			time.AfterFunc(time.Second, func() {
				n.mu.Lock()
				for _, x := range batch {
					x.inCall = false
				}
				n.mu.Unlock()
			})
			return
		}
		if len(names) < len(batch) {
			l.refused[kind{r.Breed, r.Zone, r.Spot}] = now.Add(15 * time.Second)
			slog.Info("cloud has no more", "type", r.Breed, "zone", r.Zone, "spot", r.Spot, "got", len(names), "asked", r.HowMany)
		}
		for i, x := range batch {
			x.inCall = false
			if i < len(names) {
				x.id, x.since = names[i], now
				if l.known[x.id] == nil {
					l.known[x.id] = &rented{id: x.id, kind: x.kind, status: "starting", asked: now}
				}
			}
		}
		// What the cloud has none of is not asked for again and again while
		// requests for other machines wait their turn.
		short := len(names) < len(batch)
		l.drop(func(x *expected) bool {
			return x.id == "" && (x.ask == r.Ask || short && !x.sent && x.kind == kind{r.Breed, r.Zone, r.Spot})
		})
		n.wake()
	}
}

// toRelease lists machines that nobody needs, and those that failed.
func (n *Node) toRelease(l *leader, now time.Time) []string {
	if !l.rebuilt(now) {
		return nil
	}
	var names []string
	for id, k := range l.known {
		if _, ok := n.owner[id]; ok {
			continue
		}
		ready := n.ready(k.kind.Breed)
		wait := n.idle(k.kind)
		if k.granted {
			wait = 4 * gossipEvery // its holder has waited already
		}
		never := k.reported.IsZero() && now.Sub(k.asked) > 4*ready
		silent := !k.reported.IsZero() && now.Sub(k.reported) > n.timing.WorkerGone
		idle := !k.freed.IsZero() && now.Sub(k.freed) > wait
		if k.status == "failed" || never || silent || idle || k.active || l.bad[id] {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), protocol.MaxRelease)]
}

// listCall reads the whole list and compares it with what is known.
func (n *Node) listCall(ctx context.Context, l *leader, sent time.Time) {
	seen := map[string]protocol.ListedMachine{}
	since := ""
	for {
		page, err := n.cloud.List(ctx, since)
		if err != nil {
			cloudErrors.Do(func() { slog.Warn("machine list not read", "err", err) })
			sleep(ctx, time.Second)
			return
		}
		for _, m := range page.Machines {
			seen[m.ID] = m
			since = m.ID
		}
		if !page.HasNext || len(page.Machines) == 0 {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	lag := config.Seconds(n.set.Deployment.Cloud.ListLagS)
	for id, m := range seen {
		if l.deleted[id] {
			continue
		}
		k := l.known[id]
		if k == nil {
			k = &rented{id: id, kind: kind{m.Breed, m.Zone, m.Spot}, asked: sent.Add(-config.Seconds(m.AgeS))}
			l.known[id] = k
			if _, ok := n.owner[id]; !ok && m.Status == "starting" {
				// Rented by an earlier leader, or by a request given up.
				l.coming = append(l.coming, &expected{kind: k.kind, shard: len(l.coming) % n.op.Shards, id: id, ask: "", since: now})
				l.vers[l.coming[len(l.coming)-1].shard]++
			}
		}
		k.status = m.Status
		if k.first.IsZero() {
			k.first = now
		}
	}
	// A block was up when it was granted: a list that describes a later time
	// and lacks it says that it is gone. This spares a new leader, and with it
	// a new holder, the wait for the worker's lease.
	asked := sent.UnixMilli()
	clocks := 2 * int64(n.set.Deployment.ClockErrorMS)
	for _, g := range n.grantRecs {
		for _, b := range g.v.Blocks {
			if _, ok := seen[b.Machine]; ok || b.At == 0 || asked-1000*b.At <= (2*lag+time.Second).Milliseconds()+clocks {
				continue
			}
			if l.known[b.Machine] == nil {
				l.known[b.Machine] = &rented{id: b.Machine, kind: kind{b.Breed, b.Zone, b.Spot}, asked: now, first: now.Add(-time.Hour), granted: true}
			}
		}
	}
	l.lost = map[string]bool{}
	for id, k := range l.known {
		_, ok := seen[id]
		// A list may be up to twice the lag old: one asked for that much
		// after the machine was first shown describes a later time, and
		// lacks it only if it is gone.
		k.missing = !ok && !k.first.IsZero() && sent.Sub(k.first) > 2*lag+time.Second
		_, held := n.owner[id]
		if k.missing && !held {
			delete(l.known, id)
			l.deleted[id] = true
			l.drop(func(e *expected) bool { return e.id == id })
		} else if held && (k.missing || k.status == "failed") {
			l.lost[id] = true
		}
	}
	// Machines that are late to boot are not counted on any longer.
	for _, e := range l.coming {
		if k := l.known[e.id]; k != nil && k.status == "failed" {
			l.drop(func(x *expected) bool { return x == e })
			break
		}
	}
	l.drop(func(e *expected) bool {
		return e.id != "" && now.Sub(e.since) > 3*n.ready(e.kind.Breed)
	})
	l.listed = sent
	n.wake()
}

func (n *Node) ready(breed string) time.Duration {
	for _, b := range n.catalog {
		if b.Name == breed {
			return config.Seconds(b.ReadyS)
		}
	}
	return time.Minute
}
