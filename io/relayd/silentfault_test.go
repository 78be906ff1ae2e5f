package relayd

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/core/relay"
	"chervilreach/core/route"
	"chervilreach/io/conns"
)

// pausingCaller does not read for a while after the first event.
type pausingCaller struct {
	*patientCaller
	pause time.Duration
	once  sync.Once
}

func (c *pausingCaller) Write(p []byte) (int, error) {
	n, err := c.patientCaller.Write(p)
	c.once.Do(func() { time.Sleep(c.pause) })
	return n, err
}

// Guards against an endpoint that is taken for silent while its events wait for a caller that reads
// slowly: the run has ended, the agent says so, and the abort loses the rest of the answer.
func TestEventsThatWaitForTheCallerAreNoSilence(t *testing.T) {
	t.Parallel()
	const limit = 100 * time.Millisecond
	x, w := newTestExchange(t)
	x.w = &pausingCaller{patientCaller: w, pause: 4 * limit}
	addr := serveOnce(t, func(conn net.Conn) {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"9\r\ndata: a\n\n\r\n")
		time.Sleep(limit / 2)
		_, _ = fmt.Fprint(conn, "9\r\ndata: b\n\n\r\n0\r\n\r\n")
		time.Sleep(20 * limit)
	})
	time.AfterFunc(3*limit, func() { x.abortAttempt(relay.AbortAttempt{Try: 1, Silence: 1}) })
	x.attempt(t.Context(), relay.Send{
		Try: 1, Address: addr, Deadline: time.Now().Add(10 * time.Second), FirstBy: time.Now().Add(limit), MaxGap: limit,
	})
	assert.Equal(t, "data: a\n\ndata: b\n\n", w.Body.String())
	assert.Zero(t, x.silence.count, "silences")
}

// Guards against an answer that is being received and is reported as silent, so that the router closes
// its connection to send the request elsewhere.
func TestAnswerThatArrivesIsNoSilence(t *testing.T) {
	t.Parallel()
	const limit = 200 * time.Millisecond
	const part = maxBufferedBytes
	x, w := newTestExchange(t)
	x.route = &route.Route{Name: "safe", Kind: route.Safe}
	addr := serveOnce(t, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 10*part)
		for range 10 {
			_, _ = fmt.Fprint(conn, strings.Repeat("x", part))
			time.Sleep(limit / 4)
		}
	})
	time.AfterFunc(2*limit, func() { x.abortAttempt(relay.AbortAttempt{Try: 1, Silence: 1}) })
	x.attempt(t.Context(), relay.Send{Try: 1, Address: addr, Deadline: time.Now().Add(10 * time.Second), FirstBy: time.Now().Add(limit)})
	assert.Zero(t, x.silence.count, "silences")
	require.Equal(t, 10*part, w.Body.Len())
}

// Guards against a router that stands still for good: the loop waits for a lock that is held while an event
// is posted, and the queue of events is full.
func TestAbortDoesNotWaitForTheQueueOfEvents(t *testing.T) {
	t.Parallel()
	x, _ := newTestExchange(t)
	x.d = New(Options{Log: zerolog.Nop(), HeaderCodec: plainCodec{}})
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	x.setConn(&conns.Conn{Conn: local}, 1)
	x.startAlarm(relay.Send{Try: 1, FirstBy: time.Now().Add(time.Hour)})
	x.silence.number = 1
	full := make(chan struct{})
	go func() {
		defer close(full)
		for range 1024 {
			x.d.loop.Post(event.Tick{})
		}
	}()
	<-full
	go x.noteEvent(time.Second)
	time.Sleep(50 * time.Millisecond)
	aborted := make(chan struct{})
	go func() {
		// The loop executes this between two events.
		x.abortAttempt(relay.AbortAttempt{Try: 1})
		close(aborted)
	}()
	select {
	case <-aborted:
	case <-time.After(2 * time.Second):
		t.Error("the loop does not go on")
	}
}
