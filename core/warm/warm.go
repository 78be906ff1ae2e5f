// Package warm decides how long idle models stay loaded and which are loaded
// before they are asked for. All keepers are deterministic and hold a bounded
// amount of memory for each model.
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

// ErrUnknownPolicy says that there is no keeper of that name.
var ErrUnknownPolicy = errors.New("unknown policy")

// The names of the policies that New knows.
const (
	PolicyNever    = "never"
	PolicyFixed    = "fixed"
	PolicyOnDemand = "on-demand"
	PolicyLearned  = "learned"
)

// FixedTime is the idle time of the policy "fixed".
const FixedTime = 10 * time.Minute

// Policies returns the names that New knows.
func Policies() []string {
	return []string{PolicyNever, PolicyFixed, PolicyOnDemand, PolicyLearned}
}

// New returns the keeper of a policy. Only the learned one uses tailWeight, the
// weight between 0 and 1 of the cold starts' tail against idle hours.
func New(policy string, tailWeight float64) (agent.WarmPolicy, error) {
	switch policy {
	case PolicyNever:
		return Never{}, nil
	case PolicyFixed:
		return FixedIdle{Idle: FixedTime}, nil
	case PolicyOnDemand:
		return OnDemand{}, nil
	case PolicyLearned:
		return NewLearned(tailWeight), nil
	}
	names := Policies()
	slices.Sort(names)
	return nil, fmt.Errorf("%q: %w, not one of %s", policy, ErrUnknownPolicy, strings.Join(names, ", "))
}

// passive keepers learn nothing and load nothing ahead.
type passive struct{}

func (passive) RecordArrival(fleet.ModelID, time.Time) {}

func (passive) PrewarmAt(fleet.ModelID, time.Time, time.Duration) (time.Time, bool) {
	return time.Time{}, false
}

// OnDemand unloads a model as soon as it is idle.
type OnDemand struct{ passive }

// KeepUntil implements agent.WarmPolicy.
func (OnDemand) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse
}

// FixedIdle unloads a model that has been idle for a fixed time.
type FixedIdle struct {
	passive
	Idle time.Duration
}

// KeepUntil implements agent.WarmPolicy.
func (f FixedIdle) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse.Add(f.Idle)
}

// forever stands for never unloading.
const forever = 100 * 365 * 24 * time.Hour

// Never unloads a model only when its memory is needed.
type Never struct{ passive }

// KeepUntil implements agent.WarmPolicy.
func (Never) KeepUntil(_ fleet.ModelID, lastUse time.Time, _ time.Duration) time.Time {
	return lastUse.Add(forever)
}

var (
	_ agent.WarmPolicy = OnDemand{}
	_ agent.WarmPolicy = FixedIdle{}
	_ agent.WarmPolicy = Never{}
	_ agent.WarmPolicy = (*Learned)(nil)
)
