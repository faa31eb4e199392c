package transport

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"reedtrack/internal/protocol"
)

const (
	cloudMaxConns = 4
	cloudTimeout  = 5 * time.Second

	// noCapacityMessage is the error in the cloud's 503 response when it has no
	// machines available. Any other 503 means an outage.
	noCapacityMessage = "no capacity"
)

// CloudClient calls the cloud API. Errors are as for Client.Do.
type CloudClient struct {
	base          string
	http          *Client
	errNoCapacity error
}

// NewCloudClient returns a client for the cloud at addr (host:port). RequestMachines
// returns errNoCapacity if none of the requested machines are available.
func NewCloudClient(addr string, errNoCapacity error) *CloudClient {
	return &CloudClient{
		base:          "http://" + addr,
		http:          NewClient(cloudMaxConns, cloudTimeout),
		errNoCapacity: errNoCapacity,
	}
}

// Catalog returns the cloud's machine types.
func (c *CloudClient) Catalog(ctx context.Context) (protocol.Catalog, error) {
	var catalog protocol.Catalog
	err := c.http.Do(ctx, http.MethodGet, c.base+"/catalog", nil, &catalog)
	return catalog, err
}

// RequestMachines requests machines and returns the names of those granted, which may
// be fewer than requested. A request that the cloud rejects as malformed is reported as
// lack of capacity.
func (c *CloudClient) RequestMachines(ctx context.Context, r protocol.MachineRequest) ([]string, error) {
	var names protocol.MachineNames
	err := c.http.Do(ctx, http.MethodPost, c.base+"/machines", r, &names)
	if isNoCapacity(err) {
		return nil, c.errNoCapacity
	}
	return names.Machines, err
}

func isNoCapacity(err error) bool {
	var statusErr *StatusError
	if !errors.As(err, &statusErr) {
		return false
	}
	switch statusErr.StatusCode {
	case http.StatusBadRequest:
		return true
	case http.StatusServiceUnavailable:
		var response protocol.ErrorResponse
		return json.Unmarshal(statusErr.Body, &response) == nil && response.Error == noCapacityMessage
	default:
		return false
	}
}

// Release releases machines, at most protocol.MaxMachinesPerRelease. Once it returns
// nil, the machines and everything that ran on them are terminated.
func (c *CloudClient) Release(ctx context.Context, names []string) error {
	return c.http.Do(ctx, http.MethodPost, c.base+"/machines/release", protocol.MachineNames{Machines: names}, nil)
}

// List returns a page of the machine list that starts after the machine named since,
// or at the beginning if since is empty.
func (c *CloudClient) List(ctx context.Context, since string) (protocol.MachineList, error) {
	query := url.Values{"limit": {strconv.Itoa(protocol.MaxMachinesPerPage)}}
	if since != "" {
		query.Set("since", since)
	}
	var page protocol.MachineList
	err := c.http.Do(ctx, http.MethodGet, c.base+"/machines?"+query.Encode(), nil, &page)
	return page, err
}
