package faults_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stallProbeInterval is the duration of the sleeps that a stallMeter measures.
const stallProbeInterval = 10 * time.Millisecond

// stallMeter adds up the delays of the sleeps of a goroutine, that is, by how much they last too long.
// On a machine with other work, this is the time for which the process was not scheduled.
type stallMeter struct{ totalNS atomic.Int64 }

// processStalls returns the meter of this process, which measures from the first call on.
var processStalls = sync.OnceValue(func() *stallMeter {
	s := &stallMeter{}
	go func() {
		for {
			began := time.Now()
			time.Sleep(stallProbeInterval)
			s.addSleep(time.Since(began))
		}
	}()
	return s
})

// addSleep adds the delay of a sleep of stallProbeInterval that lasted slept. Delays up to another
// stallProbeInterval are due to the resolution of the timer and do not count.
func (s *stallMeter) addSleep(slept time.Duration) {
	if late := slept - stallProbeInterval; late > stallProbeInterval {
		s.totalNS.Add(int64(late))
	}
}

// total returns the sum of all delays.
func (s *stallMeter) total() time.Duration { return time.Duration(s.totalNS.Load()) }

// TestStalls checks that only real stalls count. Otherwise a late answer of a process that was scheduled
// would be excused.
func TestStalls(t *testing.T) {
	t.Parallel()
	s := &stallMeter{}
	for range 300 {
		s.addSleep(stallProbeInterval + stallProbeInterval/2)
	}
	require.Zero(t, s.total(), "a process that is scheduled in time")
	s.addSleep(120 * time.Millisecond)
	require.Equal(t, 110*time.Millisecond, s.total(), "a process that was stalled once")
}
