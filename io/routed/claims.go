package routed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"chervilreach/core/fleet"
	"chervilreach/core/router"
	"chervilreach/io/etcd"
)

// PrefixClaim is the prefix of the claims of idempotency keys.
const PrefixClaim = "/chervilreach/claim/"

// Bounds of claims.
const (
	// claimWindow is how long claims are gathered into one write.
	claimWindow = 2 * time.Millisecond
	// claimBatch is the most claims in one write.
	claimBatch = 64
	// claimLife is how long a key is remembered at least.
	claimLife = 24 * time.Hour
	// leaseRenew is how often a new lease is taken for new claims, so that few
	// leases carry all claims.
	leaseRenew = time.Hour
	claimQueue = 1024
)

// claims writes the claims of idempotency keys, many in one call of the
// key-value service.
type claims struct {
	d     *Daemon
	queue chan router.WriteClaim

	mu      sync.Mutex
	lease   etcd.LeaseID
	leaseTo time.Time
}

func newClaims(d *Daemon) *claims {
	return &claims{d: d, queue: make(chan router.WriteClaim, claimQueue)}
}

// write has a claim written; the outcome is posted.
func (c *claims) write(eff router.WriteClaim) {
	select {
	case c.queue <- eff:
	default:
		go c.post(eff, router.ClaimUnknown, router.Claim{})
	}
}

func (c *claims) post(eff router.WriteClaim, result router.ClaimResult, held router.Claim) {
	c.d.loop.Post(router.ClaimResolved{ID: eff.ID, Result: result, Claim: held})
}

// run writes claims in batches until the context ends.
func (c *claims) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			batch := c.gather(ctx, first)
			go c.writeBatch(ctx, batch)
		}
	}
}

// gather collects the claims that come within the window.
func (c *claims) gather(ctx context.Context, first router.WriteClaim) []router.WriteClaim {
	batch := []router.WriteClaim{first}
	timer := time.NewTimer(claimWindow)
	defer timer.Stop()
	for len(batch) < claimBatch {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// writeBatch writes claims in one transaction. When that fails for one of
// them, each is written alone.
func (c *claims) writeBatch(ctx context.Context, batch []router.WriteClaim) {
	if keysDiffer(batch) && len(batch) > 1 {
		rev, err := c.put(ctx, batch)
		if err == nil {
			for _, eff := range batch {
				c.taken(eff, rev)
			}
			return
		}
	}
	for _, eff := range batch {
		c.writeOne(ctx, eff)
	}
}

func keysDiffer(batch []router.WriteClaim) bool {
	seen := make(map[string]bool, len(batch))
	for _, eff := range batch {
		if seen[eff.Key] {
			return false
		}
		seen[eff.Key] = true
	}
	return true
}

func (c *claims) taken(eff router.WriteClaim, rev fleet.Revision) {
	held := eff.Claim
	held.Revision = rev
	c.post(eff, router.ClaimAcquired, held)
}

// put writes claims and returns the revision of the write.
func (c *claims) put(ctx context.Context, batch []router.WriteClaim) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, sharedBound)
	defer cancel()
	lease, err := c.leased(ctx)
	if err != nil {
		return 0, err
	}
	puts := make([]etcd.Put, 0, len(batch))
	for _, eff := range batch {
		raw, err := json.Marshal(eff.Claim)
		if err != nil {
			return 0, fmt.Errorf("encode claim: %w", err)
		}
		puts = append(puts, etcd.Put{Key: PrefixClaim + eff.Key, Value: raw, Expect: eff.ExpectRevision, Lease: lease})
	}
	rev, err := c.d.opt.KV.Write(ctx, puts)
	if err != nil {
		return 0, fmt.Errorf("write claims: %w", err)
	}
	return rev, nil
}

// leased returns the lease that carries the claims of this hour.
func (c *claims) leased(ctx context.Context) (etcd.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.lease != 0 && now.Before(c.leaseTo) {
		return c.lease, nil
	}
	lease, err := c.d.opt.KV.Grant(ctx, claimLife+leaseRenew)
	if err != nil {
		return 0, fmt.Errorf("take lease for claims: %w", err)
	}
	c.lease = lease
	c.leaseTo = now.Add(leaseRenew)
	return lease, nil
}

// writeOne writes one claim and finds out what became of it.
func (c *claims) writeOne(ctx context.Context, eff router.WriteClaim) {
	rev, err := c.put(ctx, []router.WriteClaim{eff})
	if err == nil {
		c.taken(eff, rev)
		return
	}
	if !errors.Is(err, etcd.ErrConflict) && !errors.Is(err, etcd.ErrOutcomeUnknown) {
		c.post(eff, router.ClaimUnknown, router.Claim{})
		return
	}
	held, err := c.read(ctx, eff.Key)
	switch {
	case err != nil:
		c.post(eff, router.ClaimUnknown, router.Claim{})
	case held.Request == eff.Claim.Request && held.Endpoint == eff.Claim.Endpoint:
		// The write took effect though its answer was lost.
		c.post(eff, router.ClaimAcquired, held)
	default:
		c.post(eff, router.ClaimExists, held)
	}
}

func (c *claims) read(ctx context.Context, key string) (router.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, sharedBound)
	defer cancel()
	var held router.Claim
	entry, err := c.d.opt.KV.Get(ctx, PrefixClaim+key)
	if err != nil {
		return held, fmt.Errorf("read claim: %w", err)
	}
	if err := json.Unmarshal(entry.Value, &held); err != nil {
		return held, fmt.Errorf("read claim: %w", err)
	}
	held.Revision = entry.Revision
	return held, nil
}

// finish marks a claim as done. When that fails the claim stays open, which
// only costs a later caller with the same key a question to the agent.
func (c *claims) finish(eff router.FinishClaim) {
	raw, err := json.Marshal(eff.Claim)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.d.ctx, sharedBound)
	defer cancel()
	lease, err := c.leased(ctx)
	if err != nil {
		return
	}
	put := etcd.Put{Key: PrefixClaim + eff.Key, Value: raw, Expect: eff.Claim.Revision, Lease: lease}
	if _, err := c.d.opt.KV.Write(ctx, []etcd.Put{put}); err != nil {
		metrics.GetOrRegisterCounter("router.claims-unfinished", c.d.opt.Metrics).Inc(1)
		c.d.log.Debug().Err(err).Msg("claim not finished")
	}
}
