package front_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/front"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// pipes is a listener of connections in memory.
type pipes struct {
	accepted chan net.Conn
	done     chan struct{}
	close    func()
}

func newPipes() *pipes {
	p := &pipes{accepted: make(chan net.Conn), done: make(chan struct{})}
	p.close = sync.OnceFunc(func() { close(p.done) })
	return p
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.close()
	return nil
}

func (*pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial returns the caller's end of a new connection.
func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.accepted <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// client returns an HTTP client that uses one connection a request.
func (p *pipes) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: p.dial, DisableKeepAlives: true}}
}

// start serves a front on connections in memory until the test ends.
func start(t *testing.T, d dispatch, drainDelay time.Duration, change ...func(*front.Options)) (*front.Server, *pipes) {
	t.Helper()
	ln := newPipes()
	server := front.NewServer(newFront(d, change...), drainDelay)
	server.Serve(ln)
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown(context.Background()))
	})
	return server, ln
}

// post sends a request of the association.
func post(ln *pipes, body string) (*http.Response, error) {
	r := request(http.MethodPost, "http://router"+chat, body)
	r.RequestURI = ""
	return ln.client().Do(r)
}

const streamed = `{"model": "notices", "stream": true}`

// answer returns a dispatcher that sends chunks and then fails.
func answer(contentType string, err error, chunks ...string) dispatch {
	return func(_ context.Context, _ *front.Call, out front.Sink) error {
		if err := out.Begin(http.StatusOK, contentType); err != nil {
			return err
		}
		for _, chunk := range chunks {
			if err := out.Chunk([]byte(chunk)); err != nil {
				return err
			}
		}
		return err
	}
}

func TestAnswers(t *testing.T) {
	const events = "text/event-stream; charset=utf-8"
	long := strings.Repeat("x", 70<<10)
	lost := refusal(fleet.CodeOutcomeUnknown, fleet.NotRunUnknown, time.Time{})
	tests := map[string]struct {
		request string
		d       dispatch
		status  int
		body    string
		cut     bool
	}{
		"whole":                   {good, answer("application/json", nil, "a", "b"), 200, "^ab$", false},
		"whole and long":          {good, answer("application/json", nil, "a", long), 200, "^ax+$", false},
		"whole, no body":          {good, answer("application/json", nil), 200, "^$", false},
		"stream":                  {streamed, answer(events, nil, "data: 1\n\n", "data: [DONE]\n\n"), 200, `^data: 1\n\ndata: \[DONE\]\n\n$`, false},
		"whole, failed late":      {good, answer("application/json", lost, "a"), 504, `"not-run":"unknown"`, false},
		"long, failed late":       {good, answer("application/json", lost, long), 200, "^x+$", true},
		"stream, failed at once":  {streamed, answer(events, lost), 504, `"not-run":"unknown"`, false},
		"stream, cut":             {streamed, answer(events, lost, "data: 1\n", "\n"), 200, `^data: 1\n\nevent: error\ndata: \{.*"not-run":"unknown".*\}\n\n$`, true},
		"stream, cut in an event": {streamed, answer(events, lost, "data: 1\n\n", "data: {"), 200, `^data: 1\n\ndata: \{$`, true},
		"stream of text, cut":     {streamed, answer("text/plain", lost, "1\n\n"), 200, `^1\n\n$`, true},
		"bad status": {good, func(_ context.Context, _ *front.Call, out front.Sink) error {
			return out.Begin(7, "text/plain")
		}, 502, "^$", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, ln := start(t, tt.d, 0)
				res, err := post(ln, tt.request)
				require.NoError(t, err)
				body, err := io.ReadAll(res.Body)
				require.Equal(t, tt.status, res.StatusCode)
				require.Regexp(t, tt.body, string(body))
				require.Equal(t, tt.cut, errors.Is(err, io.ErrUnexpectedEOF), err)
			})
		})
	}
}

// sendRaw writes the head of a request on a new connection.
func sendRaw(t *testing.T, ln *pipes, text string) net.Conn {
	t.Helper()
	conn, err := ln.dial(t.Context(), "", "")
	require.NoError(t, err)
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

const head = "POST " + chat + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer key-a\r\nContent-Type: application/json\r\n"

// rawStreamed is a whole request for a stream.
const rawStreamed = head + "Content-Length: 36\r\n\r\n" + streamed

func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const chunk = 64 << 10
		accepted := 0
		var took time.Duration
		failed := make(chan error, 1)
		_, ln := start(t, func(_ context.Context, _ *front.Call, out front.Sink) error {
			begun := time.Now()
			err := out.Begin(http.StatusOK, "text/event-stream")
			for err == nil {
				err = out.Chunk(make([]byte, chunk))
				accepted++
			}
			took = time.Since(begun)
			failed <- err
			return err
		}, 0)
		conn := sendRaw(t, ln, rawStreamed)
		defer conn.Close()
		require.ErrorIs(t, <-failed, front.ErrCallerGone)
		require.Equal(t, 1, accepted, "chunks taken in while the caller reads nothing")
		require.Equal(t, front.DefaultLimits().ChunkTimeout, took)
	})
}

func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := make(chan struct{})
		ended := make(chan error, 1)
		registry := metrics.NewRegistry()
		_, ln := start(t, func(ctx context.Context, _ *front.Call, _ front.Sink) error {
			close(running)
			<-ctx.Done()
			ended <- ctx.Err()
			return refusal(fleet.CodeCallerCancelled, fleet.NotRunUnknown, time.Time{})
		}, 0, func(o *front.Options) { o.Metrics = registry })
		conn := sendRaw(t, ln, rawStreamed)
		<-running
		require.NoError(t, conn.Close())
		require.ErrorIs(t, <-ended, context.Canceled)
		synctest.Wait()
		require.EqualValues(t, 1, metrics.GetOrRegisterCounter("front.caller-gone", registry).Count())
		require.Zero(t, metrics.GetOrRegisterCounter("front.refused", registry).Count())
	})
}

func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ln := start(t, whole, 0)
		begun := time.Now()
		conn := sendRaw(t, ln, head+"Content-Length: 36\r\n\r\n{")
		defer conn.Close()
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, fleet.CodeSlowBody, readProblem(t, res).Code)
		require.Equal(t, front.DefaultLimits().BodyTimeout, time.Since(begun))
	})
}

// trickle streams an event a second.
func trickle(n int) dispatch {
	return func(ctx context.Context, _ *front.Call, out front.Sink) error {
		err := out.Begin(http.StatusOK, "text/event-stream")
		for range n {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return refusal(fleet.CodeCallerCancelled, fleet.NotRunUnknown, time.Time{})
			}
			err = errors.Join(err, out.Chunk([]byte("data: 1\n\n")))
		}
		return err
	}
}

// readAll returns what can be read, and the error if there is one.
func readAll(r io.Reader) string {
	body, err := io.ReadAll(r)
	if err != nil {
		return string(body) + err.Error()
	}
	return string(body)
}

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, ln := start(t, trickle(15), 2*time.Second)
		res, err := post(ln, streamed)
		require.NoError(t, err)
		drained := make(chan error, 1)
		go func() { drained <- server.Shutdown(t.Context()) }()
		time.Sleep(time.Second)

		ready, err := ln.client().Get("http://router/readyz")
		require.NoError(t, err)
		require.NoError(t, ready.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, ready.StatusCode)
		late, err := post(ln, streamed)
		require.NoError(t, err, "a call within the drain delay")
		require.True(t, late.Close)

		time.Sleep(2 * time.Second)
		_, err = post(ln, streamed)
		require.Error(t, err, "a call after the drain delay")
		bodies := make(chan string, 2)
		for _, r := range []*http.Response{res, late} {
			go func() { bodies <- readAll(r.Body) }()
		}
		for range 2 {
			require.Equal(t, strings.Repeat("data: 1\n\n", 15), <-bodies)
		}
		require.NoError(t, <-drained)
	})
}

func TestDrainTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, ln := start(t, trickle(60), 0)
		res, err := post(ln, streamed)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.ErrorIs(t, server.Shutdown(ctx), context.DeadlineExceeded)
		_, err = io.ReadAll(res.Body)
		require.Error(t, err)
	})
}

// A call that is still in progress when the time for a drain is over gets an answer
// within that time: the caller would see its connection closed, and not know what
// became of the call.
func TestDrainTooLongAnswersCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 5 * time.Second
		server, ln := start(t, func(ctx context.Context, _ *front.Call, _ front.Sink) error {
			<-ctx.Done()
			return refusal(fleet.CodeCallerCancelled, fleet.NotRunUnknown, time.Time{})
		}, 0)
		answers := make(chan *http.Response, 1)
		failed := make(chan error, 1)
		go func() {
			res, err := post(ln, streamed)
			if err != nil {
				failed <- err
				return
			}
			answers <- res
		}()
		synctest.Wait()
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), most)
		defer cancel()
		require.ErrorIs(t, server.Shutdown(ctx), context.DeadlineExceeded)
		require.LessOrEqual(t, time.Since(begun), most)
		select {
		case res := <-answers:
			require.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
			require.Equal(t, fleet.CodeDraining, readProblem(t, res).Code)
		case err := <-failed:
			require.NoError(t, err)
		}
	})
}
