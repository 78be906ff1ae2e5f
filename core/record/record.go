// Package record parses, validates and accepts the configuration records that
// operators write. There are records of members, models, kinds of request, plain
// services and the deployment. Records of any supported schema version are
// converted to the newest one; Config is the accepted configuration as the other
// packages use it.
package record

import (
	"time"

	"chervilreach/core/fleet"
)

// Config is an accepted configuration. It must not be modified; a changed
// configuration is a new Config.
type Config struct {
	// Revision is the accepted revision: it increases by 1 with each accepted batch
	// of records.
	Revision   fleet.Revision              `json:"revision"`
	Deployment Deployment                  `json:"deployment"`
	Members    map[fleet.MemberID]Member   `json:"members,omitempty"`
	Models     map[fleet.ModelID]Model     `json:"models,omitempty"`
	Kinds      map[fleet.KindID]Kind       `json:"kinds,omitempty"`
	Services   map[fleet.ServiceID]Service `json:"services,omitempty"`
}

// Deployment holds the settings that apply to all models.
type Deployment struct {
	// TailWeight, from 0 to 1, weighs the tail latency of cold starts against idle
	// accelerator hours in the decision how long an unused model stays loaded: at 1
	// only the tail latency counts, at 0 only the idle hours.
	TailWeight float64 `json:"tail-weight"`
	// LoadsPerSecond and LoadsAtOnce limit the rate and the concurrency of loads
	// from the weight store, over the whole deployment.
	LoadsPerSecond float64 `json:"loads-per-second"`
	LoadsAtOnce    int     `json:"loads-at-once"`
	// DefaultKind is the kind of requests for models that have no DefaultKind
	// themselves. Empty means none.
	DefaultKind fleet.KindID `json:"default-kind,omitempty"`
}

// Member is an organization (tenant) that uses the deployment. Its callers authenticate
// with the member's bearer keys.
type Member struct {
	ID fleet.MemberID `json:"id"`
	// KeyHashes are the SHA-256 hashes of the member's bearer keys, as lower-case
	// hexadecimal digits.
	KeyHashes []string `json:"key-hashes"`
	Rights    []Right  `json:"rights"`
	// MaxRunning is the maximum number of the member's requests in progress on each
	// router; 0 means no limit.
	MaxRunning int `json:"running,omitempty"`
}

// Right allows a member to use a model or a plain service. Exactly one of Model
// and Service is set.
type Right struct {
	// Model is the name of a base model, or "*" for all models. Versions and
	// Adapters restrict the right to some of the model's versions and adapters;
	// empty means all.
	Model    string            `json:"model,omitempty"`
	Versions []string          `json:"versions,omitempty"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
	Service  fleet.ServiceID   `json:"service,omitempty"`
}

// Model is one version of a base model.
type Model struct {
	ID fleet.ModelID `json:"id"`
	// Weights is the accelerator memory that the weights of a loaded replica use.
	Weights fleet.Bytes `json:"weights"`
	// KVCache is the minimum KV cache memory that a loaded replica needs.
	KVCache  fleet.Bytes                     `json:"cache,omitempty"`
	Adapters map[fleet.AdapterID]fleet.Bytes `json:"adapters,omitempty"`
	// CachedOn lists the hosts that have the checkpoint in memory or on disk.
	CachedOn []fleet.HostID `json:"cached-on,omitempty"`
	// WarmLimit is the maximum number of loaded replicas; at 0 the model is not
	// loaded at all. WarmFloor is the number of replicas to keep loaded even
	// without requests.
	WarmLimit int `json:"warm-limit"`
	WarmFloor int `json:"warm-floor,omitempty"`
	// ChecksFence is set if the engines that run the model reject orders with an old
	// fencing number.
	ChecksFence bool `json:"fenced,omitempty"`
	// DefaultKind is the kind of requests that don't specify one. Empty means that
	// Deployment.DefaultKind applies.
	DefaultKind fleet.KindID `json:"default-kind,omitempty"`
}

// Kind holds the scheduling properties of a kind of request.
type Kind struct {
	ID fleet.KindID `json:"id"`
	// Urgency is the priority of the requests; higher values are served first.
	Urgency int `json:"urgency"`
	// Patience is how long a request may wait for the first byte of its response. A
	// caller may set a shorter time for its request.
	Patience time.Duration `json:"patience"`
	// Idempotent is set if a request may be executed again when it is unknown
	// whether the first execution took place.
	Idempotent bool `json:"idempotent"`
}

// Service is a plain service: an HTTP service beside the model engines that
// requests are routed to, such as a booking service.
type Service struct {
	ID fleet.ServiceID `json:"id"`
	// Endpoints are the endpoints that run the service.
	Endpoints []fleet.EndpointID `json:"endpoints"`
	// Kind is the kind of requests that don't specify one.
	Kind fleet.KindID `json:"kind"`
}
