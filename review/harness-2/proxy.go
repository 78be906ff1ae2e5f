package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. While it is cut, it accepts connections and forwards nothing either way.
type proxy struct {
	l  net.Listener
	to string

	mu   sync.Mutex
	open sync.Cond
	cut  bool
}

func newProxy(at, to string) (*proxy, error) {
	l, err := listen(at)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, to: to}
	p.open.L = &p.mu
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut cuts the link or heals it. Bytes that are held up meanwhile arrive when it has healed.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.open.Broadcast()
}

// wait waits until the link is not cut.
func (p *proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.open.Wait()
	}
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	p.wait()
	to, err := dial(p.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	ended := make(chan struct{}, 2)
	forward := func(dst, src net.Conn) {
		defer func() { ended <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			p.wait()
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					_ = dst.Close()
				}
				return
			}
		}
	}
	go forward(to, c)
	go forward(c, to)
	<-ended
}

func (p *proxy) close() {
	p.setCut(false)
	_ = p.l.Close()
}
