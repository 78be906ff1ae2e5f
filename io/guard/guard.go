// Package guard makes sure that each request that a router has read ends in exactly one
// counted outcome, also if its handler panics, and that no answer promises that a request has not
// run if it may have.
package guard

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	// Answered means that the caller has the complete answer.
	Answered Outcome = "answered"
	// Refused means that the request has not run and may be repeated.
	Refused Outcome = "refused"
	// Rejected means that the request is invalid, or that there is no such route.
	Rejected Outcome = "rejected"
	// Failed means an error without an answer of an endpoint. The request may have run.
	Failed Outcome = "failed"
	// EndpointFailed means that the endpoint's own error was forwarded.
	EndpointFailed Outcome = "endpoint-failed"
	// Cut means that the answer was visibly cut off after its beginning.
	Cut Outcome = "cut"
	// Left means that the caller has disconnected or does not accept the answer.
	Left Outcome = "left"
	// Panicked means that the handler panicked. The caller got an error, or a visibly cut off
	// answer.
	Panicked Outcome = "panicked"
	// Unknown means that the handler ended without a known outcome.
	Unknown Outcome = "unknown"
)

// aborted reports whether the caller's connection is closed before the end of an answer.
func (o Outcome) aborted() bool { return o == Cut || o == Left }

// MessageUnknown is the log message for a request with the outcome Unknown, MessagePanic that
// for the outcome Panicked.
const (
	MessageUnknown = "request ended without an outcome"
	MessagePanic   = "handler panicked"
)

// Guard runs the handlers of callers' requests and counts their outcomes.
type Guard struct {
	Log     zerolog.Logger
	Metrics metrics.Registry
	// Prefix is the prefix of the counters. The Outcome follows, or metricReplaced.
	Prefix string
	// IDHeader is the header with the ID of a request, for the log.
	IDHeader string

	mu sync.Mutex
	// open has the IDs of the requests whose handlers have not ended.
	open map[*writer]string
}

// Open returns the IDs of the requests that have been read and have no outcome yet, sorted. A request
// without an ID has an empty one.
func (g *Guard) Open() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Values(g.open))
}

func (g *Guard) add(w *writer, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(map[*writer]string)
	}
	g.open[w] = id
}

func (g *Guard) remove(w *writer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, w)
}

// Serve runs a handler. The handler must call End with its writer before it returns or panics
// with http.ErrAbortHandler. After any other panic, or if the handler returns without an answer,
// the caller gets status 500; if an answer has begun, the caller's connection is closed. It is
// also closed after the outcomes Cut and Left, so that what was written does not look complete.
func (g *Guard) Serve(w http.ResponseWriter, r *http.Request, handler http.HandlerFunc) {
	sw := &writer{ResponseWriter: w, guard: g}
	g.add(sw, r.Header.Get(g.IDHeader))
	defer g.remove(sw)
	defer func() { g.finish(sw, r, recover()) }()
	handler(sw, r)
}

// End sets the outcome of the request that w answers. The last call counts. It does nothing for
// a writer that does not come from a Guard.
func End(w http.ResponseWriter, o Outcome) {
	if sw, ok := w.(*writer); ok {
		sw.outcome = o
	}
}

// finish counts the outcome of a request and handles a panic of its handler.
func (g *Guard) finish(w *writer, r *http.Request, panicked any) {
	err, _ := panicked.(error)
	abort := errors.Is(err, http.ErrAbortHandler)
	switch {
	case panicked != nil && !abort:
		w.outcome = Panicked
		g.Log.Error().Str("request", r.Header.Get(g.IDHeader)).Str("path", r.URL.Path).Str("panic", fmt.Sprint(panicked)).
			Bytes("stack", debug.Stack()).Msg(MessagePanic)
	case w.outcome == "", (abort || !w.begun) && !w.outcome.aborted():
		g.Log.Warn().Str("request", r.Header.Get(g.IDHeader)).Str("path", r.URL.Path).Bool("aborted", abort).
			Bool("begun", w.begun).Str("outcome", string(w.outcome)).Msg(MessageUnknown)
		w.outcome = Unknown
	}
	metrics.GetOrRegisterCounter(g.Prefix+string(w.outcome), g.Metrics).Inc(1)
	switch {
	case abort, w.outcome.aborted(), panicked != nil && w.begun:
		panic(http.ErrAbortHandler)
	case !w.begun:
		w.answerError()
	}
}

// writer is the http.ResponseWriter of a guarded handler.
type writer struct {
	http.ResponseWriter
	guard   *Guard
	outcome Outcome
	// mayHaveRun is what SetMayHaveRun has set.
	mayHaveRun bool
	// begun reports whether the status of the final answer has been written.
	begun bool
}

// Unwrap returns the wrapped writer. http.ResponseController calls it.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.begun = w.begun || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(w.truthful(status))
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// answerError answers with status 500 and closes the connection. It drops the headers that the
// handler has set, because they may be those of another answer.
func (w *writer) answerError() {
	h := w.Header()
	clear(h)
	h.Set("Connection", "close")
	http.Error(w, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)
}
