package etcd

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrLeaseNotFound reports that a lease has expired or was revoked.
var ErrLeaseNotFound = errors.New("lease is gone")

// Grant creates a lease that expires after ttl unless KeepAlive renews it. The service
// counts in whole seconds, and ttl is rounded up. Grant fails with ErrUnavailable,
// ErrOutcomeUnknown or ErrRejected.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp LeaseResponse
	if err := c.call(ctx, "/v3/lease/grant", c.counts.grants, LeaseGrantRequest{TTL: seconds}, &resp); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return LeaseID(resp.ID), nil
}

// KeepAlive renews a lease and returns the time until which it is valid. That time is
// computed from the start of the call, so that the service never ends the lease
// earlier. KeepAlive fails with ErrLeaseNotFound, ErrUnavailable or ErrRejected.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Time, error) {
	sentAt := time.Now()
	var resp KeepAliveResponse
	if err := c.read(ctx, "/v3/lease/keepalive", c.counts.renewals, LeaseRequest{ID: int64(id)}, &resp); err != nil {
		return time.Time{}, fmt.Errorf("keep lease alive: %w", err)
	}
	if resp.Result.TTL <= 0 {
		return time.Time{}, fmt.Errorf("keep lease alive: %w", ErrLeaseNotFound)
	}
	return sentAt.Add(time.Duration(resp.Result.TTL) * time.Second), nil
}

// Revoke ends a lease and deletes the keys attached to it. It fails with
// ErrUnavailable, ErrOutcomeUnknown, ErrRejected or, if the lease does not exist,
// ErrLeaseNotFound. It may be repeated.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	var resp LeaseResponse
	if err := c.call(ctx, "/v3/lease/revoke", c.counts.revokes, LeaseRequest{ID: int64(id)}, &resp); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}
