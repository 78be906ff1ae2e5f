package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Limits of the attempts to resume a stream that broke off.
const (
	maxResumeAttempts = 5
	resumeBackoff     = 100 * time.Millisecond
)

// Follower reads the answer to a call over several connections if necessary: it resumes
// a stream that broke off or is idle. It is not safe for concurrent use and must be
// closed.
type Follower struct {
	c   *Client
	ctx context.Context
	req Request
	s   *Stream
	// nextChunk is the index of the next chunk to return.
	nextChunk uint64
}

// Follow sends a call as Generate does and returns a Follower that reads its answer. ctx
// applies to the whole answer. The errors are those of Generate.
func (c *Client) Follow(ctx context.Context, req Request) (*Follower, error) {
	s, err := c.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	return &Follower{c: c, ctx: ctx, req: req, s: s, nextChunk: req.ResumeFrom}, nil
}

// Next returns the next chunk. It returns each chunk once, in order. It fails with io.EOF
// after the last chunk, with ErrUnreachable if nothing was sent, with ErrTooLarge, and
// with ErrResponseLost if the remaining chunks are not available. An idle connection alone
// is no failure: if the engine cannot resume the stream, Next continues to wait on it.
func (f *Follower) Next() (Chunk, error) {
	for {
		chunk, err := f.s.Next()
		switch {
		case err == nil && chunk.Index < f.nextChunk:
			continue
		case err == nil:
			f.nextChunk = chunk.Index + 1
			return chunk, nil
		case errors.Is(err, io.EOF), errors.Is(err, ErrTooLarge), errors.Is(err, ErrUnreachable):
			return Chunk{}, err
		case errors.Is(err, ErrIdleTimeout):
			f.tryResume()
		default:
			if err := f.resume(err); err != nil {
				return Chunk{}, err
			}
		}
	}
}

// Close discards the rest of the answer. It does not cancel the request at the engine.
func (f *Follower) Close() {
	f.s.Close()
}

// resumable reports whether the stream of the call can be resumed; plain services do not
// support that.
func (f *Follower) resumable() bool {
	return !strings.HasPrefix(f.req.Path, PathServices)
}

// tryResume makes one attempt to resume the stream on another connection. If it fails,
// the current stream stays in use.
func (f *Follower) tryResume() {
	if !f.resumable() {
		return
	}
	if s, err := f.c.Resume(f.ctx, f.req.ID, f.nextChunk); err == nil {
		f.s.Close()
		f.s = s
	}
}

// resume resumes a stream that broke off with the given error. It makes up to
// maxResumeAttempts attempts, and fails with ErrResponseLost.
func (f *Follower) resume(cause error) error {
	if !f.resumable() {
		return responseLost(cause)
	}
	for range maxResumeAttempts {
		if f.ctx.Err() != nil {
			break
		}
		s, err := f.c.Resume(f.ctx, f.req.ID, f.nextChunk)
		if err == nil {
			f.s.Close()
			f.s = s
			return nil
		}
		if errors.Is(err, ErrUnknownStream) {
			return responseLost(errors.Join(cause, err))
		}
		f.waitBackoff()
	}
	return responseLost(errors.Join(cause, f.ctx.Err()))
}

// waitBackoff waits for resumeBackoff or until the context ends.
func (f *Follower) waitBackoff() {
	timer := time.NewTimer(resumeBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// responseLost adds ErrResponseLost to an error that does not have it yet.
func responseLost(cause error) error {
	if errors.Is(cause, ErrResponseLost) {
		return cause
	}
	return fmt.Errorf("%w: %w", ErrResponseLost, cause)
}
