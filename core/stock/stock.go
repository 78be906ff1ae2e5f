// Package stock holds what routers and agents tell each other about model
// endpoints: what is loaded, what is on its way, and what is asked for.
package stock

import (
	"net/netip"
	"slices"
	"time"
)

// Item names a model or one of its adapters.
type Item struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// Held is a model that an endpoint holds.
type Held struct {
	Model    string
	Version  int64
	Adapters []string
}

// Equal says whether two endpoints hold the same of a model.
func (h Held) Equal(o Held) bool {
	return h.Model == o.Model && h.Version == o.Version && slices.Equal(h.Adapters, o.Adapters)
}

// Load is one that is in progress or waits at an agent.
type Load struct {
	Item Item
	// ReadyAt is when it is expected to be done.
	ReadyAt time.Time
}

// Copies are the weights that an endpoint can load without the weight store.
type Copies struct {
	Memory, Disk []string
}

// Equal says whether both are the same copies.
func (c Copies) Equal(o Copies) bool {
	return slices.Equal(c.Memory, o.Memory) && slices.Equal(c.Disk, o.Disk)
}

// None says that no copy is known.
func (c Copies) None() bool { return len(c.Memory) == 0 && len(c.Disk) == 0 }

// Report is the state of one model endpoint, as its agent sees it.
type Report struct {
	// Instance names the run of the endpoint.
	Instance string
	Address  netip.AddrPort
	Leaving  bool
	// Running and Waiting count requests in the engine.
	Running, Waiting int
	// KVUsed and KVTotal are tokens.
	KVUsed, KVTotal int
	Models          []Held
	// Loads are in the order in which they are carried out.
	Loads  []Load
	Copies Copies
	// Routers is how many routers are connected to the agent.
	Routers int
}

// Holds says whether the model, and the adapter if one is named, is loaded.
func (r *Report) Holds(item Item) bool {
	for i := range r.Models {
		if r.Models[i].Model == item.Model {
			return item.Adapter == "" || slices.Contains(r.Models[i].Adapters, item.Adapter)
		}
	}
	return false
}

// Loading returns when a load of the item is expected to be done.
func (r *Report) Loading(item Item) (time.Time, bool) {
	for _, l := range r.Loads {
		if l.Item == item {
			return l.ReadyAt, true
		}
	}
	return time.Time{}, false
}

// Want is a router's wish that an endpoint load something for requests that
// wait for it.
type Want struct {
	Item Item
	// Priority is that of the most urgent request; 0 is the first.
	Priority int
	// Deadline is when the load is of no use any more.
	Deadline time.Time
	// Waiting is how many requests wait; 0 for one more copy of a model that others
	// hold, which is loaded only if what makes room is worth less.
	Waiting int
	// Rate is how many requests a second one more copy would take, of all routers.
	Rate float64
}

// Use is a router's traffic for one model, or what it runs with an adapter.
type Use struct {
	Model string
	// Adapter is empty for the model as a whole; otherwise only Running counts.
	Adapter string
	// Running is how many of its requests the endpoint runs for this router.
	Running int
	// Rate is how many requests come in a second, at this router.
	Rate float64
	// Holders is how many endpoints hold the model.
	Holders int
}

// Demand is all that a router asks of one endpoint; it replaces what the router
// said before.
type Demand struct {
	Wants []Want
	Uses  []Use
	// ReportGap is the least time between reports that tell only of load; 0 leaves
	// it to the agent.
	ReportGap time.Duration
}
