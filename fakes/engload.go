package fakes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilreach/core/fleet"
	"chervilreach/io/engine"
)

// residentModel is a model that occupies accelerator memory.
type residentModel struct {
	id              fleet.ModelID
	state           fleet.LoadState
	memory          fleet.Bytes
	adapters        map[fleet.AdapterID]*residentAdapter
	runningRequests int
	queuedRequests  int
	// loadIndex is the index of its entry in Engine.loads.
	loadIndex int
}

// residentAdapter is an adapter of a residentModel.
type residentAdapter struct {
	state  fleet.LoadState
	memory fleet.Bytes
}

// totalMemory returns the memory of the model and its adapters.
func (m *residentModel) totalMemory() fleet.Bytes {
	sum := m.memory
	for _, a := range m.adapters {
		sum += a.memory
	}
	return sum
}

// report returns the model as GET /v1/state reports it.
func (m *residentModel) report() fleet.EngineModel {
	state := fleet.EngineModel{Model: m.id, State: m.state, Memory: m.totalMemory(), Running: m.runningRequests, Queued: m.queuedRequests}
	if len(m.adapters) > 0 {
		state.Adapters = make(map[fleet.AdapterID]fleet.LoadState, len(m.adapters))
	}
	for id, a := range m.adapters {
		state.Adapters[id] = a.state
	}
	return state
}

// orderCall is an accepted order. result is set once done is closed.
type orderCall struct {
	done   chan struct{}
	result engine.OrderResult
}

// serveOrder executes an order and answers with its result. An order with a known ID is not
// executed again; its caller gets the result of the first execution.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order fleet.Order
	if !readJSON(w, r, &order) {
		return
	}
	inst, call := e.startOrder(order)
	select {
	case <-call.done:
	case <-inst.ctx.Done():
	case <-r.Context().Done():
		return
	}
	if inst.ctx.Err() != nil || e.consumeFault(func(f *EngineFaults) *int { return &f.LoseOrderAnswers }) {
		abortHandler()
	}
	writeJSON(w, http.StatusOK, call.result)
}

// startOrder starts executing an order and returns its call, or the existing call if the
// order ID is known. A Fenced engine does not execute an order with an outdated fence.
func (e *Engine) startOrder(order fleet.Order) (*instance, *orderCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inst := e.instance
	if call, ok := inst.orders[order.ID]; ok {
		return inst, call
	}
	call := &orderCall{done: make(chan struct{})}
	inst.orders[order.ID] = call
	if e.opts.Fenced && order.Fence.Compare(inst.fence) < 0 {
		call.result = engine.OrderResult{Outcome: fleet.OutcomeFenced}
		close(call.done)
		return inst, call
	}
	if order.Fence.Compare(inst.fence) > 0 {
		inst.fence = order.Fence
	}
	go func() {
		defer close(call.done)
		call.result = engine.OrderResult{Outcome: fleet.OutcomeDone}
		if err := e.applyOrder(inst, order); err != nil {
			call.result = engine.OrderResult{Outcome: fleet.OutcomeFailed, Detail: err.Error()}
		}
	}()
	return inst, call
}

// errOrderFailed is the cause of failed orders.
var errOrderFailed = errors.New("order failed")

// applyOrder executes an order and returns when it is done.
func (e *Engine) applyOrder(inst *instance, order fleet.Order) error {
	switch order.Action {
	case fleet.ActionLoadModel:
		return e.loadModel(inst, order)
	case fleet.ActionUnloadModel:
		return e.unloadModel(inst, order.Model)
	case fleet.ActionLoadAdapter:
		return e.loadAdapter(inst, order)
	case fleet.ActionUnloadAdapter:
		return e.unloadAdapter(inst, order)
	case fleet.ActionSetRole:
		return e.setRole(inst, order.Role)
	default:
		return fmt.Errorf("%w: unknown action %q", errOrderFailed, order.Action)
	}
}

func (e *Engine) setRole(inst *instance, role fleet.EngineRole) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	inst.role = role
	e.recordStateLocked()
	return nil
}

// loadModel allocates the memory of a model at once, even if it exceeds the accelerator
// memory, and returns when the model is warm. It succeeds without effect if the model is
// warm already, and fails if the model is being loaded or unloaded.
func (e *Engine) loadModel(inst *instance, order fleet.Order) error {
	e.mu.Lock()
	if held, ok := inst.models[order.Model]; ok {
		defer e.mu.Unlock()
		if held.state == fleet.LoadStateWarm {
			return nil
		}
		return fmt.Errorf("%w: %s is %s", errOrderFailed, held.id, held.state)
	}
	m := &residentModel{
		id:        order.Model,
		state:     fleet.LoadStateLoading,
		memory:    order.Memory + order.KVCache,
		adapters:  make(map[fleet.AdapterID]*residentAdapter),
		loadIndex: len(e.loads),
	}
	inst.models[m.id] = m
	e.loads = append(e.loads, ModelLoad{Model: m.id, Order: order.ID, Fence: order.Fence, Began: time.Now()})
	e.addMemoryLocked(inst, m.memory)
	e.writeLogLocked(LogLine{Kind: LogLoadBegan, Load: &e.loads[m.loadIndex]})
	e.mu.Unlock()

	err := e.simulateLoad(inst, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	if inst.ctx.Err() != nil {
		return inst.ctx.Err()
	}
	if err != nil {
		e.removeModelLocked(inst, m)
		return err
	}
	m.state = fleet.LoadStateWarm
	e.loads[m.loadIndex].WarmAt = time.Now()
	e.writeLogLocked(LogLine{Kind: LogLoadWarm, Load: &e.loads[m.loadIndex]})
	e.recordStateLocked()
	return nil
}

// simulateLoad waits for the duration of a model load: the fetch, unless the checkpoint is
// on the host, and the processing. KillDuringLoad and FailLoads occur halfway through the
// processing.
func (e *Engine) simulateLoad(inst *instance, order fleet.Order) error {
	hash := xxhash.Sum64String(string(order.Model))
	variation := e.opts.LoadMax - e.opts.LoadMin
	processing := e.opts.LoadMin - e.opts.FetchTime
	if variation > 0 {
		processing += time.Duration(rand.New(rand.NewPCG(hash, 0)).Int64N(int64(variation)))
	}
	if !slices.Contains(e.opts.CachedModels, order.Model) && e.opts.StoreAddr.IsValid() {
		if err := e.fetch(inst, order.Model); err != nil {
			return err
		}
	}
	half := e.scaleTime(max(processing, 0)/2, e.currentFaults().LoadSlowdown)
	inst.sleep(inst.ctx, half)
	if e.consumeFault(func(f *EngineFaults) *int { return &f.KillDuringLoad }) {
		e.Kill()
	}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.FailLoads }) {
		return fmt.Errorf("%w: load of %s failed", errOrderFailed, order.Model)
	}
	inst.sleep(inst.ctx, half)
	return nil
}

// maxFetchAttempts is the number of times that the engine tries to fetch a checkpoint from
// a busy weight store.
const maxFetchAttempts = 100

// fetch reads a checkpoint from the weight store. It retries after the delay that the store
// requests while the store is busy.
func (e *Engine) fetch(inst *instance, model fleet.ModelID) error {
	for range maxFetchAttempts {
		retryAfter, err := e.fetchOnce(inst.ctx, model)
		if err != nil {
			return err
		}
		if retryAfter == 0 {
			return nil
		}
		if !inst.sleep(inst.ctx, retryAfter) {
			return inst.ctx.Err()
		}
	}
	return fmt.Errorf("%w: weight store is busy", errOrderFailed)
}

// fetchOnce tries to fetch a checkpoint. It returns 0 if the fetch succeeded, and the delay
// before the next attempt if the store is busy.
func (e *Engine) fetchOnce(ctx context.Context, model fleet.ModelID) (time.Duration, error) {
	weightsURL := "http://" + e.opts.StoreAddr.String() + "/v1/weights/" + url.PathEscape(string(model))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, weightsURL, nil)
	if err != nil {
		return 0, fmt.Errorf("fetch %s: %w", model, err)
	}
	req.Header.Set(headerEndpoint, string(e.opts.Endpoint))
	resp, err := e.storeClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("fetch %s: %w", model, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusTooManyRequests {
		ms, err := strconv.Atoi(resp.Header.Get(headerRetryAfterMS))
		if err != nil {
			return 0, fmt.Errorf("fetch %s: %w", model, err)
		}
		return time.Duration(max(ms, 1)) * time.Millisecond, nil
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%w: weight store answered %d", errOrderFailed, resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return 0, err
}

// addMemoryLocked adds memory, which may be negative, to the memory in use. It counts an
// overcommit if an increase exceeds the accelerator memory.
func (e *Engine) addMemoryLocked(inst *instance, memory fleet.Bytes) {
	inst.usedMemory += memory
	e.peakMemory = max(e.peakMemory, inst.usedMemory)
	if inst.usedMemory > e.opts.Memory && memory > 0 {
		e.overcommitCount++
		e.writeLogLocked(LogLine{Kind: LogOvercommit})
	}
	e.recordStateLocked()
}

// unloadModel aborts the requests of a model and releases its memory after UnloadTime. It
// succeeds if the model is not loaded, and fails while the model is being loaded or
// unloaded.
func (e *Engine) unloadModel(inst *instance, id fleet.ModelID) error {
	e.mu.Lock()
	m, ok := inst.models[id]
	if !ok {
		e.mu.Unlock()
		return nil
	}
	if m.state != fleet.LoadStateWarm {
		defer e.mu.Unlock()
		return fmt.Errorf("%w: %s is %s", errOrderFailed, id, m.state)
	}
	m.state = fleet.LoadStateUnloading
	for _, s := range inst.streams {
		if s.target.Model == id {
			s.abort(ExecutionFailed)
		}
	}
	e.recordStateLocked()
	e.mu.Unlock()
	inst.sleep(inst.ctx, e.scaleTime(e.opts.UnloadTime, 1))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeModelLocked(inst, m)
	return nil
}

// removeModelLocked releases a model and its memory, unless the instance has ended or the
// model was removed already.
func (e *Engine) removeModelLocked(inst *instance, m *residentModel) {
	if inst.models[m.id] != m || inst.ctx.Err() != nil {
		return
	}
	delete(inst.models, m.id)
	e.endLoadLocked(m, time.Now())
	e.addMemoryLocked(inst, -m.totalMemory())
}

// endLoadLocked completes the entry of a model in the log of loads.
func (e *Engine) endLoadLocked(m *residentModel, now time.Time) {
	e.loads[m.loadIndex].Ended = now
	e.writeLogLocked(LogLine{Kind: LogLoadEnded, Load: &e.loads[m.loadIndex]})
}

// loadAdapter allocates the memory of an adapter at once and returns when the adapter is
// warm. It succeeds if the adapter is present already, and fails if its model is not warm.
func (e *Engine) loadAdapter(inst *instance, order fleet.Order) error {
	e.mu.Lock()
	m := inst.models[order.Model]
	if m == nil || m.state != fleet.LoadStateWarm {
		e.mu.Unlock()
		return fmt.Errorf("%w: %s is not loaded", errOrderFailed, order.Model)
	}
	if _, ok := m.adapters[order.Adapter]; ok {
		e.mu.Unlock()
		return nil
	}
	a := &residentAdapter{state: fleet.LoadStateLoading, memory: order.Memory}
	m.adapters[order.Adapter] = a
	e.addMemoryLocked(inst, a.memory)
	e.mu.Unlock()
	inst.sleep(inst.ctx, e.scaleTime(e.opts.AdapterLoadTime, e.currentFaults().LoadSlowdown))
	e.mu.Lock()
	defer e.mu.Unlock()
	a.state = fleet.LoadStateWarm
	e.recordStateLocked()
	return nil
}

// unloadAdapter releases an adapter at once. It succeeds if the adapter is not loaded.
func (e *Engine) unloadAdapter(inst *instance, order fleet.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := inst.models[order.Model]
	if m == nil || m.adapters[order.Adapter] == nil {
		return nil
	}
	memory := m.adapters[order.Adapter].memory
	delete(m.adapters, order.Adapter)
	e.addMemoryLocked(inst, -memory)
	return nil
}

// findModelLocked returns the warm model and the adapter that a target selects, or nil if
// there is none. The model is selected by its ID or by its name without the version, and
// its adapter by target.Adapter. A target whose Model is the ID of a warm adapter selects
// that adapter and its model. If several models match, the one with the lowest ID is
// selected.
func (inst *instance) findModelLocked(target fleet.Target) (*residentModel, fleet.AdapterID) {
	for _, id := range slices.Sorted(maps.Keys(inst.models)) {
		m := inst.models[id]
		name, _ := id.Split()
		if m.state != fleet.LoadStateWarm {
			continue
		}
		if target.Model != id && string(target.Model) != name {
			if a := m.adapters[fleet.AdapterID(target.Model)]; a != nil && a.state == fleet.LoadStateWarm {
				return m, fleet.AdapterID(target.Model)
			}
			continue
		}
		if target.Adapter == "" {
			return m, ""
		}
		if a := m.adapters[target.Adapter]; a != nil && a.state == fleet.LoadStateWarm {
			return m, target.Adapter
		}
	}
	return nil, ""
}
