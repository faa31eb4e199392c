// Package storage keeps what must outlive a process in the state service: the
// records, a replica of the live ones, and the client.
package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// What a call to the state service can end in besides success. After
// ErrUnknown a transaction may have been applied, or may be applied later.
var (
	ErrConflict = errors.New("state service: a condition does not hold")
	ErrRefused  = errors.New("state service: not executed")
	ErrUnknown  = errors.New("state service: no answer")
	ErrNoLease  = errors.New("state service: lease is gone")
	ErrNotFound = errors.New("state service: no such key")
	ErrTooOld   = errors.New("state service: log no longer kept")
)

// Client talks to the state service. Renewals and watches pass the request
// limiter by, so that other work never costs a lease.
type Client struct {
	base     string
	http     *transport.Client
	watch    *transport.Client
	renew    *transport.Client
	requests *rate.Limiter
	changes  *rate.Limiter
}

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
	share := func(v float64) *rate.Limiter {
		v = v / float64(nodes) * 0.9
		return rate.NewLimiter(rate.Limit(v), max(1, int(v)))
	}
	return &Client{base: "http://state", requests: share(rps), changes: share(writeRPS),
		http:  transport.NewClientOver(rt, 2*time.Second),
		watch: transport.NewClientOver(rt, time.Minute),
		renew: transport.NewClientOver(rt, time.Second)}
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
	case se.Code == http.StatusServiceUnavailable || se.Code == http.StatusTooManyRequests:
		return ErrRefused
	case se.Code == http.StatusBadRequest:
		var f protocol.Failure
		if json.Unmarshal(se.Body, &f) == nil && f.Error == "no such lease" {
			return ErrNoLease
		}
	}
	return fmt.Errorf("state service: %w", se)
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, path string) (protocol.Item, error) {
	var it protocol.Item
	if !c.requests.Allow() {
		return it, ErrRefused
	}
	err := c.http.Do(ctx, http.MethodGet, c.base+"/keys/"+path, nil, &it)
	return it, outcome(err)
}

// List reads a page of the keys under a prefix.
func (c *Client) List(ctx context.Context, under, since string) (protocol.Items, error) {
	q := url.Values{"under": {under}, "limit": {"200"}}
	if since != "" {
		q.Set("since", since)
	}
	var page protocol.Items
	err := c.http.Do(ctx, http.MethodGet, c.base+"/keys?"+q.Encode(), nil, &page)
	return page, outcome(err)
}

// Multi carries out a transaction and returns its revision.
func (c *Client) Multi(ctx context.Context, t protocol.Txn) (uint64, error) {
	if t.When == nil {
		t.When = []protocol.Cond{}
	}
	now := time.Now()
	if !c.requests.AllowN(now, 1) || !c.changes.AllowN(now, max(1, len(t.Writes))) {
		return 0, ErrRefused
	}
	var res protocol.TxnResult
	if err := c.http.Do(ctx, http.MethodPost, c.base+"/multi", t, &res); err != nil {
		return 0, outcome(err)
	}
	return res.Ledger, nil
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

// Follow waits for changes under a prefix.
func (c *Client) Follow(ctx context.Context, under string, since uint64, wait time.Duration) (protocol.Changes, error) {
	q := url.Values{"under": {under}, "since": {fmt.Sprint(since)}, "wait_ms": {fmt.Sprint(wait.Milliseconds())}}
	var ch protocol.Changes
	err := c.watch.Wait(ctx, wait+5*time.Second, http.MethodGet, c.base+"/follow?"+q.Encode(), &ch)
	return ch, outcome(err)
}
