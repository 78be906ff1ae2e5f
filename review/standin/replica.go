package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// replicaSpec describes a replica.
type replicaSpec struct {
	id, service, zone string
	addr              netip.AddrPort
	slots             int
	work              time.Duration
	// models are the models that it holds at its start. It is nil for a service without models.
	models []string
	// events is the number of events of a stream, gap the time before each.
	events int
	gap    time.Duration
	load   time.Duration
}

// replica is a stand-in of a replica.
type replica struct {
	spec   replicaSpec
	store  *store
	rec    *record
	server *http.Server
	stop   context.CancelFunc
	born   int64

	mu       sync.Mutex
	models   []string
	busy     bool
	sequence int64
	running  int
	draining bool
	// slow reports whether some of the requests that arrive are slow; slowCount counts them all.
	slow      bool
	slowCount int
}

// startReplica starts a replica, which writes its entry at once and then each heartbeat.
func startReplica(s *store, rec *record, spec replicaSpec) (*replica, error) {
	l, err := listen(spec.addr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &replica{spec: spec, store: s, rec: rec, stop: stop, models: slices.Clone(spec.models), born: time.Now().UnixMilli()}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	rec.add("replica %s of %s starts at %s", spec.id, spec.service, spec.addr)
	r.writeEntry()
	go r.beat(ctx)
	return r, nil
}

// beat writes the entry again and again.
func (r *replica) beat(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.writeEntry()
		}
	}
}

// crash ends the replica. Its entry stays if it has one.
func (r *replica) crash() {
	r.stop()
	_ = r.server.Close()
	r.rec.add("replica %s exits", r.spec.id)
}

// drain marks the replica as draining.
func (r *replica) drain() int64 {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.writeEntry()
}

// unlist removes the entry of the replica, which serves on and says in its answers that it leaves. It
// returns the revision.
func (r *replica) unlist() int64 {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.stop()
	return r.store.remove("servers/" + r.spec.id)
}

// leave ends the replica and removes its entry.
func (r *replica) leave() {
	r.stop()
	_ = r.server.Close()
	r.store.remove("servers/" + r.spec.id)
	r.rec.add("replica %s has left", r.spec.id)
}

// setWork sets the duration of a plain request.
func (r *replica) setWork(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spec.work = d
}

// setSlow makes the replica slow for part of its requests.
func (r *replica) setSlow(slow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = slow
	r.rec.add("replica %s: slow for part of its requests: %t", r.spec.id, slow)
}

const (
	// At a slow replica, slowRequests of slowOf requests take slowFactor times as long.
	slowRequests = 4
	slowOf       = 9
	slowFactor   = 8
)

func (r *replica) modelState() []map[string]any {
	list := []map[string]any{}
	for _, m := range r.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// writeEntry writes the entry to the store and returns the revision; 0 if the store is away.
func (r *replica) writeEntry() int64 {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.spec.service, "address": r.spec.addr.String(), "zone": r.spec.zone, "version": "v1", "slots": r.spec.slots,
		"state": "ready", "coldLeftMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.draining {
		entry["state"] = "draining"
	}
	if r.spec.models != nil {
		entry["stage"], entry["models"] = "colocated", r.modelState()
	}
	r.mu.Unlock()
	data, _ := json.Marshal(entry)
	return r.store.put("servers/"+r.spec.id, data)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("X-Chervilreach-Attempt-Id"); id != "" {
		w.Header().Set("X-Chervilreach-Attempt-Id", id)
	}
	r.mu.Lock()
	if r.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	if want := req.Header.Get("X-Chervilreach-Expect-Instance"); want != "" && want != r.spec.id {
		w.Header().Set("X-Chervilreach-Instance-Id", r.spec.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		w.Header().Set("X-Chervilreach-Instance-Id", r.spec.id)
	case "/-/report":
		r.serveReport(w)
	case "/-/order":
		r.serveOrder(w, req)
	default:
		r.serveRequest(w, req)
	}
}

func (r *replica) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stage := ""
	if r.spec.models != nil {
		stage = "colocated"
	}
	answerJSON(w, http.StatusOK, map[string]any{
		"stage": stage, "models": r.modelState(), "busy": r.busy, "sequence": r.sequence, "waiting": 0, "running": r.running,
		"kvUsed": 0, "kvTotal": 133007, "handles": 0, "born": r.born, "coming": []string{},
		"state":  map[bool]string{false: "ready", true: "draining"}[r.draining],
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": []string{}},
	})
}

// serveOrder carries out an order. Fencing tokens are recorded and not checked, as requireFence is
// false on our deployments.
func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		FencingToken                      int64
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 || r.spec.models == nil || o.Adapter != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusAccepted
	holds := slices.Contains(r.models, o.Model)
	switch {
	case r.busy || o.Expected != nil && *o.Expected != r.sequence:
		status = http.StatusConflict
	case holds == (o.Operation == "load"):
		status = http.StatusOK
	default:
		r.busy = true
		r.sequence++
		d := 50 * time.Millisecond
		if o.Operation == "load" {
			d = r.spec.load
		}
		time.AfterFunc(d, func() { r.finishOrder(o.Operation, o.Model) })
	}
	r.rec.order(r.spec.id, o.Holder, o.FencingToken)
	r.rec.add("order at %s: %s %s, holder %s, fencing token %d: %d", r.spec.id, o.Operation, o.Model, o.Holder, o.FencingToken, status)
	w.WriteHeader(status)
}

func (r *replica) finishOrder(operation, model string) {
	r.mu.Lock()
	r.busy = false
	r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == model })
	if operation == "load" {
		r.models = append(r.models, model)
	}
	r.mu.Unlock()
	r.writeEntry()
}

// serveRequest runs a client's request.
func (r *replica) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Chervilreach-Attempt-Id")
	model, _, _ := strings.Cut(req.Header.Get("X-Chervilreach-Model"), "/")
	r.mu.Lock()
	refusal := 0
	switch {
	case id == "":
		refusal = http.StatusBadRequest
	case r.spec.models != nil && !slices.Contains(r.models, model):
		refusal = http.StatusMisdirectedRequest
	case r.running >= r.spec.slots:
		refusal = http.StatusServiceUnavailable
	default:
		r.running++
	}
	r.mu.Unlock()
	if refusal != 0 {
		w.Header().Set("X-Chervilreach-Not-Executed", "1")
		w.WriteHeader(refusal)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	defer r.rec.run(id, r.spec.id, r.spec.service, req.URL.Path)()
	r.mu.Lock()
	work, gap, drops := r.spec.work, r.spec.gap, true
	if r.slow {
		r.slowCount++
	}
	if r.slow && (r.slowCount-1)%slowOf < slowRequests {
		// Most replicas drop a request when its connection closes. This one goes on with its slow ones.
		work, gap, drops = slowFactor*work, slowFactor*gap, false
		r.rec.add("the run of %s at %s is slow", id, r.spec.id)
	}
	r.mu.Unlock()
	w.Header().Set("X-Chervilreach-Response-Seal", "seal."+r.spec.id+"."+id)
	if r.spec.models == nil {
		time.Sleep(work)
		body := fmt.Sprintf("%-800s", "answer of "+r.spec.service+" ("+r.spec.id+") to "+id)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Chervilreach-Weight-Versions", "1")
	next := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	for n := next; n < r.spec.events; n++ {
		time.Sleep(gap)
		if drops && req.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil && drops {
			return
		}
		w.(http.Flusher).Flush()
	}
}
