package swapd

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"chervilreach/core/stock"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

const (
	// runsTimeout bounds a read of the endpoint's runs, reachTimeout an attempt to connect to an endpoint
	// that does not answer.
	runsTimeout  = 200 * time.Millisecond
	reachTimeout = 150 * time.Millisecond
)

// runsReader reads the runs of the endpoint for the routers that ask. Those that ask at once share a
// read. Its methods may be called concurrently.
type runsReader struct {
	mu sync.Mutex
	// readAt is when the last read began, runs and failed its result: failed is empty if it succeeded.
	readAt time.Time
	runs   stock.Runs
	failed stock.RunState
}

// state returns what the endpoint tells of a run, as read after the call.
func (r *runsReader) state(ctx context.Context, endpoint Endpoint, attemptID string) stock.RunState {
	askedAt := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.readAt.After(askedAt) {
		r.readAt = time.Now()
		r.runs, r.failed = readRuns(ctx, endpoint)
	}
	if r.failed != "" {
		return r.failed
	}
	return r.runs.State(attemptID)
}

// readRuns reads the endpoint's runs, or finds out how it fails to answer.
func readRuns(ctx context.Context, endpoint Endpoint) (stock.Runs, stock.RunState) {
	readCtx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	runs, err := endpoint.Runs(readCtx)
	if err == nil {
		return runs, ""
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		reachCtx, cancelReach := context.WithTimeout(ctx, reachTimeout)
		defer cancelReach()
		if err = endpoint.Reach(reachCtx); err == nil {
			return runs, stock.EndpointSilent
		}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return runs, stock.EndpointRefuses
	}
	return runs, stock.EndpointUnreachable
}

// answerRunAsk answers a router's ask for the run of a request.
func (d *Daemon) answerRunAsk(ctx context.Context, s *wire.Stream, m *wirepb.RunAsk) {
	state := d.runs.state(ctx, d.opts.Endpoint, m.GetAttemptId())
	d.log.Info().Str("request", m.GetAttemptId()).Str("run", string(state)).Msg("router asked for run")
	body := &wirepb.RunAnswer{State: wire.EncodeRunState(state)}
	if err := s.Send(&wirepb.Frame{Body: &wirepb.Frame_RunAnswer{RunAnswer: body}}); err != nil {
		d.log.Info().Err(err).Msg("could not send run to router")
	}
}
