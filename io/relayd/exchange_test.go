package relayd

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/io/conns"
)

// TestBreakOff ends the attempt that is in progress and no other.
func TestAbortAttempt(t *testing.T) {
	t.Parallel()
	near, far := net.Pipe()
	defer func() { require.NoError(t, far.Close()) }()
	x := &exchange{}
	x.abortAttempt(1)
	x.setConn(&conns.Conn{Conn: near}, 2)
	x.abortAttempt(1)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	_, err := far.Write([]byte{1})
	require.NoError(t, err)
	require.NoError(t, <-read, "an earlier attempt's end is none of this one's")
	x.abortAttempt(2)
	_, err = near.Read(make([]byte, 1))
	require.Error(t, err)
	require.True(t, x.clearConn())
	x.abortAttempt(2)
	x.setConn(nil, 3)
	require.False(t, x.clearConn())
}
