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

// activeCall is a call in progress and the delivery of its answer to the caller.
type activeCall struct {
	call *front.Call
	// done receives the result of the call; it has room for one.
	done chan error

	// mu guards the fields up to stopped.
	mu sync.Mutex
	// exchangeID identifies the current offer or tombstone request; 0 if there is
	// none. Answer chunks of other exchanges are dropped.
	exchangeID uint64
	// offerSent reports whether the current offer may have reached its agent.
	offerSent bool
	stream    *wire.Stream
	stopped   bool

	// writeMu is held while chunks are written, which takes as long as the caller
	// takes to read them. mu may be locked while writeMu is held, but not the other
	// way round.
	writeMu sync.Mutex
	out     front.Sink
	// deliveredChunks is the number of chunks written to the caller; hash is the hash of
	// their payloads.
	deliveredChunks uint64
	hash            *xxhash.Digest
}

// calls holds the calls in progress by request ID. It is safe for concurrent use.
type calls struct {
	mu   sync.Mutex
	byID map[fleet.RequestID]*activeCall
}

func newCalls() *calls { return &calls{byID: make(map[fleet.RequestID]*activeCall)} }

// add adds a call. It reports false if a call with the same ID is in progress.
func (c *calls) add(id fleet.RequestID, ac *activeCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byID[id]; ok {
		return false
	}
	c.byID[id] = ac
	return true
}

func (c *calls) remove(id fleet.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

func (c *calls) get(id fleet.RequestID) (*activeCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ac, ok := c.byID[id]
	return ac, ok
}

// Dispatch implements front.Dispatcher. It posts the call to the reducer and waits
// until the reducer finishes or refuses it.
func (d *Daemon) Dispatch(ctx context.Context, call *front.Call, out front.Sink) error {
	ac := &activeCall{call: call, done: make(chan error, 1), out: out, hash: xxhash.New()}
	if !d.calls.add(call.ID, ac) {
		return &front.RefusedError{Refusal: fleet.Refusal{
			Code: fleet.CodeBadRequest, NotRun: fleet.NotRunTrue, Detail: "a request with this id is in progress",
		}}
	}
	defer d.calls.remove(call.ID)
	defer ac.stop()
	if !d.loop.Post(router.CallArrived{Call: routerCall(call)}) {
		return &front.RefusedError{Refusal: fleet.Refusal{
			Code: fleet.CodeDraining, NotRun: fleet.NotRunTrue, Detail: "this router has ended",
		}}
	}
	select {
	case err := <-ac.done:
		return err
	case <-ctx.Done():
		d.loop.Post(router.CallerDisconnected{ID: call.ID})
		// Keep the call registered until the reducer has ended it: canceling the offer at the
		// agent uses it.
		select {
		case err := <-ac.done:
			return errors.Join(ctx.Err(), err)
		case <-d.ctx.Done():
			return ctx.Err()
		}
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// routerCall returns the reducer's description of a call.
func routerCall(c *front.Call) router.Call {
	out := router.Call{
		ID: c.ID, Member: c.Member, Target: c.Target, Urgency: c.Urgency, Idempotent: c.Idempotent,
		Deadline: c.Deadline, Stream: c.Stream, PrefixHash: prefixHash(c),
	}
	if c.IdempotencyKey != "" {
		out.ClaimKey = digest([]byte(c.Member), []byte(c.IdempotencyKey))
		out.BodyHash = digest([]byte(c.Method), []byte(c.Path), c.Body)
	}
	return out
}

// maxPrefixBytes is the maximum length of the part of a body that is hashed to recognize
// requests whose prompts begin with the same text.
const maxPrefixBytes = 512

// prefixHash returns the hash of the beginning of a call's body, or 0 for a call to a
// plain service, which has no prompt.
func prefixHash(c *front.Call) uint64 {
	if c.Target.Service != "" {
		return 0
	}
	return xxhash.Sum64(c.Body[:min(len(c.Body), maxPrefixBytes)])
}

// digest returns a hash of a list of parts in hexadecimal. Each part is hashed on its
// own, so that lists that differ only in where their parts are divided have different
// digests.
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

// finish sets the result of the call, which makes Dispatch return it. Only the first
// result counts.
func (ac *activeCall) finish(err error) {
	select {
	case ac.done <- err:
	default:
	}
}

// stop closes the current stream and ends delivery: once stop has returned, nothing
// more is written to the caller.
func (ac *activeCall) stop() {
	ac.mu.Lock()
	ac.stopped = true
	ac.closeStream()
	ac.mu.Unlock()
	// Wait until a write in progress has ended.
	ac.writeMu.Lock()
	defer ac.writeMu.Unlock()
}

// startOffer makes a new offer the current exchange and closes the stream of the
// previous offer.
func (ac *activeCall) startOffer(exchangeID uint64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.exchangeID = exchangeID
	ac.offerSent = false
	ac.closeStream()
}

// closeStream closes the current stream in the background, because closing blocks
// while its connection accepts no data. The caller holds mu.
func (ac *activeCall) closeStream() {
	if s := ac.stream; s != nil {
		go func() { _ = s.Close() }()
		ac.stream = nil
	}
}

// startTombstone makes a tombstone request the current exchange, so that answer chunks
// of the offer before it are dropped. The stream of that offer stays open: the offer can
// still be cancelled on it.
func (ac *activeCall) startTombstone(exchangeID uint64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.exchangeID = exchangeID
}

// takeStream removes and returns the open stream of the call. It returns nil if there
// is none or if the given exchange is not the current one.
func (ac *activeCall) takeStream(exchangeID uint64) *wire.Stream {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.exchangeID != exchangeID {
		return nil
	}
	s := ac.stream
	ac.stream = nil
	return s
}

// markSent records that an offer is about to be sent on a stream. It reports false if
// the offer must not be sent because it is not the current exchange or the call has
// ended.
func (ac *activeCall) markSent(exchangeID uint64, s *wire.Stream) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.exchangeID != exchangeID || ac.stopped {
		return false
	}
	ac.offerSent = true
	ac.stream = s
	return true
}

// withdraw withdraws an offer that has not been sent. It reports false if the offer has
// been sent or is not the current exchange.
func (ac *activeCall) withdraw(exchangeID uint64) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.exchangeID != exchangeID || ac.offerSent {
		return false
	}
	ac.exchangeID = 0
	return true
}

// deliveryResult is the result of delivering chunks to the caller.
type deliveryResult int

const (
	// deliveredFirst means that the first chunk of the answer was written.
	deliveredFirst deliveryResult = iota
	// delivered means that later chunks were written.
	delivered
	// skipped means that the caller already had all the chunks.
	skipped
	// stale means that the chunks belong to an exchange that is no longer current.
	stale
	// gap means that the next chunk the caller needs is missing before the chunks.
	gap
	// diverged means that the answer of a rerun differs from the chunks that the caller
	// already has.
	diverged
	// callerDisconnected means that the chunks could not be written to the caller.
	callerDisconnected
)

// deliver writes the chunks that the caller does not have yet, up to the first gap in
// their offsets. chunks must not be empty and must be in ascending order of offsets.
// rerun compares the chunks that the caller already has; it is nil for an answer that
// continues. deliver blocks while the caller reads slowly.
func (ac *activeCall) deliver(exchangeID uint64, rerun *rerunCheck, chunks []*wirepb.Data) deliveryResult {
	ac.writeMu.Lock()
	defer ac.writeMu.Unlock()
	if !ac.isCurrent(exchangeID) {
		return stale
	}
	var payload []byte
	next := ac.deliveredChunks
	for _, chunk := range chunks {
		if chunk.GetOffset() < next {
			if rerun.diverges(ac, chunk) {
				return diverged
			}
			continue
		}
		if chunk.GetOffset() > next {
			break
		}
		next++
		payload = appendPayload(payload, chunk.GetPayload())
	}
	if next == ac.deliveredChunks {
		if chunks[len(chunks)-1].GetOffset() < next {
			return skipped
		}
		return gap
	}
	return ac.writeChunks(chunks, payload, next)
}

// writeChunks writes payload, which is the payload of the undelivered chunks before offset
// next. If nothing has been delivered before, it first writes the status and content type
// of chunks[0]. The caller holds writeMu.
func (ac *activeCall) writeChunks(chunks []*wirepb.Data, payload []byte, next uint64) deliveryResult {
	result := delivered
	if ac.deliveredChunks == 0 {
		result = deliveredFirst
		if err := ac.out.Begin(int(chunks[0].GetStatus()), chunks[0].GetContentType()); err != nil {
			return callerDisconnected
		}
	}
	if err := ac.out.Chunk(payload); err != nil {
		return callerDisconnected
	}
	ac.deliveredChunks = next
	_, _ = ac.hash.Write(payload)
	return result
}

// appendPayload appends next to all. If all is empty it returns next itself, which
// avoids a copy in the common case of a single chunk.
func appendPayload(all, next []byte) []byte {
	if len(all) == 0 {
		return next
	}
	return append(all, next...)
}

// isCurrent reports whether an exchange is the current one of a call that has not
// ended.
func (ac *activeCall) isCurrent(exchangeID uint64) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.exchangeID == exchangeID && !ac.stopped
}

// rerunCheck compares the answer of a rerun with the chunks that the caller already has.
// A nil rerunCheck compares nothing.
type rerunCheck struct {
	hash *xxhash.Digest
}

// diverges adds a chunk that the caller already has to the comparison. At the last such
// chunk it reports whether the answers differ; before, it reports false. The caller holds
// ac.writeMu.
func (r *rerunCheck) diverges(ac *activeCall, chunk *wirepb.Data) bool {
	if r == nil {
		return false
	}
	_, _ = r.hash.Write(chunk.GetPayload())
	return chunk.GetOffset()+1 == ac.deliveredChunks && r.hash.Sum64() != ac.hash.Sum64()
}

// nextOffset returns the offset of the next chunk that the caller needs.
func (ac *activeCall) nextOffset() uint64 {
	ac.writeMu.Lock()
	defer ac.writeMu.Unlock()
	return ac.deliveredChunks
}
