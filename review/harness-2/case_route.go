package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["route"] = caseRoute }

// rounds is how often a router is stopped and started again.
const rounds = 4

// caseRoute: routers are stopped and started in turn. As one starts, the entry of a model replica is that of another
// writer: it lacks fields and names another service. The replica writes its own entry with its next heartbeat.
func caseRoute(f *fleet, trouble bool) (int, error) {
	plain := func(r *replica, c *call) bool {
		a := r.begin(c.id)
		time.Sleep(60 * time.Millisecond)
		r.end(a, true)
		body := "answer of " + r.service + " to " + c.id
		return c.write("%sContent-Length: %d\r\n\r\n%s", c.head(r, http.StatusOK), len(body), body)
	}
	model := &replica{service: "llm", models: []string{"m0"}, slots: 64, serve: func(r *replica, c *call) bool {
		if c.req.Header.Get("X-Chervilreach-Model") != "" {
			return serveStream(r, c, false)
		}
		return plain(r, c)
	}}
	if err := f.addReplica(model); err != nil {
		return 0, err
	}
	for range 2 {
		if err := f.addReplica(&replica{service: "api", slots: 6, serve: plain}); err != nil {
			return 0, err
		}
	}
	f.config(7, []string{"m0"},
		routeSpec{prefix: "/once/", kind: "unsafe", service: "api", timeoutMS: 800, aimMS: 300, attempts: 1},
		routeSpec{prefix: "/draft/", kind: "stream", service: "llm", timeoutMS: 15000, aimMS: 1000, gapMS: 300, attempts: 2, resume: true})
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
	apiIDs := make(map[string]bool)
	for n := range rounds {
		p := routers[n%2]
		f.rec.note("%s gets SIGTERM", p.name)
		p.terminate()
		model.writeEntry()
		if trouble {
			// Of the fields of an entry, born, stage, models and atHand are missing.
			f.store.put("servers/"+model.instance, map[string]any{
				"service": "api", "address": model.addr, "zone": model.zone, "version": "v1", "slots": 64, "state": "ready",
				"coldLeftMs": 0, "sequence": 0,
			})
			f.rec.note("another writer: the entry of %s names service api, without born, stage, models and atHand", model.instance)
		}
		if err := p.start(f.bin); err != nil {
			return 0, err
		}
		if err := p.awaitReady(5 * time.Second); err != nil {
			return 0, err
		}
		f.rec.note("%s is ready", p.name)
		var wg sync.WaitGroup
		for i := range 60 {
			id := fmt.Sprintf("u%d-%02d", n, i)
			apiIDs[id] = true
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{addr: p.front()}
				o := c.do(request{method: http.MethodPost, path: "/once/x", id: id, body: "{}", deadline: 1500 * time.Millisecond})
				c.close()
				f.rec.note("client: %s sent at %.3f to %s, status %d, %q, error %v", id, f.rec.at(o.sent), p.name, o.status, o.body, o.err)
			}()
			time.Sleep(25 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		c := &client{addr: p.front()}
		o := c.do(request{method: http.MethodPost, path: "/draft/x", id: fmt.Sprintf("d%d", n), body: "{}", deadline: 4 * time.Second, headers: []string{
			"X-Chervilreach-Model: m0", "X-Chervilreach-Token-Count: 200,120", "X-Chervilreach-Prompt-Prefix: p:200",
		}})
		c.close()
		f.rec.note("client: stream d%d for a model of %s, 2 s after its own entry is back, status %d, %d bytes", n, model.instance, o.status, len(o.body))
	}
	broken := 0
	for _, a := range model.allRuns() {
		if apiIDs[a.ID] {
			broken++
			f.rec.note("broken: %s, for service api in all configurations, was run at %.3f by %s of service %s", a.ID, f.rec.at(a.Started), a.Instance, model.service)
		}
	}
	return broken, nil
}
