package wire

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestAwaitPong checks that a response counts only within pingTimeout, but that a delay of this
// process itself does not count as a silent peer.
func TestAwaitPong(t *testing.T) {
	for name, c := range map[string]struct {
		// after is the time until the response arrives; 0 for never.
		after time.Duration
		// err is the result of the ping when the response arrives.
		err error
		// timerDelay is how late the process notices each pingTimeout.
		timerDelay time.Duration
		// dataUntil is the time for which data arrives.
		dataUntil time.Duration
		want      bool
	}{
		"in time":                       {after: pingTimeout / 2, want: true},
		"ping failed":                   {after: pingTimeout / 2, err: errors.New("closed")},
		"no response":                   {},
		"too late":                      {after: pingTimeout + time.Millisecond},
		"late, process stalled":         {after: pingTimeout + time.Millisecond, timerDelay: 2 * maxTimerDelay, want: true},
		"no response, process stalled":  {timerDelay: 2 * maxTimerDelay},
		"late, timer slightly delayed":  {after: pingTimeout + time.Millisecond, timerDelay: maxTimerDelay / 2},
		"process stalled several times": {after: 2*pingTimeout + time.Millisecond, timerDelay: 2 * maxTimerDelay, want: true},
		"late, behind other data":       {after: 5 * pingTimeout, dataUntil: 5 * pingTimeout, want: true},
		"no response, data ends":        {dataUntil: 5 * pingTimeout},
		"data ends before":              {after: 3 * pingTimeout, dataUntil: pingTimeout / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := make(chan error, 1)
				if c.after > 0 {
					time.AfterFunc(c.after, func() { result <- c.err })
				}
				startedAt, calls := time.Now(), 0
				lastReadAt := func() time.Time {
					if c.dataUntil == 0 {
						return time.Time{}
					}
					return startedAt.Add(min(c.dataUntil, time.Since(startedAt)))
				}
				now := func() time.Time {
					// Every second call is the one that checks how late the timeout is noticed.
					if calls++; calls%2 == 0 {
						return time.Now().Add(c.timerDelay)
					}
					return time.Now()
				}
				assert.Equal(t, c.want, awaitPong(result, now, lastReadAt))
			})
		})
	}
}

// TestMaySkipPing checks that data takes the place of some pings, but not of all.
func TestMaySkipPing(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		skipped int
		want    bool
	}{
		"data has just arrived":            {silence: 0, want: true},
		"data within the interval":         {silence: idlePingInterval - time.Millisecond, want: true},
		"silent for an interval":           {silence: idlePingInterval},
		"no data ever":                     {silence: time.Hour},
		"data, and a few pings left out":   {silence: time.Millisecond, skipped: maxSkippedPings - 1, want: true},
		"data, and too many pings skipped": {silence: time.Millisecond, skipped: maxSkippedPings},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, maySkipPing(c.silence, idlePingInterval, c.skipped))
		})
	}
}

// TestIdlePingsAreBounded checks that a process with many idle connections sends no more pings a
// second than one with few.
func TestIdlePingsAreBounded(t *testing.T) {
	for name, conns := range map[string]int64{"1": 1, "12": 12, "40": 40, "160": 160, "6000": 6000} {
		t.Run(name, func(t *testing.T) {
			transport := NewTransport(stubSelf{}, nil, nil)
			transport.connCount.Store(conns)
			interval := (&Conn{transport: transport}).pingInterval()
			assert.GreaterOrEqual(t, interval, idlePingInterval)
			assert.LessOrEqual(t, float64(conns)/interval.Seconds(), float64(idlePingsPerSecond))
		})
	}
}
