package wire

import (
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCorkKeepsOrder checks that data arrives complete and in order when much more is written
// than may be pending.
func TestCorkKeepsOrder(t *testing.T) {
	const count = 4 * maxCorkedBytes / 8
	near, far := net.Pipe()
	c := newCork(near)
	go func() {
		for i := range uint64(count) {
			if _, err := c.Write(binary.BigEndian.AppendUint64(nil, i)); err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 8)
	for i := range uint64(count) {
		_, err := io.ReadFull(far, buf)
		require.NoError(t, err)
		require.Equal(t, i, binary.BigEndian.Uint64(buf))
	}
	require.NoError(t, c.Close())
	_, err := c.Write(buf)
	require.ErrorIs(t, err, net.ErrClosed)
}

// TestCorkReturnsWriteError checks that later writes return the error of a failed write.
func TestCorkReturnsWriteError(t *testing.T) {
	near, far := net.Pipe()
	c := newCork(near)
	require.NoError(t, far.Close())
	var err error
	for err == nil {
		_, err = c.Write(make([]byte, maxCorkedBytes))
	}
	require.ErrorIs(t, err, io.ErrClosedPipe)
	require.NoError(t, c.Close())
}
