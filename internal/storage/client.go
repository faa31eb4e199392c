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
	leaseConns       = 6 // copies of a renewal, and one other step of a session
	workerLeaseConns = 8
)

// Client talks to the key-value store. Requests that serve the controller's lease, and
// watches, use connections of their own and bypass the budget, so that other work never
// costs a lease. Transactions that workers' leases wait for use connections of their own
// too, but keep to the budget. It is safe for concurrent use.
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

// NewClient returns a client of the store at addr (host:port). It keeps to one
// controller's share of the store's limits: rps requests and writeRPS writes a
// second for all controllers together.
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

// SetLeading gives the client the leader's share of the store's writes, or that of
// any other controller. What was saved up of an unchanged share is kept.
func (c *Client) SetLeading(leads bool, writeRPS float64, controllers int) {
	c.budget.setLeading(leads, writeRPS, controllers)
}

// AvailableWrites is how many writes may be made now.
func (c *Client) AvailableWrites() int { return c.budget.availableWrites() }

// DeferrableWrites is how many writes that can wait may be made now: half of the
// burst stays reserved for those that can't.
func (c *Client) DeferrableWrites() int { return c.budget.deferrableWrites() }
