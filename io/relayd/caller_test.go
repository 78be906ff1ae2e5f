package relayd

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/core/relay"
	"chervilreach/core/route"
)

var errStalled = errors.New("caller reads nothing")

// deafCaller is a caller that reads nothing: writes to it fail at their deadline.
type stalledCaller struct {
	*httptest.ResponseRecorder
	writeDeadline time.Time
}

func (c *stalledCaller) SetWriteDeadline(at time.Time) error {
	c.writeDeadline = at
	return nil
}

func (c *stalledCaller) Write([]byte) (int, error) { return 0, errStalled }

// A caller that reads nothing holds a request's slot no longer than writeTime, and
// its endpoint is not blamed for it.
func TestWriteToCallerThatReadsNothingTimesOut(t *testing.T) {
	t.Parallel()
	long := bytes.Repeat([]byte("x"), maxBufferedBytes+1)
	for name, pass := range map[string]func(x *exchange) error{
		"whole answer": func(x *exchange) error {
			x.writeAnswer(&bufferedAnswer{head: &http.Response{StatusCode: http.StatusOK}, body: []byte("x")})
			return errCallerGone
		},
		"long answer": func(x *exchange) error {
			resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(long))}
			return x.forwardUnbuffered(resp, long, &relay.AttemptEnded{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &stalledCaller{ResponseRecorder: httptest.NewRecorder()}
			d := New(Options{Log: zerolog.Nop()})
			x := &exchange{
				d: d, w: w, rc: http.NewResponseController(w), route: &route.Route{Name: "book"},
				r: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil),
			}
			begun := time.Now()
			require.ErrorIs(t, pass(x), errCallerGone)
			assert.WithinRange(t, w.writeDeadline, begun.Add(callerWriteTimeout), time.Now().Add(callerWriteTimeout))
		})
	}
}
