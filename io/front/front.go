package front

import (
	"cmp"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/guard"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Readiness reports whether the process can serve calls.
type Readiness interface {
	// Ready returns nil if the process can serve calls, and otherwise the reason.
	Ready() error
}

// Limits bounds the resources that callers can use.
type Limits struct {
	// MaxBody is the maximum size of a request body.
	MaxBody fleet.Bytes
	// MaxTotalBody is the maximum total size of the request bodies of all calls in progress.
	MaxTotalBody fleet.Bytes
	// MaxCalls is the maximum number of calls in progress.
	MaxCalls int
	// BodyTimeout is the timeout for receiving a request body.
	BodyTimeout time.Duration
	// ChunkTimeout is the timeout for writing one chunk of a response to the caller.
	ChunkTimeout time.Duration
}

// DefaultLimits returns the limits that apply if none are configured.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:      4 * fleet.MiB,
		MaxTotalBody: 64 * fleet.MiB,
		MaxCalls:     4096,
		BodyTimeout:  10 * time.Second,
		ChunkTimeout: 10 * time.Second,
	}
}

// withDefaults returns the limits with each zero field set to its default.
func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	return Limits{
		MaxBody:      cmp.Or(l.MaxBody, defaults.MaxBody),
		MaxTotalBody: cmp.Or(l.MaxTotalBody, defaults.MaxTotalBody),
		MaxCalls:     cmp.Or(l.MaxCalls, defaults.MaxCalls),
		BodyTimeout:  cmp.Or(l.BodyTimeout, defaults.BodyTimeout),
		ChunkTimeout: cmp.Or(l.ChunkTimeout, defaults.ChunkTimeout),
	}
}

// Options configures a Front. Records and Dispatcher are required.
type Options struct {
	Records    Records
	Dispatcher Dispatcher
	// Readiness is an additional condition for Front.Ready. It may be nil.
	Readiness Readiness
	// Limits are the limits for callers. Zero fields default to DefaultLimits.
	Limits Limits
	// Now returns the time for deadlines of calls. It defaults to time.Now.
	Now func() time.Time
	// NewID returns a unique ID for a request. It defaults to a random UUID.
	NewID func() string
	// Metrics is the registry for the front's metrics. It may be nil.
	Metrics metrics.Registry
	// Log receives requests that end without a known outcome, and errors of connections.
	Log zerolog.Logger
}

// Front is the HTTP handler for callers. Its methods may be called concurrently.
type Front struct {
	indexes    indexCache
	dispatcher Dispatcher
	readiness  Readiness
	limits     Limits
	now        func() time.Time
	newID      func() string
	meters     *meters
	mux        *http.ServeMux
	guard      guard.Guard
	// inFlightCalls is the number of calls in progress.
	inFlightCalls atomic.Int64
	// bodyBytes is the memory reserved for the request bodies of all calls in progress.
	bodyBytes atomic.Int64
	draining  atomic.Bool
}

// New returns the HTTP handler for callers.
func New(opts Options) *Front {
	f := &Front{
		indexes:    indexCache{records: opts.Records},
		dispatcher: opts.Dispatcher,
		readiness:  opts.Readiness,
		limits:     opts.Limits,
		now:        opts.Now,
		newID:      opts.NewID,
		meters:     newMeters(opts.Metrics),
		mux:        http.NewServeMux(),
	}
	f.guard = guard.Guard{Log: opts.Log, Metrics: f.meters.registry, Prefix: metricRequests, IDHeader: headerRequestID}
	f.limits = f.limits.withDefaults()
	if f.now == nil {
		f.now = time.Now
	}
	if f.newID == nil {
		f.newID = uuid.NewString
	}
	f.registerOperations()
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.guard.Serve(w, r, f.serve) }

// serve serves a request whose outcome is counted.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		// The load balancer sends callers that reconnect to another router.
		w.Header().Set("Connection", "close")
	}
	handler, pattern := f.mux.Handler(r)
	if pattern == "" {
		f.refuseUnmatched(w, r, handler)
		return
	}
	f.mux.ServeHTTP(w, r)
}

// Drain makes the front report that it is not ready and ask callers to close their
// connections. New calls are still served.
func (f *Front) Drain() {
	f.draining.Store(true)
}

// RunningCalls returns the number of calls in progress.
func (f *Front) RunningCalls() int {
	return int(f.inFlightCalls.Load())
}

// Ready returns nil if the load balancer should send calls to this front, and otherwise
// the reason why it should not.
func (f *Front) Ready() error {
	if f.draining.Load() {
		return errors.New("draining")
	}
	if f.indexes.records.Current() == nil {
		return errors.New("no configuration yet")
	}
	if f.readiness != nil {
		return f.readiness.Ready()
	}
	return nil
}

// newExchange returns the exchange for a request that arrives now.
func (f *Front) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{front: f, w: w, r: r, control: http.NewResponseController(w), arrivedAt: f.now()}
}

// callHandler returns the handler of an operation that makes calls. parse reads the target,
// body and other parts of the request that depend on the operation.
func (f *Front) callHandler(parse func(*exchange) (parsedRequest, error)) func(huma.Context) {
	return func(ctx huma.Context) {
		r, w := humago.Unwrap(ctx)
		x := f.newExchange(w, r)
		f.meters.count("calls")
		f.meters.runningCalls.Update(f.inFlightCalls.Add(1))
		defer x.release()
		call, err := x.prepareCall(parse)
		if err != nil {
			x.writeRefusal(err)
			return
		}
		x.dispatch(call)
	}
}

// prepareCall authenticates a request, refuses it if too many calls are in progress, and
// otherwise parses it and returns its call.
func (x *exchange) prepareCall(parse func(*exchange) (parsedRequest, error)) (*Call, error) {
	if err := x.authenticate(); err != nil {
		return nil, err
	}
	if x.front.RunningCalls() > x.front.limits.MaxCalls {
		return nil, x.temporaryRefusal(fleet.CodeOverloaded, "too many calls in progress")
	}
	parsed, err := parse(x)
	if err != nil {
		return nil, err
	}
	return x.newCall(parsed)
}

// release removes the request from the number of calls in progress and frees the memory
// reserved for its body.
func (x *exchange) release() {
	x.front.bodyBytes.Add(-x.reservedBytes)
	x.front.meters.runningCalls.Update(x.front.inFlightCalls.Add(-1))
}

// refuseUnmatched refuses a request whose path or method no operation serves. handler is
// the mux's own error handler, whose response distinguishes a wrong path from a wrong method.
func (f *Front) refuseUnmatched(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	x := f.newExchange(w, r)
	if err := x.setRequestID(); err != nil {
		x.writeRefusal(err)
		return
	}
	recorder := &statusRecorder{header: http.Header{}}
	handler.ServeHTTP(recorder, r)
	if recorder.status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", recorder.header.Get("Allow"))
		x.writeRefusal(newRefusedError(fleet.CodeMethodNotAllowed, "want "+recorder.header.Get("Allow")))
		return
	}
	x.writeRefusal(newRefusedError(fleet.CodeUnknownPath, "no path "+quote(r.URL.Path)))
}

// statusRecorder records the status and headers of a response and discards its body.
type statusRecorder struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (s *statusRecorder) Header() http.Header { return s.header }

// Write implements http.ResponseWriter.
func (*statusRecorder) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) { s.status = status }
