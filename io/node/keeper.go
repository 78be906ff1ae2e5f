package node

import (
	"time"

	"chervilreach/core/agent"
	"chervilreach/core/warm"
)

// evenWeight is the tail weight until the records give one.
const evenWeight = 0.5

// newWarmPolicy returns the policy of keeping models warm: a fixed idle time, or
// the learned one when there is none.
func newWarmPolicy(idle time.Duration) agent.WarmPolicy {
	if idle > 0 {
		return warm.FixedIdle{Idle: idle}
	}
	return warm.NewLearned(evenWeight)
}
