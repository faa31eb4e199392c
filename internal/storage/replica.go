package storage

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"reedtrack/internal/protocol"
)

const (
	reloadDelay     = 300 * time.Millisecond // before all records are reloaded
	watchRetryDelay = 200 * time.Millisecond
	minPageBackoff  = 50 * time.Millisecond
	maxPageBackoff  = time.Second
)

// Replica maintains a copy of all records under LivePrefix. Run keeps the copy up to date;
// CatchUp may be called concurrently from any goroutine.
type Replica struct {
	Client *Client
	// Apply is called with changes in the order of their revisions, one call at a time.
	// After each call the copy reflects the records as of one revision.
	Apply func(batch []protocol.Change)
	// Synced is called by Run after each batch, including empty ones, with the time at
	// which the request was sent: all earlier changes have been applied.
	Synced func(sent time.Time)
	// WatchTimeout is how long a watch waits for changes.
	WatchTimeout time.Duration
	// WatchPause is the pause between two watches, see the function WatchPause.
	WatchPause time.Duration

	mu        sync.Mutex
	revisions map[string]uint64 // of the records in the copy, by key
	loaded    bool              // the copy reflects a revision; false during a reload
	loads     uint64            // number of loads begun
	applied   uint64            // the copy reflects the store as of this revision
	highest   uint64            // the highest revision ever applied
}

// Run follows the store until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.beginLoad()
		revision, err := r.load(ctx)
		for err == nil {
			revision, err = r.watch(ctx, revision)
		}
		slog.Info("replica reloading", "err", err)
		_ = sleep(ctx, reloadDelay)
	}
}

// beginLoad marks the copy as not loaded and any concurrent CatchUp as outdated.
func (r *Replica) beginLoad() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = false
	r.loads++
}

func (r *Replica) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// load reads all records, applies the differences from the copy, and returns the revision
// up to which the copy is complete. The pages are read sequentially, so the changes since
// the first page are merged before the result becomes visible: readers see transactions on
// several records atomically.
func (r *Replica) load(ctx context.Context) (uint64, error) {
	records, revision, err := r.readPages(ctx)
	if err != nil {
		return 0, err
	}
	sent := time.Now()
	changes, err := r.Client.Watch(ctx, LivePrefix, revision, 0)
	if err != nil {
		return 0, err
	}
	for _, change := range changes.Changes {
		key := keyOf(change)
		switch {
		case change.Revision <= records[key].Revision:
		case change.Put == "":
			delete(records, key)
		default:
			records[key] = change
		}
	}
	r.replace(records, changes.Revision, sent)
	return changes.Revision, nil
}

// replace replaces the content of the copy by records, which are complete up to revision.
func (r *Replica) replace(records map[string]protocol.Change, revision uint64, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.difference(records, revision)
	r.revisions = map[string]uint64{}
	for key, record := range records {
		r.revisions[key] = record.Revision
	}
	r.Apply(batch)
	r.loaded = true
	r.applied = revision
	r.highest = max(r.highest, revision)
	r.Synced(sent)
}

// readPages reads all records by key, each as the change that wrote it, and returns the
// revision of the first page. The records include all changes up to that revision.
func (r *Replica) readPages(ctx context.Context) (map[string]protocol.Change, uint64, error) {
	records := map[string]protocol.Change{}
	var revision uint64
	since := ""
	for first := true; ; first = false {
		page, err := r.listPage(ctx, since)
		if err != nil {
			return nil, 0, err
		}
		if first {
			revision = page.Revision
		}
		for _, item := range page.Items {
			records[item.Key] = protocol.Change{Put: item.Key, Value: item.Value, Revision: item.Revision}
			since = item.Key
		}
		if !page.HasNext || len(page.Items) == 0 {
			return records, revision, nil
		}
	}
}

// listPage reads one page and retries if the store refuses the request. When all controllers
// start together they exceed the store's rate; restarting from the first page would then
// prevent the others from ever reading all records.
func (r *Replica) listPage(ctx context.Context, since string) (protocol.RangeResponse, error) {
	for backoff := minPageBackoff; ; backoff *= 2 {
		page, err := r.Client.ListPage(ctx, LivePrefix, since)
		if !errors.Is(err, ErrRefused) || backoff > maxPageBackoff || ctx.Err() != nil {
			return page, err
		}
		_ = sleep(ctx, backoff/2+rand.N(backoff))
	}
}

// difference returns the changes that lead from the copy to records, which are complete
// up to revision, in the order of their revisions.
func (r *Replica) difference(records map[string]protocol.Change, revision uint64) []protocol.Change {
	var batch []protocol.Change
	for key := range r.revisions {
		if _, ok := records[key]; !ok {
			batch = append(batch, protocol.Change{Delete: key, Revision: revision})
		}
	}
	for key, record := range records {
		if r.revisions[key] != record.Revision {
			batch = append(batch, record)
		}
	}
	slices.SortFunc(batch, func(a, b protocol.Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(keyOf(a), keyOf(b)))
	})
	return batch
}

// watch waits for changes since a revision, applies them, and returns the revision up to
// which the copy is then complete. If the store refuses or does not answer, watch returns
// the old revision, so that the caller retries.
func (r *Replica) watch(ctx context.Context, since uint64) (uint64, error) {
	sent := time.Now()
	changes, err := r.Client.Watch(ctx, LivePrefix, since, r.WatchTimeout)
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknown) {
		_ = sleep(ctx, watchRetryDelay)
		return since, ctx.Err()
	}
	if err != nil {
		return 0, err
	}
	if changes.Revision < since {
		return 0, fmt.Errorf("%w from %d to %d", ErrRevisionWentBack, since, changes.Revision)
	}
	r.mu.Lock()
	r.Apply(r.take(changes))
	r.mu.Unlock()
	r.Synced(sent)
	if len(changes.Changes) > 0 {
		// A busy deployment changes continuously: without a pause the watches of
		// all controllers alone would exhaust the store's rate.
		_ = sleep(ctx, r.WatchPause)
	}
	return changes.Revision, nil
}

// take records an answer with all changes since the revision that the copy reflected when
// the request was sent, and returns the changes missing from the copy. Both the watch and
// CatchUp may deliver a change; the second delivery is dropped, because it could restore
// records that have been deleted since.
func (r *Replica) take(changes protocol.WatchResponse) []protocol.Change {
	var batch []protocol.Change
	for _, change := range changes.Changes {
		key := keyOf(change)
		if change.Revision <= r.applied || change.Revision <= r.revisions[key] {
			continue
		}
		if change.Put != "" {
			r.revisions[key] = change.Revision
		} else {
			delete(r.revisions, key)
		}
		batch = append(batch, change)
	}
	r.applied = max(r.applied, changes.Revision)
	r.highest = max(r.highest, r.applied)
	return batch
}

// CatchUp updates the copy to a revision that is at least the store's revision when the
// call began. It needs one request, regardless of the number of changes.
func (r *Replica) CatchUp(ctx context.Context) error {
	r.mu.Lock()
	loaded, loads, since, highest := r.loaded, r.loads, r.applied, r.highest
	r.mu.Unlock()
	if !loaded {
		return ErrNotLoaded
	}
	changes, err := r.Client.ChangesSince(ctx, LivePrefix, since)
	if err != nil {
		return err
	}
	if changes.Revision < highest {
		return fmt.Errorf("%w from %d to %d", ErrRevisionWentBack, highest, changes.Revision)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loads != loads {
		return ErrNotLoaded // the reloaded copy may be newer than this answer
	}
	if batch := r.take(changes); len(batch) > 0 {
		r.Apply(batch)
	}
	return nil
}

func keyOf(change protocol.Change) string {
	if change.Put != "" {
		return change.Put
	}
	return change.Delete
}
