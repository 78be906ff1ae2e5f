package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of items on one page of a range.
const maxPageItems = 500

// item is a key with its value, or a change of a key.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store. Its answers are linearizable; it loses nothing that it
// has acknowledged unless restore is called.
type store struct {
	mu       sync.Mutex
	era      int64
	revision int64
	items    map[string]item
	// history has the changes since the revision first, in order.
	history []item
	first   int64
	changed chan struct{}
	away    bool
}

// backup is a copy of the store.
type backup struct {
	revision int64
	items    map[string]item
	takenAt  time.Time
}

func newStore() *store {
	return &store{era: 1, revision: 100, first: 100, items: make(map[string]item), changed: make(chan struct{})}
}

// serve answers clients at the address until the process ends.
func (s *store) serve(addr netip.AddrPort) error {
	l, err := listen(addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	return nil
}

// put writes a key on behalf of the operator, a replica or another writer of the platform.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	return s.putLocked(key, value)
}

func (s *store) putLocked(key string, value []byte) int64 {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.items[key].CreateRevision}
	if it.CreateRevision == 0 {
		it.CreateRevision = s.revision
	}
	s.items[key] = it
	s.note(it)
	return s.revision
}

// remove removes a key.
func (s *store) remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	return s.removeLocked(key)
}

func (s *store) removeLocked(key string) int64 {
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Tombstone: true})
	return s.revision
}

// note records a change and wakes the watches.
func (s *store) note(it item) {
	s.history = append(s.history, it)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyNow returns a copy of the store.
func (s *store) copyNow() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{revision: s.revision, items: maps.Clone(s.items), takenAt: time.Now()}
}

// setAway lets the store be away, or come back with all that it had.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// restore lets the store come back from a copy. Its era rises by one.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.revision, s.first = b.revision, b.revision
	s.items, s.history = maps.Clone(b.items), nil
	s.wake()
}

func (s *store) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// ServeHTTP implements http.Handler. A store that is away resets the connection.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.reset(w) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/-/kv-key":
		s.serveKey(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/-/kv-range":
		s.serveRange(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/-/kv-watch":
		s.serveWatch(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/-/kv-txn":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reset resets the connection if the store is away, and otherwise sets the header with the era.
func (s *store) reset(w http.ResponseWriter) bool {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if !away {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		return false
	}
	resetConn(w)
	return true
}

// resetConn resets the connection of a request.
func resetConn(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answerJSON(w, http.StatusNotFound, map[string]any{"currentRev": s.revision})
		return
	}
	answerJSON(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{it, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		away, era, revision, changed := s.away, s.era, s.revision, s.changed
		known := after >= s.first && after <= revision
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if away {
			resetConn(w)
			return
		}
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
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
	keys := slices.Clone(body.Remove)
	for _, it := range body.Writes {
		keys = append(keys, it.Key)
	}
	if slices.ContainsFunc(keys, func(key string) bool {
		return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
	}) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	for _, it := range body.Expected {
		if s.items[it.Key].Revision != it.Revision {
			answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[it.Key]}})
			return
		}
	}
	for _, it := range body.Writes {
		s.putLocked(it.Key, it.Value)
	}
	for _, key := range body.Remove {
		s.removeLocked(key)
	}
	answerJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}
