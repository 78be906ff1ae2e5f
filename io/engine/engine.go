// Package engine is an HTTP client of a model engine, or of a plain service on the same
// host. It covers OpenAI-style calls, orders, engine state, events of the prefix cache,
// and resuming, canceling, exporting and importing requests by their ID.
package engine

import (
	"errors"

	"chervilreach/core/fleet"
)

// Errors that callers test with errors.Is.
var (
	// ErrUnreachable reports that nothing was sent, so that nothing was executed.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrResponseLost reports that a request was sent but its answer was not received
	// completely. The request may have been executed.
	ErrResponseLost = errors.New("answer of the engine was lost")
	// ErrIdleTimeout reports that no data arrived for Options.IdleTimeout. The stream
	// may still be read further.
	ErrIdleTimeout = errors.New("engine is silent")
	// ErrTruncated reports that an answer broke off before the engine had ended it.
	ErrTruncated = errors.New("stream ended early")
	// ErrUnknownStream reports that the engine has no stream for a request ID, or has
	// already discarded the stream.
	ErrUnknownStream = errors.New("engine does not know the stream")
	// ErrWrongResponse reports that the answer belongs to another request.
	ErrWrongResponse = errors.New("answer to another request")
	// ErrTooLarge reports that an answer or an event exceeds Options.MaxBodyBytes.
	ErrTooLarge = errors.New("answer too large")
	// ErrStatus matches every StatusError.
	ErrStatus = errors.New("unexpected status")
)

// Headers of requests from the agent to an engine. Answers may have HeaderRequestID too.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderModel     = "X-Model"
	HeaderAdapter   = "X-Adapter"
	// HeaderService holds the name of the plain service that is called.
	HeaderService = "X-Service"
)

// Paths of the HTTP interface of an engine. Those that end in a slash are followed by a
// request ID or the name of a service.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathStreams         = "/v1/streams/"
	PathOrders          = "/v1/orders"
	PathState           = "/v1/state"
	PathCacheEvents     = "/v1/cache-events"
	PathKVCache         = "/v1/kv/"
	PathServices        = "/services/"
)

// Request is a call of a model or a plain service.
type Request struct {
	// ID identifies the request at the engine, for example for Resume.
	ID fleet.RequestID
	// Method is the HTTP method; empty means POST.
	Method string
	// Path is the complete path at the engine, for example "/v1/completions" or
	// "/services/NAME/...".
	Path        string
	ContentType string
	Body        []byte
	// Target overrides the model named in the body, if it is set.
	Target fleet.Target
	// Priority orders the engine's queue; higher values go first.
	Priority int
	// Stream reports whether the answer is sent as server-sent events. The client does
	// not use it.
	Stream bool
	// ResumeFrom is the index of the first chunk to return. If it is not 0, the stream of
	// the earlier request with this ID is resumed and nothing is executed.
	ResumeFrom uint64
	// NewConn sends the request on a new connection. On a reused connection, an
	// engine that died before it received the request can't be distinguished from one
	// that died while executing it.
	NewConn bool
}

// Chunk is a part of an answer.
type Chunk struct {
	// Index is the number of earlier chunks of the request. Resuming continues the
	// count.
	Index uint64
	// Payload holds the unmodified bytes: one server-sent event with its trailing blank
	// line, or the whole body.
	Payload []byte
	// Status is the HTTP status code of the answer.
	Status      int
	ContentType string
}

// OrderResult is the engine's answer to an order.
type OrderResult struct {
	Outcome fleet.Outcome `json:"outcome"`
	Detail  string        `json:"detail,omitempty"`
}

// CacheEventKind is the kind of change of a cached prefix.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "cached"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache. Seq increases by one with each
// event; a gap means that events were lost.
type CacheEvent struct {
	Seq   uint64         `json:"seq"`
	Kind  CacheEventKind `json:"kind"`
	Model fleet.ModelID  `json:"model"`
	// Prefix is the hash of a prompt prefix.
	Prefix uint64 `json:"prefix,string"`
}

// StatusError is the error of a call that the engine answered with an HTTP status of 300
// or above.
type StatusError struct {
	Status int
	// Text is the body of the answer, truncated to 4 KiB.
	Text string
}
