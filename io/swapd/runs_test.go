package swapd

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/stock"
)

// runsEndpoint is an endpoint with scripted answers to asks for its runs.
type runsEndpoint struct {
	idleEndpoint
	runs              stock.Runs
	runsErr, reachErr error
	reads             int
	// wait is how long a read takes.
	wait time.Duration
}

func (e *runsEndpoint) Runs(context.Context) (stock.Runs, error) {
	e.reads++
	time.Sleep(e.wait)
	return e.runs, e.runsErr
}

func (e *runsEndpoint) Reach(context.Context) error { return e.reachErr }

// Guards against a run that is taken to have ended because its endpoint was silent.
func TestRunState(t *testing.T) {
	silent := errors.New("timeout")
	listed := map[string]int{"r1": 3}
	for name, c := range map[string]struct {
		endpoint runsEndpoint
		want     stock.RunState
	}{
		"listed":            {runsEndpoint{runs: stock.Runs{Known: true, Events: listed, Unlisted: 2}}, stock.RunListed},
		"among others":      {runsEndpoint{runs: stock.Runs{Known: true, Unlisted: 1}}, stock.RunUnlisted},
		"gone":              {runsEndpoint{runs: stock.Runs{Known: true, Events: map[string]int{"r2": 1}}}, stock.RunGone},
		"runs not reported": {runsEndpoint{}, stock.RunsUnknown},
		"silent":            {runsEndpoint{runsErr: silent}, stock.EndpointSilent},
		"refuses":           {runsEndpoint{runsErr: syscall.ECONNREFUSED}, stock.EndpointRefuses},
		"silent, then ends": {runsEndpoint{runsErr: silent, reachErr: syscall.ECONNREFUSED}, stock.EndpointRefuses},
		"unreachable":       {runsEndpoint{runsErr: silent, reachErr: silent}, stock.EndpointUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			var r runsReader
			assert.Equal(t, c.want, r.state(t.Context(), &c.endpoint, "r1"))
		})
	}
}

// Guards against an answer from before the question, and against one read for each of many routers.
func TestRunsAreReadAfterEachAskAndShared(t *testing.T) {
	const asks = 20
	var r runsReader
	e := &runsEndpoint{runs: stock.Runs{Known: true}, wait: 50 * time.Millisecond}
	r.state(t.Context(), e, "r1")
	r.state(t.Context(), e, "r1")
	assert.Equal(t, 2, e.reads)
	done := make(chan stock.RunState, asks)
	for range asks {
		go func() { done <- r.state(t.Context(), e, "r1") }()
	}
	for range asks {
		<-done
	}
	assert.Less(t, e.reads-2, asks/2, "reads")
}
