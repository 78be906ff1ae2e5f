package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Bounds of the callers' connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// answerTime is the end of the time for a drain, in which the calls that are still
// in progress are broken off and answered.
const answerTime = 300 * time.Millisecond

// errBrokenOff is why the context of a call ends that a drain breaks off.
var errBrokenOff = errors.New("the time for the drain is over")

// Server listens for callers.
type Server struct {
	front *Front
	http  *http.Server
	// drainDelay is how long calls are still taken in after the drain has begun.
	drainDelay time.Duration
	// breakOff ends the contexts of all calls.
	breakOff context.CancelCauseFunc
	failed   chan error
}

// NewServer returns a server that has not been started. A draining server still
// takes in calls for drainDelay, until the balancer has seen that it is not
// ready.
func NewServer(f *Front, drainDelay time.Duration) *Server {
	calls, breakOff := context.WithCancelCause(context.Background())
	return &Server{
		front: f,
		http: &http.Server{
			Handler:           f,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			BaseContext:       func(net.Listener) context.Context { return calls },
		},
		drainDelay: drainDelay,
		breakOff:   breakOff,
		failed:     make(chan error, 1),
	}
}

// Start listens and serves until Shutdown. It returns the address, which tells
// the port when addr has none.
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

// Serve serves the connections of a listener until Shutdown.
func (s *Server) Serve(ln net.Listener) {
	go func() {
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
}

// Failed tells when the server can no longer accept connections.
func (s *Server) Failed() <-chan error {
	return s.failed
}

// Shutdown drains: it says that it is not ready, goes on serving for the drain
// delay, then accepts nothing new and waits for the calls in progress. Shortly before
// the context's deadline it breaks those off: their callers are told so. It returns
// the context's error then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.front.Drain()
	calls, cancel := beforeDeadline(ctx)
	defer cancel()
	delay := time.NewTimer(s.drainDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-calls.Done():
	}
	if err := s.http.Shutdown(calls); err != nil {
		s.breakOff(errBrokenOff)
		// Calls that can't be answered in time are cut.
		_ = s.http.Shutdown(ctx)
		_ = s.http.Close()
		return fmt.Errorf("drain callers: %w", err)
	}
	return nil
}

// beforeDeadline returns a context that ends in time for the last answers.
func beforeDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	at, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, at.Add(-answerTime))
}

// Close cuts all connections at once.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close server for callers: %w", err)
	}
	return nil
}
