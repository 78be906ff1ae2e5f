package fakes

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Net is an in-memory network of net.Pipe connections, which work with testing/synctest.
// The zero value is an empty network. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*netListener
}

// Listen listens on addr, whose port must not be 0. It fails with syscall.EADDRINUSE if
// there is a listener already.
func (n *Net) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, syscall.EADDRINUSE)
	}
	ln := &netListener{net: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*netListener)
	}
	n.listeners[addr] = ln
	return ln, nil
}

// Dial connects to a listener. It has the signature of net.Dialer.DialContext, so that
// clients can use it; the network argument is ignored. It fails with syscall.ECONNREFUSED
// if nothing listens on addr.
func (n *Net) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	n.mu.Lock()
	ln := n.listeners[addrPort]
	n.mu.Unlock()
	if ln == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	}
	local, remote := net.Pipe()
	select {
	case ln.conns <- remote:
		return local, nil
	case <-ln.closed:
		return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
}

// netListener is a listener of a Net.
type netListener struct {
	net    *Net
	addr   netip.AddrPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (ln *netListener) Accept() (net.Conn, error) {
	select {
	case conn := <-ln.conns:
		return conn, nil
	case <-ln.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (ln *netListener) Close() error {
	ln.once.Do(func() {
		ln.net.mu.Lock()
		defer ln.net.mu.Unlock()
		delete(ln.net.listeners, ln.addr)
		close(ln.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (ln *netListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(ln.addr)
}
