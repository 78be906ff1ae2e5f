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
	// warmTime and diskTime are the times of loads from memory and from disk,
	// coldTime is that of others.
	warmTime, diskTime, coldTime = 1100 * time.Millisecond, 2 * time.Second, 8600 * time.Millisecond
	// lateBy is how late the order without an answer is carried out. The pages give 2 to 12 s.
	lateBy = 11500 * time.Millisecond
	// downFrom and downFor are when the replica crashes after that order has arrived, and for how long it is down.
	downFrom, downFor = 100 * time.Millisecond, 2200 * time.Millisecond
	// replicaCount is the size of the service. One replica of four crashes, which is the site's share.
	replicaCount = 4
)

var (
	// idleModels fill the first replica at the start and have no requests, busyModels the others, which always have.
	idleModels, busyModels = []string{"m0", "m1", "m2"}, []string{"m8", "m9", "m10"}
	// coldModels are on the first replica's disk, m3 and m4 also in its host's memory.
	coldModels = []string{"m3", "m4", "m5", "m6", "m7"}
)

// loader is the part of a replica that carries out orders.
type loader struct {
	f       *fleet
	r       *replica
	trouble bool

	mu     sync.Mutex
	busy   bool
	starts int
	// inMemory and onDisk are the models whose weights are in the memory and on the disk of the host.
	inMemory, onDisk []string
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
	l.f.rec.note("replica %s: %s %s, expected %d, arrives and gets no answer", r.instance, o.Operation, o.Model, *o.Expected)
	time.AfterFunc(lateBy, func() {
		l.f.rec.note("replica %s: the order without an answer is carried out now", r.instance)
		l.carryOut(o)
	})
	time.AfterFunc(downFrom, func() {
		l.f.rec.note("replica %s: crashes", r.instance)
		r.stop()
		l.reset()
	})
	time.AfterFunc(downFrom+downFor, func() {
		if err := r.start(); err != nil {
			l.f.rec.note("replica %s: could not start again: %v", r.instance, err)
			return
		}
		l.f.rec.note("replica %s: starts again under its id, empty", r.instance)
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
	status, took := http.StatusAccepted, coldTime
	switch {
	case slices.Contains(l.inMemory, o.Model):
		took = warmTime
	case slices.Contains(l.onDisk, o.Model):
		took = diskTime
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
	l.f.rec.note("replica %s: %s %s, expected %d, token %d: %d; now at %d with %v", r.instance, o.Operation, o.Model, *o.Expected, o.FencingToken, status, r.sequence, r.models)
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
	l.f.rec.note("replica %s: has loaded %s", l.r.instance, model)
}

// newLoader starts a replica that has the models loaded.
func newLoader(f *fleet, trouble bool, loaded, inMemory, onDisk []string) (*loader, error) {
	l := &loader{f: f, trouble: trouble, inMemory: inMemory, onDisk: onDisk}
	l.r = &replica{service: "llm", models: loaded, slots: 64, order: l.order, busy: func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.busy
	}, atHand: func() ([]string, []string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return slices.Clone(l.inMemory), l.onDisk
	}, serve: func(r *replica, c *call) bool {
		r.mu.Lock()
		held := slices.Contains(r.models, c.req.Header.Get("X-Chervilreach-Model"))
		r.mu.Unlock()
		if !held {
			return c.write("HTTP/1.1 421 Misdirected Request\r\nX-Chervilreach-Attempt-Id: %s\r\nX-Chervilreach-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", c.id)
		}
		return serveStream(r, c, false)
	}}
	return l, f.addReplica(l.r)
}

// caseLimit: an order gets no answer and is carried out late. The replica crashes meanwhile and starts again under its
// id; its sequence starts anew and has the same value again when the order is carried out.
func caseLimit(f *fleet, trouble bool) (int, error) {
	var loaders []*loader
	for i := range replicaCount {
		loaded, inMemory, onDisk := busyModels, busyModels, busyModels
		if i == 0 {
			loaded, inMemory = idleModels, append(slices.Clone(idleModels), "m3", "m4")
			onDisk = append(slices.Clone(idleModels), coldModels...)
		}
		l, err := newLoader(f, trouble && i == 0, slices.Clone(loaded), slices.Clone(inMemory), onDisk)
		if err != nil {
			return 0, err
		}
		loaders = append(loaders, l)
	}
	f.config(7, slices.Concat(idleModels, coldModels, busyModels),
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
	send := func(path, model, id string, deadline time.Duration) {
		c := &client{addr: router.front()}
		defer c.close()
		o := c.do(request{method: http.MethodPost, path: path + "x", id: id, body: "{}", deadline: deadline, headers: []string{
			"X-Chervilreach-Model: " + model, "X-Chervilreach-Token-Count: 200,120", "X-Chervilreach-Prompt-Prefix: p" + id + ":200",
		}})
		f.rec.note("client: %s for %s sent at %.3f, status %d, %d bytes, error %v", id, model, f.rec.at(o.sent), o.status, len(o.body), o.err)
	}
	ask := func(path, model, id string, deadline time.Duration) {
		wg.Go(func() { send(path, model, id, deadline) })
	}
	done := make(chan struct{})
	for i := range 2 * (replicaCount - 1) * len(busyModels) {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					send("/dispute/", busyModels[i%len(busyModels)], fmt.Sprintf("busy-%d-%d", i, n), 35*time.Second)
				}
			}
		})
	}
	time.Sleep(time.Second)
	ask("/dispute/", "m3", "first", 35*time.Second)
	time.Sleep(6 * time.Second)
	ask("/draft/", "m4", "second", 1500*time.Millisecond)
	time.Sleep(3800 * time.Millisecond)
	for i, m := range []string{"m5", "m6", "m7"} {
		ask("/dispute/", m, fmt.Sprintf("third-%d", i), 35*time.Second)
	}
	time.Sleep(6700 * time.Millisecond)
	for i, m := range []string{"m5", "m6", "m7"} {
		ask("/dispute/", m, fmt.Sprintf("fourth-%d", i), 6*time.Second)
	}
	time.Sleep(3 * time.Second)
	close(done)
	wg.Wait()
	time.Sleep(time.Second)
	overloaded := 0
	for _, l := range loaders {
		l.mu.Lock()
		overloaded += l.overloaded
		l.mu.Unlock()
	}
	return overloaded, nil
}
