package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["limit"] = caseLimit }

const (
	// weightsMB is what a replica holds, modelMB the size of each model: three fit.
	weightsMB, modelMB = 230000.0, 65100.0
	// warmTime and diskTime are the times of loads from memory and from disk.
	warmTime, diskTime = 1100 * time.Millisecond, 2 * time.Second
	// lateBy is how late the order without an answer is carried out. The pages give 2 to 12 s.
	lateBy = 11500 * time.Millisecond
	// downFrom and downFor are when the replica crashes after that order has arrived, and for how long it is down.
	downFrom, downFor = 100 * time.Millisecond, 2200 * time.Millisecond
)

// loader is the part of a replica that carries out orders.
type loader struct {
	f       *fleet
	r       *replica
	trouble bool

	mu     sync.Mutex
	busy   bool
	starts int
	// inMemory are the models whose weights are in the memory of the host.
	inMemory []string
	// lateDone reports whether an order has been left without an answer.
	lateDone   bool
	overloaded int
}

// order handles an order as it arrives.
func (l *loader) order(r *replica, o order) int {
	l.mu.Lock()
	late := l.trouble && !l.lateDone && o.Operation == "load" && o.Model == "m4"
	l.lateDone = l.lateDone || late
	l.mu.Unlock()
	if !late {
		return l.carryOut(o)
	}
	l.f.rec.note("replica: %s %s, expected %d, arrives and gets no answer", o.Operation, o.Model, *o.Expected)
	time.AfterFunc(lateBy, func() {
		l.f.rec.note("replica: the order without an answer is carried out now")
		l.carryOut(o)
	})
	time.AfterFunc(downFrom, func() {
		l.f.rec.note("replica: crashes")
		r.stop()
		l.reset()
	})
	time.AfterFunc(downFrom+downFor, func() {
		if err := r.start(); err != nil {
			l.f.rec.note("replica: could not start again: %v", err)
			return
		}
		l.f.rec.note("replica: starts again as %s, empty", r.instance)
	})
	time.Sleep(time.Second)
	return 0
}

// reset empties the replica, as the end of its process does. What is on disk stays.
func (l *loader) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy, l.inMemory = false, nil
	l.starts++
	l.r.mu.Lock()
	l.r.models, l.r.sequence = []string{}, 0
	l.r.mu.Unlock()
}

// carryOut carries out an order if its sequence is the current one.
func (l *loader) carryOut(o order) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.r
	r.mu.Lock()
	defer r.mu.Unlock()
	status, took := http.StatusAccepted, diskTime
	if slices.Contains(l.inMemory, o.Model) {
		took = warmTime
	}
	switch held := slices.Contains(r.models, o.Model); {
	case l.busy || o.Expected != nil && *o.Expected != r.sequence:
		status = http.StatusConflict
	case held == (o.Operation == "load"):
		status = http.StatusOK
	case o.Operation == "unload":
		r.sequence++
		r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == o.Model })
	default:
		r.sequence++
		if float64(len(r.models)+1)*modelMB > weightsMB {
			l.overloaded++
			l.f.rec.note("broken: ordered to load %s beside %v, which is more than %.0f MB; the replica crashes", o.Model, r.models, weightsMB)
			go r.stop()
			return status
		}
		l.busy = true
		start := l.starts
		time.AfterFunc(took, func() { l.loaded(o.Model, start) })
	}
	l.f.rec.note("replica: %s %s, expected %d, token %d: %d; now at %d with %v", o.Operation, o.Model, *o.Expected, o.FencingToken, status, r.sequence, r.models)
	return status
}

// loaded ends a load that began after the given number of starts.
func (l *loader) loaded(model string, start int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starts != start {
		return
	}
	l.busy = false
	l.inMemory = append(l.inMemory, model)
	l.r.mu.Lock()
	l.r.models = append(l.r.models, model)
	l.r.mu.Unlock()
	l.f.rec.note("replica: has loaded %s", model)
}

// caseLimit: an order gets no answer and is carried out late. The replica crashes meanwhile and starts again under its
// id; its sequence starts anew and has the same value again when the order is carried out.
func caseLimit(f *fleet, trouble bool) (int, error) {
	l := &loader{f: f, trouble: trouble, inMemory: []string{"m0", "m1", "m2", "m3", "m4"}}
	l.r = &replica{service: "llm", models: []string{"m0", "m1", "m2"}, slots: 64, order: l.order, busy: func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.busy
	}, atHand: func() ([]string, []string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return slices.Clone(l.inMemory), []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	}, serve: func(r *replica, c *call) bool {
		model := c.req.Header.Get("X-Chervilreach-Model")
		r.mu.Lock()
		held := slices.Contains(r.models, model)
		r.mu.Unlock()
		if !held {
			return c.write("HTTP/1.1 421 Misdirected Request\r\nX-Chervilreach-Attempt-Id: %s\r\nX-Chervilreach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", c.id)
		}
		return serveStream(r, c, false)
	}}
	if err := f.addReplica(l.r); err != nil {
		return 0, err
	}
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	f.config(7, models,
		routeSpec{prefix: "/draft/", kind: "stream", service: "llm", timeoutMS: 15000, aimMS: 1000, gapMS: 300, attempts: 2, resume: true},
		routeSpec{prefix: "/dispute/", kind: "stream", service: "llm", timeoutMS: 35000, aimMS: 4000, gapMS: 300, attempts: 1})
	router, err := f.addRouter()
	if err != nil {
		return 0, err
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	ask := func(path, model, id string, deadline time.Duration) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{addr: router.front()}
			o := c.do(request{method: http.MethodPost, path: path + "x", id: id, body: "{}", deadline: deadline, headers: []string{
				"X-Chervilreach-Model: " + model, "X-Chervilreach-Token-Count: 200,120", "X-Chervilreach-Prompt-Prefix: p" + id + ":200",
			}})
			c.close()
			f.rec.note("client: %s for %s sent at %.3f, status %d, %d bytes, error %v", id, model, f.rec.at(o.sent), o.status, len(o.body), o.err)
		}()
	}
	ask("/dispute/", "m3", "first", 35*time.Second)
	time.Sleep(6 * time.Second)
	ask("/draft/", "m4", "second", 1500*time.Millisecond)
	time.Sleep(3 * time.Second)
	for i, m := range []string{"m5", "m6", "m7"} {
		ask("/dispute/", m, fmt.Sprintf("third-%d", i), 35*time.Second)
	}
	time.Sleep(7500 * time.Millisecond)
	for i, m := range []string{"m5", "m6", "m7"} {
		ask("/dispute/", m, fmt.Sprintf("fourth-%d", i), 6*time.Second)
	}
	wg.Wait()
	time.Sleep(time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overloaded, nil
}
