package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/storage"
)

// KeyPrefix is the prefix of the members' keys in the key-value store. The controllers
// neither read nor write keys with this prefix.
const KeyPrefix = "o/member/"

// minRetryWait is the first wait after a failed request to the key-value store; waits
// grow up to half the lease duration.
const minRetryWait = 200 * time.Millisecond

// KeyValueStore is the part of the consensus-backed key-value store that membership
// uses.
type KeyValueStore interface {
	GrantLease(ctx context.Context, life time.Duration) (uint64, error)
	RenewLease(ctx context.Context, hold uint64) error
	Get(ctx context.Context, path string) (protocol.KeyValue, error)
	Txn(ctx context.Context, t protocol.Txn) (uint64, error)
	ListPage(ctx context.Context, under, since string) (protocol.RangeResponse, error)
	Watch(ctx context.Context, under string, since uint64, wait time.Duration) (protocol.WatchResponse, error)
}

// Membership registers this member in the key-value store under a lease, and watches
// the other members. While the key-value store does not answer, the last known view
// stays in use; it is also cached in a file for the next start.
//
// The exported fields must be set before [Membership.LoadCache], which must be called
// before any other method.
type Membership struct {
	Self          Member
	KeyValueStore KeyValueStore // nil: single-member cluster
	LeaseDuration time.Duration
	WatchPause    func(members int) time.Duration // pause between two watch requests; nil: none
	CacheFile     string                          // empty: the view is not cached

	mu          sync.Mutex
	view        *View
	confirmedAt time.Time // when the request that returned the view was sent
	joinedAt    time.Time // when the member was registered; zero: not registered
	changed     chan struct{}
	problem     string
}

// errNameTaken means that another store is registered under the same name.
var errNameTaken = errors.New("another store has this name")

// View returns the current view. It must not be modified.
func (m *Membership) View() *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// IsCurrent reports whether this member is registered and its view was confirmed
// by the key-value store within about one lease duration. Replicas may be dropped
// only while it is current.
func (m *Membership) IsCurrent() bool {
	pause := m.watchPause()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.KeyValueStore == nil {
		return true
	}
	// A watch takes at most half the lease duration, with a pause before and after it.
	age := time.Since(m.confirmedAt)
	return m.view.Confirmed && age < m.LeaseDuration+2*pause && !m.joinedAt.IsZero()
}

// Problem returns why this member is not registered, or "" if it is.
func (m *Membership) Problem() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.KeyValueStore == nil || !m.joinedAt.IsZero() {
		return ""
	}
	if m.problem == "" {
		return "not joined yet"
	}
	return m.problem
}

// Run registers this member and watches the others until the context ends.
func (m *Membership) Run(ctx context.Context) {
	if m.KeyValueStore == nil {
		<-ctx.Done()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { m.join(ctx) })
	wg.Go(func() { m.watch(ctx) })
	wg.Wait()
}

// join acquires a lease, registers this member under it and renews it. When the lease
// expires, it starts over.
func (m *Membership) join(ctx context.Context) {
	for wait := time.Duration(0); ctx.Err() == nil; wait = m.retryWait(wait) {
		if !sleep(ctx, wait) {
			return
		}
		lease, err := m.KeyValueStore.GrantLease(ctx, m.LeaseDuration)
		if err == nil {
			err = m.register(ctx, lease)
		}
		if err != nil {
			m.recordProblem(err)
			continue
		}
		m.setJoined(time.Now())
		slog.Info("cluster joined", "name", m.Self.Name, "zone", m.Self.Zone, "address", m.Self.Address)
		m.renew(ctx, lease)
		m.setNotJoined()
		wait = 0
	}
}

func (m *Membership) setJoined(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joinedAt, m.problem = now, ""
}

func (m *Membership) setNotJoined() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joinedAt = time.Time{}
}

// recordProblem stores an error for [Membership.Problem], and logs it if it differs
// from the last one.
func (m *Membership) recordProblem(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.problem != err.Error() {
		m.problem = err.Error()
		slog.Warn("cluster not joined", "name", m.Self.Name, "err", err)
	}
}

// register writes this member's key under a lease. It overwrites the key of a previous
// process with the same data directory, but not that of another store.
func (m *Membership) register(ctx context.Context, lease uint64) error {
	key := KeyPrefix + m.Self.Name
	precondition := protocol.Precondition{Key: key}
	item, err := m.KeyValueStore.Get(ctx, key)
	switch {
	case err == nil:
		var holder Member
		if json.Unmarshal(item.Value, &holder) == nil && holder.ID != m.Self.ID {
			return fmt.Errorf("%w: %s, at %s", errNameTaken, m.Self.Name, holder.Address)
		}
		precondition.Revision = item.Revision
	case !errors.Is(err, storage.ErrNotFound):
		return err
	}
	_, err = m.KeyValueStore.Txn(ctx, protocol.Txn{
		Preconditions: []protocol.Precondition{precondition},
		Writes:        []protocol.Write{{Put: key, Value: m.Self, LeaseID: lease}},
	})
	return err
}

// renew renews the lease until it has expired. Other errors are ignored: the next
// renewal, a third of the lease duration later, may still be in time.
func (m *Membership) renew(ctx context.Context, lease uint64) {
	for sleep(ctx, m.LeaseDuration/3) {
		err := m.KeyValueStore.RenewLease(ctx, lease)
		if errors.Is(err, storage.ErrNotFound) {
			slog.Warn("member lease expired", "name", m.Self.Name)
			return
		}
	}
}

// watch lists all members and then watches for changes. After an error it starts over.
func (m *Membership) watch(ctx context.Context) {
	for wait := time.Duration(0); ctx.Err() == nil; wait = m.retryWait(wait) {
		if !sleep(ctx, wait) {
			return
		}
		sent := time.Now()
		list, revision, err := m.listMembers(ctx)
		if err != nil {
			continue
		}
		m.publish(list, sent)
		for err == nil && sleep(ctx, m.watchPause()) {
			var changes protocol.WatchResponse
			// The watch returns within half the lease duration, as IsCurrent requires.
			sent := time.Now()
			changes, err = m.KeyValueStore.Watch(ctx, KeyPrefix, revision, m.LeaseDuration/2)
			if err != nil {
				break
			}
			revision = max(revision, changes.Revision)
			list = applyChanges(list, changes)
			m.publish(list, sent)
			wait = 0
		}
	}
}

// applyChanges applies changes of members' keys to a list of members.
func applyChanges(list []Member, changes protocol.WatchResponse) []Member {
	for _, c := range changes.Changes {
		name := strings.TrimPrefix(c.Put+c.Delete, KeyPrefix)
		list = slices.DeleteFunc(list, func(x Member) bool { return x.Name == name })
		var added Member
		if c.Put != "" && json.Unmarshal(c.Value, &added) == nil && added.Name == name {
			list = append(list, added)
		}
	}
	return list
}

// listMembers reads all members and the revision to start watching from.
func (m *Membership) listMembers(ctx context.Context) (list []Member, revision uint64, err error) {
	after := ""
	for {
		page, err := m.KeyValueStore.ListPage(ctx, KeyPrefix, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision // the watch covers all changes since the first page
		}
		for _, item := range page.Items {
			after = item.Key
			var x Member
			if json.Unmarshal(item.Value, &x) != nil || KeyPrefix+x.Name != item.Key {
				slog.Warn("member record skipped", "key", item.Key)
				continue
			}
			list = append(list, x)
		}
		if !page.HasNext {
			return list, revision, nil
		}
	}
}

// publish sets the view to a list of members. A member is always in its own view, even
// if its lease has expired: this errs on the side of too many replicas.
func (m *Membership) publish(list []Member, sent time.Time) {
	v := &View{Members: m.withSelf(list), Confirmed: true}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = sent
	if v.equal(m.view) {
		return
	}
	var names []string
	for _, x := range v.Members {
		names = append(names, x.Name)
	}
	slog.Info("members changed", "members", strings.Join(names, " "))
	m.view = v
	close(m.changed)
	m.changed = make(chan struct{})
	m.saveCache(v)
}

// withSelf returns a list of members sorted by name that includes this member.
func (m *Membership) withSelf(list []Member) []Member {
	list = slices.DeleteFunc(slices.Clone(list), func(x Member) bool { return x.Name == m.Self.Name })
	return sortedByName(append(list, m.Self))
}

func sortedByName(list []Member) []Member {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (m *Membership) watchPause() time.Duration {
	if m.WatchPause == nil {
		return 0
	}
	return m.WatchPause(len(m.View().Members))
}

// retryWait returns the wait before the next retry, given the previous wait.
func (m *Membership) retryWait(wait time.Duration) time.Duration {
	return nextBackoff(wait, minRetryWait, m.LeaseDuration/2)
}

// nextBackoff doubles a wait within bounds and adds up to half of it as random jitter,
// so that members that fail together do not retry together.
func nextBackoff(wait, lower, upper time.Duration) time.Duration {
	wait = min(max(2*wait, lower), upper)
	return wait + rand.N(wait/2+1)
}

// sleep waits for a duration and reports whether the context is not done.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
