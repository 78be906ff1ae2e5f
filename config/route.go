package config

import (
	"net/netip"
	"time"

	"chervilreach/core/fleet"
)

// Bounds of Router.MaxBody and upper bound of Router.MaxCalls.
const (
	minMaxBody  = fleet.KiB
	maxMaxBody  = 256 * fleet.MiB
	maxMaxCalls = 1 << 20
)

// Router is the section "route": how a router serves callers.
type Router struct {
	// Listen is the address for callers, who connect through the platform's load balancer.
	Listen netip.AddrPort `json:"listen" need:"router"`
	// MaxBody is the maximum size of the body of a request.
	MaxBody fleet.Bytes `json:"max-body" default:"4MiB"`
	// MaxTotalBody bounds the total size of the bodies of all calls in progress. It is at
	// least MaxBody.
	MaxTotalBody fleet.Bytes `json:"max-bodies" default:"64MiB"`
	// MaxCalls is the maximum number of calls in progress. The router refuses further ones.
	MaxCalls int `json:"max-calls" default:"4096"`
	// BodyTimeout is the maximum time that a caller may take to send the body of a request.
	BodyTimeout time.Duration `json:"body-timeout" default:"10s"`
	// ChunkTimeout is the maximum time that a caller may take to read one chunk of the answer.
	ChunkTimeout time.Duration `json:"chunk-timeout" default:"10s"`
	// DrainDelay is how long a draining router still accepts calls, so that the load balancer
	// notices in the meantime that the router is not ready.
	DrainDelay time.Duration `json:"drain-delay" default:"2s"`
}

// check validates the values that are set.
func (r Router) check(f *fieldErrors) {
	if r.MaxBody < minMaxBody || r.MaxBody > maxMaxBody {
		f.add(ErrBadValue, "route.max-body", "between 1KiB and 256MiB")
	}
	if r.MaxTotalBody < r.MaxBody {
		f.add(ErrBadValue, "route.max-bodies", "at least route.max-body")
	}
	if r.MaxCalls < 1 || r.MaxCalls > maxMaxCalls {
		f.add(ErrBadValue, "route.max-calls", "between 1 and 1048576")
	}
	f.checkDuration("route.body-timeout", r.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	f.checkDuration("route.chunk-timeout", r.ChunkTimeout, 100*time.Millisecond, 10*time.Minute)
	f.checkDuration("route.drain-delay", r.DrainDelay, 0, time.Minute)
}
