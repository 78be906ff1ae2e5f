package fakes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// CutFaults are the faults of a Cut. A connection that has once been silenced
// stays so when the fault ends; later ones work.
type ProxyFaults struct {
	// Refuse stops listening; open connections go on.
	Refuse bool
	// ToTarget and ToCaller swallow what is sent in that direction, closes
	// included, on open connections and on new ones.
	DropToTarget, DropToCaller bool
	// Delay is added to whatever is passed on.
	Delay time.Duration
}

// Cut relays connections to a target and makes them fail as something between
// two ends does: they go silent, with no reset, in one direction or in both.
type Proxy struct {
	target netip.AddrPort
	listen func(netip.AddrPort) (net.Listener, error)
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	quit   context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	addr   netip.AddrPort
	ln     net.Listener
	faults ProxyFaults
	conns  map[*proxiedConn]struct{}
}

// link is one relayed connection.
type proxiedConn struct {
	callerConn, targetConn     net.Conn
	dropToTarget, dropToCaller atomic.Bool
}

// NewCut returns a relay to the target over TCP.
func NewProxy(target netip.AddrPort) *Proxy {
	return newProxy(target, (&net.Dialer{}).DialContext, func(addr netip.AddrPort) (net.Listener, error) {
		return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	})
}

// NewCutIn returns a relay to the target in a network in memory.
func NewProxyIn(n *Net, target netip.AddrPort) *Proxy {
	return newProxy(target, n.Dial, n.Listen)
}

func newProxy(
	target netip.AddrPort,
	dial func(ctx context.Context, network, addr string) (net.Conn, error),
	listen func(netip.AddrPort) (net.Listener, error),
) *Proxy {
	quit, stop := context.WithCancel(context.Background())
	return &Proxy{target: target, listen: listen, dial: dial, quit: quit, stop: stop, conns: make(map[*proxiedConn]struct{})}
}

// Start listens on the address; port 0 chooses one over TCP.
func (c *Proxy) Start(addr netip.AddrPort) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = addr
	return c.listenLocked()
}

func (c *Proxy) listenLocked() error {
	if c.quit.Err() != nil {
		return ErrClosed
	}
	ln, err := c.listen(c.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.addr, err)
	}
	if addr, ok := ln.Addr().(*net.TCPAddr); ok {
		c.addr = addr.AddrPort()
	}
	c.ln = ln
	c.wg.Go(func() { c.acceptConns(ln) })
	return nil
}

// Addr returns the address to use in place of the target's.
func (c *Proxy) Addr() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// SetFaults replaces the faults.
func (c *Proxy) SetFaults(faults ProxyFaults) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
	for pc := range c.conns {
		pc.applyFaults(faults)
	}
	switch {
	case faults.Refuse && c.ln != nil:
		_ = c.ln.Close()
		c.ln = nil
	case !faults.Refuse && c.ln == nil:
		return c.listenLocked()
	}
	return nil
}

// Silence silences the connections that are open now, for good and in both
// directions; new ones work.
func (c *Proxy) BlackholeConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pc := range c.conns {
		pc.applyFaults(ProxyFaults{DropToTarget: true, DropToCaller: true})
	}
}

// Reset cuts the connections that are open now.
func (c *Proxy) ResetConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pc := range c.conns {
		pc.reset()
	}
}

// Close ends the relay and all of its connections.
func (c *Proxy) Close() {
	c.stop()
	c.ResetConns()
	c.mu.Lock()
	if c.ln != nil {
		_ = c.ln.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// accept relays the connections of one listener.
func (c *Proxy) acceptConns(ln net.Listener) {
	for {
		callerConn, err := ln.Accept()
		if err != nil {
			return
		}
		c.wg.Go(func() { c.serveConn(callerConn) })
	}
}

// relay passes on one connection until both directions have ended or Reset.
func (c *Proxy) serveConn(callerConn net.Conn) {
	targetConn, err := c.dial(c.quit, "tcp", c.target.String())
	if err != nil {
		_ = callerConn.Close()
		return
	}
	pc := &proxiedConn{callerConn: callerConn, targetConn: targetConn}
	c.mu.Lock()
	pc.applyFaults(c.faults)
	c.conns[pc] = struct{}{}
	closed := c.quit.Err() != nil
	c.mu.Unlock()
	if closed {
		pc.reset()
	}
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(pc, targetConn, callerConn, &pc.dropToTarget) })
	directions.Go(func() { c.forward(pc, callerConn, targetConn, &pc.dropToCaller) })
	directions.Wait()
	if pc.dropToTarget.Load() || pc.dropToCaller.Load() {
		return
	}
	pc.reset()
	c.mu.Lock()
	delete(c.conns, pc)
	c.mu.Unlock()
}

// pump passes on one direction, or swallows it.
func (c *Proxy) forward(pc *proxiedConn, dst io.Writer, src io.Reader, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		c.mu.Lock()
		delay := c.faults.Delay
		c.mu.Unlock()
		if n > 0 && delay > 0 {
			c.sleep(delay)
		}
		if n > 0 && !drop.Load() {
			_, _ = dst.Write(buf[:n])
		}
		if err == nil {
			continue
		}
		if drop.Load() {
			return
		}
		if halfCloser, ok := dst.(interface{ CloseWrite() error }); ok && errors.Is(err, io.EOF) {
			_ = halfCloser.CloseWrite()
			return
		}
		pc.reset()
		return
	}
}

func (c *Proxy) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.quit.Done():
	}
}

// silence applies the faults to a connection.
func (pc *proxiedConn) applyFaults(faults ProxyFaults) {
	if faults.DropToTarget {
		pc.dropToTarget.Store(true)
	}
	if faults.DropToCaller {
		pc.dropToCaller.Store(true)
	}
}

// reset closes both ends at once, by a reset where there is such a thing.
func (pc *proxiedConn) reset() {
	for _, conn := range []net.Conn{pc.callerConn, pc.targetConn} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
