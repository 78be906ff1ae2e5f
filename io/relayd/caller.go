package relayd

import (
	"context"
	"fmt"
	"net"
	"time"

	"chervilreach/io/conns"
)

// writeTime is the longest time that a caller may take to read a part of the
// answer.
const writeTime = 10 * time.Second

// callerLeft says whether the caller has closed its connection. The context
// tells so later than the connection when this process was held up.
func (x *exchange) callerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && conns.Peek(conn) == conns.Closed
}

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

// WithConn is to be the ConnContext of the server for callers.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerWriter writes to the caller. Its errors wrap errAbandoned.
type callerWriter struct {
	x *exchange
}

// Write implements io.Writer. The caller has writeTime to take the bytes.
func (c callerWriter) Write(p []byte) (int, error) {
	if err := c.x.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return 0, fmt.Errorf("bound write: %w: %w", errAbandoned, err)
	}
	n, err := c.x.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("write to caller: %w: %w", errAbandoned, err)
	}
	return n, nil
}
