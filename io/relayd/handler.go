package relayd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilreach/core/origin"
	"chervilreach/core/poison"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/core/stock"
	"chervilreach/io/bodies"
	"chervilreach/io/guard"
)

// Errors that callers test with errors.Is.
var (
	// ErrBadRequest means that a caller's request is malformed.
	ErrBadRequest = errors.New("bad request")
	// ErrTooLarge means that the body of a caller's request exceeds the size limit.
	ErrTooLarge = errors.New("request too large")
	// ErrOverloaded means that the memory for the bodies of requests is used up.
	ErrOverloaded = errors.New("no memory for the request")
	// ErrStopping means that the router ends before it has read the request.
	ErrStopping = errors.New("the router is stopping")
)

const (
	// bodyReadTimeout bounds the time in which a caller must send the complete body.
	bodyReadTimeout = 10 * time.Second
	// startupRetryAfter is the Retry-After time while the router is starting.
	startupRetryAfter = 500 * time.Millisecond
	// defaultMaxBodyBytes bounds the body of a request if the routing table has no limit.
	defaultMaxBodyBytes = 4 << 20
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	// AttemptID is the ID that the caller gave the request. Each retry by the caller has a
	// new one.
	AttemptID string
	// Caller identifies who sent the request; empty if the headers do not tell.
	Caller string
	// Item is the requested model or adapter; zero for services without models.
	Item stock.Item
	// TokensIn is the prompt length in tokens, TokensOut the maximum number of tokens to
	// generate.
	TokensIn, TokensOut int
	// Prefix holds the shareable parts at the beginning of the prompt, in order.
	Prefix []relay.PromptPart
	// Deadline is the time until which the caller waits; zero if the headers do not tell.
	Deadline time.Time
	// LastEventID is the ID of the last stream event that the caller has received, or
	// relay.NoEvent.
	LastEventID int64
	// Resumes is the AttemptID of the attempt that brought the caller the first event of the stream
	// that the request resumes; empty if the headers do not name exactly one.
	Resumes string
	// Resuming reports whether the headers say that the request resumes a stream.
	Resuming bool
}

// AnswerInfo is the information in the status and headers of an endpoint's answer.
type AnswerInfo struct {
	// Result is the result of the attempt if the answer must not be forwarded, and empty
	// otherwise.
	Result relay.Result
	// Defect is why the answer can't be used if Result is relay.Broken, for the log.
	Defect error
	// Foreign reports whether the answer belongs to another request. The other fields are
	// zero then.
	Foreign bool
	// Unidentified reports whether the answer does not tell to which request it belongs.
	Unidentified bool
	// WeightsVersion is the version of the weights that generated the answer; 0 if unknown.
	WeightsVersion int64
	// Limit is the rate limit that the endpoint names. LimitHeader is the header with it as
	// received, for the log; empty if there is none.
	Limit       relay.RateLimit
	LimitHeader string
	// SelfStatus is what the endpoint says of itself.
	SelfStatus relay.SelfStatus
	// MalformedBackoff is the value of a backoff that can't be read, for the log; empty if there is
	// none.
	MalformedBackoff string
}

// HeaderCodec defines the headers that the platform uses in requests and answers. Its methods
// may be called concurrently.
type HeaderCodec interface {
	// IDHeader returns the name of the header with RequestInfo.AttemptID.
	IDHeader() string
	// ParseRequest parses the headers of a caller's request. Its errors wrap ErrBadRequest.
	ParseRequest(now time.Time, h http.Header) (RequestInfo, error)
	// SetAttemptHeaders turns the headers of the caller's request into those of an attempt.
	// It removes headers that a caller may not set. timeLeft is the time until the deadline.
	SetAttemptHeaders(h http.Header, send relay.Send, timeLeft time.Duration)
	// ParseAnswer parses the status and headers of an answer to the request with the given
	// RequestInfo.AttemptID. It does not read the body.
	ParseAnswer(attemptID string, resp *http.Response) AnswerInfo
}

// ServeHTTP implements http.Handler. It serves a request of a caller.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.guard.Serve(w, r, d.serve) }

// serve serves a request whose outcome is counted.
func (d *Daemon) serve(w http.ResponseWriter, r *http.Request) {
	d.announceClose(w.Header())
	table := d.table.Load()
	if table == nil || !d.endpointsKnown.Load() {
		guard.End(w, guard.Refused)
		refuse(w, http.StatusServiceUnavailable, startupRetryAfter, "not ready")
		return
	}
	rt, ok := table.Match(hostOf(r.Host), pathOf(r.RequestURI))
	if !ok {
		guard.End(w, guard.Rejected)
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	x, err := d.newExchange(w, r, table, rt)
	if err != nil {
		d.reject(w, r, err)
		return
	}
	defer x.reserved.Release()
	x.run(r.Context())
}

// announceClose sets the header that closes the caller's connection after the answer if the
// router is shutting down.
func (d *Daemon) announceClose(h http.Header) {
	if d.shuttingDown.Load() {
		h.Set("Connection", "close")
	}
}

// reject answers a request that could not be read with an error.
func (d *Daemon) reject(w http.ResponseWriter, r *http.Request, err error) {
	// Lines of this level are left out if there are many.
	d.log.Info().Err(err).Str("path", r.URL.Path).Msg("request rejected")
	guard.End(w, guard.Rejected)
	switch {
	case errors.Is(err, ErrTooLarge):
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrOverloaded):
		guard.End(w, guard.Refused)
		d.meters.bodiesRefused.Inc(1)
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusServiceUnavailable, time.Second, err.Error())
	case errors.Is(err, ErrStopping):
		guard.End(w, guard.Refused)
		// Other routers serve it now.
		refuse(w, http.StatusServiceUnavailable, 0, ErrStopping.Error())
	default:
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// newExchange reads a request. Errors wrap ErrBadRequest, ErrTooLarge, ErrOverloaded or
// ErrStopping unless a deadline could not be set on the caller's connection.
func (d *Daemon) newExchange(w http.ResponseWriter, r *http.Request, table *route.Table, rt *route.Route) (*exchange, error) {
	now := time.Now()
	info, err := d.opts.HeaderCodec.ParseRequest(now, r.Header)
	if err != nil {
		return nil, err
	}
	deadline := now.Add(rt.Timeout)
	if !info.Deadline.IsZero() && info.Deadline.Before(deadline) {
		deadline = info.Deadline
	}
	reserved, err := d.readBody(w, r, table)
	if err != nil {
		return nil, err
	}
	body := reserved.Bytes()
	service := rt.PickService(info.AttemptID)
	whole := wholeRequest(service, info, r, body)
	x := &exchange{
		d: d, w: w, rc: http.NewResponseController(w), r: r, body: body, reserved: reserved, route: rt,
		commands:    make(chan any, commandQueueSize),
		lastEventID: info.LastEventID, resumes: info.Resumes, resuming: info.Resuming,
		request: relay.Request{
			AttemptID: info.AttemptID, Route: rt, Service: service, Item: info.Item,
			TokensIn: info.TokensIn, TokensOut: info.TokensOut, Prefix: info.Prefix,
			Deadline: deadline, LastEvent: info.LastEventID,
			Resuming: info.Resuming, Resumes: origin.StreamOf(service, info.Resumes, whole),
			Origin: origin.StreamOf(service, info.AttemptID, whole), Whole: whole,
		},
	}
	return x, nil
}

// wholeRequest returns the part that stands for the request. The headers that tell the prompt count,
// as the body need not.
func wholeRequest(service string, info RequestInfo, r *http.Request, body []byte) poison.Part {
	fields := []string{info.Caller, r.Method, r.Host, r.RequestURI, info.Item.Model, info.Item.Adapter}
	for _, p := range info.Prefix {
		fields = append(fields, p.ID)
	}
	return poison.RequestPart(service, fields, body)
}

// readBody reads the complete body, nil if there is none. The caller must release it when the request has ended.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request, table *route.Table) (*bodies.Body, error) {
	if r.ContentLength == 0 {
		return nil, nil //nolint:nilnil // A request without a body has none.
	}
	limit := int64(defaultMaxBodyBytes)
	if table.Limits.MaxBody > 0 {
		limit = int64(table.Limits.MaxBody)
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		return nil, fmt.Errorf("bound body: %w", err)
	}
	body, err := d.readUntilStop(rc, r, limit)
	switch {
	case errors.Is(err, ErrStopping):
		return nil, fmt.Errorf("read body: %w", err)
	case errors.Is(err, bodies.ErrTooLong):
		return nil, fmt.Errorf("%w: %w", ErrTooLarge, err)
	case errors.Is(err, bodies.ErrNoRoom):
		return nil, fmt.Errorf("%w: %w", ErrOverloaded, err)
	case err != nil:
		return nil, fmt.Errorf("read body: %w: %w", ErrBadRequest, err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		body.Release()
		return nil, fmt.Errorf("unbound body: %w", err)
	}
	return body, nil
}

// readUntilStop reads a body completely. If the router ends meanwhile, it returns an error that
// wraps ErrStopping, and the connection can't be read any more. That includes a body whose end has
// just been read: net/http then waits for the connection's end with the same deadline, and cancels
// the request when it passes.
func (d *Daemon) readUntilStop(rc *http.ResponseController, r *http.Request, limit int64) (*bodies.Body, error) {
	ended := make(chan struct{})
	stop := context.AfterFunc(d.attemptsCtx, func() {
		defer close(ended)
		d.endBodyRead(rc)
	})
	body, err := d.bodies.Read(r.Body, r.ContentLength, limit, func() { d.endBodyRead(rc) })
	if !stop() {
		<-ended
		body.Release()
		return nil, ErrStopping
	}
	return body, err
}

// endBodyRead ends the read of a body in progress.
func (d *Daemon) endBodyRead(rc *http.ResponseController) {
	if err := rc.SetReadDeadline(time.Now()); err != nil {
		d.log.Warn().Err(err).Msg("could not end the read of a body")
	}
}

// refuse answers a request that has not run with an error and with the time after which the
// caller should retry.
func refuse(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	http.Error(w, reason, status)
}

// hostOf returns the host name in a Host header, without the port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path of a request URI, neither decoded nor cleaned. The URI may begin
// with "http://" and a host.
func pathOf(uri string) string {
	if afterScheme, ok := strings.CutPrefix(uri, "http://"); ok {
		if i := strings.IndexByte(afterScheme, '/'); i >= 0 {
			uri = afterScheme[i:]
		}
	}
	path, _, _ := strings.Cut(uri, "?")
	return path
}
