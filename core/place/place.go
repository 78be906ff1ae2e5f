// Package place decides which endpoints may load a model. It does no input or
// output, and the same input gives the same proposal. A proposal takes effect
// only when a compare-and-swap in the key-value service succeeds, on the revision
// of the placement that it was computed from.
//
// The placement of a model has one entry for each endpoint that may load the model or
// still has to unload it. A proposal is a placement that a router computes to replace the
// current one. The warm limit of a model is the maximum number of its entries. To release an
// entry is to set it to StateReleasing; the agent then unloads the model and confirms it.
package place

import (
	"slices"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// State is the state of an entry. Removed entries are no longer listed.
type State string

// The states of entries: the endpoint may load the model, or must unload it and
// confirm that it has.
const (
	StateAssigned  State = "assigned"
	StateReleasing State = "releasing"
)

// Entry is the assignment of a model to one endpoint.
type Entry struct {
	Endpoint fleet.EndpointID `json:"endpoint"`
	// Host is the host that ran the endpoint at the assignment. The entry is
	// removed when this host is gone, even if another one runs the endpoint.
	Host          fleet.HostID        `json:"host"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	// Fence holds the generation of the placement that added the entry and the
	// incarnation of the agent known then. An agent with a later incarnation uses
	// its own in its orders.
	Fence fleet.Fence `json:"fence"`
	State State       `json:"state"`
}

// Placement is the set of endpoints that a model is assigned to: the value
// stored under the model's key in the key-value service.
type Placement struct {
	Model      fleet.ModelID    `json:"model"`
	Generation fleet.Generation `json:"generation"`
	// Revision is the revision of the accepted configuration that the placement
	// was computed from.
	Revision fleet.Revision `json:"revision"`
	// WriteID identifies the proposal that was written; see ResolveWrite.
	WriteID string `json:"write-id"`
	// Entries are in order of preference.
	Entries []Entry `json:"entries"`
}

// Assigned returns the entries in StateAssigned, in order of preference.
func (p Placement) Assigned() []Entry {
	var assigned []Entry
	for _, e := range p.Entries {
		if e.State == StateAssigned {
			assigned = append(assigned, e)
		}
	}
	return assigned
}

// Find returns the entry of an endpoint and whether there is one.
func (p Placement) Find(endpoint fleet.EndpointID) (Entry, bool) {
	i := slices.IndexFunc(p.Entries, func(e Entry) bool { return e.Endpoint == endpoint })
	if i < 0 {
		return Entry{}, false
	}
	return p.Entries[i], true
}

// Endpoint is a model engine on a host in the platform's host list.
type Endpoint struct {
	ID            fleet.EndpointID
	Host          fleet.HostID
	FailureDomain fleet.FailureDomain
	State         fleet.HostState
	Incarnation   fleet.Incarnation
	// Memory is the total memory of the endpoint's accelerators, or 0 while it is
	// unknown.
	Memory fleet.Bytes
	// Committed is the memory that the models placed on the endpoint would need if
	// all were loaded. It may exceed Memory, as most models are not loaded.
	Committed fleet.Bytes
	// Cached lists the models whose weights are cached on the host, in memory or on disk,
	// sorted by ID.
	Cached []fleet.ModelID
	// OutOfMemoryFor lists the models that the agent recently refused to load for lack
	// of memory, sorted by ID.
	OutOfMemoryFor []fleet.ModelID
}

// ConfirmedRelease is an agent's confirmation that it has unloaded the model of an entry.
type ConfirmedRelease struct {
	Endpoint fleet.EndpointID
	// Fence is the fence of the released entry. A confirmation for an earlier
	// assignment of the same endpoint has another fence and is ignored.
	Fence fleet.Fence
}

// Input holds everything besides the current placement that a proposal is
// computed from.
type Input struct {
	// HostListReadAt is when the platform's host list was last read. A host counts as
	// gone only if it is missing from a list that was read after the lag.
	HostListReadAt time.Time
	// Revision is the revision of the accepted configuration that contains Model.
	Revision fleet.Revision
	// Model is the model to place. With a WarmLimit of 0 all entries are released.
	Model record.Model
	// Endpoints are the endpoints in the platform's host list, sorted by ID.
	Endpoints []Endpoint
	// GoneAt holds, for each host missing from the host list, the time from which
	// it counts as gone; see Roster.GoneTimes.
	GoneAt map[fleet.HostID]time.Time
	// Released holds the confirmed unloads.
	Released []ConfirmedRelease
	// WriteID identifies this proposal. It must be unique.
	WriteID string
}

// RequiredMemory returns the accelerator memory that one replica of a model needs: its
// weights and the minimum KV cache.
func RequiredMemory(m record.Model) fleet.Bytes {
	return m.Weights + m.KVCache
}

// CommittedMemory returns, for each endpoint, the memory needed to load all models that
// the placements list for it. Models without a record count as 0.
func CommittedMemory(models map[fleet.ModelID]record.Model, placements []Placement) map[fleet.EndpointID]fleet.Bytes {
	committed := make(map[fleet.EndpointID]fleet.Bytes)
	for _, p := range placements {
		required := RequiredMemory(models[p.Model])
		for _, e := range p.Entries {
			committed[e.Endpoint] += required
		}
	}
	return committed
}
