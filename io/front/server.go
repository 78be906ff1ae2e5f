package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"chervilreach/io/drain"
	"chervilreach/io/logs"
)

// Limits of the callers' connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// drainAnswerTime is the last part of the time for a drain. At its start, calls that are
// still in progress are canceled, so that they get a response before the drain's deadline.
const drainAnswerTime = 300 * time.Millisecond

// errDrainTimeout is the cancellation cause of the contexts of calls that are canceled at
// the end of a drain. Its text is the detail of their refusals.
var errDrainTimeout = errors.New("the time for the drain is over")

// Server is the HTTP server that serves a Front.
type Server struct {
	front *Front
	http  *drain.Server
	// drainDelay is the time for which new calls are still accepted after Shutdown begins.
	drainDelay time.Duration
	// cancelCalls cancels the contexts of all calls.
	cancelCalls context.CancelCauseFunc
	// failed receives the error of a Serve that ends before Shutdown or Close.
	failed chan error
}

// NewServer returns a server that has not been started. Shutdown still accepts new calls for
// drainDelay, so that the load balancer has time to notice that the server is not ready.
func NewServer(f *Front, drainDelay time.Duration) *Server {
	callsCtx, cancelCalls := context.WithCancelCause(context.Background())
	return &Server{
		front: f,
		http: drain.New(&http.Server{
			Handler:           f,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          logs.ErrorLog(f.guard.Log),
			BaseContext:       func(net.Listener) context.Context { return callsCtx },
		}),
		drainDelay:  drainDelay,
		cancelCalls: cancelCalls,
		failed:      make(chan error, 1),
	}
}

// Start listens on addr and serves until Shutdown or Close. It returns the address of the
// listener, which contains the actual port if that of addr is 0. The context bounds only
// the listen call.
func (s *Server) Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen for callers: %w", err)
	}
	s.Serve(ln)
	tcp, ok := ln.Addr().(*net.TCPAddr)
	if !ok {
		return addr, nil
	}
	return tcp.AddrPort(), nil
}

// Serve serves the connections of a listener in the background until Shutdown or Close.
func (s *Server) Serve(ln net.Listener) {
	go func() {
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
}

// Failed returns a channel that receives an error if the server can no longer accept
// connections. It receives nothing after Shutdown or Close.
func (s *Server) Failed() <-chan error {
	return s.failed
}

// Shutdown drains the server: it reports that it is not ready, accepts new calls for the
// drain delay, and then closes the listener and waits for the calls in progress. Shortly
// before the context's deadline it cancels the remaining calls, whose callers get a refusal,
// closes all connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.front.Drain()
	drainCtx, cancel := drainContext(ctx)
	defer cancel()
	delay := time.NewTimer(s.drainDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-drainCtx.Done():
	}
	if err := s.http.Drain(drainCtx); err != nil {
		s.cancelCalls(errDrainTimeout)
		// Connections of calls that get no response in time are closed.
		_ = s.http.Drain(ctx)
		_ = s.http.Close()
		return fmt.Errorf("drain callers: %w", err)
	}
	return s.Close()
}

// IdleConns returns what became of the connections that had no request during Shutdown.
func (s *Server) IdleConns() drain.Counts { return s.http.Counts() }

// drainContext returns a context that ends drainAnswerTime before the deadline of ctx, or
// one without a deadline if ctx has none.
func drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-drainAnswerTime))
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close server for callers: %w", err)
	}
	return nil
}
