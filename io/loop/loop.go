// Package loop runs a reducer: it feeds events to it one at a time, in order,
// and hands its effects to an executor.
package loop

import (
	"context"
	"time"

	"chervilreach/core/event"
)

// inboxSize bounds the events that wait for the reducer; senders block beyond.
const inboxSize = 1024

// TickPeriod is the longest time between two ticks.
const TickPeriod = 100 * time.Millisecond

// Executor carries out effects. Do must not block; what takes time runs
// elsewhere and posts its result as an event.
type Executor interface {
	Do(eff event.Effect)
}

// Recorder takes in every event and effect, for the time line.
type Recorder interface {
	Event(now time.Time, ev event.Event)
	Effect(now time.Time, eff event.Effect)
}

// Loop is one reducer with its inbox.
type Loop struct {
	reducer  event.Reducer
	recorder Recorder
	clock    clock
	inbox    chan event.Event
	inspect  chan func(now time.Time)
	done     chan struct{}
}

// New returns a loop that has not been started.
func New(reducer event.Reducer, recorder Recorder) *Loop {
	return &Loop{
		reducer:  reducer,
		recorder: recorder,
		inbox:    make(chan event.Event, inboxSize),
		inspect:  make(chan func(now time.Time)),
		done:     make(chan struct{}),
	}
}

// Post hands an event to the reducer. It returns false when the loop has
// ended.
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

// Inspect runs fn between two events and returns when it has run, so that fn may
// read the reducer's state. It returns false when the loop has ended.
func (l *Loop) Inspect(fn func(now time.Time)) bool {
	ran := make(chan struct{})
	read := func(now time.Time) {
		fn(now)
		close(ran)
	}
	select {
	case l.inspect <- read:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// Run feeds events to the reducer until the context ends.
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
		case fn := <-l.inspect:
			fn(l.clock.now())
			continue
		case ev = <-l.inbox:
		case <-timer.C:
			ev = event.Tick{}
			tickAt = time.Now().Add(TickPeriod)
			timer.Reset(TickPeriod)
		}
		// A later wake must not put off the tick that others wait for.
		if wake := l.step(ev, exec); !wake.IsZero() && wake.Before(tickAt) {
			tickAt = wake
			timer.Reset(time.Until(wake))
		}
	}
}

// step applies one event and returns the earliest wake time asked for.
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
