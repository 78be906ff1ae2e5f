// Package drain stops an HTTP server without losing requests that have arrived. The Shutdown
// of net/http closes connections until the header of their next request has been read
// completely, and so loses requests that are being read or lie in the receive buffer.
package drain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultIdleTimeout covers requests that are sent when a connection is opened, or as soon
	// as the answer to the previous request ends.
	defaultIdleTimeout = 100 * time.Millisecond
	// closeMargin is how long before the deadline of a drain all connections without a request
	// are closed.
	closeMargin = 100 * time.Millisecond
	// passInterval is the time between two passes over the connections.
	passInterval = 10 * time.Millisecond
	// acceptTimeout is how long a listener that is about to close waits for a connection in its
	// queue, and maxQueued bounds how many it accepts. The kernel resets the connections that are
	// left in the queue of a closed listener, with the requests on them.
	acceptTimeout = 2 * time.Millisecond
	maxQueued     = 4096
)

// Counts are numbers of connections that a drain has found without a request.
type Counts struct {
	// Closed is the number of connections that were closed because no request had arrived.
	Closed int
	// Kept is the number of connections that were about to be closed when a request was found
	// to have arrived.
	Kept int
	// Unread is the number of those in Closed on which bytes had arrived before they were closed.
	Unread int
}

// Server is an http.Server that can be drained. Create it with New.
type Server struct {
	http *http.Server
	// idleTimeout is how long a connection stays open during a drain while it has no request.
	idleTimeout time.Duration

	// draining reports whether no more connections are accepted.
	draining atomic.Bool

	mu sync.Mutex
	// listeners are the listeners of the calls of Serve in progress.
	listeners map[*listener]struct{}
	conns     map[net.Conn]*conn
	counts    Counts
}

// New returns a server with the handler and the settings of srv. srv must have no ConnState
// hook and no ReadTimeout, and must not be used directly any more.
func New(srv *http.Server) *Server {
	s := &Server{
		http: srv, idleTimeout: defaultIdleTimeout,
		listeners: make(map[*listener]struct{}), conns: make(map[net.Conn]*conn),
	}
	srv.ConnState = s.onConnState
	srv.Handler = s.announceClose(srv.Handler)
	return s
}

// announceClose returns a handler that calls next and closes the connections of requests that
// begin during a drain after their answers.
func (s *Server) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve serves the connections of l. After Drain or Close it returns an error that wraps
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	tracked := &listener{Listener: l, server: s}
	if !s.addListener(tracked) {
		return errors.Join(http.ErrServerClosed, l.Close())
	}
	defer s.removeListener(tracked)
	if err := s.http.Serve(tracked); err != nil {
		return fmt.Errorf("serve connections: %w", err)
	}
	return nil
}

// Drain closes the listeners after it has accepted the connections in their queues, and each
// connection once it has been without a request for 100 ms. It returns when all connections have ended. Requests of which the first bytes have
// arrived are served, and their connections end with the answers. If connections are left at
// the end of ctx, Drain returns the error of ctx; it may be called again then.
func (s *Server) Drain(ctx context.Context) error {
	s.closeListeners()
	tick := time.NewTicker(passInterval)
	defer tick.Stop()
	for s.closeIdle(s.idleLimit(ctx, time.Now())) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// idleLimit returns the time such that connections that have been idle since then are closed.
func (s *Server) idleLimit(ctx context.Context, now time.Time) time.Time {
	if deadline, ok := ctx.Deadline(); ok && now.After(deadline.Add(-closeMargin)) {
		return now
	}
	return now.Add(-s.idleTimeout)
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close server: %w", err)
	}
	return nil
}

// Counts returns the numbers of connections that Drain has found without a request so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// addListener starts to track a listener. It reports false if the server is draining.
func (s *Server) addListener(l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l *listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for l := range s.listeners {
		l.endAccept()
	}
}

// closeIdle closes the connections that have been without a request since the given time. It
// returns the number of connections and listeners that are left.
func (s *Server) closeIdle(since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.endWait(since)
	}
	return len(s.conns) + len(s.listeners)
}

// onConnState is the ConnState hook of the http.Server.
func (s *Server) onConnState(nc net.Conn, state http.ConnState) {
	s.mu.Lock()
	c := s.conns[nc]
	if c != nil && (state == http.StateClosed || state == http.StateHijacked) {
		delete(s.conns, nc)
		c.addTo(&s.counts)
	}
	s.mu.Unlock()
	switch {
	case c == nil:
	case state == http.StateIdle:
		c.startWait()
	case state == http.StateActive:
		c.requestRead()
	}
}

// track returns a connection of the server for an accepted connection.
func (s *Server) track(nc net.Conn) net.Conn {
	c := &conn{Conn: nc}
	c.startWait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = c
	return c
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	// queued is the number of connections accepted since the start of the drain.
	queued int
}

// endAccept makes the call of Accept in progress, or the next one, close the listener once its
// queue is empty. A listener without deadlines is closed at once.
func (l *listener) endAccept() {
	if d, ok := l.Listener.(deadliner); ok && d.SetDeadline(time.Unix(1, 0)) == nil {
		return
	}
	// It fails only for a listener that is closed already.
	_ = l.Close()
}

// deadliner is a listener with a deadline for Accept.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// Accept implements net.Listener. After the start of a drain it returns http.ErrServerClosed
// when the connections in the queue have been accepted.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil && l.server.draining.Load() {
		nc, err = l.acceptQueued()
	}
	if err != nil {
		// net/http tells temporary errors by their type.
		return nil, err
	}
	return l.server.track(nc), nil
}

// acceptQueued returns the next connection in the queue. If there is none, it closes the
// listener and returns http.ErrServerClosed.
func (l *listener) acceptQueued() (net.Conn, error) {
	d, ok := l.Listener.(deadliner)
	for ok && l.queued < maxQueued {
		deadline := time.Now().Add(acceptTimeout)
		if d.SetDeadline(deadline) != nil {
			break
		}
		nc, err := l.Listener.Accept()
		if err == nil {
			l.queued++
			return nc, nil
		}
		// A process that was held up may have met the deadline before it looked at the queue.
		if time.Now().Before(deadline.Add(acceptTimeout)) {
			break
		}
	}
	// It fails only for a listener that is closed already.
	_ = l.Close()
	return nil, http.ErrServerClosed
}
