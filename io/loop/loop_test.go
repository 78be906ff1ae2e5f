package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/event"
)

// wakeRequest is an event that makes tickLog request a wake at a time.
type wakeRequest struct {
	at time.Time
}

// Kind implements event.Event.
func (wakeRequest) Kind() string { return "request" }

// tickLog is a reducer that logs the times of its ticks.
type tickLog struct {
	ticks []time.Time
}

// Apply implements event.Reducer.
func (w *tickLog) Apply(now time.Time, ev event.Event) []event.Effect {
	if r, ok := ev.(wakeRequest); ok {
		return []event.Effect{event.Wake{At: r.at}}
	}
	w.ticks = append(w.ticks, now)
	return nil
}

// discard is an executor and a recorder that does nothing.
type discard struct{}

func (discard) Do(event.Effect)                    {}
func (discard) Event(time.Time, event.Event)       {}
func (discard) Effect(_ time.Time, _ event.Effect) {}

// TestTicksAreNotPutOff checks that ticks come in time although events keep arriving whose
// effects request later wakes.
func TestTicksAreNotPutOff(t *testing.T) {
	const pause = 30 * time.Millisecond
	for name, c := range map[string]struct {
		// wakes are the wake times that the events request, relative to the start. One
		// event is posted every pause.
		wakes []time.Duration
		// ticks are the expected times of the first ticks, relative to the start.
		ticks []time.Duration
	}{
		"requested wakes are later than the tick": {
			[]time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second, time.Second, time.Second},
			[]time.Duration{TickPeriod, 2 * TickPeriod},
		},
		"requested first, later wake follows": {
			[]time.Duration{70 * time.Millisecond, 90 * time.Millisecond},
			[]time.Duration{70 * time.Millisecond, 70*time.Millisecond + TickPeriod},
		},
		"requested second, before the first": {
			[]time.Duration{90 * time.Millisecond, 50 * time.Millisecond},
			[]time.Duration{50 * time.Millisecond, 50*time.Millisecond + TickPeriod},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				reducer := &tickLog{}
				l := New(reducer, discard{})
				began := time.Now()
				go l.Run(ctx, discard{})
				for _, at := range c.wakes {
					assert.True(t, l.Post(wakeRequest{began.Add(at)}))
					time.Sleep(pause)
				}
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				var got []time.Duration
				for _, at := range reducer.ticks[:min(len(reducer.ticks), len(c.ticks))] {
					got = append(got, at.Sub(began))
				}
				assert.Equal(t, c.ticks, got)
			})
		})
	}
}
