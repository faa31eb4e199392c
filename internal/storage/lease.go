package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"reedtrack/internal/protocol"
	"reedtrack/internal/transport"
)

// GrantLease creates a lease that expires ttl after its last renewal, and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease protocol.LeaseGrant
	err := c.leaseClient.Do(ctx, http.MethodPost, c.baseURL+"/grants", protocol.LeaseGrant{TTLMilliseconds: ttl.Milliseconds()}, &lease)
	return lease.LeaseID, classify(err)
}

// RenewLease renews a lease. ErrNotFound means that it has expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	return classify(c.leaseClient.Do(ctx, http.MethodPost, c.leaseURL(lease)+"/renew", struct{}{}, nil))
}

// RevokeLease ends a lease immediately and deletes the keys written under it. ErrNotFound
// means that the lease had already ended. Pending requests under the lease fail from then
// on.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	err := c.leaseClient.Do(ctx, http.MethodDelete, c.leaseURL(lease), nil, nil)
	var status *transport.StatusError
	if errors.As(err, &status) && status.StatusCode/100 == 2 {
		return nil // the protocol does not specify the success status
	}
	return classify(err)
}

func (c *Client) leaseURL(lease uint64) string { return fmt.Sprintf("%s/grants/%d", c.baseURL, lease) }

// ReadController reads a controller's own key and returns the record and the key's
// revision, 0 if the key does not exist. Like a renewal it bypasses the budget.
func (c *Client) ReadController(ctx context.Context, name string) (Controller, uint64, error) {
	var controller Controller
	var item protocol.KeyValue
	err := classify(c.leaseClient.Do(ctx, http.MethodGet, c.keyURL(ControllerKey(name)), nil, &item))
	switch {
	case errors.Is(err, ErrNotFound):
		return controller, 0, nil
	case err != nil:
		return controller, 0, err
	}
	err = json.Unmarshal(item.Value, &controller)
	return controller, item.Revision, err
}

// ClaimController writes a controller's own key under its session's lease, if the key
// still has the given revision, and returns the new one. Like a renewal it bypasses the
// budget.
func (c *Client) ClaimController(ctx context.Context, self Controller, revision uint64) (uint64, error) {
	key := ControllerKey(self.Name)
	txn := protocol.Txn{
		Preconditions: []protocol.Precondition{{Key: key, Revision: revision}},
		Writes:        []protocol.Write{{Put: key, Value: self, LeaseID: self.Session}},
	}
	return c.postTxn(ctx, c.leaseClient, txn)
}
