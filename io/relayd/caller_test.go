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

// stalledCaller is a caller that reads nothing. Writes to it fail; it records their deadline.
type stalledCaller struct {
	*httptest.ResponseRecorder
	writeDeadline time.Time
}

func (c *stalledCaller) SetWriteDeadline(deadline time.Time) error {
	c.writeDeadline = deadline
	return nil
}

func (c *stalledCaller) Write([]byte) (int, error) { return 0, errStalled }

// A write to a caller that reads nothing must fail within callerWriteTimeout, so that the slot
// of its request becomes free. The error must wrap errCallerGone, as the failure would
// otherwise count against the endpoint.
func TestWriteToCallerThatReadsNothingTimesOut(t *testing.T) {
	t.Parallel()
	longBody := bytes.Repeat([]byte("x"), maxBufferedBytes+1)
	for name, forward := range map[string]func(x *exchange) error{
		"whole answer": func(x *exchange) error {
			x.writeAnswer(&bufferedAnswer{head: &http.Response{StatusCode: http.StatusOK}, body: []byte("x")})
			return errCallerGone
		},
		"long answer": func(x *exchange) error {
			resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(longBody))}
			return x.forwardUnbuffered(resp, longBody, &relay.AttemptEnded{})
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
			startedAt := time.Now()
			require.ErrorIs(t, forward(x), errCallerGone)
			assert.WithinRange(t, w.writeDeadline, startedAt.Add(callerWriteTimeout), time.Now().Add(callerWriteTimeout))
		})
	}
}
