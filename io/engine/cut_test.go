package engine_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/engine"
)

// cutEngine answers requests on a listener. Its answers are text; the next one after arm is cut off.
type cutEngine struct {
	l    net.Listener
	cuts chan int
	runs chan struct{}
	text string
	// reset reports whether the connection is reset and not closed at the end of a cut answer.
	reset bool
}

// serve answers the requests on the engine's connections, one after the other.
func (e *cutEngine) serve() {
	for {
		conn, err := e.l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

// serveConn answers the requests on a connection until an answer has been cut off.
func (e *cutEngine) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		cut := <-e.cuts
		e.runs <- struct{}{}
		if cut < 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm")
			continue
		}
		_, _ = io.WriteString(conn, e.text[:cut])
		if e.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// Guards against an engine's answer that is cut off anywhere and is taken for a whole one, or for one of a
// request that was not sent.
func TestAnswerCutAtEachByte(t *testing.T) {
	events := "data: 0\n\ndata: 1\n\ndata: [DONE]\n\n"
	chunks := fmt.Sprintf("7;x=y\r\n%s\r\n%X\r\n%s\r\n0\r\n", events[:7], len(events)-7, events[7:])
	interim := "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	for name, c := range map[string]struct{ head, body string }{
		"length":                      {"Content-Length: 32\r\n", events},
		"chunks":                      {"Transfer-Encoding: chunked\r\n", chunks + "\r\n"},
		"chunks with trailer":         {"Transfer-Encoding: chunked\r\nTrailer: C\r\n", chunks + "C: d\r\n\r\n"},
		"neither":                     {"", events},
		"events, length":              {"Content-Type: text/event-stream\r\nContent-Length: 32\r\n", events},
		"events, chunks":              {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", chunks + "\r\n"},
		"events, neither":             {"Content-Type: text/event-stream\r\n", events},
		"events, chunks with trailer": {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nTrailer: C\r\n", chunks + "C: d\r\n\r\n"},
	} {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			for use, kept := range map[string]bool{"new": false, "kept": true} {
				t.Run(strings.Join([]string{name, end, use}, ", "), func(t *testing.T) {
					t.Parallel()
					text := interim + "HTTP/1.1 200 OK\r\n" + c.head + "\r\n" + c.body
					var lc net.ListenConfig
					l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
					require.NoError(t, err)
					defer func() { _ = l.Close() }()
					e := &cutEngine{l: l, cuts: make(chan int, 2), runs: make(chan struct{}, 8), text: text, reset: reset}
					go e.serve()
					for cut := range len(text) + 1 {
						isEvents := strings.HasPrefix(name, "events")
						whole := cut == len(text) && name != "neither"
						// The last event ends a stream, whatever follows it.
						whole = whole || isEvents && strings.Contains(text[:cut], "[DONE]\n\n")
						checkCut(t, e, cut, kept, whole)
						require.False(t, t.Failed(), "after %q", text[:cut])
					}
				})
			}
		}
	}
}

// checkCut sends a request whose answer is cut off, on a connection of its own or on one that has carried
// another answer.
func checkCut(t *testing.T, e *cutEngine, cut int, kept, whole bool) {
	t.Helper()
	client := engine.New(netip.MustParseAddrPort(e.l.Addr().String()))
	defer client.Close()
	if kept {
		e.cuts <- -1
		_, err := readCut(t, client, false)
		require.ErrorIs(t, err, io.EOF)
		<-e.runs
	}
	e.cuts <- cut
	text, err := readCut(t, client, !kept)
	<-e.runs
	assert.Empty(t, e.runs, "the request was sent again")
	require.NotErrorIs(t, err, engine.ErrUnreachable)
	assert.Equal(t, whole, errors.Is(err, io.EOF), "text %q, error %v", text, err)
	assert.True(t, text == "" || strings.HasSuffix(text, "\n\n"), "text %q", text)
}

// readCut sends a request and reads its answer to the end.
func readCut(t *testing.T, client *engine.Client, newConn bool) (string, error) {
	t.Helper()
	req := request("a", 5, true)
	req.NewConn = newConn
	s, err := client.CallService(t.Context(), req)
	if err != nil {
		return "", err
	}
	defer s.Close()
	return readAll(t, s, 0)
}
