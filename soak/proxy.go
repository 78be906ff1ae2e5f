package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is the fault that a proxy applies to its connections.
type Mode uint8

// Modes of a proxy.
const (
	// Pass means no fault.
	Pass Mode = iota
	// Slow means that each read is forwarded after slowDelay.
	Slow
	// Stall means that the connections that are open when the mode is set forward nothing,
	// and stay stalled even if the mode changes. New connections work.
	Stall
	// Blackhole means that nothing is forwarded in either direction and that new
	// connections are accepted but not forwarded.
	Blackhole
	// OneWay means that only data from the client to the server is forwarded. Data from the
	// server to the client is held back.
	OneWay
	// Reset means that open and new connections are reset.
	Reset
	// Endless means that open connections are reset, and that new ones get bytes without end in
	// place of answers, in one of the forms of endlessForms.
	Endless
)

const (
	// slowDelay is the delay of each read in mode Slow.
	slowDelay = 60 * time.Millisecond
	// pollInterval is how often a connection that is held back checks the mode.
	pollInterval = 10 * time.Millisecond
)

// proxy forwards TCP connections to one address and injects network faults.
type proxy struct {
	addr, to netip.AddrPort

	mu    sync.Mutex
	l     net.Listener
	mode  Mode
	conns map[net.Conn]bool
	// stalled holds the connections from which nothing is forwarded any more, even if the
	// mode changes.
	stalled map[net.Conn]bool
}

// newProxy starts a proxy that listens at addr and forwards connections to another address.
func newProxy(ctx context.Context, addr, to netip.AddrPort) (*proxy, error) {
	p := &proxy{addr: addr, to: to, conns: make(map[net.Conn]bool), stalled: make(map[net.Conn]bool)}
	return p, p.listen(ctx)
}

// listen starts to accept connections.
func (p *proxy) listen(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", p.addr.String())
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.l = l
	go p.accept(l)
	return nil
}

// stopListening lets new connections be refused. Open ones go on.
func (p *proxy) stopListening() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.l.Close()
}

// close resets all connections and stops listening.
func (p *proxy) close() error {
	p.setMode(Reset)
	if err := p.stopListening(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// setMode changes the mode for open and new connections.
func (p *proxy) setMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	switch m {
	case Reset, Endless:
		for c := range p.conns {
			abort(c)
		}
	case Stall:
		for c := range p.conns {
			p.stalled[c] = true
		}
	case Pass, Slow, Blackhole, OneWay:
	}
}

func (p *proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With an error, the close below is an orderly one instead of a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// accept serves connections until the listener is closed.
func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.serve(c)
	}
}

// serve forwards one connection in both directions until it ends.
func (p *proxy) serve(client net.Conn) {
	defer abort(client)
	for p.currentMode() == Blackhole {
		time.Sleep(pollInterval)
	}
	switch p.currentMode() {
	case Reset:
		return
	case Endless:
		p.answerEndlessly(client)
		return
	case Pass, Slow, Stall, Blackhole, OneWay:
	}
	d := net.Dialer{Timeout: time.Second}
	server, err := d.DialContext(context.Background(), "tcp", p.to.String())
	if err != nil {
		return
	}
	defer abort(server)
	p.track(client, server)
	defer p.untrack(client, server)
	done := make(chan struct{}, 2)
	go func() { p.forward(server, client, false); done <- struct{}{} }()
	go func() { p.forward(client, server, true); done <- struct{}{} }()
	<-done
	// An orderly close was forwarded; the other direction may still send its last bytes.
	select {
	case <-done:
	case <-time.After(100 * time.Millisecond):
	}
}

func (p *proxy) track(list ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(list ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		delete(p.conns, c)
		delete(p.stalled, c)
	}
}

// isHeldBack reports whether data that was read from a connection must not be forwarded now.
// toClient is true for data from the server to the client.
func (p *proxy) isHeldBack(from net.Conn, toClient bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled[from] || p.mode == Blackhole || p.mode == OneWay && toClient
}

// forward copies data from one connection to another, subject to the mode, until one of them
// fails or from is closed. toClient is true for data from the server to the client. Data that
// is held back is dropped if the connection ends meanwhile.
func (p *proxy) forward(to, from net.Conn, toClient bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for p.isHeldBack(from, toClient) {
			time.Sleep(pollInterval)
			if !p.isTracked(from) {
				return
			}
		}
		if p.currentMode() == Slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

// isTracked reports whether the connection is still being forwarded.
func (p *proxy) isTracked(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}
