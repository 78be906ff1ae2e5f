package main

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// firstRetransmit is the time after which a sender sends lost bytes again. It doubles each time.
const firstRetransmit = 200 * time.Millisecond

// link forwards connections to one address. While it is cut, no byte gets through in either direction;
// afterwards, bytes that were sent meanwhile arrive when their sender sends them again, as with TCP.
type link struct {
	at, to netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	cut      bool
	healed   chan struct{}
	// blocked is the socket that listens during a cut, fill are the connections that fill its queue.
	blocked int
	fill    []net.Conn
}

func newLink(at, to netip.AddrPort) (*link, error) {
	k := &link{at: at, to: to, healed: make(chan struct{})}
	close(k.healed)
	return k, k.listen()
}

// listen accepts connections until the listener is closed.
func (k *link) listen() error {
	l, err := listen(k.at)
	if err != nil {
		return err
	}
	k.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return nil
}

// setCut cuts the link or heals it.
func (k *link) setCut(cut bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut == k.cut {
		return nil
	}
	k.cut = cut
	if cut {
		k.healed = make(chan struct{})
		_ = k.listener.Close()
		return k.block()
	}
	for _, c := range k.fill {
		_ = c.Close()
	}
	k.fill = nil
	_ = syscall.Close(k.blocked)
	close(k.healed)
	return k.listen()
}

// block listens with a queue that is full, so that the opening packets of new connections are dropped.
func (k *link) block() error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	k.blocked = fd
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(k.at.Port()), Addr: k.at.Addr().As4()}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	d := net.Dialer{Timeout: 20 * time.Millisecond}
	for range 2 {
		if c, err := d.DialContext(context.Background(), "tcp", k.at.String()); err == nil {
			k.fill = append(k.fill, c)
		}
	}
	return nil
}

// arrive waits until bytes that are sent now arrive.
func (k *link) arrive() {
	sentAt := time.Now()
	k.mu.Lock()
	cut, healed := k.cut, k.healed
	k.mu.Unlock()
	if !cut {
		return
	}
	<-healed
	at := sentAt
	for d := firstRetransmit; at.Before(time.Now()); d *= 2 {
		at = at.Add(d)
	}
	time.Sleep(time.Until(at))
}

func (k *link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	k.arrive()
	var d net.Dialer
	up, err := d.DialContext(context.Background(), "tcp", k.to.String())
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go k.copy(c, up)
	k.copy(up, c)
}

// copy forwards what src sends to dst until one of them closes the connection.
func (k *link) copy(dst, src net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		k.arrive()
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}
