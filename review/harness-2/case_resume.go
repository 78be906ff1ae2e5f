package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["resume"] = caseResume }

const (
	// streamEvents and eventTime are the length of a stream.
	streamEvents = 40
	eventTime    = 50 * time.Millisecond
	// spoiledOf: one answer in so many of the faulty replica is spoiled, which is a share of 0.05.
	spoiledOf = 20
	// spoilFor is how long the replica is faulty at a time, and how long it is sound between.
	spoilFor = 5 * time.Second
	// workLimit is how long a replica may go on with a request that goes on at another one.
	workLimit = 400 * time.Millisecond
)

// caseResume: a replica spoils a part of its answers, and is one of those that do not drop a request when its
// connection closes. Streams that may be resumed go on at another replica while the first still works on them.
func caseResume(f *fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	answers := 0
	var start time.Time // of the requests
	for i := range 2 {
		faulty := i == 0
		r := &replica{service: "llm", models: []string{"m0"}, slots: 64, serve: func(r *replica, c *call) bool {
			spoil := false
			if faulty && trouble {
				mu.Lock()
				if time.Since(start)%(2*spoilFor) < spoilFor {
					answers++
					spoil = answers%spoiledOf == 0
				}
				mu.Unlock()
			}
			return serveStream(r, c, spoil)
		}}
		if err := f.addReplica(r); err != nil {
			return 0, err
		}
	}
	f.config(7, []string{"m0"}, routeSpec{prefix: "/draft/", kind: "stream", service: "llm", timeoutMS: 15000, aimMS: 1000, gapMS: 300, attempts: 2, resume: true})
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
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := request{
				method: http.MethodPost, path: "/draft/x", id: fmt.Sprintf("s%04d", i), body: "{}", deadline: 15 * time.Second,
				headers: []string{"X-Chervilreach-Model: m0", "X-Chervilreach-Token-Count: 200,120", fmt.Sprintf("X-Chervilreach-Prompt-Prefix: a%d:200", i)},
			}
			c := &client{addr: routers[i%2].front()}
			o := c.do(q)
			c.close()
			f.rec.note("client: %s sent at %.3f, status %d, %d bytes, error %v", o.id, f.rec.at(o.sent), o.status, len(o.body), o.err)
		}()
		time.Sleep(140 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return overlaps(f), nil
}

// serveStream runs a stream to its end, whether its connection is open or not. If spoil is true, it writes bytes that
// are no part of an answer after the tenth event.
func serveStream(r *replica, c *call, spoil bool) bool {
	a := r.begin(c.id)
	defer r.end(a, true)
	ok := c.write("%sX-Chervilreach-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.head(r, http.StatusOK))
	for id := c.lastEventID() + 1; id < streamEvents; id++ {
		time.Sleep(eventTime)
		r.event(a)
		if spoil && id == 10 {
			c.write("#spoiled#\r\n")
		}
		ev := fmt.Sprintf("id: %d\ndata: token %d for %s\n\n", id, id, c.id)
		ok = c.write("%x\r\n%s\r\n", len(ev), ev) && ok
	}
	return c.write("0\r\n\r\n") && ok
}

// overlaps counts the requests that went on at a replica while the one before worked on for more than workLimit.
func overlaps(f *fleet) int {
	byID := make(map[string][]run)
	for _, r := range f.replicas {
		for _, a := range r.allRuns() {
			byID[a.ID] = append(byID[a.ID], a)
		}
	}
	n := 0
	for id, list := range byID {
		sort.Slice(list, func(i, j int) bool { return list[i].Started.Before(list[j].Started) })
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			f.rec.note("replicas: %s ran at %s from %.3f to %.3f, and at %s from %.3f to %.3f", id, before.Instance,
				f.rec.at(before.Started), f.rec.at(before.Ended), after.Instance, f.rec.at(after.Started), f.rec.at(after.Ended))
			if before.Instance != after.Instance && before.Ended.Sub(after.Started) > workLimit {
				n++
				f.rec.note("broken: %s still ran %s for %.3f s after it went on at %s", before.Instance, id, before.Ended.Sub(after.Started).Seconds(), after.Instance)
			}
		}
	}
	return n
}
