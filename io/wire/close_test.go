package wire

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
)

// slowCloseConn is a connection whose Close takes 200 ms, as can happen on a host that is short
// of processor time.
type slowCloseConn struct{ net.Conn }

func (c slowCloseConn) Close() error {
	time.Sleep(200 * time.Millisecond)
	return c.Conn.Close()
}

// TestCloseWithoutSpinning checks that a goroutine that reads from a stream blocks while the
// connection is being closed, and does not retry in a busy loop. A loop would show in the number
// of allocations, because each read with a deadline allocates a timer.
func TestCloseWithoutSpinning(t *testing.T) {
	near, far := net.Pipe()
	server, err := yamux.Server(far, sessionConfig())
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	session, err := yamux.Client(newCork(slowCloseConn{near}), sessionConfig())
	require.NoError(t, err)
	c := newConn(NewTransport(stubSelf{}, &event.Clock{}, helloHandler{}), session)
	s, err := c.Open()
	require.NoError(t, err)
	require.NoError(t, s.SetReadDeadline(time.Now().Add(time.Minute)))
	read := make(chan error, 1)
	go func() {
		_, err := s.Recv()
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.NoError(t, c.Close())
	require.Error(t, <-read)
	runtime.ReadMemStats(&after)
	require.Less(t, after.Mallocs-before.Mallocs, uint64(1000))
}
