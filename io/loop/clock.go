package loop

import "time"

// maxDrift is the difference between the clock and the wall time beyond which the
// clock is reset to the wall time.
const maxDrift = time.Second

// clock returns times whose wall and monotonic readings advance by exactly the same
// amount. time.Now reads the two clocks one after the other, so that they differ by
// some nanoseconds. A replay has only the recorded wall times and would compute
// other durations than the process did. The zero value is ready to use; a clock must
// not be used concurrently.
type clock struct {
	// base is the time that now adds monotonic durations to; zero before the first
	// call.
	base time.Time
}

// now returns the current time.
func (c *clock) now() time.Time {
	return c.at(time.Now())
}

// at returns the clock's time for now, which is a result of time.Now. If the two
// differ by more than maxDrift, it resets the clock to now.
func (c *clock) at(now time.Time) time.Time {
	monotonic := c.base.Add(now.Sub(c.base))
	drift := now.Round(0).Sub(monotonic.Round(0))
	if c.base.IsZero() || drift.Abs() > maxDrift {
		c.base = now
		return now
	}
	return monotonic
}
