// Package front is the HTTP server for callers. It authenticates and validates their
// requests against the accepted configuration records and passes them as calls to a
// Dispatcher.
//
// The patience of a kind of request is how long its callers wait for the first byte of a
// streamed response, or for another response to be complete.
package front

import (
	"context"
	"errors"
	"time"

	"chervilreach/core/fleet"
)

// Call is a validated request of an authenticated caller.
type Call struct {
	ID fleet.RequestID
	// Member is the authenticated caller.
	Member  fleet.MemberID
	Target  fleet.Target
	Kind    fleet.KindID
	Urgency int
	// Idempotent reports whether the call may be retried when it is unknown whether an
	// earlier attempt was run.
	Idempotent bool
	// Deadline is the time by which the first byte of a streamed response, or the
	// complete response otherwise, must have arrived.
	Deadline time.Time
	// IdempotencyKey is the caller's Idempotency-Key header; empty if there is none.
	IdempotencyKey string
	// Method, Path and ContentType are passed to the engine or service unchanged. Path
	// includes the query string.
	Method      string
	Path        string
	ContentType string
	// Body is the caller's request body. For a model request, the value of the field
	// "model" is replaced by the full name: model, version and adapter.
	Body []byte
	// Stream reports whether the caller asked for a streamed response.
	Stream bool
	// PromptTokens is the estimated length of the prompt and MaxTokens the caller's limit
	// on generated tokens; 0 if unknown.
	PromptTokens int
	MaxTokens    int
}

// Sink receives the response to a call. Its methods must not be called concurrently
// or after Dispatch has returned.
type Sink interface {
	// Begin sets the HTTP status and the content type of the response. It must be called
	// exactly once, before the first Chunk.
	Begin(status int, contentType string) error
	// Chunk writes the next part of the response body. It blocks while the caller reads
	// slowly and does not retain payload. It returns ErrCallerGone if the response can't
	// be delivered any more.
	Chunk(payload []byte) error
}

// ErrCallerGone is returned when the caller has closed its connection or reads the
// response too slowly.
var ErrCallerGone = errors.New("caller has gone away")

// Dispatcher runs calls on engines and services.
type Dispatcher interface {
	// Dispatch runs the call and writes the response to out. It returns nil only if the
	// response is complete, and otherwise a *RefusedError. If it fails after Begin has
	// been called, the response is truncated and the front signals this to the caller.
	// The context is canceled when the caller disconnects.
	Dispatch(ctx context.Context, call *Call, out Sink) error
}

// RefusedError is the error for a request that gets no complete response. It carries
// the refusal that is reported to the caller.
type RefusedError struct {
	fleet.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return string(e.Code) + ": " + e.Detail
}
