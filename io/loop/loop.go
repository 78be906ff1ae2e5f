// Package loop runs a reducer: it applies events one at a time, in order, and passes
// the resulting effects to an executor.
package loop

import (
	"context"
	"time"

	"chervilreach/core/event"
)

// inboxSize is the capacity of the event queue. Post blocks while it is full.
const inboxSize = 1024

// TickPeriod is the maximum interval between two event.Tick events.
const TickPeriod = 100 * time.Millisecond

// Executor executes the effects of a reducer.
type Executor interface {
	// Do starts an effect. It is called on the goroutine of Run and must not block:
	// slow work runs on another goroutine, which posts its result as an event.
	Do(eff event.Effect)
}

// Recorder records all events and effects in order, for the timeline. Its methods
// are called on the goroutine of Run.
type Recorder interface {
	Event(now time.Time, ev event.Event)
	Effect(now time.Time, eff event.Effect)
}

// Loop applies events to a reducer. Post and Inspect may be called concurrently.
type Loop struct {
	reducer  event.Reducer
	recorder Recorder
	clock    clock
	inbox    chan event.Event
	// inspections receives the functions that Run calls for Inspect.
	inspections chan func(now time.Time)
	// done is closed when Run returns.
	done chan struct{}
}

// New returns a loop. It processes events once Run is called.
func New(reducer event.Reducer, recorder Recorder) *Loop {
	return &Loop{
		reducer:     reducer,
		recorder:    recorder,
		inbox:       make(chan event.Event, inboxSize),
		inspections: make(chan func(now time.Time)),
		done:        make(chan struct{}),
	}
}

// Post queues an event for the reducer. It blocks while the queue is full, and
// returns false if Run has returned.
func (l *Loop) Post(ev event.Event) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.inbox <- ev:
		return true
	case <-l.done:
		return false
	}
}

// Inspect calls fn between two events, so that fn may read the reducer's state, and
// waits until fn has returned. It blocks until Run is called, and returns false
// without calling fn if Run has returned. It must not be called on the goroutine of
// Run.
func (l *Loop) Inspect(fn func(now time.Time)) bool {
	ran := make(chan struct{})
	read := func(now time.Time) {
		fn(now)
		close(ran)
	}
	select {
	case l.inspections <- read:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// Run applies posted events and ticks to the reducer until ctx ends. It must be
// called once.
func (l *Loop) Run(ctx context.Context, exec Executor) {
	defer close(l.done)
	tickAt := time.Now().Add(TickPeriod)
	timer := time.NewTimer(TickPeriod)
	defer timer.Stop()
	for {
		var ev event.Event
		select {
		case <-ctx.Done():
			return
		case fn := <-l.inspections:
			fn(l.clock.now())
			continue
		case ev = <-l.inbox:
		case <-timer.C:
			ev = event.Tick{}
			tickAt = time.Now().Add(TickPeriod)
			timer.Reset(TickPeriod)
		}
		// A later wake time must not delay a tick that is already scheduled.
		if wake := l.step(ev, exec); !wake.IsZero() && wake.Before(tickAt) {
			tickAt = wake
			timer.Reset(time.Until(wake))
		}
	}
}

// step applies an event, passes its effects on and returns the earliest wake time
// that they request, or zero.
func (l *Loop) step(ev event.Event, exec Executor) time.Time {
	now := l.clock.now()
	l.recorder.Event(now, ev)
	var wake time.Time
	for _, eff := range l.reducer.Apply(now, ev) {
		l.recorder.Effect(now, eff)
		w, ok := eff.(event.Wake)
		if !ok {
			exec.Do(eff)
			continue
		}
		if wake.IsZero() || w.At.Before(wake) {
			wake = w.At
		}
	}
	return wake
}
