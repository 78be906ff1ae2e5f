package engine_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/conns"
	"chervilreach/io/engine"
)

// Guards against an answer whose status is none of HTTP that counts as a success, or is passed on.
func TestStatusThatIsNoneIsALostAnswer(t *testing.T) {
	for _, status := range []string{"000", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			text := "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}"
			e := &cutEngine{l: l, cuts: make(chan int, 2), runs: make(chan struct{}, 2), text: text}
			go e.serve()
			c := engine.New(netip.MustParseAddrPort(l.Addr().String()))
			defer c.Close()
			e.cuts <- len(text)
			_, err = c.State(t.Context())
			require.Error(t, err)
			e.cuts <- len(text)
			s, err := c.CallService(t.Context(), engine.Request{ID: "a", Method: "GET", Path: "/x"})
			if err == nil {
				defer s.Close()
				_, err = s.Next()
			}
			require.ErrorIs(t, err, conns.ErrBadStatus)
			assert.ErrorIs(t, err, engine.ErrResponseLost)
		})
	}
}
