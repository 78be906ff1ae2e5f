package replay

import (
	"container/heap"
	"time"
)

// clock is the fake clock of a replay. It runs scheduled functions in order of time;
// functions with the same time run in the order in which they were scheduled. It starts at
// now and is not safe for concurrent use.
type clock struct {
	now    time.Time
	timers timers
	// seq is the number of the latest scheduled function.
	seq int
}

// timer is a scheduled function. seq breaks ties between equal times.
type timer struct {
	at  time.Time
	seq int
	run func()
}

// at schedules a function for a time, or for the current time if that has passed. The
// function runs in runUntil.
func (c *clock) at(at time.Time, run func()) {
	if at.Before(c.now) {
		at = c.now
	}
	c.seq++
	heap.Push(&c.timers, timer{at: at, seq: c.seq, run: run})
}

// after schedules a function for the time d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.at(c.now.Add(d), run)
}

// runUntil runs all functions that are scheduled up to and including end, also those that
// are added meanwhile, and sets the clock to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// timers is a heap of timers with the earliest first. It implements heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
