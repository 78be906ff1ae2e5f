package wire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"chervilreach/core/delta"
	"chervilreach/core/epoch"
	"chervilreach/io/wire/wirepb"
)

// ErrBadChanges means that changes of the routes can't be decoded.
var ErrBadChanges = errors.New("malformed changes of routes")

// StoreRevision returns the revision of the store at which the version in a message was the newest; zero
// if unknown.
func StoreRevision(m *wirepb.Routes) epoch.Revision {
	return epoch.At(m.GetStoreEra(), m.GetStoreRevision())
}

// UnseenRevision returns the revision of the store at which the sender of a message takes a newer version
// for possible; zero if there is none.
func UnseenRevision(m *wirepb.Routes) epoch.Revision {
	return epoch.At(m.GetUnseenEra(), m.GetUnseenRevision())
}

// EncodeChanges returns the compressed changes that lead to a version of the routes: deltas or, if
// there are none, the document.
func EncodeChanges(list []delta.Delta, document []byte) ([]byte, error) {
	m := &wirepb.RoutesChanges{Deltas: encodeDeltas(list)}
	if len(list) == 0 {
		m.Document = document
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode changes of routes: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress changes of routes: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress changes of routes: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress changes of routes: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeChanges returns the deltas or the document in compressed changes. Errors wrap ErrBadChanges.
func DecodeChanges(data []byte) ([]delta.Delta, []byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, maxFrameBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrBadChanges, err)
	}
	if len(plain) > maxFrameBytes {
		return nil, nil, fmt.Errorf("%w: more than %d bytes", ErrBadChanges, maxFrameBytes)
	}
	var m wirepb.RoutesChanges
	if err := proto.Unmarshal(plain, &m); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrBadChanges, err)
	}
	return decodeDeltas(m.GetDeltas()), m.GetDocument(), nil
}

func encodeDeltas(list []delta.Delta) []*wirepb.RoutesDelta {
	return lo.Map(list, func(d delta.Delta, _ int) *wirepb.RoutesDelta {
		return &wirepb.RoutesDelta{
			From: d.From, To: d.To, Sum: d.Sum,
			Edits: lo.Map(d.Edits, func(e delta.Edit, _ int) *wirepb.RoutesEdit {
				return &wirepb.RoutesEdit{Offset: int64(e.Offset), Length: int64(e.Length), Insert: e.Insert}
			}),
		}
	})
}

func decodeDeltas(list []*wirepb.RoutesDelta) []delta.Delta {
	return lo.Map(list, func(m *wirepb.RoutesDelta, _ int) delta.Delta {
		return delta.Delta{
			From: m.GetFrom(), To: m.GetTo(), Sum: m.GetSum(),
			Edits: lo.Map(m.GetEdits(), func(e *wirepb.RoutesEdit, _ int) delta.Edit {
				return delta.Edit{Offset: int(e.GetOffset()), Length: int(e.GetLength()), Insert: e.GetInsert()}
			}),
		}
	})
}
