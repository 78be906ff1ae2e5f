package demo

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports lie below those that the system hands out by itself, so that a process
// that starts again gets its own back.
const (
	firstPort = 30_000
	portCount = 2_700
	// portsApart sets concurrent processes on different ports at first.
	portsPerProcess = 128
)

// nextPort counts the ports that this process has tried.
var portAttempts atomic.Uint32

// openLoopback listens on a port of loopback that nobody uses.
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

// loopback returns the address of a port that nobody uses.
func freeLoopbackAddr() (netip.AddrPort, error) {
	l, err := listenLoopback()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return addrOf(l), l.Close()
}

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

func addrOf(l net.Listener) netip.AddrPort {
	tcp, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}
