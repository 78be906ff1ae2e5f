package event

import (
	"sync"
	"time"
)

const (
	// logicalBits is the number of bits of the logical counter in a stamp.
	logicalBits = 16
	// maxAhead is how far a stamp received from another process may be ahead of the
	// local time. A stamp further ahead is ignored, so that one process whose wall
	// clock is wrong does not advance the clocks of all others.
	maxAhead = 5 * time.Minute
)

// Stamp is a timestamp of a hybrid logical clock: milliseconds since the Unix epoch
// in the upper 48 bits and a logical counter in the lower 16. The stamp of an effect
// is higher than that of its cause, also across processes, unless Clock.Observe
// ignored a stamp. The algorithm follows Kulkarni et al., "Logical Physical Clocks"
// (OPODIS 2014).
type Stamp uint64

// Time returns the physical part of the stamp, in milliseconds and UTC.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> logicalBits)).UTC()
}

// Clock is a hybrid logical clock. Each stamp returned by Next is higher than all
// previous ones and than every stamp accepted by Observe. The zero value is ready
// for use. Clock is safe for concurrent use.
type Clock struct {
	mu sync.Mutex
	// last is the highest stamp returned or observed.
	last Stamp
	// lastNow is the time passed to the last call of Next; zero before the first.
	lastNow time.Time
}

// Next returns the stamp of something that happens at now.
func (c *Clock) Next(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNow = now
	physical := Stamp(now.UnixMilli()) << logicalBits
	c.last = max(c.last+1, physical)
	return c.last
}

// Observe advances the clock to a stamp received from another process. It returns
// false and ignores the stamp if that is more than 5 minutes ahead of the time last
// passed to Next; stamps returned later may then be lower than the received one.
func (c *Clock) Observe(received Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastNow.IsZero() && received.Time().After(c.lastNow.Add(maxAhead)) {
		return false
	}
	c.last = max(c.last, received)
	return true
}
