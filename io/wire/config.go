package wire

import (
	"context"
	"fmt"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/io/wire/wirepb"
)

// ConfigPeer requests newer configuration from the process at the other end of a connection.
// It implements accept.Peer.
type ConfigPeer struct {
	Conn *Conn
}

// AwaitDelta returns the changes to the accepted configuration after revision from. It blocks
// until the other process responds, which may hold the request until there is a newer
// revision, or until the deadline of the context. Cancellation of the context is not noticed
// earlier.
func (p ConfigPeer) AwaitDelta(ctx context.Context, from fleet.Revision) (record.Delta, error) {
	s, err := p.Conn.Open()
	if err != nil {
		return record.Delta{}, err
	}
	defer func() { _ = s.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := s.SetDeadline(deadline); err != nil {
			return record.Delta{}, err
		}
	}
	ask := &wirepb.ConfigAsk{Revision: int64(from)}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_ConfigAsk{ConfigAsk: ask}}); err != nil {
		return record.Delta{}, err
	}
	f, err := s.Recv()
	if err != nil {
		return record.Delta{}, err
	}
	if f.GetConfig() == nil {
		return record.Delta{}, fmt.Errorf("request newer configuration: %w", ErrUnexpectedFrame)
	}
	return record.DecodeDelta(f.GetConfig().GetDelta())
}

// ConfigSource provides the configuration that ServeConfig sends.
type ConfigSource interface {
	// AwaitDelta returns the changes to the accepted configuration after revision from. It may
	// block until there are any or the context ends.
	AwaitDelta(ctx context.Context, from fleet.Revision) (record.Delta, error)
}

// ServeConfig sends the response to one configuration request on the request's stream. The
// context bounds the time that the request is held while there is no newer revision.
func ServeConfig(ctx context.Context, s *Stream, src ConfigSource, ask *wirepb.ConfigAsk) error {
	delta, err := src.AwaitDelta(ctx, fleet.Revision(ask.GetRevision()))
	if err != nil {
		return fmt.Errorf("read newer configuration: %w", err)
	}
	raw, err := delta.Encode()
	if err != nil {
		return fmt.Errorf("encode newer configuration: %w", err)
	}
	return s.Send(&wirepb.Frame{Body: &wirepb.Frame_Config{Config: &wirepb.Config{Delta: raw}}})
}
