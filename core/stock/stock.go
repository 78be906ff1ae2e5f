// Package stock defines the messages that routers and agents exchange about a model
// endpoint. Agents report the stock of their endpoint: the loaded models, the loads in
// progress and the cached weights. Routers send load requests and their traffic.
//
// A loaded model is a replica of that model, and its endpoint a holder of it. Weights that
// are only cached on a host are not a replica.
package stock

import (
	"net/netip"
	"slices"
	"time"

	"chervilreach/core/poison"
)

// Item identifies a model or one of its adapters.
type Item struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// LoadedModel is a model loaded at an endpoint, with its loaded adapters.
type LoadedModel struct {
	Model string
	// Version is the version of the loaded weights.
	Version  int64
	Adapters []string
}

// Equal reports whether m and o have the same model, version and adapters, with the
// adapters in the same order.
func (m LoadedModel) Equal(o LoadedModel) bool {
	return m.Model == o.Model && m.Version == o.Version && slices.Equal(m.Adapters, o.Adapters)
}

// ScheduledLoad is a load that is in progress or queued at an agent.
type ScheduledLoad struct {
	Item Item
	// ReadyAt is the estimated time of its completion.
	ReadyAt time.Time
}

// CachedWeights lists the models whose weights are cached on the endpoint's host. A load
// from the cache does not use the weight store.
type CachedWeights struct {
	// Memory and Disk are names of models, by the place of the cached weights.
	Memory, Disk []string
}

// Equal reports whether c and o list the same models in the same order.
func (c CachedWeights) Equal(o CachedWeights) bool {
	return slices.Equal(c.Memory, o.Memory) && slices.Equal(c.Disk, o.Disk)
}

// IsEmpty reports whether no cached weights are known.
func (c CachedWeights) IsEmpty() bool { return len(c.Memory) == 0 && len(c.Disk) == 0 }

// Report is the state of one model endpoint as known to its agent.
type Report struct {
	// Instance is the name under which the endpoint runs. A restart may change it.
	Instance string
	Address  netip.AddrPort
	// Leaving reports whether the endpoint is draining and accepts no new requests.
	Leaving bool
	// Running and Waiting are the numbers of requests that the engine executes and
	// that it has queued.
	Running, Waiting int
	// KVUsed and KVTotal are the used and the total size of the KV cache, in tokens.
	KVUsed, KVTotal int
	// Models are the loaded models. Reports to routers leave out models and adapters that
	// are being unloaded.
	Models []LoadedModel
	// Loads are the loads in progress and queued, in order of execution.
	Loads []ScheduledLoad
	// Copies lists the models whose weights are cached on the endpoint's host, in memory or
	// on disk.
	Copies CachedWeights
	// Routers is the number of routers connected to the agent.
	Routers int
	// Limits are the latest limits of endpoints that routers have told the agent, sorted by
	// instance. They include limits that have ended recently.
	Limits []EndpointLimit
	// Down reports whether the endpoint refuses connections, so that its process has ended.
	Down bool
	// Suspects are prompt parts that may crash endpoints, sorted. A router that knows an answer
	// to one of them tells the agent.
	Suspects []poison.Part
	// Verdicts are the verdicts on prompt parts known to the agent, sorted by part.
	Verdicts []poison.Verdict
}

// EndpointLimit is the rate limit that an endpoint names in its answers, or its end.
type EndpointLimit struct {
	Instance string
	// PerSecond is the number of requests per second that the endpoint accepts from all routers
	// together. It has no meaning if Ended is set.
	PerSecond float64
	// Ended reports whether the latest answer named no limit.
	Ended bool
	// SentAt is the time at which the request was sent whose answer told this, SeenAt the time
	// at which the answer was received. The endpoint generated it in between.
	SentAt, SeenAt time.Time
}

// InForce reports whether requests to the endpoint are limited.
func (l EndpointLimit) InForce() bool { return !l.SeenAt.IsZero() && !l.Ended }

// Supersedes reports whether l replaces old as the latest limit of the endpoint. Answers may
// overtake each other: one that allows more counts only if its request was sent after old was
// received.
func (l EndpointLimit) Supersedes(old EndpointLimit) bool {
	if old.InForce() && (l.Ended || l.PerSecond > old.PerSecond) {
		return !l.SentAt.Before(old.SeenAt)
	}
	return l.SeenAt.After(old.SeenAt)
}

// Equal reports whether l and o tell the same, apart from the time.
func (l EndpointLimit) Equal(o EndpointLimit) bool {
	return l.Instance == o.Instance && l.Ended == o.Ended && (l.Ended || l.PerSecond == o.PerSecond)
}

// Holds reports whether the item is loaded.
func (r *Report) Holds(item Item) bool {
	for i := range r.Models {
		if r.Models[i].Model == item.Model {
			return item.Adapter == "" || slices.Contains(r.Models[i].Adapters, item.Adapter)
		}
	}
	return false
}

// LoadReadyAt returns the estimated completion time of the item's load. It returns false
// if the item is not being loaded and not queued to be.
func (r *Report) LoadReadyAt(item Item) (time.Time, bool) {
	for _, l := range r.Loads {
		if l.Item == item {
			return l.ReadyAt, true
		}
	}
	return time.Time{}, false
}

// LoadRequest is a router's request that an endpoint load an item, either for requests that
// wait for it or as an extra replica of a model.
type LoadRequest struct {
	Item Item
	// Priority is the priority of the most urgent waiting request. The lowest number, 0, is
	// the most urgent.
	Priority int
	// Deadline is the time after which the load is no longer useful.
	Deadline time.Time
	// Target is the time until which the load is in time for one of the waiting requests; zero if
	// unknown. A load that is late in any case waits for those that can be in time.
	Target time.Time
	// Waiting is the number of requests that wait for the load. It is 0 for an extra
	// replica, which may only replace a model of lower value.
	Waiting int
	// Rate is the number of requests per second, from all routers together, that an
	// extra replica is expected to serve.
	Rate float64
}

// ModelUsage is the traffic of one router for a loaded model, or its running requests
// for an adapter.
type ModelUsage struct {
	Model string
	// Adapter is empty for the model as a whole, which includes requests for its
	// adapters. If it is set, only Running is used.
	Adapter string
	// Running is the number of this router's requests that the endpoint executes.
	Running int
	// Rate is the number of requests per second that arrive at this router.
	Rate float64
	// Holders is the number of endpoints that have the model loaded.
	Holders int
}

// Demand holds the load requests of one router to one endpoint and its traffic there. It
// replaces the router's earlier demand.
type Demand struct {
	// Wants are the load requests.
	Wants []LoadRequest
	// Uses is the router's traffic for the models and adapters at the endpoint.
	Uses []ModelUsage
	// ReportGap is the minimum time between two reports to the router that differ only
	// in Running and Waiting; 0 lets the agent choose.
	ReportGap time.Duration
}
