package wire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxCorkedBytes is the number of pending bytes from which on Write blocks.
const maxCorkedBytes = 256 << 10

// cork is a net.Conn that combines small writes, like the socket option TCP_CORK: data that is
// written while a write to the underlying connection is in progress is sent together in the next
// one. It is needed because yamux writes the header and the body of each frame separately.
type cork struct {
	net.Conn
	mu sync.Mutex
	// notFull is signalled after each write to the underlying connection and by Close.
	notFull sync.Cond
	// pending is the data that is not written yet, and spare a buffer for reuse.
	pending []byte
	spare   []byte
	// err is the error that further writes return: that of a failed write, or net.ErrClosed.
	err error
	// ready signals that pending is not empty.
	ready     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// readAt is the time of the last read that returned data.
	readAt atomic.Pointer[time.Time]
}

// newCork returns a cork for conn and starts its writer, which runs until the connection fails
// or Close is called.
func newCork(conn net.Conn) *cork {
	c := &cork{Conn: conn, ready: make(chan struct{}, 1), closed: make(chan struct{})}
	c.notFull.L = &c.mu
	go c.run()
	return c
}

// Read implements net.Conn.
func (c *cork) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.readAt.Store(&now)
	}
	return n, err
}

// lastReadAt returns the time of the last read that returned data; zero if there was none.
func (c *cork) lastReadAt() time.Time {
	if at := c.readAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Write implements net.Conn. It queues p and blocks only while maxCorkedBytes or more are
// pending. Its error may be that of an earlier write.
func (c *cork) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.pending) >= maxCorkedBytes {
		c.notFull.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, p...)
	select {
	case c.ready <- struct{}{}:
	default:
	}
	return len(p), nil
}

// run writes pending data until the connection fails or is closed.
func (c *cork) run() {
	for {
		select {
		case <-c.closed:
			return
		case <-c.ready:
		}
		c.mu.Lock()
		batch := c.pending
		c.pending = c.spare[:0]
		c.mu.Unlock()
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		c.spare = batch
		c.err = err
		c.notFull.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Close implements net.Conn. Pending data is dropped.
func (c *cork) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.notFull.Broadcast()
	return err
}
