package conns

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against heads without end on many connections at once, whose lines of a few bytes take many
// times their size in memory.
func TestManyHeadsOfShortLines(t *testing.T) {
	const (
		connections = 200
		maxGrowth   = 32 << 20
	)
	var lines bytes.Buffer
	for n := range 1 << 14 {
		fmt.Fprintf(&lines, "%x:\n", n)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
				for part := lines.Bytes(); err == nil && len(part) > 0; part = part[min(len(part), 1000):] {
					// In pieces, so that all heads grow together.
					time.Sleep(time.Millisecond)
					_, err = conn.Write(part[:min(len(part), 1000)])
				}
			}()
		}
	}()
	addr := netip.MustParseAddrPort(l.Addr().String())
	runtime.GC()
	before, highest := heapSize(), uint64(0)
	pool := NewPool()
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			c, err := pool.Get(t.Context(), addr, 0)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Abort()
			_, err = c.Read(http.MethodGet)
			assert.ErrorIs(t, err, ErrHeadTooLong)
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for running := true; running; {
		highest = max(highest, heapSize())
		select {
		case <-done:
			running = false
		case <-time.After(time.Millisecond):
		}
	}
	t.Logf("heap grew by %.1f MB", float64(highest-before)/(1<<20))
	assert.Less(t, highest, before+maxGrowth)
}

// heapSize returns the size of the heap in bytes.
func heapSize() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Heads as long as those of real answers are read, whatever their form.
func TestHeadsWithinBounds(t *testing.T) {
	for name, head := range map[string]string{
		"one long line":  "X-A: " + strings.Repeat("x", 32<<10) + "\r\n",
		"many lines":     strings.Repeat("X-A: b\r\n", maxHeadLines-8),
		"interim answer": "",
	} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok"
			if head == "" {
				text = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + text
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { assert.NoError(t, l.Close()) }()
			go func() {
				if conn, err := l.Accept(); err == nil {
					_, _ = conn.Write([]byte(text))
				}
			}()
			c, err := NewPool().Get(t.Context(), netip.MustParseAddrPort(l.Addr().String()), 0)
			require.NoError(t, err)
			defer c.Abort()
			resp, err := c.Read(http.MethodGet)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, resp.StatusCode)
			assert.NoError(t, DiscardBody(resp, 100))
		})
	}
}
