package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"reedtrack/internal/protocol"
)

// Cloud is the client of the cloud's interface.
type Cloud struct {
	base string
	http *Client
	none error
}

// NewCloud returns a client; noCapacity is the error for "none available".
func NewCloud(addr string, noCapacity error) *Cloud {
	return &Cloud{base: "http://" + addr, http: NewClient(4, 5*time.Second), none: noCapacity}
}

// Catalog reads the machine types.
func (c *Cloud) Catalog(ctx context.Context) (protocol.Catalog, error) {
	var cat protocol.Catalog
	err := c.http.Do(ctx, http.MethodGet, c.base+"/catalog", nil, &cat)
	return cat, err
}

// Rent rents machines and returns their names.
func (c *Cloud) Rent(ctx context.Context, r protocol.Rental) ([]string, error) {
	var names protocol.MachineNames
	err := c.http.Do(ctx, http.MethodPost, c.base+"/machines", r, &names)
	var se *StatusError
	if errors.As(err, &se) && (se.Code == http.StatusBadRequest ||
		se.Code == http.StatusServiceUnavailable && !isTrouble(se.Body)) {
		return nil, c.none
	}
	return names.Machines, err
}

// Release gives machines back.
func (c *Cloud) Release(ctx context.Context, names []string) error {
	return c.http.Do(ctx, http.MethodPost, c.base+"/machines/release", protocol.MachineNames{Machines: names}, nil)
}

// List reads a page of the machine list.
func (c *Cloud) List(ctx context.Context, since string) (protocol.MachineList, error) {
	q := url.Values{"limit": {fmt.Sprint(protocol.MaxList)}}
	if since != "" {
		q.Set("since", since)
	}
	var page protocol.MachineList
	err := c.http.Do(ctx, http.MethodGet, c.base+"/machines?"+q.Encode(), nil, &page)
	return page, err
}

func isTrouble(body []byte) bool {
	var f protocol.Failure
	return json.Unmarshal(body, &f) != nil || f.Error != "no capacity"
}
