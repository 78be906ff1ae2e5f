package relayd

import (
	"context"

	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// selfInfo implements wire.Self. It tells agents which version of the routes the router has.
type selfInfo struct{ d *Daemon }

// Hello implements wire.Self. A router's hello is empty.
func (s selfInfo) Hello() *wirepb.Hello { return &wirepb.Hello{} }

// Revision implements wire.Self. It returns the version of the routes in force; 0 if there
// are none.
func (s selfInfo) Revision() int64 {
	if t := s.d.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// streamRejecter is a wire.Handler that closes every stream at once, as agents open no streams
// to a router.
type streamRejecter struct{}

// Serve implements wire.Handler.
func (streamRejecter) Serve(_ context.Context, _ *wire.Conn, s *wire.Stream, _ *wirepb.Frame) {
	_ = s.Close()
}
