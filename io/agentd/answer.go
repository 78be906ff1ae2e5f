package agentd

import (
	"context"
	"sync"

	"chervilreach/core/fleet"
	"chervilreach/io/engine"
)

// Limits of an answer, in bytes.
const (
	// maxLeadBytes is how far the engine may be ahead of the fastest reader. Slower
	// readers don't count, because their connection may have gone silent.
	maxLeadBytes = 1 << 20
	// maxAnswerBytes is how much of one answer is retained; older chunks are discarded.
	maxAnswerBytes = 8 << 20
)

// answer is a buffer of the chunks of one answer. It retains chunks that have been read,
// so that a reader can continue on another connection. It is safe for concurrent use.
type answer struct {
	mu     sync.Mutex
	chunks []engine.Chunk
	// firstIndex is the index of chunks[0]; earlier chunks have been discarded.
	firstIndex uint64
	// size is the total payload of chunks in bytes.
	size int
	// ended reports that the answer is complete.
	ended bool
	// refusal is set if the request was refused and the answer will not be completed.
	refusal *fleet.Refusal
	// readers holds, by reader ID, the index of the next chunk that each reader needs.
	readers map[uint64]uint64
	// changed is closed and replaced to wake the goroutines that wait for a change.
	changed chan struct{}
}

func newAnswer() *answer {
	return &answer{readers: make(map[uint64]uint64), changed: make(chan struct{})}
}

// notify wakes all goroutines that wait for a change. The caller holds mu.
func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// nextIndex returns the index of the next chunk to be added, which is the number of chunks
// added so far.
func (a *answer) nextIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.firstIndex + uint64(len(a.chunks))
}

// add appends a chunk. It blocks while the answer is more than maxLeadBytes ahead of all
// readers, and returns the error of ctx if that ends first.
func (a *answer) add(ctx context.Context, c engine.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.leadBytes() > maxLeadBytes {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		a.mu.Lock()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	a.chunks = append(a.chunks, c)
	a.size += len(c.Payload)
	a.trim()
	a.notify()
	return nil
}

// leadBytes returns the number of retained bytes that the fastest reader has not read; 0 if
// there is no reader. The caller holds mu.
func (a *answer) leadBytes() int {
	if len(a.readers) == 0 {
		return 0
	}
	fastest := a.firstIndex
	for _, next := range a.readers {
		fastest = max(fastest, next)
	}
	fastest = min(fastest, a.firstIndex+uint64(len(a.chunks)))
	n := 0
	for _, c := range a.chunks[fastest-a.firstIndex:] {
		n += len(c.Payload)
	}
	return n
}

// trim discards the oldest chunks beyond maxAnswerBytes, but never the last chunk. The
// caller holds mu.
func (a *answer) trim() {
	for a.size > maxAnswerBytes && len(a.chunks) > 1 {
		a.size -= len(a.chunks[0].Payload)
		a.chunks[0].Payload = nil
		a.chunks = a.chunks[1:]
		a.firstIndex++
	}
}

// retainedBytes returns the total payload of the retained chunks.
func (a *answer) retainedBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// discard discards all chunks. Later reads report that they have been discarded.
func (a *answer) discard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firstIndex += uint64(len(a.chunks))
	a.chunks, a.size = nil, 0
	a.notify()
}

// finish marks the answer as complete.
func (a *answer) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.notify()
}

// refuse ends the answer with a refusal. It does nothing if the answer is complete or has
// been refused before.
func (a *answer) refuse(r fleet.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.refusal != nil {
		return
	}
	a.refusal = &r
	a.notify()
}

// readResult is the result of reading an answer from a chunk index on.
type readResult struct {
	// chunks are the chunks from the index on; empty if there are none yet.
	chunks []engine.Chunk
	// ended reports that the answer is complete.
	ended bool
	// totalChunks is the number of chunks of the answer so far.
	totalChunks uint64
	// refusal is set if the answer was refused.
	refusal *fleet.Refusal
	// discarded reports that the chunk at the index is no longer retained.
	discarded bool
	// changed is closed when the answer changes after the read.
	changed <-chan struct{}
}

// read returns the chunks from an index on, and records that the reader has received all
// chunks before the index. It does not block.
func (a *answer) read(reader, from uint64) readResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers[reader] = from
	a.notifyWriter()
	total := a.firstIndex + uint64(len(a.chunks))
	res := readResult{ended: a.ended, totalChunks: total, refusal: a.refusal, discarded: from < a.firstIndex, changed: a.changed}
	if from >= a.firstIndex && from < total {
		res.chunks = a.chunks[from-a.firstIndex:]
	}
	return res
}

// notifyWriter wakes an add that may be waiting for a reader. The caller holds mu.
func (a *answer) notifyWriter() {
	if a.size > maxLeadBytes && !a.ended {
		a.notify()
	}
}

// removeReader removes the reader with the given ID, so that add no longer waits for it.
func (a *answer) removeReader(reader uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, reader)
	a.notify()
}
