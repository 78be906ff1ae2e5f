package relayd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/bodies"
	"chervilreach/io/conns"
	"chervilreach/io/guard"
)

const (
	// commandQueueSize is the size of a request's command queue. A request can be given a
	// second command before it has executed the first one: its refusal or failure when the
	// deadline passes. The queue has room for more, because the event loop blocks while a
	// queue is full.
	commandQueueSize = 4
	// maxBufferedBytes is the size of the longest answer that is read completely before it
	// is forwarded, so that an attempt that fails can be retried without the caller
	// noticing.
	maxBufferedBytes = 256 << 10
	// maxForeignAnswers is the number of answers to other requests after which a connection
	// is given up. Fewer are skipped. maxForeignBytes bounds the body of a skipped answer.
	maxForeignAnswers = 3
	maxForeignBytes   = 1 << 20
	// maxInlineBody is the longest body that is sent in one write with the head.
	maxInlineBody = 16 << 10
	// discardTimeout bounds the time for the body of an answer that is not forwarded. The request
	// waits meanwhile, and a new connection takes less.
	discardTimeout = 50 * time.Millisecond
	// nonIdempotentMaxIdle is the longest idle time of a pooled connection that is used for a request
	// that must not run twice. The endpoint may have dropped an idle connection without
	// notice. A request on it is then reset, and it is unknown whether it has run.
	nonIdempotentMaxIdle = 300 * time.Millisecond
)

var (
	// errCallerGone means that the caller has disconnected or does not accept the answer.
	errCallerGone = errors.New("caller gone")
	// errNotResumed means that an endpoint did not resume a stream whose beginning has been
	// forwarded.
	errNotResumed = errors.New("endpoint did not resume the stream")
	// errNoID means that an answer does not tell to which request it belongs.
	errNoID = errors.New("answer without attempt ID")
)

// exchange is one request of a caller and its answer. One goroutine serves it. Others may
// use only commands, abortAttempt and the fields that are set when the request arrives.
type exchange struct {
	d  *Daemon
	id relay.RequestID
	w  http.ResponseWriter
	rc *http.ResponseController
	r  *http.Request
	// body is the complete body of the request, reserved the memory for it.
	body     []byte
	reserved *bodies.Body
	route    *route.Route
	request  relay.Request
	// commands queues the effects of the reducer that concern the request.
	commands  chan any
	arrivedAt time.Time
	// headerSent reports whether the status and header of an answer have been written to the
	// caller. Another answer can't be sent then.
	headerSent bool
	// ended reports whether the outcome of the request is known.
	ended bool
	// lastEventID is the ID of the last stream event forwarded to the caller, or relay.NoEvent.
	lastEventID int64
	// timing is of the last attempt of a stream that had an answer.
	timing streamTiming
	// resumes and resuming are RequestInfo.Resumes and RequestInfo.Resuming.
	resumes  string
	resuming bool
	// weightsVersion is the version of the weights that generated the forwarded events; 0 if
	// unknown.
	weightsVersion int64
	// limitHeader is the header with the rate limit in the last answer, for the log.
	limitHeader string
	// answerStatus is the HTTP status of the endpoint's answer to the last attempt, for the log; 0 if there
	// was none.
	answerStatus int
	// defect is AnswerInfo.Defect of the last answer.
	defect error
	// usedConns are the connections on which the request has been answered. An endpoint may write that
	// answer once more, and its ID does not tell it from the answer to a later attempt.
	usedConns []*conns.Conn
	// failedAnswer is the last answer with a server error that an endpoint sent. The effect
	// relay.DeliverFailure forwards it.
	failedAnswer *bufferedAnswer

	mu sync.Mutex
	// conn is the connection of attempt number attemptNumber; nil between attempts. aborted reports
	// whether abortAttempt has closed it.
	conn          *conns.Conn
	attemptNumber int
	aborted       bool
	silence       silenceAlarm
}

// run serves the request: it executes the reducer's commands until the request has its
// final answer or the caller has disconnected.
func (x *exchange) run(ctx context.Context) {
	x.arrivedAt = time.Now()
	x.d.addExchange(x)
	defer x.finish()
	x.d.loop.Post(relay.RequestArrived{ID: x.id, Request: x.request})
	for {
		select {
		case <-ctx.Done():
			x.d.loop.Post(relay.CallerDone{ID: x.id})
			x.endCanceled()
			return
		case cmd := <-x.commands:
			if x.callerGone(ctx) {
				x.d.loop.Post(relay.CallerDone{ID: x.id})
				x.endCanceled()
				return
			}
			if x.execute(ctx, cmd) {
				return
			}
		}
	}
}

// execute executes a command of the reducer. It reports whether the request now has its
// final answer.
func (x *exchange) execute(ctx context.Context, cmd any) bool {
	x.d.announceClose(x.w.Header())
	switch cmd := cmd.(type) {
	case relay.Send:
		return x.attempt(ctx, cmd)
	case relay.Refuse:
		x.logOutcome(guard.Refused, string(cmd.Reason))
		refuse(x.w, http.StatusServiceUnavailable, max(time.Until(cmd.RetryAt), 0), string(cmd.Reason))
	case relay.Fail:
		x.fail(cmd.Reason)
	case relay.DeliverFailure:
		x.logOutcome(guard.EndpointFailed, "")
		x.writeAnswer(x.failedAnswer)
	}
	return true
}

// attempt makes one attempt, posts its outcome to the reducer, and reports whether the
// request has its final answer. It panics with http.ErrAbortHandler if the caller has
// disconnected.
func (x *exchange) attempt(ctx context.Context, send relay.Send) bool {
	if x.route.Kind == route.Unsafe {
		// A request that must not run twice is not canceled when its caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	startedAt, mayHaveRun := time.Now(), guard.MayHaveRun(x.w)
	x.limitHeader, x.answerStatus, x.defect = "", 0, nil
	x.logSend(send)
	ctx, cancel := context.WithDeadline(ctx, send.Deadline)
	defer cancel()
	ended := relay.AttemptEnded{ID: x.id}
	err := x.tryEndpoint(ctx, send, &ended)
	guard.SetMayHaveRun(x.w, mayHaveRun || ended.Result.MayHaveRun())
	ended.LastEvent, ended.Version, ended.Answering = x.lastEventID, x.weightsVersion, x.headerSent
	switch {
	case errors.Is(err, errCallerGone):
		ended.Result = relay.Abandoned
	case ended.Result == relay.Done || ctx.Err() == nil:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		ended.Result, ended.Unsent = relay.Expired, ended.Result == relay.Unsent
	default:
		ended.Result = relay.Abandoned
	}
	x.logAttempt(send, ended, startedAt, err)
	x.d.loop.Post(ended)
	switch {
	case errors.Is(err, errCallerGone):
		x.leave()
	case ended.Result == relay.Abandoned:
		x.endCanceled()
	case ended.EndpointFailed && !x.ended:
		x.logOutcome(guard.EndpointFailed, "")
	case ended.Result == relay.Done && !x.ended:
		x.end(guard.Answered)
	}
	return ended.Result == relay.Done || ended.Result == relay.Abandoned
}

// tryEndpoint sends the request to the endpoint and forwards the answer. It sets the result
// of the attempt, apart from results that depend on the deadline and the caller. The
// connection goes back to the pool if it can be used again.
func (x *exchange) tryEndpoint(ctx context.Context, send relay.Send, ended *relay.AttemptEnded) error {
	ended.Result = relay.Unsent
	maxIdle := conns.NoIdleLimit
	if send.Once {
		maxIdle = nonIdempotentMaxIdle
	}
	c, err := x.connect(ctx, send.Address, maxIdle)
	if err != nil {
		ended.Refused = errors.Is(err, syscall.ECONNREFUSED)
		return err
	}
	stop := context.AfterFunc(ctx, c.Abort)
	defer context.AfterFunc(x.d.attemptsCtx, c.Abort)()
	x.setConn(c, send.Try)
	x.startAlarm(send)
	keep, err := x.roundTrip(c, send, ended)
	ended.Cut = err != nil && (isCut(err) || c.ClosedByPeer())
	aborted := x.clearConn()
	if stop() && !aborted && keep != (conns.IdleTimeout{}) {
		x.d.pool.Put(c, keep)
		return err
	}
	c.Abort()
	return err
}

// connect returns a connection to an endpoint, either a new one or one that has been idle
// for at most maxIdle. It returns an error if all attempts are aborted.
func (x *exchange) connect(ctx context.Context, addr netip.AddrPort, maxIdle time.Duration) (*conns.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(x.d.attemptsCtx, cancel)()
	for {
		c, err := x.d.pool.Get(ctx, addr, maxIdle)
		if err != nil || !slices.Contains(x.usedConns, c) {
			return c, err
		}
		_ = c.Close()
	}
}

// setConn sets the connection of an attempt, which abortAttempt can close from now on.
func (x *exchange) setConn(c *conns.Conn, attemptNumber int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.attemptNumber, x.aborted = c, attemptNumber, false
}

// clearConn detaches the attempt's connection, so that abortAttempt can no longer close it.
// It reports whether abortAttempt has closed it already.
func (x *exchange) clearConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	x.silence.stop()
	return x.aborted
}

// abortAttempt closes the connection of an attempt if the attempt is in progress and, if it is to be
// aborted for a silence, still silent. It may be called from any goroutine.
func (x *exchange) abortAttempt(eff relay.AbortAttempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil || x.attemptNumber != eff.Try || eff.Silence != 0 && eff.Silence != x.silence.number {
		return
	}
	x.aborted = true
	x.conn.Abort()
}

// roundTrip sends the request on a connection and forwards the answer. It returns how long
// the connection may be kept; zero means not at all.
func (x *exchange) roundTrip(c *conns.Conn, send relay.Send, ended *relay.AttemptEnded) (conns.IdleTimeout, error) {
	begin, rest := x.encodeRequest(send)
	// Until the endpoint says otherwise.
	guard.SetMayHaveRun(x.w, true)
	if n, err := c.Write(begin); err != nil {
		if n > 0 {
			ended.Result = relay.Broken
		}
		return conns.IdleTimeout{}, fmt.Errorf("send request: %w", err)
	}
	ended.Result = relay.Broken
	if len(rest) > 0 {
		if _, err := c.Write(rest); err != nil {
			return conns.IdleTimeout{}, fmt.Errorf("send body: %w", err)
		}
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return conns.IdleTimeout{}, fmt.Errorf("end the deadline for the last answer: %w", err)
	}
	resp, info, err := x.readHead(c) //nolint:bodyclose // The connection is kept or reset as a whole.
	if err != nil {
		return conns.IdleTimeout{}, err
	}
	x.answerStatus, x.defect = resp.StatusCode, info.Defect
	x.reportSelfStatus(send, info)
	x.reportLimit(send, info)
	keep := conns.IdleTimeoutOf(resp)
	x.usedConns = append(x.usedConns, c)
	if info.Unidentified && c.Reused() {
		// It may be an earlier answer on this connection, which says nothing about the request.
		return conns.IdleTimeout{}, fmt.Errorf("status %d on a kept connection: %w", resp.StatusCode, errNoID)
	}
	if info.Result != "" {
		ended.Result = info.Result
		return keepAfterDiscard(c, resp, keep)
	}
	ended.HeadReceived = true
	if err := x.forwardAnswer(send, resp, info, ended); err != nil {
		return conns.IdleTimeout{}, err
	}
	return keep, nil
}

// isCut reports whether err means that the endpoint has closed the connection.
func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// keepAfterDiscard discards the body of an answer that is not forwarded, and returns how long the
// connection may be kept: keep, or zero if the body does not end within discardTimeout.
func keepAfterDiscard(c *conns.Conn, resp *http.Response, keep conns.IdleTimeout) (conns.IdleTimeout, error) {
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return conns.IdleTimeout{}, fmt.Errorf("set deadline for the body: %w", err)
	}
	if err := conns.DiscardBody(resp, maxForeignBytes); err != nil {
		return conns.IdleTimeout{}, err
	}
	return keep, nil
}

// reportSelfStatus passes on what the expected instance says of itself to the reducer, before the body of
// its answer has been read.
func (x *exchange) reportSelfStatus(send relay.Send, info AnswerInfo) {
	if info.MalformedBackoff != "" {
		x.d.log.Info().Str("request", x.request.AttemptID).Str("endpoint", send.Instance).Str("value", info.MalformedBackoff).
			Msg("malformed backoff of endpoint ignored")
	}
	if info.Result == relay.Replaced || info.SelfStatus.IsZero() && !send.AfterBackoff {
		return
	}
	x.d.loop.Post(relay.SelfStatusReceived{ID: x.id, Instance: send.Instance, Status: info.SelfStatus})
}

// reportLimit passes on the rate limit in the answer of the expected instance to the reducer.
// Only an answer that the endpoint has generated itself can end a limit.
func (x *exchange) reportLimit(send relay.Send, info AnswerInfo) {
	x.limitHeader = info.LimitHeader
	mayEnd := send.Limited && info.Result == ""
	if info.Result == relay.Replaced || !info.Limit.Named && !mayEnd {
		return
	}
	x.d.loop.Post(relay.LimitObserved{ID: x.id, Try: send.Try, Limit: info.Limit})
}

// encodeRequest returns the beginning of the HTTP request to the endpoint, and the body if it is not part of it: longer
// ones are not copied for each attempt.
func (x *exchange) encodeRequest(send relay.Send) (begin, rest []byte) {
	h := x.r.Header.Clone()
	conns.StripHopByHop(h)
	h.Del("Content-Length")
	x.d.opts.HeaderCodec.SetAttemptHeaders(h, send, time.Until(send.Deadline))
	inline, rest := x.body, []byte(nil)
	if len(x.body) > maxInlineBody {
		inline, rest = nil, x.body
	}
	var b bytes.Buffer
	b.Grow(len(inline) + 1024)
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	if len(x.body) > 0 || x.r.ContentLength != 0 || x.r.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	// Writes to a buffer do not fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(inline)
	return b.Bytes(), rest
}

// readHead reads the status and header of the answer to this request. It skips answers to
// earlier requests on the connection.
func (x *exchange) readHead(c *conns.Conn) (*http.Response, AnswerInfo, error) {
	for range maxForeignAnswers {
		resp, err := c.Read(x.r.Method)
		if err != nil {
			return nil, AnswerInfo{}, err
		}
		info := x.d.opts.HeaderCodec.ParseAnswer(x.request.AttemptID, resp)
		if !info.Foreign {
			return resp, info, nil
		}
		if err := conns.DiscardBody(resp, maxForeignBytes); err != nil {
			return nil, info, err
		}
	}
	return nil, AnswerInfo{}, errors.New("all answers on the connection belong to other requests")
}
