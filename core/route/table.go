// Package route defines the operator's routing table: which requests go to which
// service, how they may be retried, and the capacity of a service's engines.
package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines how the requests of a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	// Unsafe requests are executed at most once.
	Unsafe Kind = iota
	// Safe requests may be executed any number of times.
	Safe
	// Stream requests are answered by a sequence of numbered events. They are executed
	// at most once unless the route is resumable.
	Stream
)

// Route is one rule of a table. It applies to requests by their host and path.
type Route struct {
	Name string
	// Host is compared with the whole host of a request.
	Host string
	// Prefix is a prefix of the request's path.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the end of the answer.
	Timeout time.Duration
	// Objective is the target latency of an answer, or of the first event of a stream.
	Objective time.Duration
	// MaxGap is the target for the longest pause between two events of a stream.
	MaxGap time.Duration
	// Priority ranks the requests of different routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of endpoints that may execute the same request.
	// Attempts that certainly did not run don't count.
	MaxAttempts int
	// Resumable reports whether an interrupted stream may continue at another endpoint.
	Resumable bool
	// Affinity reports whether the requests share parts of their prompts.
	Affinity bool
	// Targets are the services that requests are distributed to by weight.
	Targets []Target
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Idempotent reports whether a request may be executed more than once, be it from the
// start or, for a resumable stream, from the point of interruption.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PickService returns the name of the service for a request. It is derived from a hash of
// the request ID, in proportion to the weights, so that all attempts with the same ID
// go to the same service. If no weight is positive, it is the first target; without
// targets it is empty.
func (r *Route) PickService(id string) string {
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
	offset := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		offset -= t.Weight
		if offset < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that one endpoint accepts from all
	// callers together.
	MaxConns int
	// Engine is nil for services without models.
	Engine *Engine
}

// Engine is the capacity of each model endpoint of a service.
type Engine struct {
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// Memory is the memory for model weights and adapters, in MB.
	Memory float64
	// AdapterSlots is the maximum number of loaded adapters, over all models.
	AdapterSlots int
	// KVCapacity is the size of the KV cache, in tokens.
	KVCapacity int
	// LoadsPerSecond is the maximum rate at which loads from the weight store may
	// start, over all endpoints.
	LoadsPerSecond float64
	// Models are the models that may be loaded, by name.
	Models map[string]Model
}

// Model describes a model that an engine may load.
type Model struct {
	Name string
	// Size is the memory that its weights take, in MB.
	Size float64
	// Adapters is the number of existing adapters, AdapterSize the memory that each of
	// them takes, in MB.
	Adapters    int
	AdapterSize float64
	// FromStore, FromDisk and FromMemory are the durations of a load from the weight
	// store and from weights cached on the endpoint's host.
	FromStore, FromDisk, FromMemory time.Duration
}

// Limits bound the requests of callers.
type Limits struct {
	// MaxHeader and MaxBody are the maximum sizes of a request's header and body, in
	// bytes.
	MaxHeader, MaxBody int
	// HeaderTimeout bounds the time to read a request's header, IdleTimeout the time
	// that a connection may stay open without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the operator's configuration. It is immutable and safe for
// concurrent use.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	count    int
	// prefixLengths has the lengths of the prefixes of each host, the longest first.
	prefixLengths *cowMap[string, []lengthCount]
	// routes has the routes for each host and prefix, in the order in which they were given.
	routes *cowMap[routeKey, []*Route]
}

// routeKey identifies the routes of a host with the same prefix.
type routeKey struct{ host, prefix string }

// lengthCount is the number of a host's routes with prefixes of one length.
type lengthCount struct{ length, count int }

// NewTable returns a table of the routes and services. It keeps the pointers, so the caller
// must not change what they point to.
func NewTable(version int64, limits Limits, routes []*Route, services []*Service) *Table {
	empty := &Table{prefixLengths: &cowMap[string, []lengthCount]{}, routes: &cowMap[routeKey, []*Route]{}}
	e := empty.edit()
	for _, r := range routes {
		e.add(r)
	}
	return e.table(version, limits, serviceMap(services))
}

func serviceMap(services []*Service) map[string]*Service {
	m := make(map[string]*Service, len(services))
	for _, s := range services {
		m[s.Name] = s
	}
	return m
}

// Change is the difference between two tables. Removed routes are identified by their pointers.
type Change struct {
	Removed, Added []*Route
	// Services are the services of the newer table; nil if they are those of the older one.
	Services []*Service
}

// With returns a table with a later version of the configuration. It costs what the change costs, not
// what the table does. It returns false if an added route has the host and prefix of another one, as
// the order of all routes decides then which of them counts.
func (t *Table) With(version int64, limits Limits, c Change) (*Table, bool) {
	e := t.edit()
	for _, r := range c.Removed {
		e.remove(r)
	}
	for _, r := range c.Added {
		if others, _ := e.routes.get(routeKey{r.Host, r.Prefix}); len(others) > 0 {
			return nil, false
		}
		e.add(r)
	}
	services := t.services
	if c.Services != nil {
		services = serviceMap(c.Services)
	}
	return e.table(version, limits, services), true
}

// tableEdit is a change of a table's routes in progress.
type tableEdit struct {
	count         int
	prefixLengths *cowEdit[string, []lengthCount]
	routes        *cowEdit[routeKey, []*Route]
}

func (t *Table) edit() *tableEdit {
	return &tableEdit{count: t.count, prefixLengths: t.prefixLengths.edit(), routes: t.routes.edit()}
}

func (e *tableEdit) table(version int64, limits Limits, services map[string]*Service) *Table {
	return &Table{
		Version: version, Limits: limits, services: services, count: e.count,
		prefixLengths: e.prefixLengths.next, routes: e.routes.next,
	}
}

func (e *tableEdit) add(r *Route) {
	key := routeKey{r.Host, r.Prefix}
	list, _ := e.routes.get(key)
	e.routes.set(key, append(slices.Clip(list), r))
	e.countLength(r, 1)
	e.count++
}

// remove removes a route if the table has it.
func (e *tableEdit) remove(r *Route) {
	key := routeKey{r.Host, r.Prefix}
	list, _ := e.routes.get(key)
	i := slices.Index(list, r)
	switch {
	case i < 0:
		return
	case len(list) == 1:
		e.routes.remove(key)
	default:
		e.routes.set(key, slices.Delete(slices.Clone(list), i, i+1))
	}
	e.countLength(r, -1)
	e.count--
}

// countLength adds n to the number of the host's routes with prefixes as long as that of r.
func (e *tableEdit) countLength(r *Route, n int) {
	list, _ := e.prefixLengths.get(r.Host)
	list = slices.Clone(list)
	i, found := slices.BinarySearchFunc(list, len(r.Prefix), func(l lengthCount, length int) int { return cmp.Compare(length, l.length) })
	if !found {
		list = slices.Insert(list, i, lengthCount{length: len(r.Prefix)})
	}
	if list[i].count += n; list[i].count == 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		e.prefixLengths.remove(r.Host)
		return
	}
	e.prefixLengths.set(r.Host, list)
}

// Match returns the route of the host whose prefix is the longest that matches the
// path. Among equal prefixes the first route given to NewTable wins. It returns false if no
// route matches.
func (t *Table) Match(host, path string) (*Route, bool) {
	lengths, _ := t.prefixLengths.get(host)
	for _, l := range lengths {
		if l.length > len(path) {
			continue
		}
		if list, ok := t.routes.get(routeKey{host, path[:l.length]}); ok {
			return list[0], true
		}
	}
	return nil, false
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Service returns the service with the given name, or false if there is none.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Engine returns the engine of the named service. It is nil if the service has no
// models or is unknown, or if t is nil.
func (t *Table) Engine(service string) *Engine {
	if t == nil || t.services[service] == nil {
		return nil
	}
	return t.services[service].Engine
}
