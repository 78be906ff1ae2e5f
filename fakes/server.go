// Package fakes provides stand-ins for the platform: the key-value service, the weight
// store, model engines with plain services, and the host list. Each is an http.Handler that
// can also listen itself. Faults are set by SetFaults or, over HTTP, at /control. Proxy
// injects faults into connections.
package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// ErrClosed is returned if a stand-in or a Proxy is to listen after Close.
var ErrClosed = errors.New("stand-in is closed")

// server is the HTTP server of a stand-in. It is created by newServer.
type server struct {
	handler http.Handler
	// quit ends when Close is called.
	quit context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	addr   netip.AddrPort
	listen func(netip.AddrPort) (net.Listener, error)
	// http is nil while connections are refused.
	http *http.Server
}

func newServer(handler http.Handler) *server {
	quit, stop := context.WithCancel(context.Background())
	return &server{handler: handler, quit: quit, stop: stop}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Start listens on addr over TCP; port 0 selects a free port. See Addr.
func (s *server) Start(addr netip.AddrPort) error {
	return s.start(addr, func(addr netip.AddrPort) (net.Listener, error) {
		return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	})
}

// StartIn listens on addr of the in-memory network n.
func (s *server) StartIn(n *Net, addr netip.AddrPort) error {
	return s.start(addr, n.Listen)
}

func (s *server) start(addr netip.AddrPort, listen func(netip.AddrPort) (net.Listener, error)) error {
	s.mu.Lock()
	s.addr, s.listen = addr, listen
	s.mu.Unlock()
	return s.Listen()
}

// Addr returns the listening address, with the port that was selected for port 0.
func (s *server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Close closes all connections and stops listening permanently.
func (s *server) Close() {
	s.stop()
	s.Refuse()
}

// Refuse stops listening and closes all connections. New connections are refused until
// Listen.
func (s *server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	_ = s.http.Close()
	s.http = nil
}

// Listen listens on the same address again after Refuse. It does nothing if the server
// listens already or was never started, and returns ErrClosed after Close.
func (s *server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil || s.listen == nil {
		return nil
	}
	if s.quit.Err() != nil {
		return ErrClosed
	}
	ln, err := s.listen(s.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.addr, err)
	}
	if addr, ok := ln.Addr().(*net.TCPAddr); ok {
		s.addr = addr.AddrPort()
	}
	srv := s.newHTTPServerLocked()
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// Serve accepts connections from ln until Refuse or Close. Listen does not reopen ln.
func (s *server) Serve(ln net.Listener) error {
	s.mu.Lock()
	srv := s.newHTTPServerLocked()
	s.mu.Unlock()
	return srv.Serve(ln)
}

// newHTTPServerLocked creates the HTTP server for a new listener.
func (s *server) newHTTPServerLocked() *http.Server {
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	return s.http
}

// commonFaults are the faults that all stand-ins support for every call.
type commonFaults struct {
	outage bool
	silent bool
	delay  time.Duration
}

// withFaults returns a handler that applies the common faults before next. A delayed call
// is executed even if its caller has left meanwhile, as on a slow network.
func (s *server) withFaults(faults func() commonFaults, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, "bad-request", err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		current := faults()
		if current.silent {
			s.hang(r)
		}
		if current.delay > 0 && !s.sleep(s.quit, current.delay) {
			abortHandler()
		}
		if current.outage {
			writeError(w, http.StatusServiceUnavailable, "unavailable", "outage")
			return
		}
		next(w, r)
	}
}

// hang keeps the connection open without answering until the caller leaves or the stand-in
// closes, and then closes it. It does not return.
func (s *server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.quit.Done():
	}
	abortHandler()
}

// sleep waits for d and reports whether it elapsed, false if ctx or the stand-in ended
// first.
func (s *server) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.quit.Done():
		return false
	}
}

// abortHandler closes the connection of the current request without an answer. It does not
// return.
func abortHandler() {
	panic(http.ErrAbortHandler)
}

// readJSON decodes the request body, in which unknown fields are errors. If it fails, it
// answers 400 and reports false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return false
	}
	return true
}

// writeJSON answers with status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}

// ErrorBody is the response body of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail contains the code and the text of an error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// handleControl registers the handlers of /control: GET answers with the report, POST
// replaces the faults and answers with the new report.
func handleControl[F, R any](mux *http.ServeMux, report func() R, set func(F)) {
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, report())
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if !readJSON(w, r, &faults) {
			return
		}
		set(faults)
		writeJSON(w, http.StatusOK, report())
	})
}
