package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["config"] = caseConfig }

const (
	// idleRoutes is how many routes the configuration grows by.
	idleRoutes = 410
	// applyTime is the bound configApplyMs.
	applyTime = 2 * time.Second
	// cutFor is how long the machines beside the replicas are cut off from the store each time.
	cutFor = 7 * time.Second
)

// caseConfig: the machines beside the replicas are partitioned from the store for some seconds. The entry machines are
// not, and must have each version of the configuration in force within applyTime.
func caseConfig(f *fleet, trouble bool) (int, error) {
	f.agentLinks = true
	for range 4 {
		r := &replica{service: "llm", models: []string{"m0"}, slots: 64, serve: func(r *replica, c *call) bool { return serveStream(r, c, false) }}
		if err := f.addReplica(r); err != nil {
			return 0, err
		}
	}
	api := &replica{service: "api", slots: 6, serve: func(r *replica, c *call) bool {
		a := r.begin(c.id)
		defer r.end(a, true)
		body := "answer to " + c.id
		return c.write("%sContent-Length: %d\r\n\r\n%s", c.head(r, http.StatusOK), len(body), body)
	}}
	if err := f.addReplica(api); err != nil {
		return 0, err
	}
	specs := []routeSpec{
		{prefix: "/draft/", kind: "stream", service: "llm", timeoutMS: 15000, aimMS: 1000, gapMS: 300, attempts: 2, resume: true},
		{prefix: "/look/", kind: "safe", service: "api", timeoutMS: 800, aimMS: 300, attempts: 2},
	}
	for i := range idleRoutes {
		specs = append(specs, routeSpec{prefix: fmt.Sprintf("/idle%d/", i), kind: "safe", service: "api", timeoutMS: 800, aimMS: 300, attempts: 2})
	}
	f.config(7, []string{"m0"}, specs...)
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
	version, broken := 7, 0
	var mu sync.Mutex
	for window := range 3 {
		if trouble {
			f.rec.note("the machines beside the replicas are cut off from the store")
			for _, l := range f.links {
				l.setCut(true)
			}
		}
		healAt := time.Now().Add(cutFor)
		time.Sleep(300 * time.Millisecond)
		for range 2 {
			version++
			specs = append(specs, routeSpec{prefix: fmt.Sprintf("/new%d/", version), kind: "safe", service: "api", timeoutMS: 800, aimMS: 300, attempts: 2})
			f.config(version, []string{"m0"}, specs...)
			acked := time.Now()
			f.rec.note("operator: version %d is acknowledged", version)
			var wg sync.WaitGroup
			for _, p := range routers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					n := look(f, p, version, acked)
					mu.Lock()
					defer mu.Unlock()
					broken += n
				}()
			}
			wg.Wait()
		}
		time.Sleep(time.Until(healAt))
		for _, l := range f.links {
			l.setCut(false)
		}
		f.rec.note("healed after window %d", window)
		time.Sleep(4 * time.Second)
	}
	return broken, nil
}

// look asks for the route that a version has added, until it is served and the bound has passed. It returns the number of
// requests that were sent later than the bound allows and were refused as an older version says.
func look(f *fleet, p *proc, version int, acked time.Time) int {
	c := &client{addr: p.front()}
	defer c.close()
	n, inForce := 0, time.Duration(0)
	for i := 0; time.Since(acked) < 3200*time.Millisecond; i++ {
		id := fmt.Sprintf("v%d-%s-%d", version, p.name, i)
		o := c.do(request{method: http.MethodGet, path: fmt.Sprintf("/new%d/x", version), id: id, deadline: time.Second})
		after := o.sent.Sub(acked)
		if o.status == http.StatusOK && inForce == 0 {
			inForce = after
		}
		if o.status == http.StatusNotFound && after > applyTime {
			n++
			f.rec.note("broken: %s sent %.3f s after the acknowledgement of version %d, status %d from %s", id, after.Seconds(), version, o.status, p.name)
		}
		time.Sleep(25 * time.Millisecond)
	}
	f.rec.note("client: version %d is in force at %s after %.3f s", version, p.name, inForce.Seconds())
	return n
}
