package soak

import (
	"context"
	"sync"
	"time"
)

// gapCheckInterval is how often the gapDetector reads the clock. An interval of more than twice
// this length is a gap.
const gapCheckInterval = 10 * time.Millisecond

// gap is a period in which the process of the harness was not scheduled.
type gap struct {
	from, to time.Time
}

// gapDetector finds the periods in which the process of the harness was not scheduled. Callers
// are goroutines of this process, so the times that they measure may be too long by as much.
type gapDetector struct {
	mu       sync.Mutex
	lastTick time.Time
	gaps     []gap
}

// run checks for gaps until ctx is done.
func (g *gapDetector) run(ctx context.Context) {
	ticker := time.NewTicker(gapCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.tick(time.Now())
		}
	}
}

// tick records a gap if the previous tick was too long ago.
func (g *gapDetector) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lastTick.IsZero() && now.Sub(g.lastTick) > 2*gapCheckInterval {
		g.gaps = append(g.gaps, gap{g.lastTick, now})
	}
	g.lastTick = now
}

// longest returns the duration of the longest gap that overlaps the period, or 0 if none does.
// The whole gap counts, also the part outside the period.
func (g *gapDetector) longest(from, to time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var d time.Duration
	for _, candidate := range g.gaps {
		if candidate.from.Before(to) && candidate.to.After(from) {
			d = max(d, candidate.to.Sub(candidate.from))
		}
	}
	return d
}
