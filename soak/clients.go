package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"chervilreach/platform/mock"
)

const (
	// callTimeout is how long a caller waits for an answer. longCallTimeout is used for
	// some streams instead, so that they may wait for longer than a router takes to stop.
	callTimeout     = 4 * time.Second
	longCallTimeout = 12 * time.Second
	// On average, one of streamsPerLongCall streams is a call with longCallTimeout.
	streamsPerLongCall = 3
	// thinkTime is the minimum pause of a caller between two requests. Random times add
	// less than the same again.
	thinkTime = 20 * time.Millisecond
)

// outcome is the result of one request as its caller observed it.
type outcome struct {
	attemptID, path, router string
	// resumed is the outcome that brought the events which the request goes on after; nil if it begins anew.
	resumed *outcome
	// deadlyPart is the ID of the deadly part of the prompt; empty if it has none.
	deadlyPart string
	// connectedAt is when the connection that carried the request was opened, which may be
	// before earlier requests.
	connectedAt, sentAt, endedAt time.Time
	// fullySent reports whether the whole request was written.
	fullySent bool
	// status is the HTTP status; 0 if no answer was received.
	status int
	body   string
	seal   string
	// complete reports whether the answer was read to its end.
	complete bool
	err      error
}

// callers send requests until they are stopped, and record the outcomes.
type callers struct {
	fleet    *fleet
	mu       sync.Mutex
	outcomes []outcome
	// deadly is the deadly part that some prompts have; empty if none.
	deadly deadlyPart
}

func (c *callers) add(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *callers) snapshot() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}

// run runs one caller until ctx is done. It reuses a connection until the router closes it or
// an answer is incomplete; sometimes it reconnects anyway. It connects to a random router. n is
// the number of the caller, which is part of the IDs of its attempts. seed determines its
// requests: longRnd decides which streams are calls with longCallTimeout, promptRnd their prompts.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	rnd, longRnd, promptRnd := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 5)), rand.New(rand.NewPCG(seed, 7))
	resumeRnd := rand.New(rand.NewPCG(seed, 9))
	var conn *callerConn
	defer func() { conn.close() }()
	for i := 0; ctx.Err() == nil; i++ {
		router := c.fleet.routers[rnd.IntN(len(c.fleet.routers))]
		if conn == nil || rnd.IntN(12) == 0 {
			conn.close()
			conn = dialCaller(router)
		}
		if conn == nil {
			time.Sleep(thinkTime)
			continue
		}
		// target is the path and the model.
		target := c.pickTarget(rnd)
		if target[0] == mock.ResumablePath && longRnd.IntN(streamsPerLongCall) == 0 {
			target[0] = mock.LongTimeoutPath
		}
		attemptID := fmt.Sprintf("c%d-%d", n, i)
		var p prompt
		if target[1] != "" {
			p = c.pickPrompt(promptRnd, attemptID)
		}
		o := conn.call(attemptID, target, p)
		c.add(o)
		c.resume(resumeRnd, o, target, p)
		if !o.complete || conn.closeAnnounced {
			conn.close()
			conn = nil
		}
		time.Sleep(thinkTime + time.Duration(rnd.IntN(int(thinkTime))))
	}
}

// pickTarget returns the target of a request: its path and its model, in this order. The model
// is empty for paths without models. Requests for the first two models are the most frequent.
func (c *callers) pickTarget(rnd *rand.Rand) [2]string {
	switch rnd.IntN(5) {
	case 0, 1:
		return [2]string{mock.OncePath}
	case 2:
		return [2]string{mock.SafePath}
	case 3:
		return [2]string{mock.ResumablePath, c.fleet.models[rnd.IntN(2)]}
	default:
		return [2]string{mock.ResumablePath, c.fleet.models[rnd.IntN(len(c.fleet.models))]}
	}
}

// callerConn is a caller's open connection to one router.
type callerConn struct {
	net.Conn
	r           *bufio.Reader
	router      string
	connectedAt time.Time
	// closeAnnounced reports whether the router announced that it closes the connection.
	closeAnnounced bool
}

// dialCaller connects to a router. It returns nil if that fails.
func dialCaller(p *process) *callerConn {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(context.Background(), "tcp", addrPort(p.ip, portCallers).String())
	if err != nil {
		return nil
	}
	return &callerConn{Conn: c, r: bufio.NewReader(c), router: p.name, connectedAt: time.Now()}
}

// close closes the connection. It does nothing if c is nil.
func (c *callerConn) close() {
	if c != nil {
		_ = c.Close()
	}
}

// call sends a request with attempt ID attemptID to target, which is a path and a model, and
// returns its outcome.
func (c *callerConn) call(attemptID string, target [2]string, p prompt) outcome {
	o := outcome{
		attemptID: attemptID, path: target[0], router: c.router, deadlyPart: p.deadlyPart, connectedAt: c.connectedAt, sentAt: time.Now(),
	}
	c.finish(&o, target[1], p)
	return o
}

// finish sends the request of an outcome and completes the outcome.
func (c *callerConn) finish(o *outcome, model string, p prompt, headers ...string) {
	o.err = c.exchange(o, model, p.text, headers...)
	o.endedAt = time.Now()
}

// exchange sends the request and reads the answer into o.
func (c *callerConn) exchange(o *outcome, model, promptText string, headers ...string) error {
	timeout := o.timeout()
	if err := c.SetDeadline(time.Now().Add(timeout + time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, mock.RequestText(o.path, o.attemptID, model, promptText, timeout, headers...)); err != nil {
		return err
	}
	o.fullySent = true
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	o.status, o.seal, c.closeAnnounced = resp.StatusCode, mock.Seal(resp), resp.Close
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.body, o.complete = string(body), err == nil
	return err
}

// timeout returns how long the caller waits for the answer.
func (o *outcome) timeout() time.Duration {
	if o.path == mock.LongTimeoutPath {
		return longCallTimeout
	}
	return callTimeout
}

// closedUnanswered reports whether the router closed the connection after the whole request
// was sent and before any answer. A timeout of the caller does not count.
func (o *outcome) closedUnanswered() bool {
	return o.fullySent && o.status == 0 && !errors.Is(o.err, os.ErrDeadlineExceeded)
}

// responseDefect describes what is wrong with an answer, or returns an empty string. An error that no replica
// gives must have no seal. Of a successful answer, the seal must be that of the attempt, a complete body the expected one, and an
// incomplete body a prefix of it. eventCount is the number of events of a stream.
func (o *outcome) responseDefect(eventCount int) string {
	if o.seal != "" && (o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout) {
		return fmt.Sprintf("status %d with the seal %s", o.status, o.seal)
	}
	if o.status != http.StatusOK {
		return ""
	}
	if !strings.HasSuffix(o.seal, " "+o.attemptID) {
		return "success with the seal " + o.seal
	}
	if o.isStream() {
		return o.streamDefect(eventCount)
	}
	want := mock.ResponseBody(o.attemptID)
	if o.complete && o.body != want {
		return fmt.Sprintf("whole answer is %q", o.body)
	}
	if !strings.HasPrefix(want, o.body) {
		return fmt.Sprintf("broken answer begins %q", o.body)
	}
	return ""
}
