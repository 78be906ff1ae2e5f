package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/io/engine"
)

// defaultMaxTokens is the number of answer tokens for a request without max_tokens.
const defaultMaxTokens = 16

// answerVocabulary contains the words from which answers are generated.
var answerVocabulary = strings.Fields(
	"road closed from noon to six for the fete with barriers at both ends and bunting along the street")

// completionRequest contains the fields that the engine reads of an OpenAI-style request.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// serveGenerate submits a completion request and serves its answer. It answers 404 if the
// model is not loaded.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	s, err := newStream(r, raw)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	inst, faults := e.currentInstance(), e.currentFaults()
	if e.submit(inst, s) == nil {
		writeError(w, http.StatusNotFound, "model-not-loaded", "model "+string(s.target.Model)+" is not loaded")
		return
	}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.LoseAnswers }) {
		abortHandler()
	}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.CrossAnswers }) {
		s = e.anotherStream(inst, s)
	}
	e.serveStream(w, r, inst, s, 0, faults)
}

// anotherStream returns the stream with the lowest request ID other than that of s, or s if
// there is no other.
func (e *Engine) anotherStream(inst *instance, s *stream) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(inst.streams)) {
		if id != s.id {
			return inst.streams[id]
		}
	}
	return s
}

// newStream decodes a completion request with body raw. The target is taken from the
// headers or, without them, from the body, as "MODEL" or "MODEL:ADAPTER".
func newStream(r *http.Request, raw []byte) (*stream, error) {
	var body completionRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, fmt.Errorf("decode body: %w", err)
	}
	prompt := body.Prompt
	for _, m := range body.Messages {
		prompt += m.Content + "\n"
	}
	target := fleet.Target{
		Model:   fleet.ModelID(r.Header.Get(engine.HeaderModel)),
		Adapter: fleet.AdapterID(r.Header.Get(engine.HeaderAdapter)),
	}
	if target.Model == "" {
		model, adapter, _ := strings.Cut(body.Model, ":")
		target = fleet.Target{Model: fleet.ModelID(model), Adapter: fleet.AdapterID(adapter)}
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	return &stream{
		id:           requestID(r),
		path:         r.URL.Path,
		target:       target,
		body:         string(raw),
		promptWords:  strings.Fields(prompt),
		answerTokens: body.MaxTokens,
		priority:     priority,
		unstreamed:   !body.Stream,
		seed:         xxhash.Sum64String(prompt),
	}, nil
}

// requestID returns the request ID in the header, or "anonymous" if there is none.
func requestID(r *http.Request) fleet.RequestID {
	if id := r.Header.Get(engine.HeaderRequestID); id != "" {
		return fleet.RequestID(id)
	}
	return "anonymous"
}

// findStream returns the stream of a request, or nil if the instance does not know it.
func (e *Engine) findStream(inst *instance, id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return inst.streams[fleet.RequestID(id)]
}

// serveResume serves a running or finished stream again, starting with chunk number offset,
// 0 by default. It answers 404 if the stream is unknown or NoResume is set.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseUint("0"+r.URL.Query().Get("offset"), 10, 31)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	inst, faults := e.currentInstance(), e.currentFaults()
	s := e.findStream(inst, r.PathValue("id"))
	if s == nil || faults.NoResume {
		writeError(w, http.StatusNotFound, "unknown-stream", "no such stream")
		return
	}
	e.serveStream(w, r, inst, s, int(offset), EngineFaults{})
}

// serveCancel aborts a running request.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(e.currentInstance(), r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown-stream", "no such stream")
		return
	}
	s.abort(ExecutionCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// kvCacheExport is the exported KV cache of a request. Its format is private to the stand-in
// engines.
type kvCacheExport struct {
	Path            string       `json:"path"`
	Target          fleet.Target `json:"target"`
	Body            string       `json:"body"`
	PromptWords     []string     `json:"words"`
	Seed            uint64       `json:"seed"`
	AnswerTokens    int          `json:"tokens"`
	GeneratedTokens int          `json:"made"`
	Priority        int          `json:"priority"`
	Unstreamed      bool         `json:"whole"`
}

// serveExport answers with the KV cache of a request, which continues to run.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(e.currentInstance(), r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown-stream", "no such stream")
		return
	}
	chunks, _, _ := s.chunksFrom(0)
	writeJSON(w, http.StatusOK, kvCacheExport{
		Path: s.path, Target: s.target, Body: s.body, PromptWords: s.promptWords, Seed: s.seed,
		AnswerTokens: s.answerTokens, GeneratedTokens: min(len(chunks), s.answerTokens), Priority: s.priority, Unstreamed: s.unstreamed,
	})
}

// serveImport starts a request that continues from an imported KV cache. A streamed request
// continues after the exported tokens; another one generates its whole answer again,
// without prefill.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var cache kvCacheExport
	if !readJSON(w, r, &cache) {
		return
	}
	s := &stream{
		id: fleet.RequestID(r.PathValue("id")), path: cache.Path, target: cache.Target, body: cache.Body,
		promptWords: cache.PromptWords, seed: cache.Seed, answerTokens: cache.AnswerTokens, priority: cache.Priority,
		unstreamed: cache.Unstreamed, imported: true,
	}
	if !s.unstreamed {
		s.firstToken = cache.GeneratedTokens
	}
	for i := range s.firstToken {
		s.chunks = append(s.chunks, s.tokenChunk(i))
	}
	if e.submit(e.currentInstance(), s) == nil {
		writeError(w, http.StatusNotFound, "model-not-loaded", "model "+string(s.target.Model)+" is not loaded")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// ServiceAnswer is the response body of a plain service.
type ServiceAnswer struct {
	Service fleet.ServiceID `json:"service"`
	Request fleet.RequestID `json:"request"`
	// Run is the number of executions of this request ID so far, including this one.
	Run int `json:"run"`
}

// serveService executes a call of a plain service: it waits for the service time and
// answers with a ServiceAnswer. The call is executed to its end even if the caller leaves.
func (e *Engine) serveService(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	id, service := requestID(r), fleet.ServiceID(r.PathValue("name"))
	e.mu.Lock()
	inst, faults := e.instance, e.faults
	index := e.beginExecutionLocked(Execution{
		Request: id, Target: fleet.Target{Service: service}, Path: r.URL.Path, Body: string(raw),
	})
	e.mu.Unlock()
	end := ExecutionDone
	if !inst.sleep(inst.ctx, e.scaleTime(e.opts.ServiceTime, faults.Slowdown)) {
		end = ExecutionFailed
	}
	e.mu.Lock()
	e.endExecutionLocked(index, end, 0)
	answer := ServiceAnswer{Service: service, Request: id, Run: e.executionCounts[id]}
	e.mu.Unlock()
	if end == ExecutionFailed || e.consumeFault(func(f *EngineFaults) *int { return &f.LoseAnswers }) {
		abortHandler()
	}
	e.injectChunkFault(r, 1, faults)
	w.Header().Set(engine.HeaderRequestID, string(id))
	writeJSON(w, http.StatusOK, answer)
}
