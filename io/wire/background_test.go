package wire

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
	"chervilreach/io/wire/wirepb"
)

// stubSelf is a Self with an empty hello and revision 0.
type stubSelf struct{}

func (stubSelf) Hello() *wirepb.Hello { return &wirepb.Hello{} }
func (stubSelf) Revision() int64      { return 0 }

// helloHandler responds to hellos and leaves all streams open.
type helloHandler struct{}

func (helloHandler) Serve(_ context.Context, _ *Conn, s *Stream, first *wirepb.Frame) {
	if first.GetHello() != nil {
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: &wirepb.Hello{}}})
	}
}

// TestBackgroundStreamLeavesConnectionIdle guards against pings ten times a second on a
// connection whose only additional stream is a long-lived one for reports.
func TestBackgroundStreamLeavesConnectionIdle(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	transport := NewTransport(stubSelf{}, &event.Clock{}, helloHandler{})
	go func() { _ = transport.Listen(t.Context(), l) }()
	c, err := transport.Dial(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	assert.Equal(t, idlePingInterval, c.pingInterval())
	s, err := c.Open()
	require.NoError(t, err)
	assert.Equal(t, busyPingInterval, c.pingInterval())
	s.SetBackground()
	assert.Equal(t, idlePingInterval, c.pingInterval())
	other, err := c.Open()
	require.NoError(t, err)
	assert.Equal(t, busyPingInterval, c.pingInterval())
	require.NoError(t, s.Close())
	require.NoError(t, other.Close())
	assert.Equal(t, idlePingInterval, c.pingInterval())
}
