package conns

import (
	"errors"
	"io"
	"slices"
)

// ErrBodyTooLong means that a body exceeds the bound of its reader.
var ErrBodyTooLong = errors.New("body too long")

// The pieces in which ReadBounded reads are of these sizes, in bytes.
const (
	firstPieceBytes = 512
	maxPieceBytes   = 64 << 10
)

// ReadBounded reads a body of up to limit bytes to its end. Errors are those of r, and ErrBodyTooLong.
// Unlike io.ReadAll it keeps no more of a body that is too long than limit and one piece.
func ReadBounded(r io.Reader, limit int) ([]byte, error) {
	var pieces [][]byte
	total, n := 0, 0
	piece := make([]byte, firstPieceBytes)
	for {
		m, err := r.Read(piece[n:])
		n += m
		total += m
		switch {
		case total > limit:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF) && len(pieces) == 0:
			return piece[:n], nil
		case errors.Is(err, io.EOF):
			return slices.Concat(append(pieces, piece[:n])...), nil
		case err != nil:
			return nil, err
		case n == len(piece):
			pieces = append(pieces, piece)
			piece, n = make([]byte, min(2*len(piece), maxPieceBytes)), 0
		}
	}
}
