package soak

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/platform/mock"
)

const (
	// crowdSize is the number of clients that misbehave at the same time. Each sends a body of up to
	// crowdBodyBytes, the largest that the routes of package mock allow.
	crowdSize      = 300
	crowdBodyBytes = 1 << 20
	// crowdStay is how long the crowd stays connected, which is less than a router waits for the end of a body.
	crowdStay = 3 * time.Second
	// longHeadBytes is close to the longest head that the configuration of package mock allows.
	longHeadBytes = 16_000
	// crowdSettings lower the limit for all bodies together.
	crowdSettings = `, "max-bodies": "4MiB"`
	// maxRouterMemory is the memory of the smallest host of the users' platform that serves callers, in kB.
	maxRouterMemory = 184 << 10
	// maxRouterFiles bounds the open descriptors of a router: one for each client of the crowd, and those that it
	// has without them.
	maxRouterFiles = crowdSize + 200
)

// crowdForms are what the clients of a crowd send, after which they stay connected.
var crowdForms = map[string]func(c net.Conn) error{
	"bodies of legal size": func(c net.Conn) error {
		_, err := c.Write(append(lengthHead(crowdBodyBytes), make([]byte, crowdBodyBytes-1)...))
		return err
	},
	"whole bodies of legal size": func(c net.Conn) error {
		_, err := c.Write(append(lengthHead(crowdBodyBytes), make([]byte, crowdBodyBytes)...))
		return err
	},
	"bodies of legal size in pieces": func(c net.Conn) error {
		return writeAll(c, lengthHead(crowdBodyBytes), make([]byte, 4096), crowdBodyBytes/4096-1)
	},
	"large chunks": func(c net.Conn) error {
		return writeAll(c, chunkedHead(), chunk(64<<10), crowdBodyBytes>>16-1)
	},
	"small chunks": func(c net.Conn) error {
		return writeAll(c, chunkedHead(), bytes.Repeat(chunk(16), 256), crowdBodyBytes>>12-1)
	},
	"announced over the limit": func(c net.Conn) error {
		return writeAll(c, lengthHead(64<<20), make([]byte, 64<<10), 64)
	},
	"chunks over the limit": func(c net.Conn) error {
		return writeAll(c, chunkedHead(), chunk(64<<10), 64)
	},
}

// headForms are heads without end, of a MiB, that the clients of a crowd send.
var headForms = map[string]func(c net.Conn) error{
	"heads of long lines": func(c net.Conn) error {
		return writeAll(c, openHead(), fmt.Appendf(nil, "X-Filler: %s\r\n", bytes.Repeat([]byte("x"), 4096)), 256)
	},
	"heads of short lines": func(c net.Conn) error {
		var lines []byte
		for n := range 128 << 10 {
			lines = fmt.Appendf(lines, "a%d:\r\n", n)
		}
		return writeAll(c, openHead(), lines, 1)
	},
}

// openHead returns the beginning of a head.
func openHead() []byte { return bytes.TrimSuffix(lengthHead(2), []byte("\r\n")) }

func lengthHead(length int) []byte { return crowdHead(fmt.Sprintf("Content-Length: %d", length)) }

func chunkedHead() []byte { return crowdHead("Transfer-Encoding: chunked") }

// crowdHead returns the head of a request with a further header line.
func crowdHead(line string) []byte {
	text := mock.RequestText(mock.SafePath, "crowd", "", "", 4*time.Second)
	head, _, _ := strings.Cut(text, "Content-Length")
	return []byte(head + line + "\r\n\r\n")
}

// chunk returns a chunk of a chunked body.
func chunk(size int) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", size, make([]byte, size))
}

// writeAll writes a head, then a piece several times.
func writeAll(c net.Conn, head, piece []byte, times int) error {
	if _, err := c.Write(head); err != nil {
		return err
	}
	for range times {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// Guards against clients whose bodies fill the memory of a router (incident of 2026-12-06).
func TestCrowdOfBodiesLeavesRouterAlive(t *testing.T) { testCrowds(t, 31_000, crowdForms) }

// Guards against clients whose heads fill the memory of a router.
func TestCrowdOfHeadsLeavesRouterAlive(t *testing.T) { testCrowds(t, 31_020, headForms) }

// testCrowds checks for each form that a router lives beside a crowd, stays within its bounds and serves others. Fleets
// have the networks from the given one on.
func testCrowds(t *testing.T, network int, forms map[string]func(c net.Conn) error) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	bin := build(t)
	for i, name := range slices.Sorted(maps.Keys(forms)) {
		t.Run(name, func(t *testing.T) {
			f, err := newFleet(t.Context(), bin, t.TempDir(), network+i, fleetSize{routerCount: 1, modelReplicaCount: 1, plainReplicaCount: 2, callerSettings: crowdSettings})
			if f != nil {
				defer func() { assert.NoError(t, f.stop()) }()
			}
			require.NoError(t, err)
			router := f.routers[0]
			require.Eventually(t, func() bool { return isReady(t.Context(), router) }, 20*time.Second, 50*time.Millisecond)
			require.Equal(t, http.StatusOK, ordinaryCall(t, router, "before"))
			require.Equal(t, http.StatusOK, ordinaryCall(t, router, "long-head", "X-Filler: "+strings.Repeat("x", longHeadBytes)))

			clients := sendCrowd(router, forms[name])
			defer func() {
				for _, c := range clients {
					_ = c.Close()
				}
			}()
			assert.Equal(t, http.StatusOK, ordinaryCall(t, router, "beside"))
			// The router goes on reading what the kernel holds.
			time.Sleep(crowdStay)
			peak := procStatus(t, router, "VmHWM")
			t.Logf("%d kB of memory at the peak, %d open descriptors", peak, openFiles(t, router))
			assert.LessOrEqual(t, peak, maxRouterMemory, "kB of memory at the peak")
			assert.LessOrEqual(t, openFiles(t, router), maxRouterFiles, "open descriptors")
			for _, c := range clients {
				_ = c.Close()
			}
			assert.Equal(t, http.StatusOK, ordinaryCall(t, router, "after"))
			router.mu.Lock()
			defer router.mu.Unlock()
			assert.Zero(t, router.crashCount, "%v", router.crashErr)
		})
	}
}

// sendCrowd has all clients of a crowd connect and send at the same time, and returns their open connections. What
// they send may be refused, and the connection closed.
func sendCrowd(router *process, send func(c net.Conn) error) []net.Conn {
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		conns []net.Conn
	)
	for range crowdSize {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", addrPort(router.ip, portCallers).String(), 10*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			// A router may stop reading from a client that it has refused.
			if c.SetWriteDeadline(time.Now().Add(20*time.Second)) == nil {
				_ = send(c)
			}
		})
	}
	wg.Wait()
	return conns
}

// ordinaryCall sends a request with a short body and further header lines on a new connection, and returns the status of
// the answer.
func ordinaryCall(t *testing.T, router *process, id string, headers ...string) int {
	t.Helper()
	c := dialCaller(router)
	require.NotNil(t, c, "could not connect")
	defer c.close()
	o := outcome{attemptID: id, path: mock.SafePath, router: router.name, connectedAt: c.connectedAt, sentAt: time.Now()}
	c.finish(&o, "", prompt{}, headers...)
	return o.status
}

// procStatus returns a field of the kernel's status of a process that the test has started.
func procStatus(t *testing.T, p *process, field string) int {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	require.NoError(t, err, "the process has ended")
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(t, err)
			return n
		}
	}
	require.Fail(t, "no field "+field)
	return 0
}

// openFiles returns the number of open descriptors of a process that the test has started.
func openFiles(t *testing.T, p *process) int {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd"))
	require.NoError(t, err, "the process has ended")
	return len(entries)
}
