package storage

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"reedtrack/internal/protocol"
)

// interactiveTimeout is how long a user's request may wait for budget. A request that would
// have to wait longer is refused immediately.
const interactiveTimeout = time.Second

// pageSize is the number of keys per request, the maximum that the store returns. It is
// large because all controllers may read all records concurrently and repeatedly.
const pageSize = 1000

// Get reads a key within the budget, or returns ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	var item protocol.KeyValue
	if err := c.budget.await(ctx, reservation{maxWait: interactiveTimeout}); err != nil {
		return item, err
	}
	err := c.httpClient.Do(ctx, http.MethodGet, c.keyURL(key), nil, &item)
	return item, classify(err)
}

// ListPage reads one page of the keys under a prefix, in order, beginning after the key
// since ("" for the first page). It bypasses the budget.
func (c *Client) ListPage(ctx context.Context, prefix, since string) (protocol.RangeResponse, error) {
	query := url.Values{"under": {prefix}, "limit": {strconv.Itoa(pageSize)}}
	if since != "" {
		query.Set("since", since)
	}
	var page protocol.RangeResponse
	err := c.httpClient.Do(ctx, http.MethodGet, c.baseURL+"/keys?"+query.Encode(), nil, &page)
	return page, classify(err)
}

func (c *Client) keyURL(key string) string { return c.baseURL + "/keys/" + key }
