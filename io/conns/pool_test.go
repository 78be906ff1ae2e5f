package conns

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listen returns a loopback listener and its address.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// connPair returns both ends of a new connection.
func connPair(t *testing.T, p *Pool) (*Conn, net.Conn) {
	t.Helper()
	l, addr := listen(t)
	c, err := p.Get(t.Context(), addr, NoIdleLimit)
	require.NoError(t, err)
	peer, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return c, peer
}

// A request that a network partition delays must not be delivered after its caller
// has left. In a test bench such requests reached an endpoint 6 s later.
func TestAbortResets(t *testing.T) {
	c, peer := connPair(t, NewPool())
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	c.Abort()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(peer)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestPeek(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(peer net.Conn)
		want ReadState
	}{
		"open":   {func(net.Conn) {}, Idle},
		"data":   {func(peer net.Conn) { _, _ = io.WriteString(peer, "x") }, Readable},
		"closed": {func(peer net.Conn) { _ = peer.Close() }, Closed},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connPair(t, NewPool())
			c.act(peer)
			assert.Eventually(t, func() bool { return Peek(conn.Conn) == c.want }, 5*time.Second, time.Millisecond)
		})
	}
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	p := NewPool()
	c, peer := connPair(t, p)
	go func() { _, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }()
	resp, err := c.Read("GET")
	require.NoError(t, err)
	p.Put(c, IdleTimeoutOf(resp))
	require.NoError(t, resp.Body.Close())
	require.Len(t, p.idle[c.addr], 1)
	require.NoError(t, peer.Close())
	assert.Eventually(t, func() bool { return Peek(c.Conn) == Closed }, 5*time.Second, time.Millisecond)
	again, err := p.Get(t.Context(), c.addr, NoIdleLimit)
	if err == nil {
		assert.NotSame(t, c, again)
	}
}

// Get reports ErrUnreachable when nothing listens at the address.
func TestUnreachable(t *testing.T) {
	l, addr := listen(t)
	require.NoError(t, l.Close())
	_, err := NewPool().Get(t.Context(), addr, NoIdleLimit)
	assert.ErrorIs(t, err, ErrUnreachable)
}

// A connection that was dropped without a FIN or reset looks open until it is used,
// so that callers can limit how long a reused connection has been idle.
func TestGetSkipsLongIdleConnection(t *testing.T) {
	p := NewPool()
	l, addr := listen(t)
	c, err := p.Get(t.Context(), addr, NoIdleLimit)
	require.NoError(t, err)
	p.Put(c, IdleTimeout{time.Minute})
	c.idleSince = time.Now().Add(-time.Second)
	fresh, err := p.Get(t.Context(), addr, 500*time.Millisecond)
	require.NoError(t, err)
	assert.NotSame(t, c, fresh)
	again, err := p.Get(t.Context(), addr, 2*time.Second)
	require.NoError(t, err)
	assert.Same(t, c, again)
	require.NoError(t, l.Close())
}

// Guards against an answer whose head never ends and is held in memory until the request's deadline.
func TestEndlessHead(t *testing.T) {
	for name, more := range map[string]string{
		"line":            "HTTP/1.1 200 " + strings.Repeat("x", 1000),
		"interim answers": "HTTP/1.1 100 Continue\r\n\r\n",
		"long interim":    "HTTP/1.1 100 Continue\r\nA: " + strings.Repeat("x", 10_000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, peer := connPair(t, NewPool())
			written := make(chan int, 1)
			go func() {
				total := 0
				for {
					n, err := io.WriteString(peer, more)
					if total += n; err != nil {
						written <- total
						return
					}
				}
			}()
			require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err := c.Read("GET")
			require.ErrorIs(t, err, ErrHeadTooLong)
			c.Abort()
			<-written
		})
	}
}

// The head of each answer on a connection may have MaxHeadBytes, and a body any length.
func TestLongHeads(t *testing.T) {
	c, peer := connPair(t, NewPool())
	body := strings.Repeat("b", 3*MaxHeadBytes)
	go func() {
		for range 3 {
			_, _ = fmt.Fprintf(peer, "HTTP/1.1 200 OK\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("a", MaxHeadBytes-100), len(body), body)
		}
	}()
	for range 3 {
		resp, err := c.Read("GET")
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, body, string(got))
	}
}

// Guards against an endpoint that ends within an answer and is taken for one that has sent a malformed one,
// so that its end is no evidence of a crash.
func TestClosedByPeerWithinAnswer(t *testing.T) {
	const answer = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: C\r\n\r\n" +
		"A;x=y\r\n0123456789\r\n0\r\nC: d\r\n\r\n"
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			p := NewPool()
			l, addr := listen(t)
			for cut := range len(answer) {
				c, err := p.Get(t.Context(), addr, NoIdleLimit)
				require.NoError(t, err)
				peer, err := l.Accept()
				require.NoError(t, err)
				_, err = io.WriteString(peer, answer[:cut])
				require.NoError(t, err)
				if reset {
					require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
				}
				require.NoError(t, peer.Close())
				resp, err := c.Read("GET")
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				require.Error(t, err, "after %q", answer[:cut])
				require.NotErrorIs(t, err, io.EOF)
				assert.True(t, c.ClosedByPeer(), "after %q: %v", answer[:cut], err)
				require.NoError(t, c.Close())
			}
		})
	}
}

// A malformed answer on an open connection says nothing about its end.
func TestMalformedAnswerIsNotClosedByPeer(t *testing.T) {
	c, peer := connPair(t, NewPool())
	_, err := io.WriteString(peer, "no answer at all\r\n\r\n")
	require.NoError(t, err)
	_, err = c.Read("GET")
	require.Error(t, err)
	assert.False(t, c.ClosedByPeer())
}

// keepsAlive reports whether the kernel probes the connection.
func keepsAlive(t *testing.T, c *Conn) bool {
	t.Helper()
	rc, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var on int
	var optErr error
	require.NoError(t, rc.Control(func(fd uintptr) {
		on, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}))
	require.NoError(t, optErr)
	return on != 0
}

// Guards against probes that end a request after a silence of its endpoint's host of 2.5 s, which may
// work on it. They end idle connections.
func TestProbesEndNoRequest(t *testing.T) {
	p := NewPool()
	c, _ := connPair(t, p)
	assert.False(t, keepsAlive(t, c), "new connection")
	p.Put(c, IdleTimeout{time.Minute})
	assert.True(t, keepsAlive(t, c), "idle connection")
	again, err := p.Get(t.Context(), c.addr, NoIdleLimit)
	require.NoError(t, err)
	require.Same(t, c, again)
	assert.False(t, keepsAlive(t, c), "connection in use again")
}
