package fakes

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"time"
)

// EndlessAnswer is an HTTP answer of which the part More is repeated until the reader closes the
// connection, with a pause before each.
type EndlessAnswer struct {
	Start, More string
	Pause       time.Duration
}

// dribbleBytes is the size of the pieces of an answer that comes slowly.
const dribbleBytes = 16

// EndlessAnswers returns answers without end in each part of a message, by name. Each comes once as
// fast as the reader takes it, and once in dribbles.
func EndlessAnswers() map[string]EndlessAnswer {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	long := strings.Repeat("x", 4096)
	fast := map[string]EndlessAnswer{
		"not http":          {More: long},
		"status line":       {Start: "HTTP/1.1 200 ", More: long},
		"header line":       {Start: ok + "X-A: ", More: long},
		"long header lines": {Start: ok, More: "X-A: " + long + "\r\n"},
		"same header lines": {Start: ok, More: strings.Repeat("a:\n", 1024)},
		"header lines":      {Start: ok, More: distinctHeaderLines()},
		"continued line":    {Start: ok + "X-A: b\r\n", More: strings.Repeat(" b\n", 1024)},
		"interim answers":   {More: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		"body":              {Start: ok + "\r\n", More: long},
		"body of an error":  {Start: "HTTP/1.1 500 X\r\n\r\n", More: long},
		"body of elements":  {Start: ok + "\r\n{\"models\":[{}", More: strings.Repeat(",{}", 1024)},
		"nested body":       {Start: ok + "\r\n", More: strings.Repeat("[", 4096)},
		"chunks":            {Start: chunked, More: strings.Repeat("1\r\nx\r\n", 512)},
		"long chunks":       {Start: chunked, More: strings.Repeat("40\r\n"+strings.Repeat("x", 64)+"\r\n", 64)},
		"chunk extension":   {Start: chunked + "1;", More: long},
		"trailer":           {Start: chunked + "0\r\n", More: distinctHeaderLines()},
	}
	all := make(map[string]EndlessAnswer)
	for name, a := range fast {
		all[name] = a
		all[name+", in dribbles"] = EndlessAnswer{a.Start, a.More[:min(len(a.More), dribbleBytes)], time.Millisecond}
	}
	return all
}

// distinctHeaderLines returns many short header lines with different names.
func distinctHeaderLines() string {
	var b strings.Builder
	for n := range 1 << 14 {
		fmt.Fprintf(&b, "%x:\n", n)
	}
	return b.String()
}

// Endless is a server that answers each connection without end.
type Endless struct {
	Addr netip.AddrPort
	l    net.Listener
	wg   sync.WaitGroup
}

// StartEndless starts a server on a free port of the loopback address.
func StartEndless(a EndlessAnswer) (*Endless, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	e := &Endless{Addr: netip.MustParseAddrPort(l.Addr().String()), l: l}
	e.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.wg.Go(func() { a.write(conn) })
		}
	})
	return e, nil
}

// Close stops the server, and waits until all readers have closed their connections.
func (e *Endless) Close() error {
	err := e.l.Close()
	e.wg.Wait()
	return err
}

// write reads the beginning of a request and writes the answer until the reader closes the
// connection.
func (a EndlessAnswer) write(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, err := conn.Read(make([]byte, 1<<12))
	if err == nil {
		_, err = conn.Write([]byte(a.Start))
	}
	for more := []byte(a.More); err == nil; {
		time.Sleep(a.Pause)
		_, err = conn.Write(more)
	}
}

// HeapGrowth returns the largest growth of the heap in bytes while run is executed.
func HeapGrowth(run func()) uint64 {
	runtime.GC()
	before, highest := heapSize(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		highest = max(highest, heapSize())
		select {
		case <-done:
			return max(highest, heapSize(), before) - before
		case <-time.After(time.Millisecond):
		}
	}
}

// heapSize returns the size of the heap in bytes.
func heapSize() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
