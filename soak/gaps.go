package soak

import (
	"context"
	"sync"
	"time"
)

// gapTick is how often the soak's own clock is looked at.
const gapCheckInterval = 10 * time.Millisecond

// gap is a time in which the soak's own process did not run, though it had to.
type gap struct {
	from, to time.Time
}

// gaps finds the times in which the process that checks did not run: callers are
// goroutines of it, so that what they see then is late by as much.
type gapDetector struct {
	mu       sync.Mutex
	lastTick time.Time
	list     []gap
}

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

func (g *gapDetector) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lastTick.IsZero() && now.Sub(g.lastTick) > 2*gapCheckInterval {
		g.list = append(g.list, gap{g.lastTick, now})
	}
	g.lastTick = now
}

// longest returns the longest gap that overlaps a span.
func (g *gapDetector) longest(from, to time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var most time.Duration
	for _, one := range g.list {
		if one.from.Before(to) && one.to.After(from) {
			most = max(most, one.to.Sub(one.from))
		}
	}
	return most
}
