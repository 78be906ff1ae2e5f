package fakes

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/engine"
)

// stream is one request to a model with the answer generated so far. The fields before mu
// do not change after submit.
type stream struct {
	id     fleet.RequestID
	path   string
	target fleet.Target
	body   string
	// promptWords contains the prompt tokens, one per word. answerTokens is the number of
	// tokens of the whole answer.
	promptWords  []string
	answerTokens int
	priority     int
	// unstreamed is set if the answer is sent as one response body.
	unstreamed bool
	// imported is set if the stream continues from an imported KV cache, without prefill.
	imported bool
	ctx      context.Context
	cancel   context.CancelFunc
	// admitted is closed when the request enters the batch.
	admitted chan struct{}
	// seed is the hash of the prompt that determines the answer.
	seed uint64

	mu sync.Mutex
	// firstToken is the index of the first token to generate; the chunks before it were
	// imported.
	firstToken int
	chunks     [][]byte
	// end is empty while the stream runs.
	end ExecutionEnd
	// changed is closed and replaced with each new chunk and with the end.
	changed chan struct{}
}

// abort ends the stream with the given result, unless it has ended already.
func (s *stream) abort(end ExecutionEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != "" {
		return
	}
	s.end = end
	s.notifyLocked()
	s.cancel()
}

// appendChunk adds a chunk and sets the result, empty if more chunks follow. It reports
// false, without effect, if the stream has ended.
func (s *stream) appendChunk(chunk []byte, end ExecutionEnd) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != "" {
		return false
	}
	s.chunks = append(s.chunks, chunk)
	s.end = end
	s.notifyLocked()
	return true
}

// notifyLocked wakes the connections that serve the stream.
func (s *stream) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// chunksFrom returns the chunks from index on, the result of the stream, and a channel that
// is closed on the next change.
func (s *stream) chunksFrom(index int) ([][]byte, ExecutionEnd, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chunks[min(index, len(s.chunks)):], s.end, s.changed
}

// submit queues a request and starts its execution, which does not depend on its caller's
// connection. It returns nil if the model is not loaded.
func (e *Engine) submit(inst *instance, s *stream) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, adapter := inst.findModelLocked(s.target)
	if m == nil || inst.ctx.Err() != nil {
		return nil
	}
	s.target = fleet.Target{Model: m.id, Adapter: adapter}
	s.ctx, s.cancel = context.WithCancel(inst.ctx)
	s.admitted = make(chan struct{})
	s.changed = make(chan struct{})
	inst.streams[s.id] = s
	m.queuedRequests++
	inst.queue = append(inst.queue, s)
	slices.SortStableFunc(inst.queue, func(a, b *stream) int { return cmp.Compare(b.priority, a.priority) })
	inst.admitLocked(e.opts.MaxBatch)
	e.recordStateLocked()
	go e.execute(inst, m, s)
	return s
}

// admitLocked moves queued requests into the batch, most urgent first, up to maxBatch.
func (inst *instance) admitLocked(maxBatch int) {
	for inst.batchSize < maxBatch && len(inst.queue) > 0 {
		close(inst.queue[0].admitted)
		inst.queue = inst.queue[1:]
		inst.batchSize++
	}
}

// execute waits until a request is admitted, and executes it.
func (e *Engine) execute(inst *instance, m *residentModel, s *stream) {
	defer s.cancel()
	select {
	case <-s.admitted:
	case <-s.ctx.Done():
		if e.dequeue(inst, m, s) {
			return
		}
	}
	index := e.beginExecution(inst, m, s)
	e.generate(inst, s, e.prefillTime(s, index))
	if s.ctx.Err() != nil {
		s.abort(ExecutionFailed)
	}
	e.endExecution(inst, m, s, index)
}

// dequeue removes a request that was aborted while queued. It reports false if the request
// has entered the batch meanwhile.
func (e *Engine) dequeue(inst *instance, m *residentModel, s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(inst.queue, s)
	if i < 0 {
		return false
	}
	inst.queue = slices.Delete(inst.queue, i, i+1)
	m.queuedRequests--
	inst.retainLocked(s, e.opts.MaxFinishedStreams)
	return true
}

// beginExecution logs the start of an execution and returns the index of its log entry. It
// adds the prompt to the prefix cache.
func (e *Engine) beginExecution(inst *instance, m *residentModel, s *stream) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m.queuedRequests--
	m.runningRequests++
	e.recordStateLocked()
	cached := inst.cache.insert(s.target, s.promptWords)
	return e.beginExecutionLocked(Execution{
		Request:      s.id,
		Target:       s.target,
		Path:         s.path,
		Body:         s.body,
		Imported:     s.imported,
		FromToken:    s.firstToken,
		Priority:     s.priority,
		PromptTokens: len(s.promptWords),
		CachedTokens: cached,
	})
}

// endExecution logs the end of an execution and admits the next request to the batch.
func (e *Engine) endExecution(inst *instance, m *residentModel, s *stream, index int) {
	s.mu.Lock()
	end, generated := s.end, len(s.chunks)
	s.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	m.runningRequests--
	inst.batchSize--
	inst.admitLocked(e.opts.MaxBatch)
	e.recordStateLocked()
	if s.unstreamed && end == ExecutionDone {
		generated = s.answerTokens
	}
	e.endExecutionLocked(index, end, min(generated, s.answerTokens))
	inst.retainLocked(s, e.opts.MaxFinishedStreams)
}

// retainLocked keeps a finished stream for resumption and removes the oldest one if there
// are more than maxFinished.
func (inst *instance) retainLocked(s *stream, maxFinished int) {
	inst.finished = append(inst.finished, s)
	if len(inst.finished) <= maxFinished {
		return
	}
	oldest := inst.finished[0]
	inst.finished = inst.finished[1:]
	if inst.streams[oldest.id] == oldest {
		delete(inst.streams, oldest.id)
	}
}

// prefillTime returns the duration of the prefill, which is 0 for an imported request.
// index is the index of the log entry of the request.
func (e *Engine) prefillTime(s *stream, index int) time.Duration {
	if s.imported {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := len(s.promptWords) - e.executions[index].CachedTokens
	return e.scaleTime(time.Duration(uncached)*e.opts.PrefillTokenTime, e.faults.Slowdown)
}

// tokenTime returns the duration of the next token, which increases with the size of the
// batch.
func (e *Engine) tokenTime(inst *instance) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	extra := time.Duration(float64(e.opts.ExtraTokenTime) * float64(max(inst.batchSize-1, 0)))
	return e.scaleTime(e.opts.TokenTime+extra, e.faults.Slowdown)
}

// generate generates the answer: one chunk per token and the end mark, or one chunk if the
// answer is not streamed. It returns early if the stream ends.
func (e *Engine) generate(inst *instance, s *stream, prefill time.Duration) {
	if !inst.sleep(s.ctx, prefill) {
		return
	}
	for i := s.firstToken; i < s.answerTokens; i++ {
		if !inst.sleep(s.ctx, e.tokenTime(inst)) {
			return
		}
		if !s.unstreamed && !s.appendChunk(s.tokenChunk(i), "") {
			return
		}
	}
	s.appendChunk(s.lastChunk(), ExecutionDone)
}

// serveStream sends the chunks from number offset on until the stream ends. The connection
// is closed if the stream was aborted or the instance ends.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, inst *instance, s *stream, offset int, faults EngineFaults) {
	w.Header().Set(engine.HeaderRequestID, string(s.id))
	answer := newAnswerWriter(w, s)
	idle := time.NewTicker(keepAliveInterval)
	defer idle.Stop()
	for {
		chunks, end, changed := s.chunksFrom(offset)
		for _, chunk := range chunks {
			offset++
			e.injectChunkFault(r, offset, faults)
			answer.writeChunk(chunk)
		}
		switch end {
		case ExecutionDone:
			return
		case ExecutionCancelled, ExecutionFailed:
			abortHandler()
		}
		select {
		case <-changed:
		case <-idle.C:
			answer.writeKeepAlive()
		case <-r.Context().Done():
			return
		case <-inst.ctx.Done():
			abortHandler()
		}
	}
}

// injectChunkFault stalls or closes the connection before chunk number n, counted from 1,
// if SilentFromChunk or TruncateFromChunk requires it.
func (e *Engine) injectChunkFault(r *http.Request, n int, faults EngineFaults) {
	if faults.SilentFromChunk > 0 && n >= faults.SilentFromChunk {
		e.hang(r)
	}
	if faults.TruncateFromChunk > 0 && n >= faults.TruncateFromChunk {
		abortHandler()
	}
}
