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

// slowToClose is a connection that takes its time to close, as those of a host that
// is short of processor time do.
type slowToClose struct{ net.Conn }

func (c slowToClose) Close() error {
	time.Sleep(200 * time.Millisecond)
	return c.Conn.Close()
}

// TestCloseWithoutSpinning: goroutines that read from streams wait while their
// connection closes. Each turn of a loop with a deadline allocates a timer.
func TestCloseWithoutSpinning(t *testing.T) {
	near, far := net.Pipe()
	server, err := yamux.Server(far, sessionConfig())
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	session, err := yamux.Client(newCork(slowToClose{near}), sessionConfig())
	require.NoError(t, err)
	c := newConn(NewPeer(plainSelf{}, &event.Clock{}, greeter{}), session)
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
