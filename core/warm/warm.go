// Package warm provides the policies that decide how long idle models stay loaded and which
// models are loaded before they are requested. All policies are deterministic and use a
// bounded amount of memory for each model. They are not safe for concurrent use. A gap is the
// time between two consecutive requests for the same model.
package warm

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/fleet"
)

// ErrUnknownPolicy is returned for a policy name that is not known.
var ErrUnknownPolicy = errors.New("unknown policy")

// The names of the policies that New accepts.
const (
	PolicyNever    = "never"
	PolicyFixed    = "fixed"
	PolicyOnDemand = "on-demand"
	PolicyLearned  = "learned"
)

// FixedIdleTime is the idle time after which PolicyFixed unloads a model.
const FixedIdleTime = 10 * time.Minute

// PolicyNames returns the policy names that New accepts.
func PolicyNames() []string {
	return []string{PolicyNever, PolicyFixed, PolicyOnDemand, PolicyLearned}
}

// New returns a new policy by name. tailWeight is the weight between 0 and 1 of cold-start
// tail latency against idle time; only PolicyLearned uses it. The error wraps
// ErrUnknownPolicy.
func New(policy string, tailWeight float64) (agent.WarmPolicy, error) {
	switch policy {
	case PolicyNever:
		return NeverUnload{}, nil
	case PolicyFixed:
		return FixedIdle{IdleTime: FixedIdleTime}, nil
	case PolicyOnDemand:
		return OnDemand{}, nil
	case PolicyLearned:
		return NewLearned(tailWeight), nil
	}
	names := PolicyNames()
	slices.Sort(names)
	return nil, fmt.Errorf("%q: %w, not one of %s", policy, ErrUnknownPolicy, strings.Join(names, ", "))
}

// reactive is the common part of the policies that ignore past requests and never prewarm.
type reactive struct{}

func (reactive) RecordArrival(fleet.ModelID, time.Time) {}

func (reactive) PrewarmAt(fleet.ModelID, time.Time, time.Duration) (time.Time, bool) {
	return time.Time{}, false
}

// OnDemand is a policy that unloads a model as soon as it is idle.
type OnDemand struct{ reactive }

// KeepUntil implements agent.WarmPolicy.
func (OnDemand) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse
}

// FixedIdle is a policy that unloads a model once it has been idle for a fixed time.
type FixedIdle struct {
	reactive
	// IdleTime is the time that an idle model stays loaded.
	IdleTime time.Duration
}

// KeepUntil implements agent.WarmPolicy.
func (f FixedIdle) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse.Add(f.IdleTime)
}

// forever is an idle time longer than any process runs. A model that is kept loaded for it
// is unloaded only when its memory is needed.
const forever = 100 * 365 * 24 * time.Hour

// NeverUnload is a policy that never unloads a model for being idle. The model is still evicted
// when its memory is needed.
type NeverUnload struct{ reactive }

// KeepUntil implements agent.WarmPolicy.
func (NeverUnload) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse.Add(forever)
}

var (
	_ agent.WarmPolicy = OnDemand{}
	_ agent.WarmPolicy = FixedIdle{}
	_ agent.WarmPolicy = NeverUnload{}
	_ agent.WarmPolicy = (*Learned)(nil)
)
