// Package storage keeps what must outlive a process in the state service: the
// records, a replica of the live ones, and the client.
package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// What a call to the state service can end in besides success. After
// ErrUnknown a transaction may have been applied, or may be applied later.
var (
	ErrConflict = errors.New("state service: a condition does not hold")
	ErrRefused  = errors.New("state service: not executed")
	ErrRate     = fmt.Errorf("%w: too many requests", ErrRefused)
	ErrBudget   = fmt.Errorf("%w: no budget left", ErrRefused)
	ErrUnknown  = errors.New("state service: no answer")
	ErrNoLease  = errors.New("state service: lease is gone")
	ErrNotFound = errors.New("state service: no such key")
	ErrTooOld   = errors.New("state service: log no longer kept")
)

// Client talks to the state service. Renewals and watches pass the limiters
// by, so that other work never costs a lease.
type Client struct {
	base     string
	http     *transport.Client
	watch    *transport.Client
	renew    *transport.Client
	taking   sync.Mutex // so that what is to be had is what is taken
	requests *rate.Limiter
	changes  *rate.Limiter
	writes   float64 // of one part of the service's writes, see Lead

	overRate, overSize rate.Sometimes
}

// Metrics of what the state service did not take.
var (
	rates = prometheus.NewCounter(prometheus.CounterOpts{Name: "reedtrack_state_rate_refused_total",
		Help: "Transactions refused by the state service for its rate."})
	sizes = prometheus.NewCounter(prometheus.CounterOpts{Name: "reedtrack_state_size_refused_total",
		Help: "Transactions refused by the state service for good, as for their size."})
)

func init() { prometheus.MustRegister(rates, sizes) }

// watchPart is the part of the service's requests that is left to watches and
// renewals.
const watchPart = 0.3

// leaderParts is how many controllers' worth of writes the leader gets.
const leaderParts = 3

// NewClient returns a client that uses at most a share of the service's limits.
func NewClient(addr string, rps, writeRPS float64, nodes int) *Client {
	c := NewClientOver(nil, rps, writeRPS, nodes)
	c.base = "http://" + addr
	c.http = transport.NewClient(8, 2*time.Second)
	c.watch = transport.NewClient(2, time.Minute)
	c.renew = transport.NewClient(2, time.Second)
	return c
}

// NewClientOver returns a client over a round tripper of the caller's own.
func NewClientOver(rt http.RoundTripper, rps, writeRPS float64, nodes int) *Client {
	c := &Client{base: "http://state", overRate: rate.Sometimes{Interval: 10 * time.Second}, overSize: rate.Sometimes{Interval: time.Second},
		writes: onePart(writeRPS, nodes),
		http:   transport.NewClientOver(rt, 2*time.Second),
		watch:  transport.NewClientOver(rt, time.Minute),
		renew:  transport.NewClientOver(rt, time.Second)}
	c.requests = limiter((1 - watchPart) * rps / float64(nodes))
	c.changes = limiter(c.writes)
	return c
}

// onePart is one controller's part of the writes, or one of the leader's.
func onePart(writeRPS float64, nodes int) float64 {
	return 0.9 * writeRPS / float64(nodes-1+leaderParts)
}

// limiter begins with half of its burst: a process may be back a moment
// after it ended, and all of them together, again and again; each with a full
// burst of its own would be over the service's rate together.
func limiter(v float64) *rate.Limiter {
	l := rate.NewLimiter(rate.Limit(v), burst(v))
	l.AllowN(time.Now(), burst(v)/2)
	return l
}

func burst(v float64) int { return max(1, int(v)) }

// WatchRest is how long each of so many controllers rests between two watches,
// so that together they keep within their part of the service's requests
// however often something changes.
func WatchRest(rps float64, nodes int) time.Duration {
	return time.Duration(float64(nodes) / (watchPart * 0.8 * rps) * float64(time.Second))
}

// Lead gives the client the leader's part of the writes that the service takes,
// or the others'. It changes the budget only when that is another: what was
// saved up stays.
func (c *Client) Lead(leads bool, writeRPS float64, nodes int) {
	c.writes = onePart(writeRPS, nodes)
	parts := 1.0
	if leads {
		parts = leaderParts
	}
	if v := rate.Limit(parts * c.writes); c.changes.Limit() != v {
		c.changes.SetLimit(v)
		c.changes.SetBurst(burst(float64(v)))
	}
}

// Had is how many writes may be made now.
func (c *Client) Had() int { return max(0, int(c.changes.Tokens())) }

// Spare is how many writes may be made now that can as well wait, while half
// of what is had stays for those that can't.
func (c *Client) Spare() int {
	return max(0, int(c.changes.Tokens()-float64(c.changes.Burst())/2))
}

func outcome(err error) error {
	var se *transport.StatusError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &se):
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	case se.Code == http.StatusNotFound:
		return ErrNotFound
	case se.Code == http.StatusConflict:
		return ErrConflict
	case se.Code == http.StatusGone:
		return ErrTooOld
	case se.Code == http.StatusTooManyRequests:
		return ErrRate
	case se.Code == http.StatusServiceUnavailable:
		return ErrRefused
	case se.Code == http.StatusBadRequest:
		var f protocol.Failure
		if json.Unmarshal(se.Body, &f) == nil && f.Error == "no such lease" {
			return ErrNoLease
		}
	}
	return fmt.Errorf("state service: %w", se)
}

// budget takes what a request costs, if that is to be had within a time that
// the caller can wait; otherwise it takes nothing and says so at once. What
// can't wait may take writes ahead of time: users seldom come to all
// controllers alike, and the parts of the others are mostly not used up. What
// can wait then has to.
func (c *Client) budget(ctx context.Context, writes int, most time.Duration, ahead bool) error {
	wait, ok := c.takes(time.Now(), writes, most, ahead)
	if !ok {
		return ErrBudget
	}
	if wait > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %v", ErrRefused, ctx.Err())
		case <-time.After(wait):
		}
	}
	return nil
}

// takes works out first what a request would have to wait, and reserves only
// what will be used. A reservation of the limiter that is cancelled gives back
// less than it took when others came after it: with many requests refused at
// once a controller's debt grew faster than it was paid off, and nothing that
// it had to write, ends of jobs among it, was ever written again.
func (c *Client) takes(now time.Time, writes int, most time.Duration, ahead bool) (wait time.Duration, ok bool) {
	c.taking.Lock()
	defer c.taking.Unlock()
	if writes == 0 {
		// Only reads wait for their part of the requests, and for what writes have
		// taken of it. Users who all ask at once otherwise keep it used up ahead of
		// time, and nothing that can't wait is written: a leader granted no machine
		// for minutes, and gave those back that it had rented. Writes have a bound
		// of their own, which is below that of the requests.
		wait = delay(c.requests, now, 1)
	}
	writes = min(writes, c.changes.Burst())
	if d := delay(c.changes, now, writes); !ahead || d > mostAhead {
		wait = max(wait, d)
	}
	if wait > most {
		return 0, false
	}
	c.requests.ReserveN(now, 1)
	c.changes.ReserveN(now, writes)
	return wait, true
}

// delay is how long a limiter would let so many events wait.
func delay(l *rate.Limiter, now time.Time, n int) time.Duration {
	short := float64(n) - l.TokensAt(now)
	if short <= 0 || l.Limit() <= 0 {
		return 0
	}
	return time.Duration(short / float64(l.Limit()) * float64(time.Second))
}

// mostAhead bounds how much of its future budget a controller may have used.
const mostAhead = 3 * time.Second

// Get reads a key.
func (c *Client) Get(ctx context.Context, path string) (protocol.Item, error) {
	var it protocol.Item
	if err := c.budget(ctx, 0, soon, false); err != nil {
		return it, err
	}
	err := c.http.Do(ctx, http.MethodGet, c.base+"/keys/"+path, nil, &it)
	return it, outcome(err)
}

// pageKeys is how many keys are read in a request: as many as the service gives.
// All controllers may read all records at once, again and again.
const pageKeys = 1000

// List reads a page of the keys under a prefix.
func (c *Client) List(ctx context.Context, under, since string) (protocol.Items, error) {
	q := url.Values{"under": {under}, "limit": {strconv.Itoa(pageKeys)}}
	if since != "" {
		q.Set("since", since)
	}
	var page protocol.Items
	err := c.http.Do(ctx, http.MethodGet, c.base+"/keys?"+q.Encode(), nil, &page)
	return page, outcome(err)
}

// soon is how long a user's request may wait for its part of the budget. What
// would have to wait longer is refused at once.
const soon = time.Second

// Multi carries out a transaction and returns its revision.
func (c *Client) Multi(ctx context.Context, t protocol.Txn) (uint64, error) {
	return c.multi(ctx, t, 0, false)
}

// MultiSoon is Multi for a user who waits for the answer. What the service
// refuses in a burst of several controllers was not executed, and is sent
// again while the user would have to wait as long to ask again.
func (c *Client) MultiSoon(ctx context.Context, t protocol.Txn) (uint64, error) {
	end := time.Now().Add(soon)
	for {
		left := time.Until(end)
		rev, err := c.multi(ctx, t, left, true)
		if !errors.Is(err, ErrRate) || left < again || ctx.Err() != nil {
			return rev, err
		}
		time.Sleep(again)
	}
}

// again is how soon a request is sent again that was over the service's rate.
const again = 50 * time.Millisecond

func (c *Client) multi(ctx context.Context, t protocol.Txn, wait time.Duration, ahead bool) (uint64, error) {
	if t.When == nil {
		t.When = []protocol.Cond{}
	}
	if err := c.budget(ctx, max(1, len(t.Writes)), wait, ahead); err != nil {
		return 0, err
	}
	var res protocol.TxnResult
	if err := c.http.Do(ctx, http.MethodPost, c.base+"/multi", t, &res); err != nil {
		err = outcome(err)
		c.refused(t, err)
		return 0, err
	}
	return res.Ledger, nil
}

// refused counts what the service did not take, and logs what it will not take
// however often it is sent: such a write is a fault of this program.
func (c *Client) refused(t protocol.Txn, err error) {
	var se *transport.StatusError
	switch {
	case errors.Is(err, ErrRate):
		rates.Inc()
		c.overRate.Do(func() { slog.Warn("over the state service's rate", "keys", keysOf(t)) })
	case errors.As(err, &se) && se.Code == http.StatusBadRequest:
		sizes.Inc()
		c.overSize.Do(func() { slog.Error("the state service refuses a write for good", "keys", keysOf(t), "err", err) })
	}
}

func keysOf(t protocol.Txn) []string {
	var keys []string
	for _, w := range t.Writes {
		keys = append(keys, w.Put+w.Delete)
	}
	return keys
}

// Grant opens a lease.
func (c *Client) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	var g protocol.Grant
	err := c.renew.Do(ctx, http.MethodPost, c.base+"/grants", protocol.Grant{LifeMS: life.Milliseconds()}, &g)
	return g.Hold, outcome(err)
}

// Renew renews a lease; ErrNotFound means that it has ended.
func (c *Client) Renew(ctx context.Context, hold uint64) error {
	return outcome(c.renew.Do(ctx, http.MethodPost, fmt.Sprintf("%s/grants/%d/renew", c.base, hold), struct{}{}, nil))
}

// End ends a lease at once; ErrNotFound means that it had ended. A lease that
// is over refuses whatever a process still has under way under it.
func (c *Client) End(ctx context.Context, hold uint64) error {
	err := c.renew.Do(ctx, http.MethodDelete, fmt.Sprintf("%s/grants/%d", c.base, hold), nil, nil)
	var se *transport.StatusError
	if errors.As(err, &se) && se.Code/100 == 2 {
		return nil // the protocol does not name the status of a success
	}
	return outcome(err)
}

// Own reads a controller's own key: what it names and its stamp, 0 if there is
// none. Like a renewal it passes the limiters by.
func (c *Client) Own(ctx context.Context, name string) (Node, uint64, error) {
	var it protocol.Item
	err := outcome(c.renew.Do(ctx, http.MethodGet, c.base+"/keys/"+AliveKey(name), nil, &it))
	var n Node
	switch {
	case errors.Is(err, ErrNotFound):
		return n, 0, nil
	case err != nil:
		return n, 0, err
	}
	return n, it.Stamp, json.Unmarshal(it.Data, &n)
}

// Claim writes a controller's own key under its lease, if the key's stamp is
// still as it was read. Like a renewal it passes the limiters by.
func (c *Client) Claim(ctx context.Context, me Node, stamp uint64) (uint64, error) {
	key := AliveKey(me.Name)
	t := protocol.Txn{When: []protocol.Cond{{Path: key, Stamp: stamp}}, Writes: []protocol.Write{{Put: key, Data: me, Hold: me.Session}}}
	var res protocol.TxnResult
	err := outcome(c.renew.Do(ctx, http.MethodPost, c.base+"/multi", t, &res))
	return res.Ledger, err
}

// Follow waits for changes under a prefix.
func (c *Client) Follow(ctx context.Context, under string, since uint64, wait time.Duration) (protocol.Changes, error) {
	q := url.Values{"under": {under}, "since": {fmt.Sprint(since)}, "wait_ms": {fmt.Sprint(wait.Milliseconds())}}
	var ch protocol.Changes
	err := c.watch.Wait(ctx, wait+5*time.Second, http.MethodGet, c.base+"/follow?"+q.Encode(), &ch)
	return ch, outcome(err)
}
