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

// ExecutionEnd is how an execution ended; empty while it runs.
type ExecutionEnd string

// The ends of executions.
const (
	ExecutionDone      ExecutionEnd = "done"
	ExecutionCancelled ExecutionEnd = "cancelled"
	ExecutionFailed    ExecutionEnd = "failed"
)

// Execution is one run of a request, by a model or a plain service. The same
// request ID twice in a log is a request that was run twice.
type Execution struct {
	Request fleet.RequestID `json:"request"`
	Target  fleet.Target    `json:"target"`
	Path    string          `json:"path"`
	Body    string          `json:"body"`
	// Imported runs go on with another engine's run from FromToken on.
	Imported  bool `json:"imported,omitempty"`
	FromToken int  `json:"from-token,omitempty"`
	Priority  int  `json:"priority"`
	// PromptTokens counts the prompt, CachedTokens what of it was cached.
	PromptTokens int          `json:"prompt-tokens"`
	CachedTokens int          `json:"cached-tokens"`
	Tokens       int          `json:"tokens"`
	Began        time.Time    `json:"began"`
	Ended        time.Time    `json:"ended,omitzero"`
	End          ExecutionEnd `json:"end,omitempty"`
}

// Load is one stay of a model in accelerator memory, from the start of its
// load to the end of its unload.
type Load struct {
	Model fleet.ModelID `json:"model"`
	Order fleet.OrderID `json:"order"`
	Fence fleet.Fence   `json:"fence"`
	Began time.Time     `json:"began"`
	// Warm is when the model could be used; zero when it never could.
	Warm time.Time `json:"warm,omitzero"`
	// Ended is zero while the model is held.
	Ended time.Time `json:"ended,omitzero"`
}

// LogKind says what a LogLine tells.
type LogKind string

// The kinds of log lines.
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
	// Used is the accelerator memory in use.
	Used      fleet.Bytes `json:"used"`
	Execution *Execution  `json:"execution,omitempty"`
	Load      *Load       `json:"load,omitempty"`
}

// ReadLog reads what an engine wrote to its EngineOptions.Log. A last line that
// was cut short by the death of the engine is left out.
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

// writeLocked writes a line to the log.
func (e *Engine) writeLogLocked(line LogLine) {
	if e.opts.Log == nil {
		return
	}
	line.At, line.Endpoint, line.Used = time.Now(), e.opts.Endpoint, e.instance.usedMemory
	if raw, err := json.Marshal(line); err == nil {
		_, _ = e.opts.Log.Write(append(raw, '\n'))
	}
}

// EngineReport is what GET /control answers.
type EngineReport struct {
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Faults      EngineFaults      `json:"faults"`
	State       fleet.EngineState `json:"state"`
	HighWater   fleet.Bytes       `json:"high-water"`
	Overcommits int               `json:"overcommits"`
	Loads       []Load            `json:"loads"`
	Executions  []Execution       `json:"executions"`
}

// Report returns the faults, the state and the logs.
func (e *Engine) Report() EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineReport{
		Endpoint:    e.opts.Endpoint,
		Faults:      e.faults,
		State:       e.stateLocked(),
		HighWater:   e.highWater,
		Overcommits: e.overcommits,
		Loads:       slices.Clone(e.loads),
		Executions:  slices.Clone(e.executions),
	}
}

// Executions returns the log of all runs, in the order in which they began.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.executions)
}

// ExecutionsOf returns how often a request was run; runs that went on with an
// imported one don't count.
func (e *Engine) ExecutionCount(id fleet.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executionCounts[id]
}

// logRunLocked writes the start of an execution into the log and returns the
// index of the entry.
func (e *Engine) beginExecutionLocked(execution Execution) int {
	execution.Began = time.Now()
	e.executions = append(e.executions, execution)
	if !execution.Imported {
		e.executionCounts[execution.Request]++
	}
	e.writeLogLocked(LogLine{Kind: LogExecutionBegan, Execution: &execution})
	return len(e.executions) - 1
}

// endRunLocked completes the entry of an execution.
func (e *Engine) endExecutionLocked(index int, end ExecutionEnd, tokens int) {
	execution := &e.executions[index]
	execution.Ended, execution.End, execution.Tokens = time.Now(), end, tokens
	e.writeLogLocked(LogLine{Kind: LogExecutionEnded, Execution: execution})
}

// Loads returns the log of all loads, in the order in which they began.
func (e *Engine) Loads() []Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loads)
}

// HighWater returns the most accelerator memory that was ever in use.
func (e *Engine) HighWater() fleet.Bytes {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.highWater
}

// Overcommits returns how many orders went beyond the accelerator memory.
func (e *Engine) OvercommitCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommits
}

// MaxHeld returns the most engines that held the model at one time, from the
// logs of loads. A model counts from the start of its load to its unload.
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

// serveState reports what the engine held StateLag ago.
func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.laggedStateLocked(time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// reportedLocked returns the last state that is at least StateLag old.
func (e *Engine) laggedStateLocked(now time.Time) fleet.EngineState {
	if e.opts.StateLag <= 0 {
		return e.stateLocked()
	}
	e.trimStatesLocked(now)
	if len(e.stateHistory) == 0 || e.stateHistory[0].AsOf.After(now.Add(-e.opts.StateLag)) {
		return fleet.EngineState{AsOf: now.Add(-e.opts.StateLag), Memory: e.opts.Memory, Role: e.opts.Role, Fenced: e.opts.Fenced}
	}
	return e.stateHistory[0]
}

// statesPerLag bounds how finely states are kept.
const statesPerLag = 16

// noteStateLocked keeps the state for reports that lag.
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

// trimStatesLocked drops the states before the last that is old enough.
func (e *Engine) trimStatesLocked(now time.Time) {
	cutoff := now.Add(-e.opts.StateLag)
	keep := 0
	for keep+1 < len(e.stateHistory) && !e.stateHistory[keep+1].AsOf.After(cutoff) {
		keep++
	}
	e.stateHistory = e.stateHistory[keep:]
}

// stateLocked returns the state of now.
func (e *Engine) stateLocked() fleet.EngineState {
	state := fleet.EngineState{
		AsOf:   time.Now(),
		Memory: e.opts.Memory,
		Used:   e.instance.usedMemory,
		Role:   e.instance.role,
		Fenced: e.opts.Fenced,
		Fence:  e.instance.fence,
	}
	for _, m := range e.instance.models {
		state.Models = append(state.Models, m.report())
	}
	slices.SortFunc(state.Models, func(a, b fleet.EngineModel) int { return cmp.Compare(a.Model, b.Model) })
	return state
}
