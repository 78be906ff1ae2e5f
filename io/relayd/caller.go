package relayd

import (
	"context"
	"fmt"
	"net"
	"time"

	"chervilreach/io/conns"
)

// callerWriteTimeout bounds one write of a part of the answer to the caller.
const callerWriteTimeout = 10 * time.Second

// callerGone reports whether the caller has closed its connection. It also checks the
// connection itself, because after a pause of this process the context is canceled later.
func (x *exchange) callerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && conns.Peek(conn) == conns.Closed
}

// callerConnected reports whether the caller's connection is open, whatever the context of the
// request says. It returns false if the connection is not known.
func (x *exchange) callerConnected() bool {
	conn, ok := x.r.Context().Value(connKey{}).(net.Conn)
	return ok && conns.Peek(conn) != conns.Closed
}

// connKey is the context key of the caller's connection.
type connKey struct{}

// WithConn returns a context that carries the caller's connection. It must be used as the
// ConnContext of the http.Server that serves the daemon.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// extendWriteDeadline gives the caller callerWriteTimeout from now to accept what is written next.
// The deadline stays in force, so that it must be extended again before net/http writes the end of
// an answer, maybe long after the last write. Errors wrap errCallerGone.
func (x *exchange) extendWriteDeadline() error {
	if err := x.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return fmt.Errorf("set deadline for write to caller: %w: %w", errCallerGone, err)
	}
	return nil
}

// callerWriter writes to the caller with a deadline. Its errors wrap errCallerGone.
type callerWriter struct {
	x *exchange
}

// Write implements io.Writer. It fails if the caller does not accept the bytes within
// callerWriteTimeout.
func (c callerWriter) Write(p []byte) (int, error) {
	if err := c.x.extendWriteDeadline(); err != nil {
		return 0, err
	}
	c.x.setWriting(true)
	defer c.x.setWriting(false)
	n, err := c.x.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("write to caller: %w: %w", errCallerGone, err)
	}
	return n, nil
}
