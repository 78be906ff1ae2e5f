// Package fleet defines the identifiers and small value types shared by all other
// packages: hosts, endpoints, models, orders, requests and refusals.
package fleet

import (
	"cmp"
	"net/netip"
	"strings"
	"time"
)

// Identifiers. They are distinct types so that one can't be used in place of
// another by mistake.
type (
	// HostID identifies a host of the platform. A host that replaces another has a
	// new ID.
	HostID string
	// EndpointID identifies a model engine, or a plain service, on a host. It stays
	// the same when another host takes over the endpoint.
	EndpointID string
	// ProcessID identifies a running process of chervilreach.
	ProcessID string
	// FailureDomain identifies a set of hosts that may fail together.
	FailureDomain string
	// MemberID identifies a member firm of the co-operative that shares the fleet.
	MemberID string
	// ModelID identifies a version of a base model, as "name@version".
	ModelID string
	// AdapterID identifies an adapter of a base model. It is empty for no adapter.
	AdapterID string
	// ServiceID identifies a plain service, which is not a model engine.
	ServiceID string
	// KindID identifies a kind of request.
	KindID string
	// RequestID identifies a request of a caller. It is unique across all processes.
	RequestID string
	// OrderID identifies an order to an engine. It is unique across all processes.
	OrderID string
)

// Counters that never decrease.
type (
	// Revision is a modification revision of the key-value service.
	Revision int64
	// Generation counts the changes of one model's placement. In the fence of an
	// order it numbers the orders of one incarnation.
	Generation uint64
	// Incarnation counts the agents that have taken control of an endpoint's engine,
	// as stored in the key-value service. It is 0 before the first one.
	Incarnation uint64
	// Instance identifies one run of an agent process by its start time, in
	// nanoseconds since the Unix epoch. The agent's journal is lost when the run ends.
	Instance uint64
)

// Bytes is an amount of memory or data, in bytes.
type Bytes int64

// Binary units of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// MakeModelID returns the ID of a version of a model.
func MakeModelID(name, version string) ModelID {
	return ModelID(name + "@" + version)
}

// Split returns the name and the version of the model. The version is empty if the
// ID has none.
func (m ModelID) Split() (name, version string) {
	name, version, _ = strings.Cut(string(m), "@")
	return name, version
}

// Target is the destination of a request: a model, optionally with an adapter, or a
// plain service. The unused fields are empty.
type Target struct {
	Model   ModelID   `json:"model,omitempty"`
	Adapter AdapterID `json:"adapter,omitempty"`
	Service ServiceID `json:"service,omitempty"`
}

// Fence is the fencing token of an order. An engine that checks fences refuses an
// order whose fence is lower than one it has already received.
type Fence struct {
	Incarnation Incarnation `json:"incarnation"`
	Generation  Generation  `json:"generation"`
}

// Compare returns a negative number if f is lower than other, a positive one if it is
// higher, and 0 if they are equal. Fences are ordered by incarnation, then by
// generation.
func (f Fence) Compare(other Fence) int {
	if c := cmp.Compare(f.Incarnation, other.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(f.Generation, other.Generation)
}

// HostRole is the purpose of a host.
type HostRole string

// The roles of hosts: an entry host accepts requests and runs a router; an endpoint
// host runs an agent with a model engine or a plain service.
const (
	HostRoleEntry    HostRole = "entry"
	HostRoleEndpoint HostRole = "endpoint"
)

// HostState is the state of a host in the platform's host list.
type HostState string

// The states of hosts in the platform's list. Hosts that are gone are not listed.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID   HostID   `json:"id"`
	Role HostRole `json:"role"`
	// Endpoint is empty for hosts without an endpoint.
	Endpoint      EndpointID    `json:"endpoint,omitempty"`
	FailureDomain FailureDomain `json:"failure-domain"`
	// WireAddr is the address for connections from other processes of chervilreach.
	WireAddr netip.AddrPort `json:"wire"`
	// AdminAddr is the address of the administration interface.
	AdminAddr netip.AddrPort `json:"admin"`
	State     HostState      `json:"state"`
}

// HostList is the platform's list of hosts.
type HostList struct {
	// AsOf is the time of the list, which may be well before it was read.
	AsOf  time.Time `json:"as-of"`
	Hosts []Host    `json:"hosts"`
}

// NotRun reports whether it is certain that a refused request was not run.
type NotRun string

// The values of NotRun: the request was certainly not run, it was run at least in
// part, or neither is known.
const (
	NotRunTrue    NotRun = "true"
	NotRunFalse   NotRun = "false"
	NotRunUnknown NotRun = "unknown"
)

// Code is the stable, machine-readable reason for a refusal.
type Code string

// The reasons for refusals.
const (
	CodeBadRequest           Code = "bad-request"
	CodeTooLarge             Code = "too-large"
	CodeBadKey               Code = "bad-key"
	CodeNoRight              Code = "no-right"
	CodeUnknownModel         Code = "unknown-model"
	CodeBadPatience          Code = "bad-patience"
	CodeMemberLimit          Code = "member-limit"
	CodeOverloaded           Code = "overloaded"
	CodeNoCapacity           Code = "no-capacity"
	CodePatienceTooShort     Code = "patience-too-short"
	CodeDraining             Code = "draining"
	CodeNotAssigned          Code = "not-assigned"
	CodeLoadFailed           Code = "load-failed"
	CodeEndpointUnreachable  Code = "endpoint-unreachable"
	CodeDeadlineExceeded     Code = "deadline-exceeded"
	CodeOutcomeUnknown       Code = "outcome-unknown"
	CodeIdempotencyKeyReused Code = "idempotency-key-reused"
	CodeAlreadyRan           Code = "already-ran"
	CodeKVUnavailable        Code = "key-value-service-unavailable"
	CodeEngineFailed         Code = "engine-failed"
	CodeStarting             Code = "starting"
	CodeTombstoned           Code = "tombstoned"
	CodeRetryElsewhere       Code = "retry-elsewhere"
	CodeCallerCancelled      Code = "caller-cancelled"
	CodeUnknownService       Code = "unknown-service"
	CodeUnknownKind          Code = "unknown-kind"
	CodeUnknownPath          Code = "unknown-path"
	CodeMethodNotAllowed     Code = "method-not-allowed"
	CodeUnsupportedMedia     Code = "unsupported-media-type"
	CodeUnsupportedProtocol  Code = "unsupported-protocol"
	CodeBodyTimeout          Code = "body-timeout"
)

// Refusal is the final response to a request that is not served.
type Refusal struct {
	Code   Code   `json:"code"`
	NotRun NotRun `json:"not-run"`
	// Detail is an explanation for the caller.
	Detail string `json:"detail,omitempty"`
	// RetryAt is the earliest time at which a retry may succeed. It is zero if no retry
	// is advised.
	RetryAt time.Time `json:"retry-at,omitzero"`
}
