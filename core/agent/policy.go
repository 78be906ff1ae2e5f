package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// tailWeightSetter is a WarmPolicy that trades cold-start tail latency against
// idle accelerator hours and whose weight can be changed while it is in use.
type tailWeightSetter interface {
	// SetTailWeight sets the weight, from 0 to 1. At 1 only tail latency counts,
	// at 0 only idle hours.
	SetTailWeight(w float64)
}

// WarmPolicy decides how long an idle model stays loaded and when a model is
// loaded ahead of demand. Implementations must be deterministic and must not
// read a clock: all times are passed in. Calls are never concurrent.
type WarmPolicy interface {
	// RecordArrival records that a request for the model arrived at the given time.
	RecordArrival(model fleet.ModelID, at time.Time)
	// KeepUntil returns the earliest time at which a model last used at lastUse
	// may be unloaded for being idle. loadTime is the expected time to load it again.
	KeepUntil(model fleet.ModelID, lastUse time.Time, loadTime time.Duration) time.Time
	// PrewarmAt returns when loading should start to have the model warm for its
	// next expected request, given that a load takes about loadTime. It returns false
	// if the model should not be loaded before a request arrives.
	PrewarmAt(model fleet.ModelID, now time.Time, loadTime time.Duration) (time.Time, bool)
}
