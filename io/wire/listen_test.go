package wire

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/event"
)

// endingListener cancels the context of its server while it accepts a connection. Its Close takes
// 20 ms, as can happen on a host that is short of processor time.
type endingListener struct {
	cancel   context.CancelFunc
	accepted net.Conn
	closed   atomic.Bool
}

// Accept implements net.Listener.
func (l *endingListener) Accept() (net.Conn, error) {
	l.cancel()
	if l.accepted == nil {
		return nil, net.ErrClosed
	}
	return l.accepted, nil
}

// Close implements net.Listener.
func (l *endingListener) Close() error {
	time.Sleep(20 * time.Millisecond)
	l.closed.Store(true)
	return nil
}

// Addr implements net.Listener.
func (l *endingListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestListenClosesBeforeItReturns checks that a transport that has ended holds neither its
// listener, so that the next one can listen on the address, nor a connection that it accepted as
// it ended, on which the other process would wait for an answer.
func TestListenClosesBeforeItReturns(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	require.NoError(t, near.SetReadDeadline(time.Now().Add(time.Second)))
	tests := map[string]struct{ accepted net.Conn }{
		"while waiting":   {},
		"while accepting": {accepted: far},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := &endingListener{cancel: cancel, accepted: c.accepted}
			require.NoError(t, NewTransport(stubSelf{}, &event.Clock{}, helloHandler{}).Listen(ctx, l))
			assert.True(t, l.closed.Load(), "the listener is open")
			if c.accepted != nil {
				_, err := near.Read(make([]byte, 1))
				assert.ErrorIs(t, err, io.EOF, "the connection is open")
			}
		})
	}
}
