package fleet

import "time"

// Action is the operation that an order requests from an engine.
type Action string

// The actions of orders.
const (
	ActionLoadModel     Action = "load-model"
	ActionUnloadModel   Action = "unload-model"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionSetRole       Action = "set-role"
)

// EngineRole is the part of inference that an engine performs: prefill, decode or
// both.
type EngineRole string

// The roles of engines.
const (
	EngineRoleBoth    EngineRole = "both"
	EngineRolePrefill EngineRole = "prefill"
	EngineRoleDecode  EngineRole = "decode"
)

// Order is a command to an engine. Orders are idempotent by ID: an engine that has
// executed an order answers a repetition with the outcome of the first execution.
type Order struct {
	ID     OrderID `json:"id"`
	Fence  Fence   `json:"fence"`
	Action Action  `json:"action"`
	Model  ModelID `json:"model,omitempty"`
	// Adapter is set for actions on adapters.
	Adapter AdapterID `json:"adapter,omitempty"`
	// Role is set for ActionSetRole.
	Role EngineRole `json:"role,omitempty"`
	// Memory is the accelerator memory needed by the model or adapter itself, without
	// the KV cache.
	Memory Bytes `json:"memory,omitempty"`
	// KVCache is the accelerator memory to reserve for the KV cache of a model.
	KVCache Bytes `json:"cache,omitempty"`
}

// Outcome is the result of an order.
type Outcome string

// The outcomes of orders. A fenced order was refused because its fence is too low.
// An order with an unknown outcome may or may not have been executed.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeFenced  Outcome = "fenced"
	OutcomeUnknown Outcome = "unknown"
)

// LoadState is the state of a model or adapter in an engine.
type LoadState string

// The states of models and adapters in engines. Those that are not loaded have no
// state and are not listed.
const (
	LoadStateLoading   LoadState = "loading"
	LoadStateWarm      LoadState = "warm"
	LoadStateUnloading LoadState = "unloading"
)

// EngineModel is the state of one model in an engine.
type EngineModel struct {
	Model ModelID   `json:"model"`
	State LoadState `json:"state"`
	// Memory is the accelerator memory used by the model, with its KV cache and
	// adapters.
	Memory   Bytes                   `json:"memory"`
	Adapters map[AdapterID]LoadState `json:"adapters,omitempty"`
	// Running and Queued are the numbers of requests for the model.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// EngineState is the state of an engine as reported by the engine.
type EngineState struct {
	// AsOf is the time of the state, which may be older than the report.
	AsOf time.Time `json:"as-of"`
	// TotalMemory is the memory of all accelerators of the endpoint, and UsedMemory the
	// part in use.
	TotalMemory Bytes         `json:"memory"`
	UsedMemory  Bytes         `json:"used"`
	Role        EngineRole    `json:"role"`
	Models      []EngineModel `json:"models,omitempty"`
	// ChecksFence reports whether the engine refuses orders with an outdated fence. Fence
	// is then the highest fence that it has received.
	ChecksFence bool  `json:"fenced"`
	Fence       Fence `json:"fence"`
}
