package demo

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Listening ports are below the range from which the system assigns ephemeral ports, so
// that a process that restarts can listen on its port again. They are more than the fleets of
// a test program use, as the port of a process that is down would be taken when they start over.
const (
	firstPort = 20_000
	portCount = 12_700
	// portsPerProcess is the distance between the first ports that processes with
	// consecutive IDs try, so that concurrent processes rarely compete for a port.
	portsPerProcess = 128
)

// portAttempts is the number of ports that this process has tried.
var portAttempts atomic.Uint32

// listenLoopback listens on a free port of the loopback address.
func listenLoopback() (net.Listener, error) {
	start := uint32(os.Getpid()) * portsPerProcess
	var lastErr error
	for range portCount {
		port := firstPort + (start+portAttempts.Add(1))%portCount
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err == nil {
			return l, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("listen on loopback: %w", lastErr)
}

// freeLoopbackAddr returns the loopback address with a free port. Another process may take
// the port before it is used.
func freeLoopbackAddr() (netip.AddrPort, error) {
	l, err := listenLoopback()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return addrOf(l), l.Close()
}

// twoListeners returns the listeners for the wire protocol and the admin interface.
func twoListeners() (net.Listener, net.Listener, error) {
	wire, err := listenLoopback()
	if err != nil {
		return nil, nil, err
	}
	admin, err := listenLoopback()
	if err != nil {
		return nil, nil, errors.Join(err, wire.Close())
	}
	return wire, admin, nil
}

// addrOf returns the address of a TCP listener.
func addrOf(l net.Listener) netip.AddrPort {
	tcp, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}
