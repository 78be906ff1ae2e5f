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
	// callTime is the patience of a caller, patientTime that of one which may wait for
	// longer than a router takes to stop.
	callTimeout     = 4 * time.Second
	longCallTimeout = 12 * time.Second
	// patientShare is one in how many streams has a patient caller.
	streamsPerLongCall = 3
	// thinkTime is the pause of a caller between two requests.
	thinkTime = 20 * time.Millisecond
)

// outcome is what a caller has seen of one request.
type outcome struct {
	attempt, path, router string
	// openedAt is when the caller's connection was made.
	connectedAt, sentAt, endedAt time.Time
	// sent says that the whole request has been written.
	sent bool
	// status is 0 without an answer.
	status int
	body   string
	seal   string
	// whole says that the answer came to its end.
	complete bool
	err      error
}

// callers send requests until they are stopped and note what they see.
type callers struct {
	fleet    *fleet
	mu       sync.Mutex
	outcomes []outcome
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

// run is one caller: it uses a connection as long as it can.
func (c *callers) run(ctx context.Context, n int, rnd, patient *rand.Rand) {
	var conn *callerConn
	defer func() { conn.close() }()
	for i := 0; ctx.Err() == nil; i++ {
		p := c.fleet.routers[rnd.IntN(len(c.fleet.routers))]
		if conn == nil || rnd.IntN(12) == 0 {
			conn.close()
			conn = dialCaller(p)
		}
		if conn == nil {
			time.Sleep(thinkTime)
			continue
		}
		what := c.pickTarget(rnd)
		if what[0] == mock.ResumablePath && patient.IntN(streamsPerLongCall) == 0 {
			what[0] = mock.LongTimeoutPath
		}
		o := conn.call(fmt.Sprintf("c%d-%d", n, i), what)
		c.add(o)
		if !o.complete || conn.closing {
			conn.close()
			conn = nil
		}
		time.Sleep(thinkTime + time.Duration(rnd.IntN(int(thinkTime))))
	}
}

// pick returns a path and a model; most requests are for few models.
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
	// ended says that the router closes it.
	closing bool
}

func dialCaller(p *process) *callerConn {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(context.Background(), "tcp", addrPort(p.ip, portCallers).String())
	if err != nil {
		return nil
	}
	return &callerConn{Conn: c, r: bufio.NewReader(c), router: p.name, connectedAt: time.Now()}
}

func (c *callerConn) close() {
	if c != nil {
		_ = c.Close()
	}
}

func (c *callerConn) call(attempt string, what [2]string) outcome {
	o := outcome{attempt: attempt, path: what[0], router: c.router, connectedAt: c.connectedAt, sentAt: time.Now()}
	o.err = c.exchange(&o, what[1])
	o.endedAt = time.Now()
	return o
}

func (c *callerConn) exchange(o *outcome, model string) error {
	patience := o.timeout()
	if err := c.SetDeadline(time.Now().Add(patience + time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, mock.RequestText(o.path, o.attempt, model, patience)); err != nil {
		return err
	}
	o.sent = true
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	o.status, o.seal, c.closing = resp.StatusCode, mock.Seal(resp), resp.Close
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.body, o.complete = string(body), err == nil
	return err
}

// patience is how long the caller waits.
func (o *outcome) timeout() time.Duration {
	if o.path == mock.LongTimeoutPath {
		return longCallTimeout
	}
	return callTimeout
}

// closed says that the router ended the connection of a whole request without any
// answer.
func (o *outcome) closedUnanswered() bool {
	return o.sent && o.status == 0 && !errors.Is(o.err, os.ErrDeadlineExceeded)
}

// fault returns what is wrong with a successful answer; empty if nothing is.
func (o *outcome) responseDefect(events int) string {
	if o.status != http.StatusOK {
		return ""
	}
	if !strings.HasSuffix(o.seal, " "+o.attempt) {
		return "success with the seal " + o.seal
	}
	want := mock.ResponseBody(o.attempt)
	if o.path == mock.ResumablePath || o.path == mock.LongTimeoutPath {
		var b strings.Builder
		for id := range events {
			b.WriteString(mock.EventText(o.attempt, id))
		}
		want = b.String()
	}
	if o.complete && o.body != want {
		return fmt.Sprintf("whole answer is %q", o.body)
	}
	if !strings.HasPrefix(want, o.body) {
		return fmt.Sprintf("broken answer begins %q", o.body)
	}
	return ""
}
