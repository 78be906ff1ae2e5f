package relayd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/conns"
)

const (
	// commandsQueued is the most commands that a request is given before it has
	// carried out the first: one, and the answer when its deadline passes.
	commandsQueued = 4
	// wholeBody is the longest answer that is read before any of it is passed on,
	// in bytes, so that a failed attempt can be repeated unseen.
	wholeBody = 256 << 10
	// foreignMost bounds the answers to other requests that are passed over, and
	// foreignBody each one's length in bytes.
	foreignMost = 3
	foreignBody = 1 << 20
	// onceIdle is how long a kept connection may have been idle that is used for a
	// request which must not run twice: one that was dropped without notice resets
	// the request, and nobody knows then whether it has run.
	onceIdle = 300 * time.Millisecond
)

var (
	// errAbandoned is the cause of a context that ends as the caller has left.
	errAbandoned = errors.New("caller has left")
	// errNotResumed says that an endpoint has not gone on with a stream.
	errNotResumed = errors.New("stream not resumed")
)

// exchange is one request from a caller, with its answer.
type exchange struct {
	d         *Daemon
	id        relay.RequestID
	w         http.ResponseWriter
	rc        *http.ResponseController
	r         *http.Request
	body      []byte
	route     *route.Route
	request   relay.Request
	commands  chan any
	arrivedAt time.Time
	// headed says that the head of the answer has been passed on.
	headed bool
	// last is the last event passed on.
	last    int64
	version int64
	// failure is the endpoint's own failure of the last attempt.
	failure *wholeAnswer

	mu sync.Mutex
	// conn is the connection of attempt number try, nil between attempts; broken says
	// that it was broken off.
	conn   *conns.Conn
	try    int
	broken bool
}

// wholeAnswer is an answer that has been read to its end.
type wholeAnswer struct {
	head *http.Response
	body []byte
}

// run carries out commands until the request has its final answer.
func (x *exchange) run(ctx context.Context) {
	x.arrivedAt = time.Now()
	x.d.open(x)
	defer x.d.close(x)
	x.d.loop.Post(relay.Arrive{ID: x.id, Request: x.request})
	for {
		select {
		case <-ctx.Done():
			x.d.loop.Post(relay.Gone{ID: x.id})
			x.log("left", "caller has left")
			return
		case cmd := <-x.commands:
			if x.callerLeft(ctx) {
				x.d.loop.Post(relay.Gone{ID: x.id})
				x.log("left", "caller has left")
				return
			}
			if x.carryOut(ctx, cmd) {
				return
			}
		}
	}
}

// carryOut returns whether the request has its final answer.
func (x *exchange) carryOut(ctx context.Context, cmd any) bool {
	x.d.announceEnd(x.w.Header())
	switch cmd := cmd.(type) {
	case relay.Send:
		return x.attempt(ctx, cmd)
	case relay.Refuse:
		x.log("refused", string(cmd.Reason))
		refuse(x.w, http.StatusServiceUnavailable, max(time.Until(cmd.RetryAt), 0), string(cmd.Reason))
	case relay.Fail:
		x.log("failed", string(cmd.Reason))
		x.fail(cmd.Reason)
	case relay.Deliver:
		x.log("endpoint-failed", "")
		x.deliver(x.failure)
	}
	return true
}

// fail ends an answer that may have run.
func (x *exchange) fail(reason relay.Reason) {
	if x.headed {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if reason == relay.OutOfTime {
		status = http.StatusGatewayTimeout
	}
	http.Error(x.w, string(reason), status)
}

// attempt sends the request to an endpoint and passes on the answer. It returns
// true if that was the final answer.
func (x *exchange) attempt(ctx context.Context, send relay.Send) bool {
	if x.route.Kind == route.Unsafe {
		// What must not run twice and has begun is left to end.
		ctx = context.WithoutCancel(ctx)
	}
	began := time.Now()
	x.logSend(send)
	ctx, cancel := context.WithDeadline(ctx, send.Deadline)
	defer cancel()
	ended := relay.Ended{ID: x.id}
	err := x.exchangeWith(ctx, send, &ended)
	ended.LastEvent, ended.Version, ended.Answering = x.last, x.version, x.headed
	switch {
	case errors.Is(err, errAbandoned):
		ended.Result = relay.Abandoned
	case ended.Result == relay.Done || ctx.Err() == nil:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		ended.Result, ended.Unsent = relay.Expired, ended.Result == relay.Unsent
	default:
		ended.Result = relay.Abandoned
	}
	x.logAttempt(send, ended, began, err)
	x.d.loop.Post(ended)
	if ended.Result == relay.Done || ended.Result == relay.Abandoned {
		if ended.Result == relay.Abandoned {
			x.log("left", "caller has left")
			panic(http.ErrAbortHandler)
		}
		x.d.meters.outcome("answered", x.arrivedAt)
		return true
	}
	return false
}

// exchangeWith makes one attempt and sets how it ended.
func (x *exchange) exchangeWith(ctx context.Context, send relay.Send, ended *relay.Ended) error {
	ended.Result = relay.Unsent
	idle := conns.NoIdleLimit
	if send.Once {
		idle = onceIdle
	}
	c, err := x.connect(ctx, send.Address, idle)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, c.Abort)
	defer context.AfterFunc(x.d.aborted, c.Abort)()
	x.use(c, send.Try)
	keep, err := x.converse(c, send, ended)
	broken := x.release()
	if stop() && !broken && keep != (conns.IdleTimeout{}) {
		x.d.pool.Put(c, keep)
		return err
	}
	c.Abort()
	return err
}

// connect returns a connection to an endpoint, or an error when attempts are
// broken off.
func (x *exchange) connect(ctx context.Context, addr netip.AddrPort, maxIdle time.Duration) (*conns.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(x.d.aborted, cancel)()
	return x.d.pool.Get(ctx, addr, maxIdle)
}

// use notes the connection of an attempt.
func (x *exchange) use(c *conns.Conn, try int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.try, x.broken = c, try, false
}

// release forgets the attempt's connection and says whether it was broken off.
func (x *exchange) release() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return x.broken
}

// breakOff ends an attempt if it is the one in progress.
func (x *exchange) breakOff(try int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil || x.try != try {
		return
	}
	x.broken = true
	x.conn.Abort()
}

// converse sends the request on a connection and passes on the answer. It
// returns for how long the connection may be kept.
func (x *exchange) converse(c *conns.Conn, send relay.Send, ended *relay.Ended) (conns.IdleTimeout, error) {
	if n, err := c.Write(x.encode(send)); err != nil {
		if n > 0 {
			ended.Result = relay.Broken
		}
		return conns.IdleTimeout{}, fmt.Errorf("send request: %w", err)
	}
	ended.Result = relay.Broken
	if err := c.SetReadDeadline(send.FirstBy); err != nil {
		return conns.IdleTimeout{}, fmt.Errorf("bound answer: %w", err)
	}
	resp, verdict, err := x.readHead(c) //nolint:bodyclose // The connection is kept or reset as a whole.
	if err != nil {
		return conns.IdleTimeout{}, err
	}
	keep := conns.IdleTimeoutOf(resp)
	if verdict.Result != "" {
		ended.Result = verdict.Result
		return keep, conns.DiscardBody(resp, foreignBody)
	}
	if err := x.passOn(c, send, resp, verdict, ended); err != nil {
		return conns.IdleTimeout{}, err
	}
	return keep, nil
}

// encode writes the request as the endpoint gets it.
func (x *exchange) encode(send relay.Send) []byte {
	h := x.r.Header.Clone()
	conns.StripHopByHop(h)
	h.Del("Content-Length")
	x.d.opts.Dialect.Mark(h, send, time.Until(send.Deadline))
	var b bytes.Buffer
	b.Grow(len(x.body) + 1024)
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	if len(x.body) > 0 || x.r.ContentLength != 0 || x.r.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	// Writing to a buffer does not fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(x.body)
	return b.Bytes()
}

// readHead reads the head of the answer to this request. Answers to earlier
// requests on the connection are passed over.
func (x *exchange) readHead(c *conns.Conn) (*http.Response, Verdict, error) {
	for range foreignMost {
		resp, err := c.ReadResponse(x.r.Method)
		if err != nil {
			return nil, Verdict{}, err
		}
		verdict := x.d.opts.Dialect.Judge(x.request.Attempt, resp)
		if !verdict.Foreign {
			return resp, verdict, nil
		}
		if err := conns.DiscardBody(resp, foreignBody); err != nil {
			return nil, verdict, err
		}
	}
	return nil, Verdict{}, errors.New("answers belong to other requests")
}

// passOn passes on an answer and sets how the attempt ended. An error says that
// the connection can't be used any more.
func (x *exchange) passOn(c *conns.Conn, send relay.Send, resp *http.Response, verdict Verdict, ended *relay.Ended) error {
	x.version = verdict.Version
	if x.route.Kind == route.Stream && resp.StatusCode == http.StatusOK {
		if err := x.passStream(c, send, resp); err != nil {
			return err
		}
		ended.Result = relay.Done
		return nil
	}
	if x.headed {
		return fmt.Errorf("status %d: %w", resp.StatusCode, errNotResumed)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeBody+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if len(body) > wholeBody {
		return x.passLong(resp, body, ended)
	}
	answer := &wholeAnswer{head: resp, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.failure = answer
		ended.Result = relay.Failed
		return nil
	}
	x.d.loop.Post(relay.Begun{ID: x.id})
	x.deliver(answer)
	ended.Result = relay.Done
	return nil
}

// passLong passes on an answer that is too long to be read first.
func (x *exchange) passLong(resp *http.Response, begin []byte, ended *relay.Ended) error {
	x.head(resp)
	x.w.WriteHeader(resp.StatusCode)
	caller := callerWriter{x}
	if _, err := caller.Write(begin); err != nil {
		return fmt.Errorf("pass on answer: %w", err)
	}
	if _, err := io.Copy(caller, resp.Body); err != nil {
		return fmt.Errorf("pass on answer: %w", err)
	}
	ended.Result = relay.Done
	return nil
}

// deliver passes on a whole answer.
func (x *exchange) deliver(a *wholeAnswer) {
	if x.headed {
		panic(http.ErrAbortHandler)
	}
	x.head(a.head)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.head.StatusCode)
	if _, err := (callerWriter{x}).Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.log("left", err.Error())
	}
}

// head copies the head of an answer.
func (x *exchange) head(resp *http.Response) {
	conns.StripHopByHop(resp.Header)
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// No type must be made up.
		h["Content-Type"] = nil
	}
	x.d.announceEnd(h)
	x.headed = true
}
