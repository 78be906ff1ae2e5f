package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// CacheEvents calls fn with each change of the engine's prefix cache, starting with
// the next one. fn is called on the goroutine of CacheEvents. CacheEvents always returns
// an error: ErrTruncated if the request fails or the stream breaks, ErrIdleTimeout if
// neither an event nor a comment arrives for Options.IdleTimeout, the cause of the end of
// ctx, or the error of an event that cannot be decoded.
func (c *Client) CacheEvents(ctx context.Context, fn func(CacheEvent)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.opts.IdleTimeout, func() { cancel(ErrIdleTimeout) })
	defer idleTimer.Stop()
	resp, _, err := c.do(ctx, httpRequest{method: http.MethodGet, path: PathCacheEvents})
	if err != nil {
		return fmt.Errorf("cache events: %w", streamError(ctx, err))
	}
	defer closeBody(resp)
	r := bufio.NewReaderSize(resp.Body, readBufferBytes)
	for {
		event, err := readEvent(r, c.opts.MaxBodyBytes)
		if err != nil {
			return fmt.Errorf("cache events: %w", streamError(ctx, err))
		}
		idleTimer.Reset(c.opts.IdleTimeout)
		if err := emitCacheEvent(event, fn); err != nil {
			return fmt.Errorf("cache events: %w", err)
		}
	}
}

// streamError returns the cause of the end of ctx if ctx has ended, as that is then also
// the cause of err. Otherwise it adds ErrTruncated to err.
func streamError(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return errors.Join(ErrTruncated, err)
}

// emitCacheEvent decodes the data lines of a server-sent event and calls fn with each.
func emitCacheEvent(event []byte, fn func(CacheEvent)) error {
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		var ev CacheEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return fmt.Errorf("decode event: %w", err)
		}
		fn(ev)
	}
	return nil
}
