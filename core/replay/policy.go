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

// PolicyClairvoyant names the keeper that knows the arrivals of the trace.
const PolicyClairvoyant = "clairvoyant"

// ErrInvariant says that something that must always hold was broken.
var ErrInvariant = errors.New("invariant violated")

// Policies returns the names that NewPolicy knows.
func Policies() []string {
	return append(warm.Policies(), PolicyClairvoyant)
}

// Policy makes the keepers of the agents.
type Policy struct {
	Name string
	// Keeper returns the keeper of one agent; first tells whether the agent's
	// endpoint is the first one of a model.
	WarmPolicy func(isFirst func(fleet.ModelID) bool) agent.WarmPolicy
}

// NewPolicy returns a policy for a trace.
func NewPolicy(name string, t *trace.Trace) (Policy, error) {
	p := Policy{Name: name}
	if name == PolicyClairvoyant {
		c := newClairvoyant(t)
		p.WarmPolicy = func(isFirst func(fleet.ModelID) bool) agent.WarmPolicy {
			return firstOnly{clairvoyant: c, isFirst: isFirst}
		}
		return p, nil
	}
	weight := t.Header.Deployment.TailWeight
	if _, err := warm.New(name, weight); err != nil {
		return p, err
	}
	p.WarmPolicy = func(func(fleet.ModelID) bool) agent.WarmPolicy {
		k, err := warm.New(name, weight)
		if err != nil {
			panic(err)
		}
		return k
	}
	return p, nil
}

// firstOnly loads ahead on the first endpoint of a model only.
type firstOnly struct {
	*clairvoyant
	isFirst func(fleet.ModelID) bool
}

// PrewarmAt implements agent.WarmPolicy.
func (f firstOnly) PrewarmAt(model fleet.ModelID, now time.Time, reload time.Duration) (time.Time, bool) {
	if !f.isFirst(model) {
		return time.Time{}, false
	}
	return f.clairvoyant.PrewarmAt(model, now, reload)
}

// Check returns an error that names the first result with a violation.
func Check(results []Result) error {
	for _, r := range results {
		if r.Violations > 0 {
			return fmt.Errorf("%s, %s: %w: %d, first: %s", r.Trace, r.Policy, ErrInvariant, r.Violations, r.ViolationDetails[0])
		}
	}
	return nil
}
