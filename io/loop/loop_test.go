package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"chervilreach/core/event"
)

// request is an event for which wakeful asks to be woken at a time.
type request struct {
	at time.Time
}

// Kind implements event.Event.
func (request) Kind() string { return "request" }

// wakeful is a reducer that notes when it gets ticks.
type wakeful struct {
	ticks []time.Time
}

// Apply implements event.Reducer.
func (w *wakeful) Apply(now time.Time, ev event.Event) []event.Effect {
	if r, ok := ev.(request); ok {
		return []event.Effect{event.Wake{At: r.at}}
	}
	w.ticks = append(w.ticks, now)
	return nil
}

type nowhere struct{}

func (nowhere) Do(event.Effect)                    {}
func (nowhere) Event(time.Time, event.Event)       {}
func (nowhere) Effect(_ time.Time, _ event.Effect) {}

// Requests that ask to be woken keep coming, and those that wait get their ticks in
// time all the same.
func TestTicksAreNotPutOff(t *testing.T) {
	const pause = 30 * time.Millisecond
	for name, c := range map[string]struct {
		// wakes are when the requests ask to be woken, from the start on; one comes
		// every pause.
		wakes []time.Duration
		// ticks are when the first ticks are due.
		ticks []time.Duration
	}{
		"by requests with later deadlines": {
			[]time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second, time.Second, time.Second},
			[]time.Duration{TickPeriod, 2 * TickPeriod},
		},
		"asked for, by one that is due later": {
			[]time.Duration{70 * time.Millisecond, 90 * time.Millisecond},
			[]time.Duration{70 * time.Millisecond, 70*time.Millisecond + TickPeriod},
		},
		"by the first that was asked for": {
			[]time.Duration{90 * time.Millisecond, 50 * time.Millisecond},
			[]time.Duration{50 * time.Millisecond, 50*time.Millisecond + TickPeriod},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				reducer := &wakeful{}
				l := New(reducer, nowhere{})
				began := time.Now()
				go l.Run(ctx, nowhere{})
				for _, at := range c.wakes {
					assert.True(t, l.Post(request{began.Add(at)}))
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
