package node

import (
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/warm"
)

// defaultTailWeight is the weight of cold-start tail latency against idle time until the
// configuration record of the deployment sets one.
const defaultTailWeight = 0.5

// newWarmPolicy returns the policy that decides how long idle models stay loaded. They stay
// loaded for the time idle, or, if it is 0, for a time learned from past requests.
func newWarmPolicy(idle time.Duration) agent.WarmPolicy {
	if idle > 0 {
		return warm.FixedIdle{IdleTime: idle}
	}
	return warm.NewLearned(defaultTailWeight)
}
