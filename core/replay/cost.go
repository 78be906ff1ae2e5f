// Package replay runs workload traces and recorded runs through the decision
// logic under a fake clock and measures what comes of it. Loads and decoding
// have small cost models; there is no model of networks or hosts.
package replay

import (
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/trace"
)

// The cost model of an engine. A request in a batch slows all others a little.
const (
	// prefillBase and prefillRate give the time to the first token.
	prefillBase            = 40 * time.Millisecond
	prefillTokensPerSecond = 8000 // tokens per second
	// tokenTime is the time between tokens of a request that runs alone.
	timePerToken = 25 * time.Millisecond
	// batchSize is how many requests run at once.
	batchSize = 16
	// unloadTime is how long an unload takes.
	unloadTime = 500 * time.Millisecond
	// accelerator is the memory of one accelerator, in which idle hold is
	// counted.
	acceleratorMemory = 80 * fleet.GiB
)

// loadTime returns the time of a load at full speed of the store.
func loadTime(s trace.Store, m record.Model) time.Duration {
	bySize := float64(m.Weights) / float64(s.BytesPerSecond) * float64(time.Second)
	return time.Duration(s.FixedMS)*time.Millisecond + time.Duration(bySize)
}

// prefillTime returns the time from the start of a request to its first token.
func prefillTime(prompt, running int) time.Duration {
	alone := prefillBase + time.Duration(prompt)*time.Second/prefillTokensPerSecond
	return batchSlowed(alone, running)
}

// decodeTime returns the time from the first token to the last.
func decodeTime(output, running int) time.Duration {
	return batchSlowed(time.Duration(output)*timePerToken, running)
}

// slowed stretches a time by the requests that run beside.
func batchSlowed(alone time.Duration, running int) time.Duration {
	return alone + alone*time.Duration(running)/batchSize
}
