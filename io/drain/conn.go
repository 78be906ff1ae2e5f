package drain

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"chervilreach/io/conns"
)

// resumeTimeout bounds the time from the first bytes of a request to the end of its header, or
// until net/http sets its own deadline for the header.
const resumeTimeout = 5 * time.Second

// conn is a server's connection whose wait for a request can be ended. Neither this nor the
// idle timeout closes the connection if a request has arrived.
type conn struct {
	net.Conn

	mu sync.Mutex
	// waiting reports whether no byte of the next request has been read. idleSince is when the
	// wait began.
	waiting   bool
	idleSince time.Time
	// interrupted reports whether endWait has set the read deadline of this wait.
	interrupted bool
	// closed and kept report how an interrupted wait ended, unread whether bytes had arrived on the
	// closed connection.
	closed, kept, unread bool
}

// startWait notes that the connection waits for its next request.
func (c *conn) startWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.interrupted, c.idleSince = true, false, time.Now()
}

// endWait ends the wait for the next request if it began at the given time or earlier. The
// goroutine that reads from the connection closes it then, unless a request has arrived.
// net/http may replace the read deadline just after the wait has begun, so that endWait must
// be repeated.
func (c *conn) endWait(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.idleSince.After(since) {
		return
	}
	c.interrupted = true
	// It fails only for a closed connection, whose wait ends anyway.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// requestRead notes that the header of a request has been read.
func (c *conn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.interrupted {
		c.resume(time.Time{})
	}
	c.waiting = false
}

// resume ends a wait whose deadline has passed or been replaced by endWait, because a request
// has arrived.
func (c *conn) resume(deadline time.Time) {
	c.kept = c.interrupted
	c.interrupted = false
	// It fails only for a closed connection, whose next read fails too.
	_ = c.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.mustRepeat(n, err) {
		return c.Conn.Read(p)
	}
	return n, err
}

// mustRepeat updates the state of the connection after a read. It reports whether the read has
// met its deadline although a request has arrived, as in a process that was paused.
func (c *conn) mustRepeat(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return false
	}
	expired := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	arrived := n > 0 || expired && conns.Peek(c.Conn) == conns.Readable
	if !arrived {
		c.closed = expired && c.interrupted
		return false
	}
	if expired || c.interrupted {
		c.resume(time.Now().Add(resumeTimeout))
	}
	c.waiting = false
	return expired
}

// addTo adds the connection to the counts. The connection must have ended.
func (c *conn) addTo(n *Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		n.Closed++
	}
	if c.kept {
		n.Kept++
	}
	if c.unread {
		n.Unread++
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed && conns.Peek(c.Conn) == conns.Readable {
		c.unread = true
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, as net/http does before it closes a connection with
// unread bytes.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return fmt.Errorf("close sending side: %w", errors.ErrUnsupported)
	}
	return half.CloseWrite()
}

// SyscallConn implements syscall.Conn. Its error wraps errors.ErrUnsupported if the connection
// is not one of the operating system.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("get raw connection: %w", errors.ErrUnsupported)
	}
	return raw.SyscallConn()
}
