package fakes

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/io/engine"
)

// EngineOptions configure an Engine. The zero value selects the defaults.
type EngineOptions struct {
	// Endpoint is the endpoint ID in the log and in requests to the weight store.
	Endpoint fleet.EndpointID
	// Memory is the size of the accelerator memory; 80 GiB if zero.
	Memory fleet.Bytes
	// Fenced makes the engine refuse orders with an outdated fence.
	Fenced bool
	// Role is the role at the start; EngineRoleBoth if empty.
	Role fleet.EngineRole
	// StoreAddr is the address of the weight store. With the zero address, the engine
	// fetches no checkpoints.
	StoreAddr netip.AddrPort
	// CachedModels lists the models whose checkpoints are already on the host, so that they
	// are not fetched from the weight store.
	CachedModels []fleet.ModelID
	// TimeScale multiplies all durations below except StateLag; 1 if zero.
	TimeScale float64
	// LoadMin and LoadMax bound the duration of a model load including its fetch at full
	// speed; 6 and 9 seconds if zero. The duration within these bounds depends only on the
	// model ID.
	LoadMin, LoadMax time.Duration
	// FetchTime is the part of a load that the fetch from the weight store takes at full
	// speed; see StoreOptions.FetchTime. It is subtracted from the load duration, as the
	// store itself takes this time. 1.3 seconds if zero.
	FetchTime time.Duration
	// AdapterLoadTime is the duration of an adapter load, UnloadTime that of a model
	// unload; 300 ms if zero.
	AdapterLoadTime, UnloadTime time.Duration
	// MaxBatch is the maximum number of requests that run at the same time; 32 if zero.
	// Further requests are queued.
	MaxBatch int
	// TokenTime is the time per generated token of a request that runs alone; 20 ms if
	// zero. Each further running request adds ExtraTokenTime; 0.5 ms if zero.
	TokenTime, ExtraTokenTime time.Duration
	// PrefillTokenTime is the prefill time per prompt token that is not in the prefix
	// cache; 0.2 ms if zero.
	PrefillTokenTime time.Duration
	// ServiceTime is the duration of a call of a plain service; 20 ms if zero.
	ServiceTime time.Duration
	// StateLag is how far the response of GET /v1/state lags behind the actual state.
	// TimeScale does not apply to it.
	StateLag time.Duration
	// MaxPrefixBlocks is the capacity of the prefix cache in blocks of 16 tokens; 4,096 if
	// zero.
	MaxPrefixBlocks int
	// MaxFinishedStreams is the number of finished streams that are kept for resumption;
	// 1,024 if zero.
	MaxFinishedStreams int
	// Dial opens connections to the weight store; nil selects TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Log receives each log entry as a LogLine in JSON, one per line, as soon as it occurs,
	// so that the log survives if the process is killed. nil disables it.
	Log io.Writer
	// OnKill is called when Kill has ended the engine, so that a stand-in that runs as its
	// own process can exit.
	OnKill func()
}

// EngineFaults are the faults that an Engine injects. Counters are decremented each time
// that the fault occurs.
type EngineFaults struct {
	// Outage answers every request with status 503.
	Outage bool `json:"outage,omitempty"`
	// Refuse stops listening and closes all connections; the engine itself continues.
	Refuse bool `json:"refuse,omitempty"`
	// Down has the effect of Engine.Kill. The engine starts again, without loaded models,
	// when the fault is cleared.
	Down bool `json:"down,omitempty"`
	// Silent accepts requests without executing or answering them.
	Silent bool `json:"silent,omitempty"`
	// Delay is added before every request is handled.
	Delay time.Duration `json:"delay-ns,omitempty"`
	// Slowdown multiplies the durations of prefill, tokens and plain services; 0 means 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// LoadSlowdown multiplies the durations of model and adapter loads, without the fetch;
	// 0 means 1.
	LoadSlowdown float64 `json:"load-slowdown,omitempty"`
	// FailLoads is the number of model loads that will fail midway.
	FailLoads int `json:"fail-loads,omitempty"`
	// KillDuringLoad is the number of model loads that will kill the engine midway.
	KillDuringLoad int `json:"kill-in-load,omitempty"`
	// LoseOrderAnswers is the number of orders that will be executed, but whose answers
	// will be lost: the connection is closed instead.
	LoseOrderAnswers int `json:"lose-orders,omitempty"`
	// LoseAnswers is the number of requests that will be executed, but whose answers will
	// be lost.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// CrossAnswers is the number of requests that will receive the answer to another
	// request.
	CrossAnswers int `json:"cross-answers,omitempty"`
	// SilentFromChunk and TruncateFromChunk are the numbers, counted from 1, of the chunk
	// before which the connection of a request stalls or is closed; 0 disables the fault.
	// Resumed streams are not affected.
	SilentFromChunk   int `json:"silent-from,omitempty"`
	TruncateFromChunk int `json:"truncate-from,omitempty"`
	// NoResume makes the engine answer resumptions as if the stream were unknown.
	NoResume bool `json:"no-resume,omitempty"`
	// CacheEventDelay delays cache events. CacheEventDropEvery n drops the events whose sequence
	// number is a multiple of n.
	CacheEventDelay     time.Duration `json:"cache-delay-ns,omitempty"`
	CacheEventDropEvery int           `json:"cache-drop-every,omitempty"`
}

// Engine is a stand-in for a model engine and for the plain services on the same host. Its
// execution and load logs survive Kill, as tests need them.
type Engine struct {
	*server
	opts        EngineOptions
	storeClient *http.Client

	mu     sync.Mutex
	faults EngineFaults
	// instance is the running process; Kill replaces it.
	instance   *instance
	executions []Execution
	// executionCounts contains the number of executions per request ID, without imported
	// ones.
	executionCounts map[fleet.RequestID]int
	loads           []ModelLoad
	// peakMemory is the maximum of accelerator memory that was ever in use.
	peakMemory      fleet.Bytes
	overcommitCount int
	// stateHistory contains the states needed for StateLag, oldest first.
	stateHistory []fleet.EngineState
}

// instance is the state of one engine process, which is lost when it dies. Its maps and
// counters are guarded by Engine.mu.
type instance struct {
	// ctx ends when the process dies.
	ctx     context.Context
	cancel  context.CancelFunc
	models  map[fleet.ModelID]*residentModel
	orders  map[fleet.OrderID]*orderCall
	streams map[fleet.RequestID]*stream
	// finished contains the finished streams that can be resumed, oldest first.
	finished   []*stream
	fence      fleet.Fence
	role       fleet.EngineRole
	usedMemory fleet.Bytes
	// batchSize is the number of requests in the batch. queue contains the requests
	// that wait to enter the batch, the highest priority first.
	batchSize int
	queue     []*stream
	cache     *prefixCache
}

// NewEngine returns an engine without loaded models. It does not listen until Start or
// StartIn.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{opts: opts.withDefaults(), executionCounts: make(map[fleet.RequestID]int)}
	dial := opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	e.storeClient = &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	mux := http.NewServeMux()
	e.server = newServer(mux)
	for pattern, serve := range map[string]http.HandlerFunc{
		"POST " + engine.PathCompletions:         e.serveGenerate,
		"POST " + engine.PathChatCompletions:     e.serveGenerate,
		"GET " + engine.PathStreams + "{id}":     e.serveResume,
		"DELETE " + engine.PathStreams + "{id}":  e.serveCancel,
		"POST " + engine.PathOrders:              e.serveOrder,
		"GET " + engine.PathState:                e.serveState,
		"GET " + engine.PathCacheEvents:          e.serveCacheEvents,
		"GET " + engine.PathKVCache + "{id}":     e.serveExport,
		"POST " + engine.PathKVCache + "{id}":    e.serveImport,
		engine.PathServices + "{name}/{path...}": e.serveService,
		// Plain services may use any other path.
		"/": e.serveService,
	} {
		mux.HandleFunc(pattern, e.withFaults(e.commonFaults, serve))
	}
	handleControl(mux, e.Report, e.SetFaults)
	e.instance = e.newInstance()
	return e
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.Memory, 80*fleet.GiB)
	setDefault(&o.Role, fleet.EngineRoleBoth)
	setDefault(&o.TimeScale, 1)
	setDefault(&o.LoadMin, 6*time.Second)
	setDefault(&o.LoadMax, max(o.LoadMin, 9*time.Second))
	setDefault(&o.FetchTime, defaultFetchTime)
	setDefault(&o.AdapterLoadTime, 300*time.Millisecond)
	setDefault(&o.UnloadTime, 300*time.Millisecond)
	setDefault(&o.MaxBatch, 32)
	setDefault(&o.TokenTime, 20*time.Millisecond)
	setDefault(&o.ExtraTokenTime, 500*time.Microsecond)
	setDefault(&o.PrefillTokenTime, 200*time.Microsecond)
	setDefault(&o.ServiceTime, 20*time.Millisecond)
	setDefault(&o.MaxPrefixBlocks, 4096)
	setDefault(&o.MaxFinishedStreams, 1024)
	return o
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (e *Engine) newInstance() *instance {
	ctx, cancel := context.WithCancel(e.quit)
	return &instance{
		ctx:     ctx,
		cancel:  cancel,
		models:  make(map[fleet.ModelID]*residentModel),
		orders:  make(map[fleet.OrderID]*orderCall),
		streams: make(map[fleet.RequestID]*stream),
		role:    e.opts.Role,
		cache:   newPrefixCache(e.opts.MaxPrefixBlocks),
	}
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	previous := e.faults
	e.faults = faults
	e.mu.Unlock()
	switch {
	case faults.Down && !previous.Down:
		e.Kill()
	case faults.Refuse && !previous.Refuse:
		e.Refuse()
	case previous.Down && !faults.Down, previous.Refuse && !faults.Refuse:
		_ = e.Listen()
	}
}

// Kill ends the engine as a crash does: all connections are closed, and models, streams and
// orders are lost. Requests are refused until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	dead := e.instance
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(dead.models)) {
		e.endLoadLocked(dead.models[id], now)
	}
	e.instance = e.newInstance()
	e.recordStateLocked()
	e.mu.Unlock()
	dead.cancel()
	e.Refuse()
	if e.opts.OnKill != nil {
		e.opts.OnKill()
	}
}

// Restart listens again after Kill. The engine has no loaded models.
func (e *Engine) Restart() error {
	return e.Listen()
}

// commonFaults returns the current faults that apply to every request.
func (e *Engine) commonFaults() commonFaults {
	faults := e.currentFaults()
	return commonFaults{outage: faults.Outage, silent: faults.Silent, delay: faults.Delay}
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// consumeFault decrements the counter of a fault and reports whether the fault occurs now.
func (e *Engine) consumeFault(counter func(*EngineFaults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := counter(&e.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// currentInstance returns the instance that a new request belongs to.
func (e *Engine) currentInstance() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// scaleTime multiplies a duration by TimeScale and by factor; a factor of 0 or less means
// 1.
func (e *Engine) scaleTime(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		factor = 1
	}
	return time.Duration(float64(d) * e.opts.TimeScale * factor)
}

// sleep waits for d and reports whether it elapsed, false if ctx or the instance ended
// first.
func (inst *instance) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-inst.ctx.Done():
		return false
	}
}
