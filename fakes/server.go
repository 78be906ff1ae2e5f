// Package fakes holds small stand-ins for what the platform gives: the
// key-value service, the weight store, model engines with plain services, and
// the host list. Each is an http.Handler that can also listen by itself. Faults
// can be switched on and off by methods and, over HTTP, at /control.
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

// maxBody bounds what a stand-in reads of one request, in bytes.
const maxBodyBytes = 64 << 20

// ErrClosed says that a stand-in was used after Close.
var ErrClosed = errors.New("stand-in is closed")

// server listens for a stand-in. The zero value is not usable.
type server struct {
	handler http.Handler
	quit    context.Context
	stop    context.CancelFunc

	mu     sync.Mutex
	addr   netip.AddrPort
	listen func(netip.AddrPort) (net.Listener, error)
	http   *http.Server
}

func newServer(handler http.Handler) *server {
	quit, stop := context.WithCancel(context.Background())
	return &server{handler: handler, quit: quit, stop: stop}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Start listens on the address; port 0 chooses one.
func (s *server) Start(addr netip.AddrPort) error {
	return s.start(addr, func(addr netip.AddrPort) (net.Listener, error) {
		return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	})
}

// StartIn listens on the address of a network in memory.
func (s *server) StartIn(n *Net, addr netip.AddrPort) error {
	return s.start(addr, n.Listen)
}

func (s *server) start(addr netip.AddrPort, listen func(netip.AddrPort) (net.Listener, error)) error {
	s.mu.Lock()
	s.addr, s.listen = addr, listen
	s.mu.Unlock()
	return s.Listen()
}

// Addr returns the address that Start chose.
func (s *server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Close ends all connections and stops listening for good.
func (s *server) Close() {
	s.stop()
	s.Refuse()
}

// Refuse stops listening and cuts all connections; new ones are refused.
func (s *server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	_ = s.http.Close()
	s.http = nil
}

// Accept listens again, on the same address, after Refuse.
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

// Serve answers on the connections of a listener, until Refuse or Close. It
// can't be listened on again by Accept.
func (s *server) Serve(ln net.Listener) error {
	s.mu.Lock()
	srv := s.newHTTPServerLocked()
	s.mu.Unlock()
	return srv.Serve(ln)
}

func (s *server) newHTTPServerLocked() *http.Server {
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	return s.http
}

// trouble is what all stand-ins have among their faults.
type commonFaults struct {
	outage bool
	silent bool
	delay  time.Duration
}

// guard applies the faults that strike every call. A delayed call is carried
// out even when its caller has given up by then, as on a slow network.
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

// hang swallows a request: it holds the connection open without an answer
// until the caller gives up or the stand-in closes.
func (s *server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.quit.Done():
	}
	abortHandler()
}

// sleep waits unless the caller gives up or the stand-in closes first.
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

// drop cuts the connection of the request that is being served.
func abortHandler() {
	panic(http.ErrAbortHandler)
}

// readJSON decodes a request's body and answers 400 when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return false
	}
	return true
}

// writeJSON answers with a JSON body.
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

// ErrorBody is the body of refusals.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why a request was refused.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// control serves /control: GET reports, POST replaces the faults.
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
