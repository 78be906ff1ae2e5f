package drain

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/conns"
)

const testRequest = "GET / HTTP/1.1\r\nHost: router\r\n\r\n"

// testListener is a TCP listener that counts what its connections read and can delay their
// reads.
type testListener struct {
	*net.TCPListener
	closeOnce sync.Once
	// acceptGate delays Accept while it is locked.
	acceptGate sync.Mutex
	closed     chan struct{}
	accepted   chan struct{}
	// gate delays the reads that begin while it is locked, except those of one byte, with which
	// net/http watches a caller during its request. atGate is the number of delayed reads.
	gate   sync.Mutex
	atGate atomic.Int64
	// bytesRead is the number of bytes that all connections have read.
	bytesRead atomic.Int64
	// unread is the number of connections that were closed with unread data.
	unread atomic.Int64
}

func (l *testListener) Accept() (net.Conn, error) {
	l.acceptGate.Lock()
	defer l.acceptGate.Unlock()
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.accepted <- struct{}{}
	return &testConn{TCPConn: c, l: l}, nil
}

func (l *testListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

type testConn struct {
	*net.TCPConn
	l *testListener
}

func (c *testConn) Read(p []byte) (int, error) {
	if len(p) > 1 {
		c.l.atGate.Add(1)
		c.l.gate.Lock()
		c.l.atGate.Add(-1)
		c.l.gate.Unlock()
	}
	n, err := c.TCPConn.Read(p)
	c.l.bytesRead.Add(int64(n))
	return n, err
}

func (c *testConn) Close() error {
	if conns.Peek(c.TCPConn) == conns.Readable {
		c.l.unread.Add(1)
	}
	return c.TCPConn.Close()
}

// newServer returns a server with long timeouts, except that it closes connections without a
// request after idleTimeout during a drain.
func newServer(idleTimeout time.Duration, handler http.HandlerFunc) *Server {
	s := New(&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	s.idleTimeout = idleTimeout
	return s
}

// serve starts a server. The function that it returns begins to drain the server, and waits
// for the end of the drain at the end of the test.
func serve(t *testing.T, s *Server) (l *testListener, startDrain func()) {
	t.Helper()
	l = listen(t)
	return l, serveOn(t, s, l)
}

// listen returns a listener on loopback.
func listen(t *testing.T) *testListener {
	t.Helper()
	var lc net.ListenConfig
	tcp, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &testListener{TCPListener: tcp.(*net.TCPListener), closed: make(chan struct{}), accepted: make(chan struct{}, 1000)}
}

// serveOn is serve with a given listener.
func serveOn(t *testing.T, s *Server, l net.Listener) (startDrain func()) {
	t.Helper()
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	return func() {
		drained := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			drained <- s.Drain(ctx)
		}()
		t.Cleanup(func() {
			assert.NoError(t, <-drained)
			assert.ErrorIs(t, <-served, http.ErrServerClosed)
			assert.NoError(t, s.Close())
		})
	}
}

// testClient is a caller with one connection.
type testClient struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, l net.Listener) *testClient {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

// send sends a request or a part of one.
func (c *testClient) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// receive reads an answer.
func (c *testClient) receive() (*http.Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// call sends a request and reads its answer.
func (c *testClient) call(t *testing.T) {
	t.Helper()
	require.NoError(t, c.send(testRequest))
	resp, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against a stop that closes a connection although its next request has arrived, at
// least in part: the caller gets no answer then.
func TestDrainServesRequestThatHasArrived(t *testing.T) {
	tests := map[string]struct {
		// kept reports whether the connection has been used for an earlier request.
		kept        bool
		idleTimeout time.Duration
		// delayed reports whether the server reads nothing until the drain has begun.
		delayed bool
		// before and after are what the caller sends before and after the start of the drain.
		before, after string
	}{
		"being read":                     {true, 0, false, testRequest[:20], testRequest[20:]},
		"two bytes read":                 {true, 0, false, testRequest[:2], testRequest[2:]},
		"in the receive buffer":          {true, 0, true, testRequest, ""},
		"in part in the receive buffer":  {true, 0, true, testRequest[:2], testRequest[2:]},
		"sent soon after the answer":     {true, time.Minute, false, "", testRequest},
		"sent soon after the connection": {false, time.Minute, false, "", testRequest},
		"being read on a new connection": {false, 0, false, testRequest[:20], testRequest[20:]},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var l *testListener
			l, startDrain := serve(t, newServer(tt.idleTimeout, func(http.ResponseWriter, *http.Request) {
				if tt.delayed {
					l.gate.Lock()
				}
			}))
			c := dial(t, l)
			<-l.accepted
			if tt.kept {
				c.call(t)
			}
			read := l.bytesRead.Load()
			require.NoError(t, c.send(tt.before))
			require.Eventually(t, func() bool {
				return l.atGate.Load() == 1 || l.bytesRead.Load() == read+int64(len(tt.before))
			}, 5*time.Second, time.Millisecond)
			startDrain()
			<-l.closed
			// The drain passes over the connections several times.
			time.Sleep(5 * passInterval)
			if tt.delayed {
				tt.delayed = false
				l.gate.Unlock()
			}
			require.NoError(t, c.send(tt.after))
			resp, err := c.receive()
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, resp.StatusCode)
			assert.True(t, resp.Close)
		})
	}
}

// Guards against a stop that closes its listener while requests wait on connections that it has not
// accepted: the kernel resets them.
func TestDrainServesRequestsInTheAcceptQueue(t *testing.T) {
	const callers = 20
	s := newServer(time.Minute, func(http.ResponseWriter, *http.Request) {})
	l := listen(t)
	l.acceptGate.Lock()
	startDrain := serveOn(t, s, l)
	clients := make([]*testClient, callers)
	for i := range clients {
		clients[i] = dial(t, l)
		require.NoError(t, clients[i].send(testRequest))
	}
	startDrain()
	require.Eventually(t, s.draining.Load, 5*time.Second, time.Millisecond)
	// The drain passes over the listeners.
	time.Sleep(5 * passInterval)
	l.acceptGate.Unlock()
	for _, c := range clients {
		resp, err := c.receive()
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
	}
	<-l.closed
}

// Guards against a stop that loses requests that have been read. The callers send on idle
// connections at the moment at which these are closed.
func TestDrainBesideRequests(t *testing.T) {
	const (
		callers = 300
		// spread is the time around the start of the drain in which the requests are sent.
		spread = 6 * time.Millisecond
	)
	l, startDrain := serve(t, newServer(0, func(http.ResponseWriter, *http.Request) {}))
	clients := make([]*testClient, callers)
	for i := range clients {
		clients[i] = dial(t, l)
		clients[i].call(t)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	var answered atomic.Int64
	for _, c := range clients {
		pause := time.Duration(random.Int64N(int64(spread)))
		wg.Go(func() {
			time.Sleep(pause)
			if c.send(testRequest) != nil {
				return
			}
			if _, err := c.receive(); err == nil {
				answered.Add(1)
			}
		})
	}
	time.Sleep(spread / 2)
	startDrain()
	wg.Wait()
	t.Logf("%d requests sent, %d answered, %d connections closed with unread data", callers, answered.Load(), l.unread.Load())
	assert.Equal(t, (callers+answered.Load())*int64(len(testRequest)), l.bytesRead.Load(), "bytes of answered requests, bytes read")
}

// Guards against a connection that is closed because its idle timeout has passed although its
// next request has arrived, as after a pause of the process.
func TestIdleTimeoutSparesRequestThatHasArrived(t *testing.T) {
	const idleTimeout = 200 * time.Millisecond
	var l *testListener
	s := newServer(0, func(http.ResponseWriter, *http.Request) {
		if l.bytesRead.Load() == int64(len(testRequest)) {
			l.gate.Lock()
		}
	})
	s.http.IdleTimeout = idleTimeout
	l, startDrain := serve(t, s)
	c := dial(t, l)
	c.call(t)
	require.NoError(t, c.send(testRequest))
	require.Eventually(t, func() bool { return l.atGate.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(idleTimeout + 10*time.Millisecond)
	l.gate.Unlock()
	resp, err := c.receive()
	startDrain()
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
}

// Connections without a request end soon after the start of a drain, and at once if it has no
// time left.
func TestDrainClosesIdleConnections(t *testing.T) {
	tests := map[string]struct {
		idleTimeout time.Duration
		// timeout is the time for the first drain.
		timeout time.Duration
	}{
		"in time": {defaultIdleTimeout, time.Minute},
		"late":    {time.Minute, closeMargin},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newServer(tt.idleTimeout, func(http.ResponseWriter, *http.Request) {})
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { assert.ErrorIs(t, s.Serve(l), http.ErrServerClosed) }()
			fresh, kept := dial(t, l), dial(t, l)
			kept.call(t)
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
			defer cancel()
			if s.Drain(ctx) != nil {
				require.NoError(t, s.Drain(t.Context()))
			}
			assert.Less(t, time.Since(start), 10*time.Second)
			for _, c := range []*testClient{fresh, kept} {
				_, err := c.receive()
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			}
			assert.Equal(t, Counts{Closed: 2}, s.Counts())
			require.NoError(t, s.Close())
		})
	}
}
