package relayd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/relay"
	"chervilreach/core/route"
)

// plainCodec is a codec that neither sets nor requires headers.
type plainCodec struct{ HeaderCodec }

func (plainCodec) IDHeader() string                                         { return "" }
func (plainCodec) SetAttemptHeaders(http.Header, relay.Send, time.Duration) {}
func (plainCodec) ParseAnswer(_ string, _ *http.Response) (info AnswerInfo) { return info }

// patientCaller records the deadline of writes to it.
type patientCaller struct {
	*httptest.ResponseRecorder
	mu            sync.Mutex
	writeDeadline time.Time
}

func (c *patientCaller) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return nil
}

// Guards against a stream that ends after a long silence and whose end is not written, because the
// deadline for the write of its last event has passed.
func TestEndOfStreamAfterSilenceHasItsOwnDeadline(t *testing.T) {
	t.Parallel()
	const silence = 100 * time.Millisecond
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	endedAt := make(chan time.Time, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n")
		time.Sleep(silence)
		endedAt <- time.Now()
		_, _ = fmt.Fprint(conn, "0\r\n\r\n")
	}()
	w := &patientCaller{ResponseRecorder: httptest.NewRecorder()}
	x := &exchange{
		d: New(Options{Log: zerolog.Nop(), HeaderCodec: plainCodec{}}), w: w, rc: http.NewResponseController(w),
		route: &route.Route{Name: "book", Kind: route.Stream}, lastEventID: relay.NoEvent,
		r: httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil),
	}
	done := x.attempt(t.Context(), relay.Send{
		Address: netip.MustParseAddrPort(l.Addr().String()), Deadline: time.Now().Add(10 * time.Second),
	})
	require.True(t, done)
	require.Equal(t, "data: a\n\n", w.Body.String())
	assert.False(t, w.writeDeadline.Before((<-endedAt).Add(callerWriteTimeout)))
}

// Guards against an attempt that ends because its endpoint was silent, and against an abort for a
// silence that has ended.
func TestSilentAttemptGoesOn(t *testing.T) {
	t.Parallel()
	const silence = 200 * time.Millisecond
	for name, head := range map[string]string{
		"before the first event": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"in the middle":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, w := newTestExchange(t)
			wantDone := make(chan struct{})
			addr := serveOnce(t, func(conn net.Conn) {
				_, _ = fmt.Fprint(conn, head)
				time.Sleep(silence)
				_, _ = fmt.Fprint(conn, "9\r\ndata: b\n\n\r\n")
				<-wantDone
				_, _ = fmt.Fprint(conn, "0\r\n\r\n")
			})
			aborted := make(chan struct{})
			time.AfterFunc(3*silence/2, func() {
				x.abortAttempt(relay.AbortAttempt{Try: 1, Silence: 1})
				close(aborted)
			})
			go func() {
				<-aborted
				close(wantDone)
			}()
			done := x.attempt(t.Context(), relay.Send{
				Try: 1, Address: addr, Deadline: time.Now().Add(10 * time.Second), FirstBy: time.Now().Add(silence / 2), MaxGap: silence / 2,
			})
			require.True(t, done)
			assert.Contains(t, w.Body.String(), "data: b\n\n")
			assert.GreaterOrEqual(t, x.silence.count, 1, "the silence was reported")
		})
	}
}

// An abort for the silence in progress must end the attempt.
func TestSilentAttemptIsAborted(t *testing.T) {
	t.Parallel()
	const limit = 50 * time.Millisecond
	x, _ := newTestExchange(t)
	addr := serveOnce(t, func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) })
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(limit):
				x.abortAttempt(relay.AbortAttempt{Try: 1, Silence: 1})
			}
		}
	}()
	start := time.Now()
	done := x.attempt(t.Context(), relay.Send{
		Try: 1, Address: addr, Deadline: start.Add(10 * time.Second), FirstBy: start.Add(limit), MaxGap: limit,
	})
	require.False(t, done)
	assert.Less(t, time.Since(start), 5*time.Second)
}

// newTestExchange returns an exchange of a stream, and what its caller gets.
func newTestExchange(t *testing.T) (*exchange, *patientCaller) {
	t.Helper()
	w := &patientCaller{ResponseRecorder: httptest.NewRecorder()}
	return &exchange{
		d: New(Options{Log: zerolog.Nop(), HeaderCodec: plainCodec{}}), w: w, rc: http.NewResponseController(w),
		route: &route.Route{Name: "book", Kind: route.Stream}, lastEventID: relay.NoEvent,
		r: httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil),
	}, w
}

// serveOnce serves one request on one connection.
func serveOnce(t *testing.T, answer func(conn net.Conn)) netip.AddrPort {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		answer(conn)
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}
