package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change of one.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: range, watch and transactions.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	srv      *http.Server
}

// newStore starts a store at addr.
func newStore(addr string) (*store, error) {
	s := &store{revision: 10, items: make(map[string]item), changed: make(chan struct{})}
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	s.srv = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.srv.Close() }

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data)
}

func (s *store) write(key string, value []byte) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreateRevision = old.CreateRevision
	}
	s.items[key] = it
	s.note(it)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	case "/-/kv-txn":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range body.Expected {
		if s.items[it.Key].Revision != it.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[it.Key]}})
			return
		}
	}
	for _, it := range body.Writes {
		s.write(it.Key, it.Value)
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
