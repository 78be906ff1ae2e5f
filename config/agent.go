package config

import (
	"net/netip"
	"slices"

	"chervilreach/core/fleet"
)

// Agent is the section "agent": the endpoint of an agent.
type Agent struct {
	// Endpoint is the name of the endpoint.
	Endpoint fleet.EndpointID `json:"endpoint" need:"agent"`
	// Engine is the address of the model engine. It is invalid if the endpoint has plain
	// services only.
	Engine netip.AddrPort `json:"engine"`
	// Memory is the accelerator memory to use; 0 means the amount that the engine reports.
	Memory fleet.Bytes `json:"memory"`
	// Services holds the addresses of the endpoint's plain services.
	Services map[fleet.ServiceID]netip.AddrPort `json:"services"`
	// ChecksFence reports whether the engine refuses orders with an outdated fencing token.
	ChecksFence bool `json:"fenced"`
}

// MemoryFromEngine reports whether the engine's own report determines the memory to use.
func (a Agent) MemoryFromEngine() bool {
	return a.Memory == 0
}

// check validates the values that are set.
func (a Agent) check(f *fieldErrors) {
	f.checkName("agent.endpoint", string(a.Endpoint))
	f.checkTarget("agent.engine", a.Engine)
	if a.Memory < 0 {
		f.add(ErrBadValue, "agent.memory", "0 or more")
	}
	for _, id := range sortedServices(a.Services) {
		f.checkName("agent.services."+string(id), string(id))
		f.checkTarget("agent.services."+string(id), a.Services[id])
	}
}

// checkHasTarget adds an error unless the address of the engine or of a service is set: an
// agent without either has nothing to send requests to.
func (a Agent) checkHasTarget(f *fieldErrors) {
	if !a.Engine.IsValid() && len(a.Services) == 0 {
		f.add(ErrMissing, "agent.engine", "the address of an engine, or of a plain service in agent.services")
	}
}

// sortedServices returns the keys of m in order, so that errors have a fixed order.
func sortedServices(m map[fleet.ServiceID]netip.AddrPort) []fleet.ServiceID {
	keys := make([]fleet.ServiceID, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	return keys
}
