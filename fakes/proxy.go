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

// ProxyFaults are the faults that a Proxy injects. Dropping data affects a connection until
// it is closed, even after the fault has been cleared; connections accepted after that
// work.
type ProxyFaults struct {
	// Refuse closes the listener, so that new connections are refused. Open connections
	// continue.
	Refuse bool
	// DropToTarget and DropToCaller discard all data and the end of the stream in that
	// direction, on open and on new connections.
	DropToTarget, DropToCaller bool
	// Delay is added before each block of data is forwarded, in both directions.
	Delay time.Duration
}

// Proxy forwards connections to a target address and injects network faults, such as
// connections that drop all data in one or both directions without being reset.
type Proxy struct {
	target netip.AddrPort
	listen func(netip.AddrPort) (net.Listener, error)
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// quit ends when Close is called.
	quit context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu sync.Mutex
	// addr is the listening address, with the port chosen by the system if port 0 was
	// requested.
	addr netip.AddrPort
	// ln is nil while new connections are refused.
	ln     net.Listener
	faults ProxyFaults
	conns  map[*proxiedConn]struct{}
}

// proxiedConn is one forwarded connection, with its side towards the caller and its side
// towards the target. A direction whose flag is set discards its data.
type proxiedConn struct {
	callerConn, targetConn     net.Conn
	dropToTarget, dropToCaller atomic.Bool
}

// NewProxy returns a proxy that forwards to target over TCP. It does not listen until
// Start.
func NewProxy(target netip.AddrPort) *Proxy {
	return newProxy(target, (&net.Dialer{}).DialContext, func(addr netip.AddrPort) (net.Listener, error) {
		return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	})
}

// NewProxyIn returns a proxy that listens and forwards on the in-memory network n. It does
// not listen until Start.
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

// Start listens on addr. Over TCP, port 0 selects a free port; see Addr.
func (p *Proxy) Start(addr netip.AddrPort) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addr = addr
	return p.listenLocked()
}

// listenLocked listens on p.addr and starts accepting connections. It returns ErrClosed
// after Close.
func (p *Proxy) listenLocked() error {
	if p.quit.Err() != nil {
		return ErrClosed
	}
	ln, err := p.listen(p.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", p.addr, err)
	}
	if addr, ok := ln.Addr().(*net.TCPAddr); ok {
		p.addr = addr.AddrPort()
	}
	p.ln = ln
	p.wg.Go(func() { p.acceptConns(ln) })
	return nil
}

// Addr returns the address that callers connect to instead of the target's.
func (p *Proxy) Addr() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// SetFaults replaces all faults. It returns an error only if clearing Refuse fails to
// listen again.
func (p *Proxy) SetFaults(faults ProxyFaults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	for pc := range p.conns {
		pc.applyFaults(faults)
	}
	switch {
	case faults.Refuse && p.ln != nil:
		_ = p.ln.Close()
		p.ln = nil
	case !faults.Refuse && p.ln == nil:
		return p.listenLocked()
	}
	return nil
}

// BlackholeConns makes all open connections discard data in both directions until they are
// closed. New connections work.
func (p *Proxy) BlackholeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		pc.applyFaults(ProxyFaults{DropToTarget: true, DropToCaller: true})
	}
}

// ResetConns closes all open connections, with a TCP reset over TCP.
func (p *Proxy) ResetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		pc.reset()
	}
}

// Close stops listening, resets all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.stop()
	p.ResetConns()
	p.mu.Lock()
	if p.ln != nil {
		_ = p.ln.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// acceptConns accepts connections and forwards each until ln is closed.
func (p *Proxy) acceptConns(ln net.Listener) {
	for {
		callerConn, err := ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serveConn(callerConn) })
	}
}

// serveConn forwards one connection and returns when both directions have ended. A
// connection that dropped data remains open until ResetConns or Close, so that its peers do
// not notice the end.
func (p *Proxy) serveConn(callerConn net.Conn) {
	targetConn, err := p.dial(p.quit, "tcp", p.target.String())
	if err != nil {
		_ = callerConn.Close()
		return
	}
	pc := &proxiedConn{callerConn: callerConn, targetConn: targetConn}
	p.mu.Lock()
	pc.applyFaults(p.faults)
	p.conns[pc] = struct{}{}
	closed := p.quit.Err() != nil
	p.mu.Unlock()
	if closed {
		pc.reset()
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(pc, targetConn, callerConn, &pc.dropToTarget) })
	directions.Go(func() { p.forward(pc, callerConn, targetConn, &pc.dropToCaller) })
	directions.Wait()
	if pc.dropToTarget.Load() || pc.dropToCaller.Load() {
		return
	}
	pc.reset()
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
}

// forward copies one direction from src to dst, or discards the data while drop is set. If
// src ends, forward closes dst for writing; if that is not possible or src fails, it resets
// the connection.
func (p *Proxy) forward(pc *proxiedConn, dst io.Writer, src io.Reader, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		delay := p.faults.Delay
		p.mu.Unlock()
		if n > 0 && delay > 0 {
			p.sleep(delay)
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

// sleep waits for d or until Close.
func (p *Proxy) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.quit.Done():
	}
}

// applyFaults starts dropping data in the directions that faults names. It never clears a
// direction.
func (pc *proxiedConn) applyFaults(faults ProxyFaults) {
	if faults.DropToTarget {
		pc.dropToTarget.Store(true)
	}
	if faults.DropToCaller {
		pc.dropToCaller.Store(true)
	}
}

// reset closes both sides, with a TCP reset over TCP.
func (pc *proxiedConn) reset() {
	for _, conn := range []net.Conn{pc.callerConn, pc.targetConn} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
