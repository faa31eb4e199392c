package storage

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"reedtrack/internal/transport"
)

const (
	requestTimeout = 2 * time.Second
	watchTimeout   = time.Minute
	leaseTimeout   = time.Second

	requestConns     = 8
	watchConns       = 2
	leaseConns       = 6 // for copies of a renewal and one other step of a session
	workerLeaseConns = 8
)

// Client is a client of the key-value store. Watches and requests for the controller's
// lease use dedicated connections and bypass the budget, so that other requests never cause
// the loss of the lease. Transactions on which workers' leases depend also use dedicated
// connections, but are subject to the budget. It is safe for concurrent use.
type Client struct {
	baseURL           string
	httpClient        *transport.Client
	watchClient       *transport.Client
	leaseClient       *transport.Client
	workerLeaseClient *transport.Client
	budget            *rateBudget

	rateLog   rate.Sometimes
	rejectLog rate.Sometimes
}

// NewClient returns a client of the store at addr (host:port). It limits itself to one
// controller's share of the store's limits of rps requests and writeRPS writes per second
// for all controllers together.
func NewClient(addr string, rps, writeRPS float64, controllers int) *Client {
	c := newClient("http://"+addr, rps, writeRPS, controllers)
	c.httpClient = transport.NewClient(requestConns, requestTimeout)
	c.watchClient = transport.NewClient(watchConns, watchTimeout)
	c.leaseClient = transport.NewClient(leaseConns, leaseTimeout)
	c.workerLeaseClient = transport.NewClient(workerLeaseConns, leaseTimeout)
	return c
}

// NewClientWithTransport is NewClient over the caller's own round tripper.
func NewClientWithTransport(roundTripper http.RoundTripper, rps, writeRPS float64, controllers int) *Client {
	c := newClient("http://state", rps, writeRPS, controllers)
	c.httpClient = transport.NewClientWithTransport(roundTripper, requestTimeout)
	c.watchClient = transport.NewClientWithTransport(roundTripper, watchTimeout)
	c.leaseClient = transport.NewClientWithTransport(roundTripper, leaseTimeout)
	c.workerLeaseClient = transport.NewClientWithTransport(roundTripper, leaseTimeout)
	return c
}

func newClient(baseURL string, rps, writeRPS float64, controllers int) *Client {
	return &Client{
		baseURL:   baseURL,
		budget:    newRateBudget(rps, writeRPS, controllers),
		rateLog:   rate.Sometimes{Interval: 10 * time.Second},
		rejectLog: rate.Sometimes{Interval: time.Second},
	}
}

// SetLeading sets the client's share of the store's writes to that of the leader or of any
// other controller. If the share is unchanged, accumulated tokens are kept.
func (c *Client) SetLeading(leads bool, writeRPS float64, controllers int) {
	c.budget.setLeading(leads, writeRPS, controllers)
}

// AvailableWrites returns how many writes may be made now.
func (c *Client) AvailableWrites() int { return c.budget.availableWrites() }

// DeferrableWrites returns how many deferrable writes may be made now: half of the burst
// is reserved for other writes.
func (c *Client) DeferrableWrites() int { return c.budget.deferrableWrites() }
