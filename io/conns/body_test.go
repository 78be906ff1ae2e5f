package conns

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadBounded(t *testing.T) {
	const limit = 300_000
	readers := map[string]func(io.Reader) io.Reader{
		"plain":              func(r io.Reader) io.Reader { return r },
		"one byte at a time": iotest.OneByteReader,
		"end with the data":  iotest.DataErrReader,
	}
	for name, wrap := range readers {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{0, 1, firstPieceBytes - 1, firstPieceBytes, firstPieceBytes + 1, maxPieceBytes * 3, limit} {
				want := bytes.Repeat([]byte("abc"), size/3+1)[:size]
				got, err := ReadBounded(wrap(bytes.NewReader(want)), limit)
				require.NoError(t, err, size)
				require.True(t, bytes.Equal(want, got), size)
			}
			_, err := ReadBounded(wrap(bytes.NewReader(make([]byte, limit+1))), limit)
			assert.ErrorIs(t, err, ErrBodyTooLong)
		})
	}
}

// TestReadBoundedOfBodyThatIsCut checks that a body that is cut does not pass for a whole one.
func TestReadBoundedOfBodyThatIsCut(t *testing.T) {
	r := io.MultiReader(bytes.NewReader(make([]byte, 1000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := ReadBounded(r, 1<<20)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
