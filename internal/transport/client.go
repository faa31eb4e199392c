package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	maxIdleConns     = 256
	idleConnTimeout  = 90 * time.Second
	ioBufferBytes    = 4 << 10
	maxResponseBytes = 64 << 20 // per response body; the rest is not read
)

// Client calls HTTP services with a limit on connections per host and a timeout.
// It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client with at most maxConns connections per host. A call fails
// after timeout, or earlier if its context ends.
func NewClient(maxConns int, timeout time.Duration) *Client {
	return NewClientWithTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		MaxIdleConns:        maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     ioBufferBytes,
		ReadBufferSize:      ioBufferBytes,
	}, timeout)
}

// NewClientWithTransport returns a client that sends requests through roundTripper
// with the given timeout per call.
func NewClientWithTransport(roundTripper http.RoundTripper, timeout time.Duration) *Client {
	return &Client{timeout: timeout, http: &http.Client{Transport: roundTripper}}
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	StatusCode int
	Body       []byte
}

// Error returns the status code and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %.200s", e.StatusCode, e.Body)
}

// Do sends in as JSON (nil: no body) and decodes the response into out (nil: the
// response is discarded). A response other than 200 is returned as a *StatusError.
// Any other error means that no usable response was received, so the request may have
// been executed or may still be.
func (c *Client) Do(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.do(ctx, method, url, in, out)
}

// DoWithTimeout is like Do, without a body and with the given timeout instead of the
// client's.
func (c *Client) DoWithTimeout(ctx context.Context, timeout time.Duration, method, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.do(ctx, method, url, nil, out)
}

func (c *Client) do(ctx context.Context, method, url string, in, out any) error {
	req, err := newJSONRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{StatusCode: resp.StatusCode, Body: raw}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

func newJSONRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
