// Package route holds the routes that an operator has put in force: which
// requests go to which service, how they may be retried, and what the engines
// behind a service can hold.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be done again with a request of a route.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a series of numbered events. They run at
	// most once unless the route lets them be resumed.
	Stream
)

// Route is one rule of a table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time within which an answer is on time; of a stream, its
	// first event.
	Objective time.Duration
	// MaxGap is the longest pause between the events of a stream that is on time.
	MaxGap time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many endpoints may run one request.
	MaxAttempts int
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
	// Affinity says that requests share parts of their prompts.
	Affinity bool
	// Targets are the services that serve the route, by weight.
	Targets []Target
}

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  int
}

// Idempotent says whether a request may run more than once from its beginning
// or from where its answer broke off.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service picks the target of a request by its id, so that all attempts with
// one id go to the same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		at -= t.Weight
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConns is how many connections one endpoint accepts from all callers.
	MaxConns int
	// Engine is nil for services without models.
	Engine *Engine
}

// Engine says what each model endpoint of a service can hold.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// Memory is the room for weights and adapters, in MB.
	Memory float64
	// AdapterSlots is how many adapters an endpoint holds.
	AdapterSlots int
	// KVCapacity is the room for prompts and answers, in tokens.
	KVCapacity int
	// LoadsPerSecond is how many loads may begin at the weight store a second,
	// over all endpoints.
	LoadsPerSecond float64
	// Models are the models that may be loaded, by name.
	Models map[string]Model
}

// Model is one model that an engine may load.
type Model struct {
	Name string
	// Size is the room that its weights take, in MB.
	Size float64
	// Adapters is how many adapters there are, and AdapterSize the room of one in MB.
	Adapters    int
	AdapterSize float64
	// FromStore, FromDisk and FromMemory are how long a load takes from the
	// weight store and from the endpoint's own copies.
	FromStore, FromDisk, FromMemory time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeader, MaxBody         int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of an operator's configuration.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route
}

// New returns a table of the routes and services.
func New(version int64, limits Limits, routes []*Route, services []*Service) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		services: make(map[string]*Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix of the path among those of
// the host.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Engine returns the engine of a service; nil if it has none.
func (t *Table) Engine(service string) *Engine {
	if t == nil || t.services[service] == nil {
		return nil
	}
	return t.services[service].Engine
}
