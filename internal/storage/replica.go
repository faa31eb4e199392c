package storage

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"reedtrack/internal/protocol"
)

// Replica copies all keys under Root. Apply is called for each change in
// order, from one goroutine; a nil value is a deletion.
type Replica struct {
	Client *Client
	Apply  func(path string, data []byte, stamp uint64)
	// Synced is called after a batch, with the time at which the request was
	// sent: all changes made before then have been applied.
	Synced func(sent time.Time)
	Poll   time.Duration
	Rest   time.Duration // between two watches
	known  map[string]uint64
}

// Run follows the state service until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		since, err := r.load(ctx)
		// The pages of a load were read one after the other. Only with what
		// has changed since the first do they show one moment, as a job's
		// move from one shard to another needs.
		wait := time.Duration(0)
		for err == nil {
			since, err = r.follow(ctx, since, wait)
			wait = r.Poll
		}
		slog.Info("replica reads anew", "cause", err)
		pause(ctx, 300*time.Millisecond)
	}
}

func (r *Replica) load(ctx context.Context) (uint64, error) {
	seen := map[string]uint64{}
	var items []protocol.Item
	var ledger uint64
	since := ""
	for first := true; ; first = false {
		page, err := r.Client.List(ctx, Root, since)
		if err != nil {
			return 0, err
		}
		if first {
			// Later pages may be newer; what changed meanwhile comes again
			// with the log, which starts here.
			ledger = page.Ledger
		}
		for _, it := range page.Items {
			seen[it.Path] = it.Stamp
			since = it.Path
		}
		items = append(items, page.Items...)
		if !page.HasNext || len(page.Items) == 0 {
			break
		}
	}
	for path := range r.known {
		if _, ok := seen[path]; !ok {
			r.Apply(path, nil, ledger)
		}
	}
	for _, it := range items {
		if r.known[it.Path] != it.Stamp {
			r.Apply(it.Path, it.Data, it.Stamp)
		}
	}
	r.known = seen
	return ledger, nil
}

func (r *Replica) follow(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	sent := time.Now()
	ch, err := r.Client.Follow(ctx, Root, since, wait)
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknown) {
		pause(ctx, 200*time.Millisecond)
		return since, ctx.Err()
	}
	if err != nil {
		return 0, err
	}
	for _, c := range ch.Log {
		path := c.Put
		if path == "" {
			path = c.Delete
		}
		if c.Stamp <= r.known[path] {
			continue
		}
		if c.Put != "" {
			r.known[path] = c.Stamp
			r.Apply(path, c.Data, c.Stamp)
		} else {
			delete(r.known, path)
			r.Apply(path, nil, c.Stamp)
		}
	}
	r.Synced(sent)
	if len(ch.Log) > 0 {
		// In a busy deployment something changes all the time: without a rest
		// the watches of all controllers alone would use up the service.
		pause(ctx, r.Rest)
	}
	return ch.Ledger, nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
