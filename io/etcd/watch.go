package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"chervilreach/core/fleet"
)

// Errors of watches.
var (
	// ErrCompacted reports that the service no longer has the changes since the
	// requested revision. The caller must list the keys again.
	ErrCompacted = errors.New("revision has been compacted")
	// ErrIdleTimeout reports that a watch received no message within
	// Options.WatchIdleTimeout.
	ErrIdleTimeout = errors.New("watch received no message in time")
)

// Watch calls fn with the changes of all keys under a prefix, in order, starting with
// the changes of revision from; 0 starts with the next change. It calls fn without
// changes when the service reports progress. fn is called on the goroutine of Watch.
//
// Watch always returns an error: ErrUnavailable if the stream breaks, ErrIdleTimeout if
// no message arrives for Options.WatchIdleTimeout, ErrCompacted, or the cause of the
// end of ctx. To continue, the caller watches from the revision after the last one
// that it has received.
func (c *Client) Watch(ctx context.Context, prefix string, from fleet.Revision, fn func([]Change)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.opts.WatchIdleTimeout, func() { cancel(ErrIdleTimeout) })
	defer idleTimer.Stop()

	c.counts.watches.Inc(1)
	used := c.addrCounter.Load()
	addr := c.addrs[used%uint64(len(c.addrs))]
	err := c.watch(ctx, addr, prefix, from, func(changes []Change) {
		idleTimer.Reset(c.opts.WatchIdleTimeout)
		fn(changes)
	})
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, ErrIdleTimeout) {
		return fmt.Errorf("watch %s: %w", prefix, cause)
	}
	c.failOver(used)
	switch {
	case errors.Is(context.Cause(ctx), ErrIdleTimeout):
		return fmt.Errorf("watch %s: %w", prefix, ErrIdleTimeout)
	case errors.Is(err, ErrCompacted):
		return fmt.Errorf("watch %s: %w", prefix, err)
	default:
		return fmt.Errorf("watch %s: %w", prefix, &callError{kind: ErrUnavailable, cause: err})
	}
}

// watch opens a watch stream at one address and calls onMessage with the changes of
// each message until the stream fails.
func (c *Client) watch(ctx context.Context, addr netip.AddrPort, prefix string, from fleet.Revision, onMessage func([]Change)) error {
	body, err := json.Marshal(WatchRequest{Create: WatchCreateRequest{
		Key:            []byte(prefix),
		RangeEnd:       PrefixEnd(prefix),
		StartRevision:  int64(from),
		ProgressNotify: true,
	}})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	resp, _, err := c.open(ctx, addr, "/v3/watch", body)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	dec := json.NewDecoder(resp.Body)
	for {
		var msg WatchMessage
		if err := dec.Decode(&msg); err != nil {
			return fmt.Errorf("read watch: %w", err)
		}
		if len(msg.Error) > 0 {
			return fmt.Errorf("watch refused: %s", msg.Error)
		}
		if msg.Result.Canceled {
			return canceledError(msg.Result)
		}
		onMessage(toChanges(msg.Result.Events))
	}
}

// canceledError returns the reason why the service ended a watch.
func canceledError(resp WatchResponse) error {
	if resp.CompactRevision > 0 {
		return fmt.Errorf("%w up to %d", ErrCompacted, resp.CompactRevision)
	}
	return errors.New("watch canceled by the service")
}

// toChanges converts the events of a message.
func toChanges(events []WatchEvent) []Change {
	changes := make([]Change, 0, len(events))
	for _, ev := range events {
		changes = append(changes, Change{Entry: ev.KV.entry(), Deleted: ev.Type == EventDelete})
	}
	return changes
}
