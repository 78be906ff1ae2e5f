package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = caseRefused }

// failedOf: the faulty replica fails two of so many requests that it ran, a share of 0.4.
const failedOf = 5

// greyFor is how long the replica is faulty at a time, and how long it is sound between.
const greyFor = 6 * time.Second

// caseRefused: a replica fails a part of the requests that it has run with status 503, which bears its seal and does not
// say that the request has not run. The router must not answer a request that must not be repeated with that status.
func caseRefused(f *fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	n := 0
	var start time.Time // of the requests
	for i := range 7 {
		faulty := i == 0 && trouble
		r := &replica{service: "api", slots: 6, serve: func(r *replica, c *call) bool {
			a := r.begin(c.id)
			time.Sleep(60 * time.Millisecond)
			r.end(a, true)
			status := http.StatusOK
			if faulty {
				mu.Lock()
				if time.Since(start)%(2*greyFor) < greyFor {
					if n++; n%failedOf < 2 {
						status = http.StatusServiceUnavailable
					}
				}
				mu.Unlock()
			}
			body := "answer to " + c.id
			return c.write("%sContent-Length: %d\r\n\r\n%s", c.head(r, status), len(body), body)
		}}
		if err := f.addReplica(r); err != nil {
			return 0, err
		}
	}
	f.config(7, nil, routeSpec{prefix: "/once/", kind: "unsafe", service: "api", timeoutMS: 800, aimMS: 300, attempts: 1})
	var routers []*proc
	for range 2 {
		p, err := f.addRouter()
		if err != nil {
			return 0, err
		}
		routers = append(routers, p)
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	mu.Lock()
	start = time.Now()
	mu.Unlock()
	var wg sync.WaitGroup
	var outcomes []outcome
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{addr: routers[i%2].front()}
			o := c.do(request{method: http.MethodPost, path: "/once/x", id: fmt.Sprintf("u%04d", i), body: "{}", deadline: 1500 * time.Millisecond})
			c.close()
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		}()
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	ran := make(map[string]string)
	for _, r := range f.replicas {
		for _, a := range r.allRuns() {
			ran[a.ID] = a.Instance
		}
	}
	broken := 0
	for _, o := range outcomes {
		f.rec.note("client: %s sent at %.3f, status %d, seal %q, retry after %q, error %v; run by %q", o.id, f.rec.at(o.sent), o.status, o.seal, o.retryAfter, o.err, ran[o.id])
		if ran[o.id] != "" && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) {
			broken++
		}
	}
	return broken, nil
}
