package fakes

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// ExecutionEnd is the result of an execution; empty while it runs.
type ExecutionEnd string

// Results of executions.
const (
	ExecutionDone      ExecutionEnd = "done"
	ExecutionCancelled ExecutionEnd = "cancelled"
	ExecutionFailed    ExecutionEnd = "failed"
)

// Execution is one execution of a request by a model or a plain service. If a log contains
// a request ID twice, the request was executed twice, unless one of the entries is
// Imported.
type Execution struct {
	Request fleet.RequestID `json:"request"`
	Target  fleet.Target    `json:"target"`
	Path    string          `json:"path"`
	Body    string          `json:"body"`
	// Imported is set if the execution continues that of another engine, from token
	// FromToken on.
	Imported  bool `json:"imported,omitempty"`
	FromToken int  `json:"from-token,omitempty"`
	Priority  int  `json:"priority"`
	// PromptTokens is the length of the prompt, CachedTokens the part of it that was in the
	// prefix cache.
	PromptTokens int `json:"prompt-tokens"`
	CachedTokens int `json:"cached-tokens"`
	// GeneratedTokens is the number of answer tokens generated so far, including those before
	// FromToken. It is set when the execution ends.
	GeneratedTokens int          `json:"tokens"`
	Began           time.Time    `json:"began"`
	Ended           time.Time    `json:"ended,omitzero"`
	End             ExecutionEnd `json:"end,omitempty"`
}

// ModelLoad is one period during which a model occupies accelerator memory, from the start of
// its load to the end of its unload.
type ModelLoad struct {
	Model fleet.ModelID `json:"model"`
	Order fleet.OrderID `json:"order"`
	Fence fleet.Fence   `json:"fence"`
	Began time.Time     `json:"began"`
	// WarmAt is the time when the model became usable; zero if it never did.
	WarmAt time.Time `json:"warm,omitzero"`
	// Ended is zero while the model occupies memory.
	Ended time.Time `json:"ended,omitzero"`
}

// LogKind is the kind of event that a LogLine records.
type LogKind string

// Kinds of log lines.
const (
	LogExecutionBegan LogKind = "execution-began"
	LogExecutionEnded LogKind = "execution-ended"
	LogLoadBegan      LogKind = "load-began"
	LogLoadWarm       LogKind = "load-warm"
	LogLoadEnded      LogKind = "load-ended"
	LogOvercommit     LogKind = "overcommit"
)

// LogLine is one line of EngineOptions.Log.
type LogLine struct {
	At       time.Time        `json:"at"`
	Kind     LogKind          `json:"kind"`
	Endpoint fleet.EndpointID `json:"endpoint"`
	// UsedMemory is the accelerator memory in use.
	UsedMemory fleet.Bytes `json:"used"`
	Execution  *Execution  `json:"execution,omitempty"`
	Load       *ModelLoad  `json:"load,omitempty"`
}

// ReadLog decodes what an engine has written to EngineOptions.Log. It ignores an incomplete
// last line, as the engine may have been killed while writing it.
func ReadLog(r io.Reader) ([]LogLine, error) {
	var lines []LogLine
	dec := json.NewDecoder(r)
	for {
		var line LogLine
		err := dec.Decode(&line)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return lines, nil
		}
		if err != nil {
			return lines, fmt.Errorf("read line %d: %w", len(lines)+1, err)
		}
		lines = append(lines, line)
	}
}

// writeLogLocked writes a line to EngineOptions.Log and sets its time, endpoint and memory.
func (e *Engine) writeLogLocked(line LogLine) {
	if e.opts.Log == nil {
		return
	}
	line.At, line.Endpoint, line.UsedMemory = time.Now(), e.opts.Endpoint, e.instance.usedMemory
	if raw, err := json.Marshal(line); err == nil {
		_, _ = e.opts.Log.Write(append(raw, '\n'))
	}
}

// EngineReport is the response body of GET /control.
type EngineReport struct {
	Endpoint        fleet.EndpointID  `json:"endpoint"`
	Faults          EngineFaults      `json:"faults"`
	State           fleet.EngineState `json:"state"`
	PeakMemory      fleet.Bytes       `json:"high-water"`
	OvercommitCount int               `json:"overcommits"`
	Loads           []ModelLoad       `json:"loads"`
	Executions      []Execution       `json:"executions"`
}

// Report returns a snapshot of the faults, the state and the logs.
func (e *Engine) Report() EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineReport{
		Endpoint:        e.opts.Endpoint,
		Faults:          e.faults,
		State:           e.stateLocked(),
		PeakMemory:      e.peakMemory,
		OvercommitCount: e.overcommitCount,
		Loads:           slices.Clone(e.loads),
		Executions:      slices.Clone(e.executions),
	}
}

// Executions returns the log of all executions, in the order of their start.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.executions)
}

// ExecutionCount returns how often a request was executed, without imported executions.
func (e *Engine) ExecutionCount(id fleet.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executionCounts[id]
}

// beginExecutionLocked adds an execution to the log and returns the index of its entry.
func (e *Engine) beginExecutionLocked(execution Execution) int {
	execution.Began = time.Now()
	e.executions = append(e.executions, execution)
	if !execution.Imported {
		e.executionCounts[execution.Request]++
	}
	e.writeLogLocked(LogLine{Kind: LogExecutionBegan, Execution: &execution})
	return len(e.executions) - 1
}

// endExecutionLocked completes the log entry with the given index.
func (e *Engine) endExecutionLocked(index int, end ExecutionEnd, tokens int) {
	execution := &e.executions[index]
	execution.Ended, execution.End, execution.GeneratedTokens = time.Now(), end, tokens
	e.writeLogLocked(LogLine{Kind: LogExecutionEnded, Execution: execution})
}

// Loads returns the log of all model loads, in the order of their start.
func (e *Engine) Loads() []ModelLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loads)
}

// PeakMemory returns the largest amount of accelerator memory that was in use at any time.
func (e *Engine) PeakMemory() fleet.Bytes {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peakMemory
}

// OvercommitCount returns how many orders have exceeded the accelerator memory.
func (e *Engine) OvercommitCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommitCount
}

// MaxReplicas returns the highest number of engines that held a model in memory at the same
// time, according to their logs of loads. A model counts from the start of its load to the
// end of its unload.
func MaxReplicas(model fleet.ModelID, engines ...*Engine) int {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	for _, e := range engines {
		for _, load := range e.Loads() {
			if load.Model != model {
				continue
			}
			changes = append(changes, change{at: load.Began, delta: 1})
			if !load.Ended.IsZero() {
				changes = append(changes, change{at: load.Ended, delta: -1})
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta))
	})
	held, highest := 0, 0
	for _, c := range changes {
		held += c.delta
		highest = max(highest, held)
	}
	return highest
}

// serveState answers with the state as of StateLag ago.
func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.laggedStateLocked(time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// laggedStateLocked returns the latest state that is at least StateLag old, or that of an
// empty engine if there is none.
func (e *Engine) laggedStateLocked(now time.Time) fleet.EngineState {
	if e.opts.StateLag <= 0 {
		return e.stateLocked()
	}
	e.trimStatesLocked(now)
	if len(e.stateHistory) == 0 || e.stateHistory[0].AsOf.After(now.Add(-e.opts.StateLag)) {
		return fleet.EngineState{AsOf: now.Add(-e.opts.StateLag), TotalMemory: e.opts.Memory, Role: e.opts.Role, ChecksFence: e.opts.Fenced}
	}
	return e.stateHistory[0]
}

// statesPerLag is the maximum number of states recorded per StateLag.
const statesPerLag = 16

// recordStateLocked adds the current state to stateHistory, if StateLag is set. It replaces
// the last state if that is too recent for a separate entry.
func (e *Engine) recordStateLocked() {
	if e.opts.StateLag <= 0 {
		return
	}
	state := e.stateLocked()
	last := len(e.stateHistory) - 1
	if last >= 0 && state.AsOf.Sub(e.stateHistory[last].AsOf) < e.opts.StateLag/statesPerLag {
		state.AsOf = e.stateHistory[last].AsOf
		e.stateHistory[last] = state
		return
	}
	e.stateHistory = append(e.stateHistory, state)
	e.trimStatesLocked(time.Now())
}

// trimStatesLocked finds the latest state that is at least StateLag old, and removes all
// states before it.
func (e *Engine) trimStatesLocked(now time.Time) {
	cutoff := now.Add(-e.opts.StateLag)
	keep := 0
	for keep+1 < len(e.stateHistory) && !e.stateHistory[keep+1].AsOf.After(cutoff) {
		keep++
	}
	e.stateHistory = e.stateHistory[keep:]
}

// stateLocked returns the current state.
func (e *Engine) stateLocked() fleet.EngineState {
	state := fleet.EngineState{
		AsOf:        time.Now(),
		TotalMemory: e.opts.Memory,
		UsedMemory:  e.instance.usedMemory,
		Role:        e.instance.role,
		ChecksFence: e.opts.Fenced,
		Fence:       e.instance.fence,
	}
	for _, m := range e.instance.models {
		state.Models = append(state.Models, m.report())
	}
	slices.SortFunc(state.Models, func(a, b fleet.EngineModel) int { return cmp.Compare(a.Model, b.Model) })
	return state
}
