package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clientHost is the host of all routes.
const clientHost = "ficu95.example"

// client sends requests to a router on connections that it keeps.
type client struct {
	rec    *record
	router *process
	http   *http.Client
}

var lastID atomic.Int64

func newClient(rec *record, router *process) *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{rec: rec, router: router, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// send sends a request and waits for its answer. model is empty for a plain one.
func (c *client) send(path, model string, deadline time.Duration) call {
	got := call{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)), router: c.router.name, path: path, sentAt: time.Now()}
	body := strings.Repeat("x", 600)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.router.front.String()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	// A request that can't be repeated is not sent again by the library.
	req.GetBody = nil
	req.Host = clientHost
	req.Header.Set("X-Chervilreach-Attempt-Id", got.id)
	req.Header.Set("X-Chervilreach-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if model != "" {
		req.Header.Set("X-Chervilreach-Model", model)
		req.Header.Set("X-Chervilreach-Token-Count", "500,30")
		req.Header.Set("X-Chervilreach-Prompt-Prefix", got.id+":500")
	}
	c.rec.add("request %s to %s: POST %s %s", got.id, c.router.name, path, model)
	hc := *c.http
	hc.Timeout = deadline
	resp, err := hc.Do(req)
	if err == nil {
		got.status, got.seal = resp.StatusCode, resp.Header.Get("X-Chervilreach-Response-Seal")
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if got.status != http.StatusOK {
			got.reason = strings.TrimSpace(string(text)) + ", Retry-After " + resp.Header.Get("Retry-After")
		}
	}
	got.err, got.endedAt = err, time.Now()
	c.rec.call(got)
	return got
}

// load sends requests at a pace until stop is closed, each router in turn. It waits for the answers.
func load(clients []*client, path string, pause, deadline time.Duration, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(pause)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
			wg.Go(func() { clients[n%len(clients)].send(path, "", deadline) })
		}
	}
}
