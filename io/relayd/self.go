package relayd

import (
	"context"

	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// self tells agents which version of the routes this router has.
type wireSelf struct{ d *Daemon }

// Hello implements wire.Self.
func (s wireSelf) Hello() *wirepb.Hello { return &wirepb.Hello{} }

// Revision implements wire.Self.
func (s wireSelf) Revision() int64 {
	if t := s.d.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// nobody serves no streams: agents open none at a router.
type closeStreams struct{}

// Serve implements wire.Handler.
func (closeStreams) Serve(_ context.Context, _ *wire.Conn, s *wire.Stream, _ *wirepb.Frame) {
	_ = s.Close()
}
