package accept

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitterSleeper sleeps for random times, so that processes don't act at the same moment.
// It is safe for concurrent use.
type jitterSleeper struct {
	random *lockedRand
	// watcherCount returns the number of processes that watch the key-value service. If it
	// is nil, there are at most DefaultWatchers.
	watcherCount func() int
}

// scaleByWatchers multiplies d by the number of watchers divided by DefaultWatchers,
// rounded up, so that more watchers together send no more requests than DefaultWatchers
// do.
func (j jitterSleeper) scaleByWatchers(d time.Duration) time.Duration {
	if j.watcherCount == nil {
		return d
	}
	return d * time.Duration(max(1, (j.watcherCount()+DefaultWatchers-1)/DefaultWatchers))
}

// lockedRand is a seeded random number generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newJitterSleeper(opts Options) jitterSleeper {
	return jitterSleeper{
		random:       &lockedRand{rnd: rand.New(rand.NewPCG(opts.Seed, opts.Seed))},
		watcherCount: opts.WatcherCount,
	}
}

// duration returns a random duration in [minDelay, maxDelay).
func (j jitterSleeper) duration(minDelay, maxDelay time.Duration) time.Duration {
	j.random.mu.Lock()
	defer j.random.mu.Unlock()
	return minDelay + time.Duration(j.random.rnd.Int64N(int64(maxDelay-minDelay)))
}

// sleep waits for a random time in [minDelay, maxDelay). It returns false if the context ends
// first.
func (j jitterSleeper) sleep(ctx context.Context, minDelay, maxDelay time.Duration) bool {
	timer := time.NewTimer(j.duration(minDelay, maxDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
