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

// Mode is what a proxy does to what passes through it.
type Mode uint8

// Modes of proxies.
const (
	// Pass: nothing.
	Pass Mode = iota
	// Slow: each read is passed on after a delay.
	Slow
	// Hush: open connections fall silent for good; new ones work.
	Stall
	// Dark: nothing passes in either direction, and new connections hang.
	Blackhole
	// OneWay: what the far end sends is held back.
	OneWay
	// Reset: open connections are reset, and new ones too.
	Reset
)

const (
	// slowTime is the delay of Slow.
	slowDelay = 60 * time.Millisecond
	// pollTime is how often a held connection looks whether it may go on.
	pollInterval = 10 * time.Millisecond
)

// proxy passes connections on to one address.
type proxy struct {
	l  net.Listener
	to netip.AddrPort

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	// hushed connections stay silent whatever the mode is later.
	stalled map[net.Conn]bool
}

// newProxy listens on an address and passes connections on to another.
func newProxy(ctx context.Context, at, to netip.AddrPort) (*proxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, to: to, conns: make(map[net.Conn]bool), stalled: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) close() error {
	p.setMode(Reset)
	return p.l.Close()
}

// set changes the mode; connections that are open see it too.
func (p *proxy) setMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	switch m {
	case Reset:
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

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// The connection is closed next; without a reset it is closed in order.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(near net.Conn) {
	defer abort(near)
	for p.currentMode() == Blackhole {
		time.Sleep(pollInterval)
	}
	if p.currentMode() == Reset {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	far, err := d.DialContext(context.Background(), "tcp", p.to.String())
	if err != nil {
		return
	}
	defer abort(far)
	p.track(near, far)
	defer p.forget(near, far)
	done := make(chan struct{}, 2)
	go func() { p.forward(far, near, false); done <- struct{}{} }()
	go func() { p.forward(near, far, true); done <- struct{}{} }()
	<-done
	// An end in order is passed on; the other direction may go on for a moment.
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

func (p *proxy) forget(list ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		delete(p.conns, c)
		delete(p.stalled, c)
	}
}

// held says whether bytes from a connection are held back now.
func (p *proxy) isHeld(from net.Conn, back bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled[from] || p.mode == Blackhole || p.mode == OneWay && back
}

func (p *proxy) forward(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for p.isHeld(from, back) {
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

func (p *proxy) isTracked(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}
