package agentd

import (
	"slices"
	"sync"

	"chervilreach/core/fleet"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

// requestStore holds the bodies and answers of the requests in the agent's journal, and of those
// that have been offered and are neither admitted nor refused yet. It is safe for
// concurrent use.
type requestStore struct {
	mu      sync.Mutex
	entries map[fleet.RequestID]*storedRequest
	// finished lists the finished requests whose answers are retained, the first to finish
	// first.
	finished []fleet.RequestID
	// size is the total size in bytes of the retained answers of finished requests.
	size int
}

// maxRetainedBytes limits the total size of the retained answers of finished requests.
const maxRetainedBytes = 64 << 20

// storedRequest is a request and its answer.
type storedRequest struct {
	// offer is the message that the request came with; nil once the request has finished.
	offer  *wirepb.Offer
	answer *answer
	// admitted reports whether the agent's journal holds the request.
	admitted bool
	// openStreams is the number of open streams on which the request was offered.
	openStreams int
	// size is the size of the retained answer in bytes once the request has finished; 0
	// before.
	size int
}

func newRequestStore() *requestStore {
	return &requestStore{entries: make(map[fleet.RequestID]*storedRequest)}
}

// acquire adds the request of an offer, unless the store already has it, and counts the
// offer's stream. Each acquire must be followed by one release.
func (st *requestStore) acquire(id fleet.RequestID, o *wirepb.Offer) {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.entries[id]
	if !ok {
		e = &storedRequest{offer: o, answer: newAnswer()}
		st.entries[id] = e
	}
	e.openStreams++
}

// release records that the stream of an offer has ended. It deletes a request that was
// never admitted and has no other stream.
func (st *requestStore) release(id fleet.RequestID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.entries[id]
	if !ok {
		return
	}
	e.openStreams--
	if e.openStreams <= 0 && !e.admitted {
		delete(st.entries, id)
	}
}

// admit keeps a request in the store until drop.
func (st *requestStore) admit(id fleet.RequestID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if e, ok := st.entries[id]; ok {
		e.admitted = true
	}
}

// answer returns the answer of a request; nil if the store does not have the request.
func (st *requestStore) answer(id fleet.RequestID) *answer {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.entries[id]
	if !ok {
		return nil
	}
	return e.answer
}

// request returns the offer and the answer of a request. It reports false if the store does
// not have the request.
func (st *requestStore) request(id fleet.RequestID) (*wirepb.Offer, *answer, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.entries[id]
	if !ok {
		return nil, nil, false
	}
	return e.offer, e.answer, true
}

// markFinished discards the body of a request that has run. If the answers of finished
// requests exceed maxRetainedBytes in total, it discards those that finished first, but not
// the latest.
func (st *requestStore) markFinished(id fleet.RequestID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.entries[id]
	if !ok {
		return
	}
	e.offer = nil
	e.size = e.answer.retainedBytes()
	st.size += e.size
	st.finished = append(st.finished, id)
	for st.size > maxRetainedBytes && len(st.finished) > 1 {
		oldest := st.finished[0]
		st.finished = st.finished[1:]
		if old, ok := st.entries[oldest]; ok {
			st.size -= old.size
			old.size = 0
			old.answer.discard()
		}
	}
}

// drop deletes a request and its answer.
func (st *requestStore) drop(id fleet.RequestID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if e, ok := st.entries[id]; ok {
		st.size -= e.size
		delete(st.entries, id)
	}
	if i := slices.Index(st.finished, id); i >= 0 {
		st.finished = slices.Delete(st.finished, i, i+1)
	}
}

// streamTable assigns IDs to the open streams, by which effects refer to them. It is safe
// for concurrent use.
type streamTable struct {
	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]*wire.Stream
}

func newStreamTable() *streamTable { return &streamTable{byID: make(map[uint64]*wire.Stream)} }

// add adds a stream and returns its ID, which is never reused.
func (t *streamTable) add(s *wire.Stream) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.byID[t.lastID] = s
	return t.lastID
}

func (t *streamTable) remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

func (t *streamTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

func (t *streamTable) get(id uint64) (*wire.Stream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	return s, ok
}

// connList lists the connections to routers. It is safe for concurrent use.
type connList struct {
	mu    sync.Mutex
	conns []*wire.Conn
}

func (l *connList) add(c *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

func (l *connList) remove(c *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = slices.DeleteFunc(l.conns, func(other *wire.Conn) bool { return other == c })
}

// newestFirst returns the connections, the latest first.
func (l *connList) newestFirst() []*wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.conns)
	slices.Reverse(out)
	return out
}
