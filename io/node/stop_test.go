package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chervilreach/io/logs"
	"chervilreach/io/relayd"
)

// A stopping router's last answers are written when Stop returns, however slowly:
// the process ends then, and its connections with it.
func TestStopWaitsForAnswersThatAreBeingWritten(t *testing.T) {
	const grace, writing = 600 * time.Millisecond, 50 * time.Millisecond
	r := &Relay{
		log: &logs.Log{Logger: zerolog.Nop()}, daemon: relayd.New(relayd.Options{}), admin: &http.Server{},
		ready: &http.Server{}, stop: func() {},
	}
	arrived := make(chan struct{})
	r.calls = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		// The daemon has no such request any more when requests are broken off.
		time.Sleep(grace - stopMargin + writing)
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { assert.ErrorIs(t, r.calls.Serve(l), http.ErrServerClosed) }()
	go func() {
		<-arrived
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		_ = r.Stop(ctx)
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}
