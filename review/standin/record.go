package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the record of one play: what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	runs   []run
	orders []order
	calls  []call
}

// run is one run of a request at a replica.
type run struct {
	id, replica, service, path string
	at, endedAt                time.Time
}

// order is an order that a replica has received.
type order struct {
	replica, holder string
	token           int64
	at              time.Time
}

// call is a request of a client, with its answer.
type call struct {
	id, router, path, seal, reason string
	status                         int
	err                            error
	sentAt, endedAt                time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	// The record is best effort.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// run notes the start of a run. The function that it returns notes its end.
func (r *record) run(id, replica, service, path string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.runs)
	r.runs = append(r.runs, run{id: id, replica: replica, service: service, path: path, at: time.Now()})
	r.line("run of %s (%s) at %s of %s", id, path, replica, service)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[n].endedAt = time.Now()
		r.line("end of the run of %s at %s", id, replica)
	}
}

func (r *record) order(replica, holder string, token int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, order{replica, holder, token, time.Now()})
}

func (r *record) call(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
	r.line("answer of %s to %s (%s) after %d ms: status %d, seal %q, reason %q, error %v", c.router, c.id, c.path,
		c.endedAt.Sub(c.sentAt).Milliseconds(), c.status, c.seal, c.reason, c.err)
}

// since returns the time in seconds since the start of the play.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// servedCount returns the number of requests that were answered with success.
func (r *record) servedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.calls {
		if c.status == http.StatusOK && c.err == nil {
			n++
		}
	}
	return n
}
