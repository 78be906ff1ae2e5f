package replay

import (
	"errors"
	"fmt"
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
	"chervilreach/core/trace"
	"chervilreach/core/warm"
)

// PolicyClairvoyant is the name of the policy that knows the arrivals of the trace. It
// serves as a bound for the others.
const PolicyClairvoyant = "clairvoyant"

// ErrInvariant is returned by CheckInvariants if an invariant was violated during a replay.
var ErrInvariant = errors.New("invariant violated")

// Policies returns the policy names that NewPolicy accepts.
func Policies() []string {
	return append(warm.PolicyNames(), PolicyClairvoyant)
}

// Policy is a factory of the warm policies of the agents in one replay.
type Policy struct {
	// Name is the name that NewPolicy was called with.
	Name string
	// WarmPolicy returns a new policy for one agent. isFirst reports whether the agent's
	// endpoint is the first assigned one in the current placement of a model.
	WarmPolicy func(isFirst func(fleet.ModelID) bool) agent.WarmPolicy
}

// NewPolicy returns a policy by name, for replays of trace t. The error wraps
// warm.ErrUnknownPolicy.
func NewPolicy(name string, t *trace.Trace) (Policy, error) {
	p := Policy{Name: name}
	if name == PolicyClairvoyant {
		c := newClairvoyant(t)
		p.WarmPolicy = func(isFirst func(fleet.ModelID) bool) agent.WarmPolicy {
			return firstEndpointOnly{clairvoyant: c, isFirst: isFirst}
		}
		return p, nil
	}
	weight := t.Header.Deployment.TailWeight
	if _, err := warm.New(name, weight); err != nil {
		return p, err
	}
	p.WarmPolicy = func(func(fleet.ModelID) bool) agent.WarmPolicy {
		w, err := warm.New(name, weight)
		if err != nil {
			panic(err)
		}
		return w
	}
	return p, nil
}

// firstEndpointOnly prewarms a model only on its first assigned endpoint. Its clairvoyant is
// shared by all endpoints, and without the restriction each of them would load the model.
type firstEndpointOnly struct {
	*clairvoyant
	isFirst func(fleet.ModelID) bool
}

// PrewarmAt implements agent.WarmPolicy.
func (f firstEndpointOnly) PrewarmAt(model fleet.ModelID, now time.Time, loadTime time.Duration) (time.Time, bool) {
	if !f.isFirst(model) {
		return time.Time{}, false
	}
	return f.clairvoyant.PrewarmAt(model, now, loadTime)
}

// CheckInvariants returns an error that wraps ErrInvariant and describes the first result with
// violations, or nil if there is none.
func CheckInvariants(results []Result) error {
	for _, r := range results {
		if r.Violations > 0 {
			return fmt.Errorf("%s, %s: %w: %d, first: %s", r.Trace, r.Policy, ErrInvariant, r.Violations, r.ViolationDetails[0])
		}
	}
	return nil
}
