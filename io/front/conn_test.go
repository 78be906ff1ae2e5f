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

// pipeListener is a net.Listener for in-memory connections.
type pipeListener struct {
	accepted chan net.Conn
	done     chan struct{}
	close    func()
}

func newPipeListener() *pipeListener {
	p := &pipeListener{accepted: make(chan net.Conn), done: make(chan struct{})}
	p.close = sync.OnceFunc(func() { close(p.done) })
	return p
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.close()
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial returns the client's end of a new connection.
func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	select {
	case p.accepted <- serverEnd:
		return clientEnd, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// client returns an HTTP client that opens a new connection for each request.
func (p *pipeListener) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: p.dial, DisableKeepAlives: true}}
}

// startServer serves a front on in-memory connections until the test ends.
func startServer(t *testing.T, dispatcher dispatcherFunc, drainDelay time.Duration, change ...func(*front.Options)) (*front.Server, *pipeListener) {
	t.Helper()
	ln := newPipeListener()
	server := front.NewServer(newFront(dispatcher, change...), drainDelay)
	server.Serve(ln)
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown(context.Background()))
	})
	return server, ln
}

// post sends a chat completion request of the member association.
func post(ln *pipeListener, body string) (*http.Response, error) {
	r := request(http.MethodPost, "http://router"+chatPath, body)
	r.RequestURI = ""
	return ln.client().Do(r)
}

// streamedBody is a valid request body that asks for a streamed response.
const streamedBody = `{"model": "notices", "stream": true}`

// answerWith returns a dispatcher that sends the chunks with status 200 and then returns err.
func answerWith(contentType string, err error, chunks ...string) dispatcherFunc {
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

// TestAnswers checks the status and the body that the caller receives for complete and failed
// responses, and whether the connection is closed before the end of the body.
func TestAnswers(t *testing.T) {
	const eventStream = "text/event-stream; charset=utf-8"
	long := strings.Repeat("x", 70<<10)
	unknown := refusal(fleet.CodeOutcomeUnknown, fleet.NotRunUnknown, time.Time{})
	tests := map[string]struct {
		request    string
		dispatcher dispatcherFunc
		status     int
		// body is a regular expression for the response body.
		body      string
		truncated bool
	}{
		"complete":                          {validBody, answerWith("application/json", nil, "a", "b"), 200, "^ab$", false},
		"complete, long":                    {validBody, answerWith("application/json", nil, "a", long), 200, "^ax+$", false},
		"complete, no body":                 {validBody, answerWith("application/json", nil), 200, "^$", false},
		"stream":                            {streamedBody, answerWith(eventStream, nil, "data: 1\n\n", "data: [DONE]\n\n"), 200, `^data: 1\n\ndata: \[DONE\]\n\n$`, false},
		"buffered, then failed":             {validBody, answerWith("application/json", unknown, "a"), 504, `"not-run":"unknown"`, false},
		"long, then failed":                 {validBody, answerWith("application/json", unknown, long), 200, "^x+$", true},
		"stream, failed before first chunk": {streamedBody, answerWith(eventStream, unknown), 504, `"not-run":"unknown"`, false},
		"stream, truncated after an event":  {streamedBody, answerWith(eventStream, unknown, "data: 1\n", "\n"), 200, `^data: 1\n\nevent: error\ndata: \{.*"not-run":"unknown".*\}\n\n$`, true},
		"stream, truncated within an event": {streamedBody, answerWith(eventStream, unknown, "data: 1\n\n", "data: {"), 200, `^data: 1\n\ndata: \{$`, true},
		"stream of plain text, truncated":   {streamedBody, answerWith("text/plain", unknown, "1\n\n"), 200, `^1\n\n$`, true},
		"invalid status": {validBody, func(_ context.Context, _ *front.Call, out front.Sink) error {
			return out.Begin(7, "text/plain")
		}, 502, "^$", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, ln := startServer(t, tt.dispatcher, 0)
				res, err := post(ln, tt.request)
				require.NoError(t, err)
				body, err := io.ReadAll(res.Body)
				require.Equal(t, tt.status, res.StatusCode)
				require.Regexp(t, tt.body, string(body))
				require.Equal(t, tt.truncated, errors.Is(err, io.ErrUnexpectedEOF), err)
			})
		})
	}
}

// sendRaw opens a connection and writes text, which is a request or the beginning of one.
func sendRaw(t *testing.T, ln *pipeListener, text string) net.Conn {
	t.Helper()
	conn, err := ln.dial(t.Context(), "", "")
	require.NoError(t, err)
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// requestHead is the request line and all headers but Content-Length of a chat completion
// request.
const requestHead = "POST " + chatPath + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer key-a\r\nContent-Type: application/json\r\n"

// rawStreamedRequest is a complete request for a streamed response.
const rawStreamedRequest = requestHead + "Content-Length: 36\r\n\r\n" + streamedBody

// TestSlowReader checks that a call ends after Limits.ChunkTimeout if its caller does not read
// the response.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const chunk = 64 << 10
		accepted := 0
		var elapsed time.Duration
		failed := make(chan error, 1)
		_, ln := startServer(t, func(_ context.Context, _ *front.Call, out front.Sink) error {
			start := time.Now()
			err := out.Begin(http.StatusOK, "text/event-stream")
			for err == nil {
				err = out.Chunk(make([]byte, chunk))
				accepted++
			}
			elapsed = time.Since(start)
			failed <- err
			return err
		}, 0)
		conn := sendRaw(t, ln, rawStreamedRequest)
		defer conn.Close()
		require.ErrorIs(t, <-failed, front.ErrCallerGone)
		require.Equal(t, 1, accepted, "chunks written while the caller reads nothing")
		require.Equal(t, front.DefaultLimits().ChunkTimeout, elapsed)
	})
}

// TestCallerGone checks that the context of a call is canceled when the caller disconnects, and
// that the call is not counted as refused.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := make(chan struct{})
		ended := make(chan error, 1)
		registry := metrics.NewRegistry()
		_, ln := startServer(t, func(ctx context.Context, _ *front.Call, _ front.Sink) error {
			close(running)
			<-ctx.Done()
			ended <- ctx.Err()
			return refusal(fleet.CodeCallerCancelled, fleet.NotRunUnknown, time.Time{})
		}, 0, func(o *front.Options) { o.Metrics = registry })
		conn := sendRaw(t, ln, rawStreamedRequest)
		<-running
		require.NoError(t, conn.Close())
		require.ErrorIs(t, <-ended, context.Canceled)
		synctest.Wait()
		require.EqualValues(t, 1, metrics.GetOrRegisterCounter("front.caller-gone", registry).Count())
		require.Zero(t, metrics.GetOrRegisterCounter("front.refused", registry).Count())
	})
}

// TestSlowBody checks that a request whose body does not arrive within Limits.BodyTimeout is
// refused.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ln := startServer(t, answerOK, 0)
		start := time.Now()
		conn := sendRaw(t, ln, requestHead+"Content-Length: 36\r\n\r\n{")
		defer conn.Close()
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, fleet.CodeBodyTimeout, readProblem(t, res).Code)
		require.Equal(t, front.DefaultLimits().BodyTimeout, time.Since(start))
	})
}

// eventEverySecond returns a dispatcher that streams n events, one per second, until the call
// is canceled.
func eventEverySecond(n int) dispatcherFunc {
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

// readAllWithError returns all that can be read from r, followed by the text of the read error
// if there is one.
func readAllWithError(r io.Reader) string {
	body, err := io.ReadAll(r)
	if err != nil {
		return string(body) + err.Error()
	}
	return string(body)
}

// TestDrain checks that a draining server is not ready, accepts calls until the end of the drain
// delay, and completes the calls in progress.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, ln := startServer(t, eventEverySecond(15), 2*time.Second)
		early, err := post(ln, streamedBody)
		require.NoError(t, err)
		drained := make(chan error, 1)
		go func() { drained <- server.Shutdown(t.Context()) }()
		time.Sleep(time.Second)

		ready, err := ln.client().Get("http://router/readyz")
		require.NoError(t, err)
		require.NoError(t, ready.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, ready.StatusCode)
		late, err := post(ln, streamedBody)
		require.NoError(t, err, "call within the drain delay")
		require.True(t, late.Close)

		time.Sleep(2 * time.Second)
		_, err = post(ln, streamedBody)
		require.Error(t, err, "call after the drain delay")
		bodies := make(chan string, 2)
		for _, r := range []*http.Response{early, late} {
			go func() { bodies <- readAllWithError(r.Body) }()
		}
		for range 2 {
			require.Equal(t, strings.Repeat("data: 1\n\n", 15), <-bodies)
		}
		require.NoError(t, <-drained)
	})
}

// Guards against a drain that closes a connection, without a response, of which it has read the
// first bytes of a call. The caller sends the rest after the drain delay.
func TestDrainServesCallThatIsBeingRead(t *testing.T) {
	const drainDelay = 2 * time.Second
	for name, earlier := range map[string]string{"new connection": "", "kept connection": rawStreamedRequest} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, ln := startServer(t, answerOK, drainDelay)
				conn, err := ln.dial(t.Context(), "", "")
				require.NoError(t, err)
				defer conn.Close()
				responses := bufio.NewReader(conn)
				call := func(text string) *http.Response {
					_, err := io.WriteString(conn, text)
					require.NoError(t, err)
					res, err := http.ReadResponse(responses, nil)
					require.NoError(t, err)
					_, err = io.Copy(io.Discard, res.Body)
					require.NoError(t, err)
					return res
				}
				if earlier != "" {
					require.False(t, call(earlier).Close)
				}
				_, err = io.WriteString(conn, rawStreamedRequest[:20])
				require.NoError(t, err)
				drained := make(chan error, 1)
				go func() { drained <- server.Shutdown(t.Context()) }()
				time.Sleep(drainDelay + time.Second)
				res := call(rawStreamedRequest[20:])
				require.Equal(t, http.StatusOK, res.StatusCode)
				require.True(t, res.Close)
				require.NoError(t, <-drained)
			})
		})
	}
}

// TestDrainTooLong checks that Shutdown ends at the deadline of its context and truncates a
// stream that is still in progress.
func TestDrainTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, ln := startServer(t, eventEverySecond(60), 0)
		res, err := post(ln, streamedBody)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.ErrorIs(t, server.Shutdown(ctx), context.DeadlineExceeded)
		_, err = io.ReadAll(res.Body)
		require.Error(t, err)
	})
}

// TestDrainTooLongAnswersCalls checks that a call that is still in progress near the end of a
// drain gets a refusal before the drain's deadline. If its connection were only closed, the
// caller would not know whether the call was run.
func TestDrainTooLongAnswersCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drainTimeout = 5 * time.Second
		server, ln := startServer(t, func(ctx context.Context, _ *front.Call, _ front.Sink) error {
			<-ctx.Done()
			return refusal(fleet.CodeCallerCancelled, fleet.NotRunUnknown, time.Time{})
		}, 0)
		answers := make(chan *http.Response, 1)
		failed := make(chan error, 1)
		go func() {
			res, err := post(ln, streamedBody)
			if err != nil {
				failed <- err
				return
			}
			answers <- res
		}()
		synctest.Wait()
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), drainTimeout)
		defer cancel()
		require.ErrorIs(t, server.Shutdown(ctx), context.DeadlineExceeded)
		require.LessOrEqual(t, time.Since(start), drainTimeout)
		select {
		case res := <-answers:
			require.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
			require.Equal(t, fleet.CodeDraining, readProblem(t, res).Code)
		case err := <-failed:
			require.NoError(t, err)
		}
	})
}
