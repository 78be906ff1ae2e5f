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
	commandQueueSize = 4
	// wholeBody is the longest answer that is read before any of it is passed on,
	// in bytes, so that a failed attempt can be repeated unseen.
	maxBufferedBytes = 256 << 10
	// foreignMost bounds the answers to other requests that are passed over, and
	// foreignBody each one's length in bytes.
	maxForeignAnswers = 3
	maxForeignBytes   = 1 << 20
	// onceIdle is how long a kept connection may have been idle that is used for a
	// request which must not run twice: one that was dropped without notice resets
	// the request, and nobody knows then whether it has run.
	onceMaxIdle = 300 * time.Millisecond
)

var (
	// errAbandoned is the cause of a context that ends as the caller has left.
	errCallerGone = errors.New("caller has left")
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
	headerSent bool
	// last is the last event passed on.
	lastEvent      int64
	weightsVersion int64
	// failure is the endpoint's own failure of the last attempt.
	failedAnswer *bufferedAnswer

	mu sync.Mutex
	// conn is the connection of attempt number try, nil between attempts; broken says
	// that it was broken off.
	conn    *conns.Conn
	try     int
	aborted bool
}

// wholeAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	head *http.Response
	body []byte
}

// run carries out commands until the request has its final answer.
func (x *exchange) run(ctx context.Context) {
	x.arrivedAt = time.Now()
	x.d.addExchange(x)
	defer x.d.removeExchange(x)
	x.d.loop.Post(relay.RequestArrived{ID: x.id, Request: x.request})
	for {
		select {
		case <-ctx.Done():
			x.d.loop.Post(relay.CallerGone{ID: x.id})
			x.logOutcome("left", "caller has left")
			return
		case cmd := <-x.commands:
			if x.callerGone(ctx) {
				x.d.loop.Post(relay.CallerGone{ID: x.id})
				x.logOutcome("left", "caller has left")
				return
			}
			if x.execute(ctx, cmd) {
				return
			}
		}
	}
}

// carryOut returns whether the request has its final answer.
func (x *exchange) execute(ctx context.Context, cmd any) bool {
	x.d.announceClose(x.w.Header())
	switch cmd := cmd.(type) {
	case relay.Send:
		return x.attempt(ctx, cmd)
	case relay.Refuse:
		x.logOutcome("refused", string(cmd.Reason))
		refuse(x.w, http.StatusServiceUnavailable, max(time.Until(cmd.RetryAt), 0), string(cmd.Reason))
	case relay.Fail:
		x.logOutcome("failed", string(cmd.Reason))
		x.fail(cmd.Reason)
	case relay.DeliverFailure:
		x.logOutcome("endpoint-failed", "")
		x.writeAnswer(x.failedAnswer)
	}
	return true
}

// fail ends an answer that may have run.
func (x *exchange) fail(reason relay.Reason) {
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if reason == relay.DeadlineExceeded {
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
	ended := relay.AttemptEnded{ID: x.id}
	err := x.tryEndpoint(ctx, send, &ended)
	ended.LastEvent, ended.Version, ended.Answering = x.lastEvent, x.weightsVersion, x.headerSent
	switch {
	case errors.Is(err, errCallerGone):
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
			x.logOutcome("left", "caller has left")
			panic(http.ErrAbortHandler)
		}
		x.d.meters.recordOutcome("answered", x.arrivedAt)
		return true
	}
	return false
}

// exchangeWith makes one attempt and sets how it ended.
func (x *exchange) tryEndpoint(ctx context.Context, send relay.Send, ended *relay.AttemptEnded) error {
	ended.Result = relay.Unsent
	idle := conns.AnyIdle
	if send.Once {
		idle = onceMaxIdle
	}
	c, err := x.connect(ctx, send.Address, idle)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, c.Abort)
	defer context.AfterFunc(x.d.attemptsCtx, c.Abort)()
	x.setConn(c, send.Try)
	keep, err := x.roundTrip(c, send, ended)
	broken := x.clearConn()
	if stop() && !broken && keep != (conns.Keep{}) {
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
	defer context.AfterFunc(x.d.attemptsCtx, cancel)()
	return x.d.pool.Get(ctx, addr, maxIdle)
}

// use notes the connection of an attempt.
func (x *exchange) setConn(c *conns.Conn, try int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.try, x.aborted = c, try, false
}

// release forgets the attempt's connection and says whether it was broken off.
func (x *exchange) clearConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return x.aborted
}

// breakOff ends an attempt if it is the one in progress.
func (x *exchange) abortAttempt(try int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil || x.try != try {
		return
	}
	x.aborted = true
	x.conn.Abort()
}

// converse sends the request on a connection and passes on the answer. It
// returns for how long the connection may be kept.
func (x *exchange) roundTrip(c *conns.Conn, send relay.Send, ended *relay.AttemptEnded) (conns.Keep, error) {
	if n, err := c.Write(x.encodeRequest(send)); err != nil {
		if n > 0 {
			ended.Result = relay.Broken
		}
		return conns.Keep{}, fmt.Errorf("send request: %w", err)
	}
	ended.Result = relay.Broken
	if err := c.SetReadDeadline(send.FirstBy); err != nil {
		return conns.Keep{}, fmt.Errorf("bound answer: %w", err)
	}
	resp, verdict, err := x.readHead(c) //nolint:bodyclose // The connection is kept or reset as a whole.
	if err != nil {
		return conns.Keep{}, err
	}
	keep := conns.KeepAfter(resp)
	if verdict.Result != "" {
		ended.Result = verdict.Result
		return keep, conns.Skip(resp, maxForeignBytes)
	}
	if err := x.forwardAnswer(c, send, resp, verdict, ended); err != nil {
		return conns.Keep{}, err
	}
	return keep, nil
}

// encode writes the request as the endpoint gets it.
func (x *exchange) encodeRequest(send relay.Send) []byte {
	h := x.r.Header.Clone()
	conns.StripHop(h)
	h.Del("Content-Length")
	x.d.opts.Dialect.SetAttemptHeaders(h, send, time.Until(send.Deadline))
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
func (x *exchange) readHead(c *conns.Conn) (*http.Response, AnswerInfo, error) {
	for range maxForeignAnswers {
		resp, err := c.Read(x.r.Method)
		if err != nil {
			return nil, AnswerInfo{}, err
		}
		verdict := x.d.opts.Dialect.ParseAnswer(x.request.Attempt, resp)
		if !verdict.Foreign {
			return resp, verdict, nil
		}
		if err := conns.Skip(resp, maxForeignBytes); err != nil {
			return nil, verdict, err
		}
	}
	return nil, AnswerInfo{}, errors.New("answers belong to other requests")
}

// passOn passes on an answer and sets how the attempt ended. An error says that
// the connection can't be used any more.
func (x *exchange) forwardAnswer(c *conns.Conn, send relay.Send, resp *http.Response, verdict AnswerInfo, ended *relay.AttemptEnded) error {
	x.weightsVersion = verdict.Version
	if x.route.Kind == route.Stream && resp.StatusCode == http.StatusOK {
		if err := x.forwardStream(c, send, resp); err != nil {
			return err
		}
		ended.Result = relay.Done
		return nil
	}
	if x.headerSent {
		return fmt.Errorf("status %d: %w", resp.StatusCode, errNotResumed)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxBufferedBytes {
		return x.forwardUnbuffered(resp, body, ended)
	}
	answer := &bufferedAnswer{head: resp, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.failedAnswer = answer
		ended.Result = relay.Failed
		return nil
	}
	x.d.loop.Post(relay.AnswerStarted{ID: x.id})
	x.writeAnswer(answer)
	ended.Result = relay.Done
	return nil
}

// passLong passes on an answer that is too long to be read first.
func (x *exchange) forwardUnbuffered(resp *http.Response, begin []byte, ended *relay.AttemptEnded) error {
	x.copyHeader(resp)
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
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	x.copyHeader(a.head)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.head.StatusCode)
	if _, err := (callerWriter{x}).Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.logOutcome("left", err.Error())
	}
}

// head copies the head of an answer.
func (x *exchange) copyHeader(resp *http.Response) {
	conns.StripHop(resp.Header)
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// No type must be made up.
		h["Content-Type"] = nil
	}
	x.d.announceClose(h)
	x.headerSent = true
}
