package relayd

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilreach/io/conns"
)

// abortAttempt must close the connection of the given attempt only, as the command may arrive
// when the next attempt is already in progress.
func TestAbortAttempt(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	defer func() { require.NoError(t, remote.Close()) }()
	x := &exchange{}
	x.abortAttempt(1)
	x.setConn(&conns.Conn{Conn: local}, 2)
	x.abortAttempt(1)
	readErr := make(chan error, 1)
	go func() {
		_, err := local.Read(make([]byte, 1))
		readErr <- err
	}()
	_, err := remote.Write([]byte{1})
	require.NoError(t, err)
	require.NoError(t, <-readErr, "aborting an earlier attempt does not end this one")
	x.abortAttempt(2)
	_, err = local.Read(make([]byte, 1))
	require.Error(t, err)
	require.True(t, x.clearConn())
	x.abortAttempt(2)
	x.setConn(nil, 3)
	require.False(t, x.clearConn())
}
