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

	"chervilreach/io/admin"
	"chervilreach/io/drain"
	"chervilreach/io/logs"
	"chervilreach/io/relayd"
)

// TestStopWaitsForAnswersThatAreBeingWritten checks that Stop returns only after the last
// answers have been written: the process ends then, which closes its connections. The answer
// of this test takes longer than the time until Stop aborts the requests in progress.
func TestStopWaitsForAnswersThatAreBeingWritten(t *testing.T) {
	const grace, writeTime = 600 * time.Millisecond, 50 * time.Millisecond
	var lc net.ListenConfig
	adminListener, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &Relay{
		log: &logs.Log{Logger: zerolog.Nop()}, daemon: relayd.New(relayd.Options{}),
		adminServer:     serveAdmin(adminListener, admin.HandlerConfig{}),
		readinessServer: &http.Server{}, stop: func() {},
	}
	arrived := make(chan struct{})
	r.callerServer = drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		// The daemon does not track this request, so that Stop can't abort it and must wait
		// until the handler returns.
		time.Sleep(grace - abortMargin + writeTime)
		w.WriteHeader(http.StatusServiceUnavailable)
	})})
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { assert.ErrorIs(t, r.callerServer.Serve(l), http.ErrServerClosed) }()
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
