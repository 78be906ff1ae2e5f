// Package conns keeps connections to endpoints. Each carries one request at a
// time, is never used for a request after a doubt about what it carries, and
// sends nothing again by itself.
package conns

import (
	"bufio"
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
	// ErrUnreachable says that no connection could be made; nothing was sent.
	ErrUnreachable = errors.New("endpoint can't be reached")
	// ErrStale says that a kept connection had ended before it was used.
	ErrStale = errors.New("kept connection has ended")
)

const (
	// dialTime bounds the making of a connection: a lost packet is sent again
	// after a second, so that a second try by hand is faster.
	dialTime = 500 * time.Millisecond
	// keepTime is how long a connection is kept whose other end names no time.
	keepTime = 4 * time.Second
	// keepMargin is how long before the other end's time a connection is given up.
	keepMargin = 500 * time.Millisecond
	// maxIdle bounds the kept connections to one endpoint.
	maxIdle = 32
	// readBuffer is the buffer for what an endpoint sends, in bytes.
	readBuffer = 8 << 10
)

// AnyIdle lets Get return connections however long they have been idle.
const AnyIdle = time.Hour

// keepAlive finds connections whose other end or path is gone.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: 500 * time.Millisecond,
	Count:    3,
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[netip.AddrPort][]*Conn)}
}

// Conn is a connection that carries one request at a time.
type Conn struct {
	net.Conn
	r    *bufio.Reader
	addr netip.AddrPort
	// kept says that an earlier request used the connection.
	kept bool
	// usedAt is when the last answer ended, until when the connection is given up.
	usedAt, until time.Time
}

// Kept says whether an earlier request used the connection.
func (c *Conn) Kept() bool { return c.kept }

// Abort closes a connection whose request is given up. It resets it, so that a
// request that is held up on the way is lost rather than delivered later.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// The connection is closed in any case; without a reset only later.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Get returns a kept connection that is still good, or a new one. Errors wrap
// ErrUnreachable.
//
// A kept connection that has been idle for longer than maxIdle is not used.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.take(addr, time.Now().Add(-maxIdle))
		if c == nil {
			return dial(ctx, addr)
		}
		if time.Now().Before(c.until) && c.quiet() {
			c.kept = true
			return c, nil
		}
		_ = c.Close()
	}
}

// take returns the connection that was used last, if that was not before since.
func (p *Pool) take(addr netip.AddrPort, since time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 || list[len(list)-1].usedAt.Before(since) {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func dial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	d := net.Dialer{Timeout: dialTime, KeepAliveConfig: keepAlive}
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", addr, ErrUnreachable, err)
	}
	return &Conn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer), addr: addr}, nil
}

// quiet says whether an idle connection is open and has nothing to read: bytes
// that come while no request waits belong to none.
func (c *Conn) quiet() bool {
	return c.r.Buffered() == 0 && Peek(c.Conn) == Quiet
}

// State is what can be read from a connection without waiting.
type State uint8

// States of connections.
const (
	// Quiet: it is open and there is nothing to read, as far as known.
	Quiet State = iota
	// Pending: there are bytes to read.
	Pending
	// Ended: the other end has closed or reset it.
	Ended
)

// Peek returns what could be read from a connection now. It takes nothing from
// it and may be called beside a Read.
func Peek(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Quiet
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
		case err != nil || n == 0:
			state = Ended
		default:
			state = Pending
		}
	})
	if err != nil {
		return Ended
	}
	return state
}

// Keep says for how long a connection may be kept after an answer; the zero
// value says not at all.
type Keep struct {
	most time.Duration
}

// KeepAfter returns what the head of an answer says of its connection.
func KeepAfter(resp *http.Response) Keep {
	if resp.Close {
		return Keep{}
	}
	if named, ok := keepAliveTime(resp.Header.Get("Keep-Alive")); ok {
		return Keep{max(named-keepMargin, 0)}
	}
	return Keep{keepTime}
}

// Put keeps a connection for the next request after a whole answer, if the
// answer allows it and nothing follows.
func (p *Pool) Put(c *Conn, keep Keep) {
	if keep.most <= 0 || c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.usedAt = time.Now()
	c.until = c.usedAt.Add(keep.most)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Prune closes the connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		rest := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
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

// Read reads the head of the answer to a request with the method. Interim
// answers are passed over.
func (c *Conn) Read(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", c.addr, err)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Skip reads past the body of an answer that belongs to another request.
func Skip(resp *http.Response, most int64) error {
	n, err := io.CopyN(io.Discard, resp.Body, most)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("skip answer: %w", err)
	}
	return fmt.Errorf("skip answer: more than %d bytes", n)
}
