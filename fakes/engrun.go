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

// stream is one request at a model, with all of its answer so far.
type stream struct {
	id           fleet.RequestID
	path         string
	target       fleet.Target
	body         string
	promptWords  []string
	answerTokens int
	priority     int
	unstreamed   bool
	imported     bool
	ctx          context.Context
	cancel       context.CancelFunc
	admitted     chan struct{}
	seed         uint64

	mu         sync.Mutex
	firstToken int
	chunks     [][]byte
	end        ExecutionEnd
	changed    chan struct{}
}

// abort ends a stream that hasn't ended.
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

// add appends a chunk unless the stream was aborted.
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

func (s *stream) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the chunks from an index on, how the stream ended, and what is
// closed on the next change.
func (s *stream) chunksFrom(index int) ([][]byte, ExecutionEnd, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chunks[min(index, len(s.chunks)):], s.end, s.changed
}

// submit queues a request and has it run, whether its caller stays or not. It
// returns nil when its model isn't loaded.
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
	m.queued++
	inst.queue = append(inst.queue, s)
	slices.SortStableFunc(inst.queue, func(a, b *stream) int { return cmp.Compare(b.priority, a.priority) })
	inst.admitLocked(e.opts.MaxBatch)
	e.recordStateLocked()
	go e.execute(inst, m, s)
	return s
}

// admitLocked lets requests into the batch, the most urgent first.
func (inst *instance) admitLocked(maxBatch int) {
	for inst.running < maxBatch && len(inst.queue) > 0 {
		close(inst.queue[0].admitted)
		inst.queue = inst.queue[1:]
		inst.running++
	}
}

// execute runs one request to its end.
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

// leaveQueue takes out a request that was aborted before it ran.
func (e *Engine) dequeue(inst *instance, m *residentModel, s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(inst.queue, s)
	if i < 0 {
		return false
	}
	inst.queue = slices.Delete(inst.queue, i, i+1)
	m.queued--
	inst.retainLocked(s, e.opts.MaxFinishedStreams)
	return true
}

// beginRun writes the log and returns the index of the entry.
func (e *Engine) beginExecution(inst *instance, m *residentModel, s *stream) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m.queued--
	m.running++
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

func (e *Engine) endExecution(inst *instance, m *residentModel, s *stream, index int) {
	s.mu.Lock()
	end, generated := s.end, len(s.chunks)
	s.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	m.running--
	inst.running--
	inst.admitLocked(e.opts.MaxBatch)
	e.recordStateLocked()
	if s.unstreamed && end == ExecutionDone {
		generated = s.answerTokens
	}
	e.endExecutionLocked(index, end, min(generated, s.answerTokens))
	inst.retainLocked(s, e.opts.MaxFinishedStreams)
}

// keepLocked keeps a finished stream for resumption and forgets the oldest.
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

// promptTime is the time of the prefill; an imported request needs none.
func (e *Engine) prefillTime(s *stream, index int) time.Duration {
	if s.imported {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := len(s.promptWords) - e.executions[index].CachedTokens
	return e.scaleTime(time.Duration(uncached)*e.opts.PrefillTokenTime, e.faults.Slowdown)
}

// tokenTime is the time of the next token: it grows with the batch.
func (e *Engine) tokenTime(inst *instance) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	extra := time.Duration(float64(e.opts.ExtraTokenTime) * float64(max(inst.running-1, 0)))
	return e.scaleTime(e.opts.TokenTime+extra, e.faults.Slowdown)
}

// generate makes the tokens of a request, one chunk each, or one for all.
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

// serveStream sends a stream from a chunk on until it ends.
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

// strikeAt silences or cuts a connection before the nth chunk.
func (e *Engine) injectChunkFault(r *http.Request, n int, faults EngineFaults) {
	if faults.SilentFromChunk > 0 && n >= faults.SilentFromChunk {
		e.hang(r)
	}
	if faults.TruncateFromChunk > 0 && n >= faults.TruncateFromChunk {
		abortHandler()
	}
}
