// Package client implements a client of the stores of task outputs. Captures use
// it to write, and the commands logs, artefacts and fetch to read.
//
// Any store can serve any request, so a [Client] has a list of addresses, and
// [Client.Retry] tries the next one when a request fails with a transient error or
// an error of one store. Retries use exponential backoff and a retry budget, so
// that clients don't overload stores that are recovering.
package client

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"reedtrack/internal/outputs/access"
	"reedtrack/internal/outputs/outputsv1/outputsv1connect"
)

const (
	// connectionsPerStore is the maximum number of idle connections to one store. A
	// client has one open stream and few other concurrent requests.
	connectionsPerStore = 4
	// maxMessageBytes is the maximum size of a message from a store. It is well above
	// the largest block of records and the largest page of a listing.
	maxMessageBytes = 16 << 20

	// The retry budget, as a retry costs the stores as much as a new request: a burst
	// of retryBurst, and then retriesPerSecond.
	retryBurst       = 10
	retriesPerSecond = 1
)

// Client sends requests to the stores at some or all of their addresses. It is
// safe for concurrent use.
type Client struct {
	http        *http.Client
	token       string
	options     []connect.ClientOption
	retryBudget *rate.Limiter

	// OnUnavailable, if set, is called once with the latest error when a request has
	// been failing for more than a second. Set it before the first request.
	OnUnavailable func(err error)
	notifyOnce    sync.Once

	mu      sync.Mutex
	addrs   []string
	current int // index of the address for the next request
}

// New returns a client of the stores at addrs, each of which is HOST:PORT or a URL.
// It validates the addresses but opens no connection. If there is a CA file, the
// scheme for HOST:PORT is https.
func New(addrs []string, token, caFile string, interceptors ...connect.Interceptor) (*Client, error) {
	httpClient, err := access.NewHTTPClient(caFile, connectionsPerStore)
	if err != nil {
		return nil, err
	}
	c := &Client{
		http:        httpClient,
		token:       token,
		retryBudget: rate.NewLimiter(retriesPerSecond, retryBurst),
		options: []connect.ClientOption{
			connect.WithInterceptors(append(interceptors, BearerToken(token))...),
			connect.WithReadMaxBytes(maxMessageBytes),
		},
	}
	for _, addr := range addrs {
		url, err := storeURL(addr, caFile != "")
		if err != nil {
			return nil, err
		}
		if !c.maySendTokenTo(url) {
			return nil, fmt.Errorf("%s: a token is not sent without TLS; use https://", addr)
		}
		c.addrs = append(c.addrs, url)
	}
	if len(c.addrs) == 0 {
		return nil, errors.New("no address of a store")
	}
	return c, nil
}

// storeURL converts HOST:PORT to a URL, and validates an address that already is one.
func storeURL(addr string, secure bool) (string, error) {
	url := strings.TrimSuffix(addr, "/")
	host := url
	if rest, ok := strings.CutPrefix(url, "http://"); ok {
		host = rest
	} else if rest, ok := strings.CutPrefix(url, "https://"); ok {
		host = rest
	} else if secure {
		url = "https://" + host
	} else {
		url = "http://" + host
	}
	if _, port, err := net.SplitHostPort(host); err != nil || port == "" {
		return "", fmt.Errorf("%q is no address of a store; they look like 10.0.0.7:8110 or https://10.0.0.7:8110", addr)
	}
	return url, nil
}

// maySendTokenTo reports whether requests to a URL don't expose the token on the
// network: there is no token, or the URL uses TLS or is a loopback address.
func (c *Client) maySendTokenTo(url string) bool {
	return c.token == "" || strings.HasPrefix(url, "https://") || access.IsLoopback(strings.TrimPrefix(url, "http://"))
}

// PreferAddresses puts addresses before the known ones, in the given order. Stores
// return the preferred addresses of an attempt in their responses. It ignores
// addresses that are not HTTP URLs or that the token must not be sent to.
func (c *Client) PreferAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var merged []string
	seen := map[string]bool{}
	for _, addr := range append(addrs, c.addrs...) {
		if strings.HasPrefix(addr, "http") && !seen[addr] && c.maySendTokenTo(addr) {
			seen[addr] = true
			merged = append(merged, addr)
		}
	}
	c.addrs, c.current = merged, 0
}

// Addresses returns the URLs of the stores known now.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.addrs...)
}

func (c *Client) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[c.current%len(c.addrs)]
}

func (c *Client) useNextAddress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = (c.current + 1) % len(c.addrs)
}

// Writer returns a client of one store's service for captures.
func (c *Client) Writer(addr string) outputsv1connect.WriterServiceClient {
	return outputsv1connect.NewWriterServiceClient(c.http, addr, c.options...)
}

// Reader returns a client of one store's service for readers.
func (c *Client) Reader(addr string) outputsv1connect.ReaderServiceClient {
	return outputsv1connect.NewReaderServiceClient(c.http, addr, c.options...)
}
