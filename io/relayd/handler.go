package relayd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/core/stock"
)

// Errors that callers test with errors.Is.
var (
	// ErrBadRequest says that a caller's request can't be understood.
	ErrBadRequest = errors.New("bad request")
	// ErrTooLarge says that a caller's request is longer than allowed.
	ErrTooLarge = errors.New("request too large")
	// ErrOverloaded says that the memory for requests is taken.
	ErrOverloaded = errors.New("no memory for the request")
)

const (
	// bodyTime is the longest time that a caller may take to send a body.
	bodyReadTimeout = 10 * time.Second
	// retryStarting is when to ask again a router that has just started.
	startupRetryAfter = 500 * time.Millisecond
	// maxBody is the longest body while no table says otherwise, in bytes.
	defaultMaxBodyBytes = 4 << 20
)

// Call is what a caller's headers say of a request.
type RequestInfo struct {
	// Attempt is the caller's id of the request.
	AttemptID           string
	Item                stock.Item
	TokensIn, TokensOut int
	Prefix              []relay.PromptPart
	// Deadline is when the caller gives up; zero if it does not say.
	Deadline time.Time
	// LastEvent is the last event that the caller has, or relay.NoEvent.
	LastEvent int64
}

// Verdict is what the head of an endpoint's answer says.
type AnswerInfo struct {
	// Result is empty for an answer that is to be passed on.
	Result relay.Result
	// Foreign says that the answer belongs to another request.
	Foreign bool
	// Version is that of the weights; 0 if the answer does not say.
	Version int64
}

// Dialect reads and writes the headers of callers and endpoints.
type Dialect interface {
	// Read reads a caller's headers; errors wrap ErrBadRequest.
	ParseRequest(now time.Time, h http.Header) (RequestInfo, error)
	// Mark sets the headers of an attempt, in place of those that are not a
	// caller's to set.
	SetAttemptHeaders(h http.Header, send relay.Send, left time.Duration)
	// Judge reads the head of an answer to the request with the id.
	ParseAnswer(attempt string, resp *http.Response) AnswerInfo
}

// ServeHTTP implements http.Handler for callers.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.announceClose(w.Header())
	table := d.table.Load()
	if table == nil || !d.membersKnown.Load() {
		refuse(w, http.StatusServiceUnavailable, startupRetryAfter, "not ready")
		return
	}
	rt, ok := table.Match(hostOf(r.Host), pathOf(r.RequestURI))
	if !ok {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	x, err := d.newExchange(w, r, table, rt)
	if err != nil {
		d.reject(w, r, err)
		return
	}
	defer d.bodyBytes.Add(-int64(len(x.body)))
	x.run(r.Context())
}

// announceEnd has the answer tell that its connection ends if the process does.
func (d *Daemon) announceClose(h http.Header) {
	if d.shuttingDown.Load() {
		h.Set("Connection", "close")
	}
}

// reject answers a request that is not taken in.
func (d *Daemon) reject(w http.ResponseWriter, r *http.Request, err error) {
	d.log.Warn().Err(err).Str("path", r.URL.Path).Msg("request rejected")
	switch {
	case errors.Is(err, ErrTooLarge):
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrOverloaded):
		refuse(w, http.StatusServiceUnavailable, time.Second, err.Error())
	default:
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (d *Daemon) newExchange(w http.ResponseWriter, r *http.Request, table *route.Table, rt *route.Route) (*exchange, error) {
	now := time.Now()
	call, err := d.opts.Dialect.ParseRequest(now, r.Header)
	if err != nil {
		return nil, err
	}
	deadline := now.Add(rt.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(deadline) {
		deadline = call.Deadline
	}
	body, err := d.readBody(w, r, table)
	if err != nil {
		return nil, err
	}
	x := &exchange{
		d: d, w: w, rc: http.NewResponseController(w), r: r, body: body, route: rt,
		commands:  make(chan any, commandQueueSize),
		lastEvent: call.LastEvent,
		request: relay.Request{
			Attempt: call.AttemptID, Route: rt, Service: rt.Service(call.AttemptID), Item: call.Item,
			TokensIn: call.TokensIn, TokensOut: call.TokensOut, Prefix: call.Prefix,
			Deadline: deadline, LastEvent: call.LastEvent,
		},
	}
	return x, nil
}

// readBody reads the whole body and counts its memory.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request, table *route.Table) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	most := int64(defaultMaxBodyBytes)
	if table.Limits.MaxBody > 0 {
		most = int64(table.Limits.MaxBody)
	}
	if r.ContentLength > most {
		return nil, fmt.Errorf("body of %d bytes, at most %d: %w", r.ContentLength, most, ErrTooLarge)
	}
	if d.bodyBytes.Load()+max(r.ContentLength, 0) > d.opts.MaxTotalBodyBytes {
		return nil, ErrOverloaded
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		return nil, fmt.Errorf("bound body: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w: %w", ErrBadRequest, err)
	}
	if int64(len(body)) > most {
		return nil, fmt.Errorf("body of more than %d bytes: %w", most, ErrTooLarge)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("unbound body: %w", err)
	}
	d.bodyBytes.Add(int64(len(body)))
	return body, nil
}

// refuse answers a request that has not run, with the time to ask again.
func refuse(w http.ResponseWriter, status int, after time.Duration, why string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, why, status)
}

// hostOf returns the name in a Host header.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path of a request as the caller wrote it.
func pathOf(uri string) string {
	if rest, ok := strings.CutPrefix(uri, "http://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			uri = rest[i:]
		}
	}
	path, _, _ := strings.Cut(uri, "?")
	return path
}
