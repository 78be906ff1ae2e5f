package accept

import (
	"context"
	"errors"

	"chervilreach/core/fleet"
	"chervilreach/io/etcd"
)

// writeProposal writes a proposal and handles the result. If the write failed, it waits
// and then requests another attempt.
func (w *Watcher) writeProposal(ctx context.Context, p proposal) {
	w.counts.proposed.Inc(1)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	at, err := w.kv.Write(callCtx, p.puts)
	cancel()
	switch {
	case err == nil:
		w.handleAccepted(p)
		w.rawMirror.applyWrites(p.puts, at)
		w.acceptedMirror.applyWrites(p.puts, at)
		w.cacheStatuses(p, at)
	case errors.Is(err, etcd.ErrConflict):
		w.counts.conflicts.Inc(1)
		w.dropCachedStatuses(p)
	case errors.Is(err, etcd.ErrOutcomeUnknown):
		w.counts.unknownOutcomes.Inc(1)
		w.dropCachedStatuses(p)
		w.resolveOutcome(ctx, p)
	default:
		w.dropCachedStatuses(p)
	}
	if err == nil {
		w.wakeProposer() // one proposal may not contain all pending records
		return
	}
	w.retryLater(ctx)
}

// handleAccepted counts a proposal that the service has applied, and updates the source
// of this process with it.
func (w *Watcher) handleAccepted(p proposal) {
	w.counts.accepted.Inc(1)
	if p.next == p.base {
		return
	}
	if err := w.source.ApplyDelta(p.next.DeltaSince(p.base.Revision())); err != nil {
		w.logReadError(err)
	}
}

// cacheStatuses adds the statuses that the proposal wrote at the revision at to
// statusCache.
func (w *Watcher) cacheStatuses(p proposal, at fleet.Revision) {
	for _, put := range p.puts {
		if key, ok := RecordKey(PrefixStatus, put.Key); ok {
			w.statusCache[key] = etcd.Entry{Key: put.Key, Value: put.Value, Revision: at}
		}
	}
}

// dropCachedStatuses removes the statuses of the proposal from statusCache, so that the
// next attempt reads them again.
func (w *Watcher) dropCachedStatuses(p proposal) {
	for _, s := range p.statuses {
		delete(w.statusCache, s.Key)
	}
}

// resolveOutcome finds out whether a write without an answer was applied: the head holds
// the ID of the write that was applied last. A write that has not been applied may still
// be; then the next proposal, which expects the same revision of the head, fails with a
// conflict.
func (w *Watcher) resolveOutcome(ctx context.Context, p proposal) {
	if p.next == p.base {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := w.kv.Get(ctx, AcceptedHeadKey())
	if err != nil {
		return // the next poll of the head shows it
	}
	if head, err := decodeHead(e); err == nil && head.WriteID == p.writeID {
		w.handleAccepted(p)
	}
}

// retryLater waits for a random time and then wakes the proposer.
func (w *Watcher) retryLater(ctx context.Context) {
	if !w.jitter.sleep(ctx, minRetryDelay, maxRetryDelay) {
		return
	}
	w.wakeProposer()
}
