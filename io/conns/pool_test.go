package conns

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listen returns a listener on loopback and its address.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// pair returns both ends of a new connection.
func pair(t *testing.T, p *Pool) (*Conn, net.Conn) {
	t.Helper()
	l, addr := listen(t)
	c, err := p.Get(t.Context(), addr, AnyIdle)
	require.NoError(t, err)
	other, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	return c, other
}

// A request that a partition holds up must not be delivered after its caller has
// left: the bench showed requests that reached an endpoint 6 s later.
func TestAbortResets(t *testing.T) {
	c, other := pair(t, NewPool())
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	c.Abort()
	require.NoError(t, other.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(other)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestPeek(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(other net.Conn)
		want State
	}{
		"open":   {func(net.Conn) {}, Quiet},
		"bytes":  {func(other net.Conn) { _, _ = io.WriteString(other, "x") }, Pending},
		"closed": {func(other net.Conn) { _ = other.Close() }, Ended},
	} {
		t.Run(name, func(t *testing.T) {
			conn, other := pair(t, NewPool())
			c.act(other)
			assert.Eventually(t, func() bool { return Peek(conn.Conn) == c.want }, 5*time.Second, time.Millisecond)
		})
	}
}

func TestEndedConnectionIsNotGivenOut(t *testing.T) {
	p := NewPool()
	c, other := pair(t, p)
	go func() { _, _ = io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }()
	resp, err := c.Read("GET")
	require.NoError(t, err)
	p.Put(c, KeepAfter(resp))
	require.NoError(t, resp.Body.Close())
	require.Len(t, p.idle[c.addr], 1)
	require.NoError(t, other.Close())
	assert.Eventually(t, func() bool { return Peek(c.Conn) == Ended }, 5*time.Second, time.Millisecond)
	again, err := p.Get(t.Context(), c.addr, AnyIdle)
	if err == nil {
		assert.NotSame(t, c, again)
	}
}

func TestUnreachable(t *testing.T) {
	l, addr := listen(t)
	require.NoError(t, l.Close())
	_, err := NewPool().Get(t.Context(), addr, AnyIdle)
	assert.ErrorIs(t, err, ErrUnreachable)
}

// A connection that was dropped without notice looks open until it is used.
func TestIdleConnectionIsNotUsedForOnce(t *testing.T) {
	p := NewPool()
	l, addr := listen(t)
	c, err := p.Get(t.Context(), addr, AnyIdle)
	require.NoError(t, err)
	p.Put(c, Keep{time.Minute})
	c.usedAt = time.Now().Add(-time.Second)
	fresh, err := p.Get(t.Context(), addr, 500*time.Millisecond)
	require.NoError(t, err)
	assert.NotSame(t, c, fresh)
	again, err := p.Get(t.Context(), addr, 2*time.Second)
	require.NoError(t, err)
	assert.Same(t, c, again)
	require.NoError(t, l.Close())
}
