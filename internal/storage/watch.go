package storage

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"reedtrack/internal/protocol"
)

const (
	// watchGrace is added to the wait of a watch for the timeout of its request.
	watchGrace = 5 * time.Second

	// catchUpMaxWait is how long ChangesSince may wait for budget.
	catchUpMaxWait = 500 * time.Millisecond
)

// Watch returns the changes under a prefix since a revision, as soon as there are any or
// after the given wait. ErrCompacted means that the store no longer has all of them. Watch
// bypasses the budget.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (protocol.WatchResponse, error) {
	var changes protocol.WatchResponse
	err := c.watchClient.DoWithTimeout(ctx, wait+watchGrace, http.MethodGet, c.changesURL(prefix, since, wait), &changes)
	return changes, classify(err)
}

// ChangesSince returns the store's revision and all changes under a prefix since another
// revision, without waiting for changes. Unlike Watch it is subject to the budget.
func (c *Client) ChangesSince(ctx context.Context, prefix string, since uint64) (protocol.WatchResponse, error) {
	var changes protocol.WatchResponse
	if err := c.budget.await(ctx, reservation{maxWait: catchUpMaxWait}); err != nil {
		return changes, err
	}
	err := c.httpClient.Do(ctx, http.MethodGet, c.changesURL(prefix, since, 0), nil, &changes)
	return changes, classify(err)
}

func (c *Client) changesURL(prefix string, since uint64, wait time.Duration) string {
	query := url.Values{
		"under":   {prefix},
		"since":   {strconv.FormatUint(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.baseURL + "/follow?" + query.Encode()
}
