// Package conns pools connections to endpoints for HTTP/1.1. A connection carries one
// request at a time. It is only reused if it certainly holds no data of an earlier
// exchange, and never retries a request by itself.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Errors that callers test with errors.Is.
var (
	// ErrUnreachable reports that no connection could be opened, so that nothing was
	// sent.
	ErrUnreachable = errors.New("endpoint unreachable")
	// ErrStale reports that a pooled connection had been closed by the endpoint
	// before it was used.
	ErrStale = errors.New("pooled connection closed by the endpoint")
	// ErrHeadTooLong reports that the head of an answer exceeds MaxHeadBytes or maxHeadLines.
	ErrHeadTooLong = errors.New("head of the answer too long")
	// ErrBadStatus reports that the status of an answer is none of HTTP, or 101, which nothing asks for.
	ErrBadStatus = errors.New("answer with an invalid status")
)

const (
	// dialTimeout bounds opening a connection. TCP retransmits a lost SYN only after
	// a second, so that dialing again is faster than waiting.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout applies to connections whose endpoint announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how long before the timeout announced by the endpoint a
	// connection is no longer used.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdlePerAddr bounds the idle connections per address.
	maxIdlePerAddr = 32
	// maxHeadLines bounds the lines of a head in the same way as MaxHeadBytes. A line of a few bytes
	// takes many times its size in memory.
	maxHeadLines = 256
	// headReadBytes bounds each read while a head is read.
	headReadBytes = 2 << 10
	// maxInterimAnswers bounds the interim answers (1xx) to a request.
	maxInterimAnswers = 16
	readBufferBytes   = 8 << 10
)

// MaxHeadBytes bounds the status line and headers of an answer, including those of the
// interim answers before it. Up to headReadBytes more may be read.
const MaxHeadBytes = 64 << 10

// MaxCallHeadBytes bounds the head of an answer to a process's own calls (http.Transport.MaxResponseHeaderBytes).
// It is lower than MaxHeadBytes as the transport doesn't bound the lines.
const MaxCallHeadBytes = 16 << 10

// NoIdleLimit is a maxIdle for Get that leaves the limit to the idle timeout of each
// connection.
const NoIdleLimit = time.Hour

// keepAlive detects within about 2.5 s that the host of an idle connection, or the network path to it,
// has failed. A connection in use is not probed: its endpoint may work on the request while its host is
// silent, and users of the pool have evidence or a deadline for that.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: 500 * time.Millisecond,
	Count:    3,
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[netip.AddrPort][]*Conn)}
}

// Conn is a connection that carries one request at a time. Requests are written to
// the embedded net.Conn; answers must be read with Read, which buffers.
type Conn struct {
	net.Conn
	r *bufio.Reader
	// limit bounds what r reads from the connection.
	limit *headLimit
	addr  netip.AddrPort
	// reused reports whether an earlier request has used the connection.
	reused bool
	// idleSince is when the last answer ended, and expiresAt when the connection may
	// no longer be reused.
	idleSince, expiresAt time.Time
}

// Reused reports whether an earlier request has used the connection.
func (c *Conn) Reused() bool { return c.reused }

// Abort closes the connection of a canceled request. It resets the connection, so
// that a request that is delayed in the network is dropped and not delivered later.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// On failure Close still closes the connection, but without a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ResetOnClose makes Close reset a connection. It does nothing to a connection that is not one of the
// operating system.
func ResetOnClose(conn net.Conn) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// On failure Close still closes the connection, but without a reset.
	_ = rc.Control(func(fd uintptr) {
		_ = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
}

// Get returns a pooled connection that is still open and has been idle for at most
// maxIdle, or else opens a new one. Errors wrap ErrUnreachable.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.popIdle(addr, time.Now().Add(-maxIdle))
		if c == nil {
			return dial(ctx, addr)
		}
		if time.Now().Before(c.expiresAt) && c.reusable() && c.probe(false) == nil {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or returns nil
// if that connection has been idle since before the given time.
func (p *Pool) popIdle(addr netip.AddrPort, since time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 || list[len(list)-1].idleSince.Before(since) {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// dial opens a connection. Errors wrap ErrUnreachable.
func dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", addr, ErrUnreachable, err)
	}
	limit := &headLimit{conn: raw}
	c := &Conn{Conn: raw, r: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, addr: addr}
	if err := c.probe(false); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("connect to %s: %w: %w", addr, ErrUnreachable, err)
	}
	return c, nil
}

// probe sets whether the kernel probes the connection.
func (c *Conn) probe(on bool) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAlive(on); err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	return nil
}

// headLimit reads from a connection. While a head is read, it fails with ErrHeadTooLong after
// MaxHeadBytes or maxHeadLines.
type headLimit struct {
	conn net.Conn
	// inHead reports whether a head is read, bytesLeft and linesLeft what it may still have.
	inHead               bool
	bytesLeft, linesLeft int
	// err is the error of the last read, if it failed.
	err error
}

// start begins a head.
func (l *headLimit) start() {
	l.inHead, l.bytesLeft, l.linesLeft = true, MaxHeadBytes, maxHeadLines
}

// exceeded reports whether the head is too long.
func (l *headLimit) exceeded() bool { return l.inHead && (l.bytesLeft <= 0 || l.linesLeft <= 0) }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.exceeded() {
		l.err = ErrHeadTooLong
		return 0, l.err
	}
	if l.inHead {
		p = p[:min(len(p), headReadBytes)]
	}
	n, err := l.conn.Read(p)
	if l.inHead {
		l.bytesLeft -= n
		l.linesLeft -= bytes.Count(p[:n], []byte("\n"))
	}
	l.err = err
	return n, err
}

// ClosedByPeer reports whether the last read has found the connection closed or reset by the endpoint. The
// parsers of HTTP take a line without its end for a malformed one.
func (c *Conn) ClosedByPeer() bool {
	return errors.Is(c.limit.err, io.EOF) || errors.Is(c.limit.err, syscall.ECONNRESET)
}

// reusable reports whether an idle connection is open and has no data to read. Data
// that arrives while no request is in flight belongs to no request.
func (c *Conn) reusable() bool {
	return c.r.Buffered() == 0 && Peek(c.Conn) == Idle
}

// ReadState is the state of the receiving side of a connection.
type ReadState uint8

// States of the receiving side of a connection.
const (
	// Idle means that the connection is open and has no data to read, or that its
	// state is not available.
	Idle ReadState = iota
	// Readable means that there is data to read.
	Readable
	// Closed means that the peer has closed or reset the connection.
	Closed
)

// Peek returns the state of the receiving side of a connection without blocking. It
// consumes no data and may be called concurrently with Read.
func Peek(conn net.Conn) ReadState {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Idle
	}
	rc, err := raw.SyscallConn()
	switch {
	case errors.Is(err, errors.ErrUnsupported):
		return Idle
	case err != nil:
		return Closed
	}
	state := Idle
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
		case err != nil || n == 0:
			state = Closed
		default:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// IdleTimeout is how long a connection may stay idle before it is reused. With the
// zero value it must not be reused.
type IdleTimeout struct {
	duration time.Duration
}

// IdleTimeoutOf returns the idle timeout that the header of an answer allows for its
// connection.
func IdleTimeoutOf(resp *http.Response) IdleTimeout {
	if resp.Close {
		return IdleTimeout{}
	}
	if timeout, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		return IdleTimeout{max(timeout-idleTimeoutMargin, 0)}
	}
	return IdleTimeout{defaultIdleTimeout}
}

// Put returns a connection to the pool after its answer has been read completely. It
// closes the connection if timeout is zero, if unread data is buffered, or if the
// pool is full for the address.
func (p *Pool) Put(c *Conn, timeout IdleTimeout) {
	if timeout.duration <= 0 || c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || c.probe(true) != nil {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	c.expiresAt = c.idleSince.Add(timeout.duration)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerAddr {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Prune closes the idle connections whose idle timeout has expired.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		rest := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				rest = append(rest, c)
				continue
			}
			_ = c.Close()
		}
		if len(rest) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = rest
	}
}

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// IsFinalStatus reports whether a status is one of a final answer.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// Read reads the status and header of the answer to a request with the given method;
// the body is left unread. It skips interim answers (1xx). The error wraps
// ErrHeadTooLong if there is no end of the head or of the interim answers, and ErrBadStatus if the status is
// invalid. It has this name to
// hide the Read of the embedded net.Conn, which would bypass the buffer.
func (c *Conn) Read(method string) (*http.Response, error) {
	c.limit.start()
	defer func() { c.limit.inHead = false }()
	for range maxInterimAnswers + 1 {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if errors.Is(c.limit.err, ErrHeadTooLong) {
			// The parser reports the last line, which is cut off, as malformed.
			err = ErrHeadTooLong
		}
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", c.addr, err)
		}
		switch {
		case IsFinalStatus(resp.StatusCode):
			return resp, nil
		case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("read answer of %s: status %d: %w", c.addr, resp.StatusCode, ErrBadStatus)
		}
	}
	return nil, fmt.Errorf("read answer of %s: more than %d interim answers: %w", c.addr, maxInterimAnswers, ErrHeadTooLong)
}

// DiscardBody reads and discards the body of an answer. It fails if the body has
// limit bytes or more.
func DiscardBody(resp *http.Response, limit int64) error {
	n, err := io.CopyN(io.Discard, resp.Body, limit)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("discard body: %w", err)
	}
	return fmt.Errorf("discard body: %d bytes or more", n)
}
