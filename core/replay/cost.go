// Package replay runs workload traces through the agents' decision logic under a fake clock
// and measures latency and idle accelerator time for a policy. The durations of loads,
// prefill and decoding come from a small cost model; networks and hosts are not modelled.
package replay

import (
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
	"chervilreach/core/trace"
)

// The cost model of an engine. Each request that runs on a replica slows down the requests
// that start after it a little.
const (
	// prefillBase and prefillTokensPerSecond give the time to first token: a fixed part,
	// and a part in proportion to the length of the prompt.
	prefillBase            = 40 * time.Millisecond
	prefillTokensPerSecond = 8000 // tokens per second
	// timePerToken is the time between two output tokens of a request that runs alone.
	timePerToken = 25 * time.Millisecond
	// batchSize is the maximum number of requests that run on a replica at the same time.
	batchSize = 16
	// unloadTime is the duration of an unload.
	unloadTime = 500 * time.Millisecond
	// acceleratorMemory is the memory of one accelerator. Idle accelerator hours are
	// counted in units of it.
	acceleratorMemory = 80 * fleet.GiB
)

// loadTime returns the duration of a load of model m at full speed of the store.
func loadTime(s trace.WeightStore, m record.Model) time.Duration {
	bySize := float64(m.Weights) / float64(s.BytesPerSecond) * float64(time.Second)
	return time.Duration(s.FixedMS)*time.Millisecond + time.Duration(bySize)
}

// prefillTime returns the time from the start of a request to its first token. prompt is in
// tokens; running is the number of requests already running on the replica.
func prefillTime(prompt, running int) time.Duration {
	alone := prefillBase + time.Duration(prompt)*time.Second/prefillTokensPerSecond
	return batchSlowed(alone, running)
}

// decodeTime returns the time from the first token to the last. output is in tokens;
// running is the number of requests already running on the replica.
func decodeTime(output, running int) time.Duration {
	return batchSlowed(time.Duration(output)*timePerToken, running)
}

// batchSlowed returns the duration of work on a replica that already runs the given number
// of requests. alone is the duration without other requests. A full batch doubles it.
func batchSlowed(alone time.Duration, running int) time.Duration {
	return alone + alone*time.Duration(running)/batchSize
}
