package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one execution of a request by a replica.
type run struct {
	ID, Instance   string
	Started, Ended time.Time
	Done           bool
	Events         int
}

// arrival is a request that has reached a replica.
type arrival struct {
	ID, Instance string
	At           time.Time
}

// call is a request to a replica with the connection on which it came.
type call struct {
	req  *http.Request
	body []byte
	conn net.Conn
	id   string
}

// head returns the beginning of a sealed answer.
func (c *call) head(r *replica, status int, extra ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Chervilreach-Attempt-Id: %s\r\nX-Chervilreach-Response-Seal: seal-%s-%s\r\n%s",
		status, http.StatusText(status), c.id, r.instance, c.id, strings.Join(append(extra, ""), "\r\n"))
}

// replica is a stand-in of a replica. It serves one request at a time on a connection.
type replica struct {
	service, zone, addr, instance string
	store                         *store
	models                        []string
	slots                         int
	// serve answers a request and reports whether the connection stays open.
	serve func(r *replica, c *call) bool
	// order answers an order with a status; nil refuses all.
	order func(r *replica, o order) int
	// busy reports whether an order is in progress, atHand returns the models with weights in memory and on disk; both
	// may be nil.
	busy   func() bool
	atHand func() (inMemory, onDisk []string)

	mu       sync.Mutex
	l        net.Listener
	born     int64
	state    string
	sequence int64
	runs     []*run
	active   map[*run]bool
	arrivals []arrival
	conns    map[net.Conn]bool
	stopBeat chan struct{}
}

// order is the body of an order, with its time of arrival.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencingToken"`
	Expected     *int64 `json:"expected"`
	at           time.Time
}

// beat is the interval of heartbeats.
const beat = 1200 * time.Millisecond

// start starts the replica and its heartbeats.
func (r *replica) start() error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = listen(r.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.l, r.born, r.state, r.sequence = l, time.Now().UnixMilli(), "ready", 0
	r.active, r.conns, r.stopBeat = make(map[*run]bool), make(map[net.Conn]bool), make(chan struct{})
	stop := r.stopBeat
	r.mu.Unlock()
	go r.accept(l)
	r.writeEntry()
	go func() {
		t := time.NewTicker(beat)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				r.writeEntry()
			}
		}
	}()
	return nil
}

// stop ends the replica with all its connections, unless it is down. Its entry stays.
func (r *replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopBeat == nil {
		return
	}
	close(r.stopBeat)
	r.stopBeat = nil
	_ = r.l.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *replica) modelState() []map[string]any {
	list := []map[string]any{}
	for _, m := range r.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// orderState returns whether an order is in progress, and where weights are at hand.
func (r *replica) orderState() (busy bool, inMemory, onDisk []string) {
	inMemory, onDisk = r.models, r.models
	if r.atHand != nil {
		inMemory, onDisk = r.atHand()
	}
	return r.busy != nil && r.busy(), inMemory, onDisk
}

func (r *replica) writeEntry() {
	_, inMemory, onDisk := r.orderState()
	r.mu.Lock()
	entry := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"coldLeftMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.models != nil {
		entry["stage"], entry["models"] = "colocated", r.modelState()
		entry["atHand"] = map[string]any{"inMemory": inMemory, "onDisk": onDisk}
	}
	r.mu.Unlock()
	r.store.put("servers/"+r.instance, entry)
}

func (r *replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serveConn(c)
	}
}

func (r *replica) serveConn(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.dispatch(&call{req: req, body: body, conn: c, id: req.Header.Get("X-Chervilreach-Attempt-Id")}) {
			return
		}
	}
}

// dispatch serves one request. It reports whether the connection stays open.
func (r *replica) dispatch(c *call) bool {
	if want := c.req.Header.Get("X-Chervilreach-Expect-Instance"); want != "" && want != r.instance {
		return c.write("HTTP/1.1 421 Misdirected Request\r\nX-Chervilreach-Instance-Id: %s\r\nX-Chervilreach-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.instance, c.id)
	}
	switch c.req.URL.Path {
	case "/health":
		return c.write("HTTP/1.1 200 OK\r\nX-Chervilreach-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.instance)
	case "/-/report":
		return r.serveReport(c)
	case "/-/order":
		return r.serveOrder(c)
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{c.id, r.instance, time.Now()})
	r.mu.Unlock()
	return r.serve(r, c)
}

func (c *call) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(c.conn, format, args...)
	return err == nil
}

func (c *call) json(status int, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return c.write("HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(data), data)
}

func (r *replica) serveReport(c *call) bool {
	busy, inMemory, onDisk := r.orderState()
	r.mu.Lock()
	runs := [][]any{}
	for a := range r.active {
		runs = append(runs, []any{a.ID, 100, a.Events, 5})
	}
	report := map[string]any{
		"stage": "colocated", "models": r.modelState(), "busy": busy, "sequence": r.sequence, "waiting": 0, "running": len(r.active),
		"kvUsed": 0, "kvTotal": 130000, "handles": 0, "state": r.state, "born": r.born, "coming": []string{}, "runs": runs,
		"atHand": map[string]any{"inMemory": inMemory, "onDisk": onDisk},
	}
	r.mu.Unlock()
	return c.json(http.StatusOK, report)
}

func (r *replica) serveOrder(c *call) bool {
	var o order
	if json.Unmarshal(c.body, &o) != nil || r.order == nil {
		return c.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}
	o.at = time.Now()
	status := r.order(r, o)
	if status == 0 {
		// The answer is lost with its connection.
		return false
	}
	return c.write("HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
}

// begin notes the start of a run.
func (r *replica) begin(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &run{ID: id, Instance: r.instance, Started: time.Now()}
	r.runs = append(r.runs, a)
	r.active[a] = true
	return a
}

// end notes the end of a run.
func (r *replica) end(a *run, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Ended, a.Done = time.Now(), done
	delete(r.active, a)
}

func (r *replica) event(a *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Events++
}

// allRuns returns copies of all runs.
func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]run, 0, len(r.runs))
	for _, a := range r.runs {
		list = append(list, *a)
	}
	return list
}

// lastEventID returns the last event that the caller of a stream has; -1 if none.
func (c *call) lastEventID() int {
	if n, err := strconv.Atoi(c.req.Header.Get("Last-Event-Id")); err == nil {
		return n
	}
	return -1
}
