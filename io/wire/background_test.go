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

type plainSelf struct{}

func (plainSelf) Hello() *wirepb.Hello { return &wirepb.Hello{} }
func (plainSelf) Revision() int64      { return 0 }

// greeter answers hellos and keeps all streams.
type greeter struct{}

func (greeter) Serve(_ context.Context, _ *Conn, s *Stream, first *wirepb.Frame) {
	if first.GetHello() != nil {
		_ = s.Send(&wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: &wirepb.Hello{}}})
	}
}

// A stream that stays open for reports must not have its connection pinged ten
// times a second.
func TestBackgroundStreamLeavesConnectionIdle(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := NewPeer(plainSelf{}, &event.Clock{}, greeter{})
	go func() { _ = p.Listen(t.Context(), l) }()
	c, err := p.Dial(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	assert.Equal(t, pingIdle, c.pause())
	s, err := c.Open()
	require.NoError(t, err)
	assert.Equal(t, pingBusy, c.pause())
	s.Background()
	assert.Equal(t, pingIdle, c.pause())
	other, err := c.Open()
	require.NoError(t, err)
	assert.Equal(t, pingBusy, c.pause())
	require.NoError(t, s.Close())
	require.NoError(t, other.Close())
	assert.Equal(t, pingIdle, c.pause())
}
