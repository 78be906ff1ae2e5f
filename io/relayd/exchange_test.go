package relayd

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/core/relay"
	"chervilreach/io/conns"
)

// abortAttempt must close the connection of the given attempt only, as the command may arrive
// when the next attempt is already in progress.
func TestAbortAttempt(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	defer func() { require.NoError(t, remote.Close()) }()
	x := &exchange{}
	x.abortAttempt(relay.AbortAttempt{Try: 1})
	x.setConn(&conns.Conn{Conn: local}, 2)
	x.abortAttempt(relay.AbortAttempt{Try: 1})
	readErr := make(chan error, 1)
	go func() {
		_, err := local.Read(make([]byte, 1))
		readErr <- err
	}()
	_, err := remote.Write([]byte{1})
	require.NoError(t, err)
	require.NoError(t, <-readErr, "aborting an earlier attempt does not end this one")
	x.abortAttempt(relay.AbortAttempt{Try: 2})
	_, err = local.Read(make([]byte, 1))
	require.Error(t, err)
	require.True(t, x.clearConn())
	x.abortAttempt(relay.AbortAttempt{Try: 2})
	x.setConn(nil, 3)
	require.False(t, x.clearConn())
}

// Guards against a connection that is used again though the body of its last answer was not read to
// the end: the rest would be read as the next answer.
func TestConnectionWithUnreadBodyIsNotKept(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		body string
		kept bool
	}{"whole": {"whole", true}, "half": {"ha", false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, l.Close()) }()
			conn, err := conns.NewPool().Get(t.Context(), netip.MustParseAddrPort(l.Addr().String()), conns.NoIdleLimit)
			require.NoError(t, err)
			defer conn.Abort()
			peer, err := l.Accept()
			require.NoError(t, err)
			defer func() { require.NoError(t, peer.Close()) }()
			_, err = fmt.Fprintf(peer, "HTTP/1.1 503 X\r\nContent-Length: 5\r\n\r\n%s", c.body)
			require.NoError(t, err)
			resp, err := conn.Read(http.MethodPost)
			require.NoError(t, err)
			keep, err := keepAfterDiscard(conn, resp, conns.IdleTimeoutOf(resp))
			require.Equal(t, c.kept, err == nil)
			require.Equal(t, c.kept, keep != conns.IdleTimeout{})
		})
	}
}
