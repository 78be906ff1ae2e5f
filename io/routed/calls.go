package routed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/core/router"
	"chervilreach/io/front"
	"chervilreach/io/wire"
	"chervilreach/io/wire/wirepb"
)

var errNoConfig = errors.New("no accepted configuration yet")

// live is one call in progress with its caller.
type live struct {
	call *front.Call
	done chan error

	mu sync.Mutex
	// conn is the present offer; frames of others are dropped.
	conn uint64
	// written says that the present offer may have reached its agent.
	written bool
	stream  *wire.Stream
	ended   bool

	// turn is held while a chunk is written, which lasts as long as the caller
	// takes; whoever holds it may take mu, not the other way round.
	turn sync.Mutex
	out  front.Sink
	// delivered counts the chunks that the caller has got, sum hashes them.
	delivered uint64
	sum       *xxhash.Digest
}

// calls are all calls in progress.
type calls struct {
	mu   sync.Mutex
	byID map[fleet.RequestID]*live
}

func newCalls() *calls { return &calls{byID: make(map[fleet.RequestID]*live)} }

func (c *calls) add(id fleet.RequestID, l *live) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byID[id]; ok {
		return false
	}
	c.byID[id] = l
	return true
}

func (c *calls) remove(id fleet.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

func (c *calls) get(id fleet.RequestID) (*live, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.byID[id]
	return l, ok
}

// Dispatch implements front.Dispatcher.
func (d *Daemon) Dispatch(ctx context.Context, call *front.Call, out front.Sink) error {
	l := &live{call: call, done: make(chan error, 1), out: out, sum: xxhash.New()}
	if !d.calls.add(call.ID, l) {
		return &front.RefusedError{Refusal: fleet.Refusal{
			Code: fleet.CodeBadRequest, NotRun: fleet.NotRunTrue, Detail: "a request with this id is in progress",
		}}
	}
	defer d.calls.remove(call.ID)
	defer l.end()
	if !d.loop.Post(router.CallArrived{Call: callOf(call)}) {
		return &front.RefusedError{Refusal: fleet.Refusal{
			Code: fleet.CodeDraining, NotRun: fleet.NotRunTrue, Detail: "this router has ended",
		}}
	}
	select {
	case err := <-l.done:
		return err
	case <-ctx.Done():
		d.loop.Post(router.CallerGone{ID: call.ID})
		// The reducer tells the agent before the call ends here.
		select {
		case err := <-l.done:
			return errors.Join(ctx.Err(), err)
		case <-d.ctx.Done():
			return ctx.Err()
		}
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// callOf returns what the reducer needs to know of a call.
func callOf(c *front.Call) router.Call {
	out := router.Call{
		ID: c.ID, Member: c.Member, Target: c.Target, Urgency: c.Urgency, Idempotent: c.Idempotent,
		Deadline: c.Deadline, Stream: c.Stream, PrefixHash: prefixOf(c),
	}
	if c.Key != "" {
		out.ClaimKey = digest([]byte(c.Member), []byte(c.Key))
		out.BodyHash = digest([]byte(c.Method), []byte(c.Path), c.Body)
	}
	return out
}

// prefixBytes is how much of a body stands for the beginning of its prompt.
const prefixBytes = 512

func prefixOf(c *front.Call) uint64 {
	if c.Target.Service != "" {
		return 0
	}
	return xxhash.Sum64(c.Body[:min(len(c.Body), prefixBytes)])
}

// digest hashes parts so that no two lists of parts run into each other.
func digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, p := range parts {
		writePart(sum, p)
	}
	return hex.EncodeToString(sum.Sum(nil))
}

func writePart(sum hash.Hash, p []byte) {
	part := sha256.Sum256(p)
	_, _ = sum.Write(part[:])
}

// finish gives the caller its result, once.
func (l *live) finish(err error) {
	select {
	case l.done <- err:
	default:
	}
}

// end closes the present stream; nothing is delivered any more.
func (l *live) end() {
	l.mu.Lock()
	l.ended = true
	l.closeStream()
	l.mu.Unlock()
	// A chunk that is being written ends first.
	l.turn.Lock()
	defer l.turn.Unlock()
}

// supersede makes a new offer the present one.
func (l *live) supersede(conn uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.written = false
	l.closeStream()
}

// closeStream closes the present stream without waiting for a connection that
// takes nothing any more. The caller holds mu.
func (l *live) closeStream() {
	if s := l.stream; s != nil {
		go func() { _ = s.Close() }()
		l.stream = nil
	}
}

// mute drops the frames of the present offer from now on, while the agent is
// asked about the request. Its stream stays open for a cancel.
func (l *live) mute(conn uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
}

// take hands the present offer's stream to the caller; nil when there is none.
func (l *live) take(conn uint64) *wire.Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return nil
	}
	s := l.stream
	l.stream = nil
	return s
}

// begin marks the present offer as sent on a stream; false when it has been
// superseded or withdrawn.
func (l *live) begin(conn uint64, s *wire.Stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn || l.ended {
		return false
	}
	l.written = true
	l.stream = s
	return true
}

// withdraw takes back the present offer; false when it has been sent.
func (l *live) withdraw(conn uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn || l.written {
		return false
	}
	l.conn = 0
	return true
}

// delivery is what became of one chunk.
type delivery int

const (
	// delivered chunks went to the caller, skipped ones it had already.
	deliveredFirst delivery = iota
	delivered
	skipped
	// stale chunks belong to an earlier offer.
	stale
	// gap is a chunk after one that is missing.
	gap
	// diverged is a repeated answer that differs from the caller's.
	diverged
	// unread chunks could not be written: the caller has gone.
	unread
)

// deliver writes consecutive chunks to the caller, as far as it lacks them. Of
// chunks with a gap between them it takes those before the gap.
func (l *live) deliver(conn uint64, again *replay, chunks []*wirepb.Data) delivery {
	l.turn.Lock()
	defer l.turn.Unlock()
	if !l.present(conn) {
		return stale
	}
	var payload []byte
	next := l.delivered
	for _, data := range chunks {
		if data.GetOffset() < next {
			if again.differs(l, data) {
				return diverged
			}
			continue
		}
		if data.GetOffset() > next {
			break
		}
		next++
		payload = appendOrTake(payload, data.GetPayload())
	}
	if next == l.delivered {
		if chunks[len(chunks)-1].GetOffset() < next {
			return skipped
		}
		return gap
	}
	return l.write(chunks, payload, next)
}

// write passes on the payload of the chunks up to next. The caller holds turn.
func (l *live) write(chunks []*wirepb.Data, payload []byte, next uint64) delivery {
	result := delivered
	if l.delivered == 0 {
		result = deliveredFirst
		if err := l.out.Begin(int(chunks[0].GetStatus()), chunks[0].GetContentType()); err != nil {
			return unread
		}
	}
	if err := l.out.Chunk(payload); err != nil {
		return unread
	}
	l.delivered = next
	_, _ = l.sum.Write(payload)
	return result
}

// appendOrTake avoids a copy for the common case of one chunk.
func appendOrTake(all, next []byte) []byte {
	if len(all) == 0 {
		return next
	}
	return append(all, next...)
}

// present says whether an offer is the present one.
func (l *live) present(conn uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == conn && !l.ended
}

// replay compares an answer that is run again with what the caller has.
type replay struct {
	sum *xxhash.Digest
}

// differs takes in a chunk that the caller has. After the last such one it says
// whether the answers differ.
func (r *replay) differs(l *live, data *wirepb.Data) bool {
	if r == nil {
		return false
	}
	_, _ = r.sum.Write(data.GetPayload())
	return data.GetOffset()+1 == l.delivered && r.sum.Sum64() != l.sum.Sum64()
}

// offset returns the next chunk that the caller needs.
func (l *live) offset() uint64 {
	l.turn.Lock()
	defer l.turn.Unlock()
	return l.delivered
}
