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

// EngineOptions configure an Engine. The zero value is usable.
type EngineOptions struct {
	Endpoint fleet.EndpointID
	// Memory is the accelerator memory; 80 GiB when zero.
	Memory fleet.Bytes
	// Fenced engines refuse orders with an old fence.
	Fenced bool
	Role   fleet.EngineRole
	// Store is where checkpoints come from; the zero address for nowhere.
	StoreAddr netip.AddrPort
	// Cached lists the models whose checkpoints are on the host.
	CachedModels []fleet.ModelID
	// TimeScale multiplies all times below; 1 when zero.
	TimeScale float64
	// LoadMin and LoadMax bound the time of a load with its fetch; 6 and 9
	// seconds when zero.
	LoadMin, LoadMax time.Duration
	// FetchTime is the part of a load that the store takes at full speed; see
	// StoreOptions.
	FetchTime time.Duration
	// AdapterTime and UnloadTime are what these orders take; 300 ms when zero.
	AdapterLoadTime, UnloadTime time.Duration
	// MaxBatch bounds the requests that run at once; 32 when zero.
	MaxBatch int
	// TokenTime is the time per token of a lone request, SequenceTime what
	// each further request in the batch adds; 20 ms and 0.5 ms when zero.
	TokenTime, ExtraTokenTime time.Duration
	// PrefillTime is the time per prompt token that isn't cached; 0.2 ms when
	// zero.
	PrefillTokenTime time.Duration
	// ServiceTime is the time of a call of a plain service; 20 ms when zero.
	ServiceTime time.Duration
	// StateLag is how old GET /v1/state is; not scaled.
	StateLag time.Duration
	// PrefixBlocks bounds the prefix cache; 4,096 blocks when zero.
	MaxPrefixBlocks int
	// KeepStreams is how many finished streams can be resumed; 1,024 when zero.
	MaxFinishedStreams int
	// Dial opens connections to the store; nil for TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Log takes each entry of the logs as a JSON line, a LogLine, at once, so
	// that it outlives a process that is killed; nil for none.
	Log io.Writer
	// OnKill is called when a fault kills the engine, so that a process of its
	// own can end.
	OnKill func()
}

// EngineFaults are the faults of an Engine.
type EngineFaults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage,omitempty"`
	// Refuse stops listening and cuts all connections; the engine goes on.
	Refuse bool `json:"refuse,omitempty"`
	// Down kills the engine, which forgets all but its logs; it starts again,
	// empty, when the fault ends.
	Down bool `json:"down,omitempty"`
	// Silent swallows calls: they are taken and neither run nor answered.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay-ns,omitempty"`
	// Slowdown multiplies the time of prefill, tokens and services; 0 is 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// LoadSlowdown multiplies the time of loads; 0 is 1.
	LoadSlowdown float64 `json:"load-slowdown,omitempty"`
	// FailLoads is how many loads fail half way.
	FailLoads int `json:"fail-loads,omitempty"`
	// KillInLoad is how many loads kill the engine half way.
	KillDuringLoad int `json:"kill-in-load,omitempty"`
	// LoseOrders is how many orders are carried out without an answer.
	LoseOrderAnswers int `json:"lose-orders,omitempty"`
	// LoseAnswers is how many requests are run without an answer.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// CrossAnswers is how many requests get the answer to another request.
	CrossAnswers int `json:"cross-answers,omitempty"`
	// SilentFrom and TruncateFrom name the chunk, counted from 1, at which the
	// connection of a request goes silent or is cut; 0 is none. Resumed streams
	// are spared.
	SilentFromChunk   int `json:"silent-from,omitempty"`
	TruncateFromChunk int `json:"truncate-from,omitempty"`
	// NoResume answers resumptions as if the stream were unknown.
	NoResume bool `json:"no-resume,omitempty"`
	// CacheDelay holds back cache events; CacheDropEvery n loses each nth.
	CacheDelay     time.Duration `json:"cache-delay-ns,omitempty"`
	CacheDropEvery int           `json:"cache-drop-every,omitempty"`
}

// Engine stands in for a model engine with the plain services beside it. Its
// logs outlive Kill, as they are the tests' and not the engine's.
type Engine struct {
	*server
	opts        EngineOptions
	storeClient *http.Client

	mu              sync.Mutex
	faults          EngineFaults
	instance        *instance
	executions      []Execution
	executionCounts map[fleet.RequestID]int
	loads           []Load
	highWater       fleet.Bytes
	overcommits     int
	stateHistory    []fleet.EngineState
}

// life is what an engine process forgets when it dies. Its maps and counters
// are guarded by Engine.mu.
type instance struct {
	ctx        context.Context
	cancel     context.CancelFunc
	models     map[fleet.ModelID]*residentModel
	orders     map[fleet.OrderID]*orderCall
	streams    map[fleet.RequestID]*stream
	finished   []*stream
	fence      fleet.Fence
	role       fleet.EngineRole
	usedMemory fleet.Bytes
	running    int
	queue      []*stream
	cache      *prefixCache
}

// NewEngine returns an empty engine that doesn't listen yet.
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
		"GET " + engine.PathKV + "{id}":          e.serveExport,
		"POST " + engine.PathKV + "{id}":         e.serveImport,
		engine.PathServices + "{name}/{path...}": e.serveService,
		// A plain service has any other paths that it likes.
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
	setDefault(&o.Role, fleet.EngineBoth)
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

// setDefault gives an option that is zero its default.
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

// SetFaults replaces the faults.
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

// Kill ends the engine as a crash does: connections are cut, and models,
// streams and orders are forgotten. Restart starts it again, empty.
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

// Restart listens again after Kill.
func (e *Engine) Restart() error {
	return e.Listen()
}

func (e *Engine) commonFaults() commonFaults {
	faults := e.currentFaults()
	return commonFaults{outage: faults.Outage, silent: faults.Silent, delay: faults.Delay}
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// strikes counts down a fault of EngineFaults and says whether it strikes.
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

// currentLife returns the life that a request belongs to.
func (e *Engine) currentInstance() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// scale turns a time of the options into time of this run.
func (e *Engine) scaleTime(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		factor = 1
	}
	return time.Duration(float64(d) * e.opts.TimeScale * factor)
}

// pause waits in the life of a request or order; false says that it ended.
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
