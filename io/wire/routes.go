package wire

import (
	"github.com/samber/lo"

	"chervilreach/core/delta"
	"chervilreach/io/wire/wirepb"
)

// EncodeDeltas returns the messages for deltas of the routes.
func EncodeDeltas(list []delta.Delta) []*wirepb.RoutesDelta {
	return lo.Map(list, func(d delta.Delta, _ int) *wirepb.RoutesDelta {
		return &wirepb.RoutesDelta{
			From: d.From, To: d.To, Sum: d.Sum,
			Edits: lo.Map(d.Edits, func(e delta.Edit, _ int) *wirepb.RoutesEdit {
				return &wirepb.RoutesEdit{Offset: int64(e.Offset), Length: int64(e.Length), Insert: e.Insert}
			}),
		}
	})
}

// DecodeDeltas returns the deltas in messages.
func DecodeDeltas(list []*wirepb.RoutesDelta) []delta.Delta {
	return lo.Map(list, func(m *wirepb.RoutesDelta, _ int) delta.Delta {
		return delta.Delta{
			From: m.GetFrom(), To: m.GetTo(), Sum: m.GetSum(),
			Edits: lo.Map(m.GetEdits(), func(e *wirepb.RoutesEdit, _ int) delta.Edit {
				return delta.Edit{Offset: int(e.GetOffset()), Length: int(e.GetLength()), Insert: e.GetInsert()}
			}),
		}
	})
}
