package loop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClockWallAndMonotonicAgree checks that the durations between two times of the clock are
// the same by their wall and their monotonic readings.
func TestClockWallAndMonotonicAgree(t *testing.T) {
	var c clock
	first := c.now()
	for range 10_000 {
		now := c.now()
		require.Equal(t, now.Sub(first), now.Round(0).Sub(first.Round(0)))
	}
}

// TestClockFollowsWallTime checks that the clock follows a wall clock that was set.
func TestClockFollowsWallTime(t *testing.T) {
	// Times without a monotonic reading simulate a wall clock that was set.
	begin := time.UnixMilli(1_000_000)
	c := clock{base: begin}
	require.Equal(t, begin.Add(time.Minute), c.at(begin.Add(time.Minute)))
	set := time.Now().Add(-time.Hour)
	c = clock{base: time.Now()}
	require.Equal(t, set.Round(0), c.at(set.Round(0)).Round(0))
}
