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

// PrefixClaim is the prefix under which the key-value service holds the claims of
// idempotency keys.
const PrefixClaim = "/chervilreach/claim/"

// Limits of claims.
const (
	// claimWindow is how long a claim waits for others to be written with it.
	claimWindow = 2 * time.Millisecond
	// maxClaimBatch is the maximum number of claims in one write.
	maxClaimBatch = 64
	// claimTTL is the minimum time that the claim of an idempotency key is kept.
	claimTTL = 24 * time.Hour
	// leaseReuse is how long one lease is used for new claims. All claims of that time
	// share the lease, which keeps the number of leases small.
	leaseReuse = time.Hour
	// claimQueueSize is the number of claims that may wait to be written; further ones
	// fail at once.
	claimQueueSize = 1024
)

// claimWriter writes the claims of idempotency keys to the key-value service, many in
// one transaction.
type claimWriter struct {
	d     *Daemon
	queue chan router.WriteClaim

	// mu guards lease and leaseUntil. New claims use the lease until leaseUntil.
	mu         sync.Mutex
	lease      etcd.LeaseID
	leaseUntil time.Time
}

func newClaimWriter(d *Daemon) *claimWriter {
	return &claimWriter{d: d, queue: make(chan router.WriteClaim, claimQueueSize)}
}

// enqueue queues a claim to be written. The result is posted later. If the queue is full,
// ClaimUnknown is posted and nothing is written.
func (c *claimWriter) enqueue(eff router.WriteClaim) {
	select {
	case c.queue <- eff:
	default:
		go c.postResult(eff, router.ClaimUnknown, router.Claim{})
	}
}

// postResult posts the result of a claim; stored is the claim in the key-value service.
func (c *claimWriter) postResult(eff router.WriteClaim, result router.ClaimResult, stored router.Claim) {
	c.d.loop.Post(router.ClaimResolved{ID: eff.ID, Result: result, Claim: stored})
}

// run writes queued claims in batches until ctx is done. Batches may be written
// concurrently.
func (c *claimWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			batch := c.collectBatch(ctx, first)
			go c.writeBatch(ctx, batch)
		}
	}
}

// collectBatch returns first and the claims queued within claimWindow after it, at most
// maxClaimBatch.
func (c *claimWriter) collectBatch(ctx context.Context, first router.WriteClaim) []router.WriteClaim {
	batch := []router.WriteClaim{first}
	timer := time.NewTimer(claimWindow)
	defer timer.Stop()
	for len(batch) < maxClaimBatch {
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

// writeBatch writes claims in one transaction. If the transaction fails, or two claims
// have the same key, each claim is written in a transaction of its own.
func (c *claimWriter) writeBatch(ctx context.Context, batch []router.WriteClaim) {
	if keysDistinct(batch) && len(batch) > 1 {
		rev, err := c.writeTxn(ctx, batch)
		if err == nil {
			for _, eff := range batch {
				c.postAcquired(eff, rev)
			}
			return
		}
	}
	for _, eff := range batch {
		c.writeOne(ctx, eff)
	}
}

// keysDistinct reports whether all claims have different keys.
func keysDistinct(batch []router.WriteClaim) bool {
	seen := make(map[string]bool, len(batch))
	for _, eff := range batch {
		if seen[eff.Key] {
			return false
		}
		seen[eff.Key] = true
	}
	return true
}

// postAcquired posts that a claim has been written at revision rev.
func (c *claimWriter) postAcquired(eff router.WriteClaim, rev fleet.Revision) {
	stored := eff.Claim
	stored.Revision = rev
	c.postResult(eff, router.ClaimAcquired, stored)
}

// writeTxn writes claims in one transaction and returns its revision. It fails with
// etcd.ErrConflict if a key does not have the expected revision.
func (c *claimWriter) writeTxn(ctx context.Context, batch []router.WriteClaim) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, etcdTimeout)
	defer cancel()
	lease, err := c.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	puts := make([]etcd.Put, 0, len(batch))
	for _, eff := range batch {
		raw, err := json.Marshal(eff.Claim)
		if err != nil {
			return 0, fmt.Errorf("encode claim: %w", err)
		}
		puts = append(puts, etcd.Put{Key: PrefixClaim + eff.Key, Value: raw, ExpectRevision: eff.ExpectRevision, Lease: lease})
	}
	rev, err := c.d.opt.KV.Write(ctx, puts)
	if err != nil {
		return 0, fmt.Errorf("write claims: %w", err)
	}
	return rev, nil
}

// currentLease returns the lease for new claims. It grants a new one if the last was
// granted more than leaseReuse ago.
func (c *claimWriter) currentLease(ctx context.Context) (etcd.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.lease != 0 && now.Before(c.leaseUntil) {
		return c.lease, nil
	}
	lease, err := c.d.opt.KV.Grant(ctx, claimTTL+leaseReuse)
	if err != nil {
		return 0, fmt.Errorf("grant lease for claims: %w", err)
	}
	c.lease = lease
	c.leaseUntil = now.Add(leaseReuse)
	return lease, nil
}

// writeOne writes one claim and posts the result. After a conflict or a lost response it
// reads the key to find out which request holds it.
func (c *claimWriter) writeOne(ctx context.Context, eff router.WriteClaim) {
	rev, err := c.writeTxn(ctx, []router.WriteClaim{eff})
	if err == nil {
		c.postAcquired(eff, rev)
		return
	}
	if !errors.Is(err, etcd.ErrConflict) && !errors.Is(err, etcd.ErrOutcomeUnknown) {
		c.postResult(eff, router.ClaimUnknown, router.Claim{})
		return
	}
	stored, err := c.readClaim(ctx, eff.Key)
	switch {
	case err != nil:
		c.postResult(eff, router.ClaimUnknown, router.Claim{})
	case stored.Request == eff.Claim.Request && stored.Endpoint == eff.Claim.Endpoint:
		// The write took effect, but its response was lost.
		c.postResult(eff, router.ClaimAcquired, stored)
	default:
		c.postResult(eff, router.ClaimExists, stored)
	}
}

// readClaim returns the stored claim of an idempotency key with its revision.
func (c *claimWriter) readClaim(ctx context.Context, key string) (router.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, etcdTimeout)
	defer cancel()
	var stored router.Claim
	entry, err := c.d.opt.KV.Get(ctx, PrefixClaim+key)
	if err != nil {
		return stored, fmt.Errorf("read claim: %w", err)
	}
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return stored, fmt.Errorf("read claim: %w", err)
	}
	stored.Revision = entry.Revision
	return stored, nil
}

// finish writes a claim whose request is done. A failure is not posted, as it does little
// harm: the stored claim stays open, so that a later call with the same key has to query the
// agent.
func (c *claimWriter) finish(eff router.FinishClaim) {
	raw, err := json.Marshal(eff.Claim)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.d.ctx, etcdTimeout)
	defer cancel()
	lease, err := c.currentLease(ctx)
	if err != nil {
		return
	}
	put := etcd.Put{Key: PrefixClaim + eff.Key, Value: raw, ExpectRevision: eff.Claim.Revision, Lease: lease}
	if _, err := c.d.opt.KV.Write(ctx, []etcd.Put{put}); err != nil {
		metrics.GetOrRegisterCounter("router.claims-unfinished", c.d.opt.Metrics).Inc(1)
		c.d.log.Debug().Err(err).Msg("can't mark claim as done")
	}
}
