package relayd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/relay"
	"chervilreach/core/route"
)

// plainCodec is a codec that neither sets nor requires headers.
type plainCodec struct{ HeaderCodec }

func (plainCodec) IDHeader() string                                         { return "" }
func (plainCodec) SetAttemptHeaders(http.Header, relay.Send, time.Duration) {}
func (plainCodec) ParseAnswer(_ string, _ *http.Response) (info AnswerInfo) { return info }

// patientCaller records the deadline of writes to it.
type patientCaller struct {
	*httptest.ResponseRecorder
	mu            sync.Mutex
	writeDeadline time.Time
}

func (c *patientCaller) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return nil
}

// Guards against a stream that ends after a long silence and whose end is not written, because the
// deadline for the write of its last event has passed.
func TestEndOfStreamAfterSilenceHasItsOwnDeadline(t *testing.T) {
	t.Parallel()
	const silence = 100 * time.Millisecond
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	endedAt := make(chan time.Time, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n")
		time.Sleep(silence)
		endedAt <- time.Now()
		_, _ = fmt.Fprint(conn, "0\r\n\r\n")
	}()
	w := &patientCaller{ResponseRecorder: httptest.NewRecorder()}
	x := &exchange{
		d: New(Options{Log: zerolog.Nop(), HeaderCodec: plainCodec{}}), w: w, rc: http.NewResponseController(w),
		route: &route.Route{Name: "book", Kind: route.Stream}, lastEventID: relay.NoEvent,
		r: httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil),
	}
	done := x.attempt(t.Context(), relay.Send{
		Address: netip.MustParseAddrPort(l.Addr().String()), Deadline: time.Now().Add(10 * time.Second),
	})
	require.True(t, done)
	require.Equal(t, "data: a\n\n", w.Body.String())
	assert.False(t, w.writeDeadline.Before((<-endedAt).Add(callerWriteTimeout)))
}
